//! A seeded soak: the real processes, faults from outside, and checks from callers' and endpoints'
//! sides while they happen.
//!
//! Faults come in series and overlap. Whatever a seed does is drawn from it alone; the processes'
//! own timing is not, so that a seed that failed once may need several runs to fail again.

use super::{
    balance::Balance,
    caller::{self, Kind, Tally},
    engine, proxy, service,
    site::{Site, Size},
    store,
    trainer::{Shape, Trainer},
};
use crate::launch::Signal;
use rand::{Rng as _, SeedableRng as _, seq::IndexedRandom as _};
use rand_chacha::ChaCha8Rng;
use std::{cell::RefCell, fmt, io, rc::Rc, time::Duration};
use tokio::time::{Instant, sleep};

/// After the end of an unplanned fault its traces may still show for so long.
const AFTERMATH: Duration = Duration::from_secs(3);
/// All must be served again so long after the last fault.
const RECOVERY: Duration = Duration::from_secs(12);
/// Trainers' steps while the site is checked after the last fault.
const STEPS_AFTER: u64 = 2;

/// What a soak does.
#[derive(Clone, Copy, Debug)]
pub struct Options {
    /// Decides everything that is left to chance.
    pub seed: u64,
    /// How long faults go on.
    pub length: Duration,
    /// Sizes of the site.
    pub size: Size,
    /// Live callers of each kind.
    pub callers: usize,
    /// Mean pause between two faults.
    pub pause: Duration,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            seed: 1,
            length: Duration::from_secs(20),
            size: Size {
                instances: 4,
                engines: 4,
                services: 3,
            },
            callers: 4,
            pause: Duration::from_millis(900),
        }
    }
}

/// What came of a soak.
#[derive(Debug)]
pub struct Report {
    /// The seed.
    pub seed: u64,
    /// Faults that were injected, in order, with their time in milliseconds.
    pub injected: Vec<String>,
    /// Broken promises.
    pub broken: Vec<String>,
    /// Live answers: good, not run, unknown.
    pub live: [u64; 3],
    /// Steps: done, given up, refused.
    pub steps: [u64; 3],
    /// Orders that engines accepted.
    pub orders: usize,
    /// Calls to the store.
    pub calls: u64,
    /// Logs of the instances, if a promise was broken.
    pub logs: Vec<String>,
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let [good, not_run, unknown] = self.live;
        let [done, given_up, refused] = self.steps;
        write!(
            f,
            "seed {}: {} faults, live {good} good {not_run} not run {unknown} unknown, \
             steps {done} done {given_up} given up {refused} refused, {} orders, {} calls, {} broken",
            self.seed,
            self.injected.len(),
            self.orders,
            self.calls,
            self.broken.len(),
        )
    }
}

/// When a fault was in force, and where.
#[derive(Clone, Debug)]
struct Span {
    /// The instance, if it was one.
    instance: Option<usize>,
    planned: bool,
    from: Instant,
    to: Instant,
}

/// One kind of fault.
#[derive(Clone, Copy, Debug)]
enum Trouble {
    Kill,
    Terminate,
    Pause,
    CutFromStore,
    ResetStoreConnections,
    DelayCallers,
    ResetCallers,
    BadSettings,
    StoreDown,
    StoreSlow,
    StoreLoses,
    StoreForgets,
    EngineSlow,
    EngineCuts,
    EngineLateOrders,
    EngineDark,
    EngineLapses,
    EngineLeaves,
    ServiceLoses,
    ServiceCuts,
    ServiceSlow,
    ServiceLeaves,
    Configure,
}

/// All kinds, the more usual ones more than once.
const TROUBLES: &[Trouble] = &[
    Trouble::Kill,
    Trouble::Kill,
    Trouble::Terminate,
    Trouble::Terminate,
    Trouble::Terminate,
    Trouble::Pause,
    Trouble::CutFromStore,
    Trouble::CutFromStore,
    Trouble::ResetStoreConnections,
    Trouble::DelayCallers,
    Trouble::ResetCallers,
    Trouble::BadSettings,
    Trouble::StoreDown,
    Trouble::StoreSlow,
    Trouble::StoreLoses,
    Trouble::StoreForgets,
    Trouble::EngineSlow,
    Trouble::EngineCuts,
    Trouble::EngineLateOrders,
    Trouble::EngineDark,
    Trouble::EngineLapses,
    Trouble::EngineLeaves,
    Trouble::ServiceLoses,
    Trouble::ServiceCuts,
    Trouble::ServiceSlow,
    Trouble::ServiceLeaves,
    Trouble::Configure,
];

/// A running soak.
struct Soak {
    options: Options,
    rng: ChaCha8Rng,
    site: Rc<RefCell<Site>>,
    spans: Rc<RefCell<Vec<Span>>>,
    injected: Vec<String>,
    began: Instant,
}

/// Runs a soak.
///
/// # Errors
/// If the site cannot be started.
pub async fn run(options: Options) -> io::Result<Report> {
    let site = Site::start(options.size, options.seed).await?;
    let balance = Rc::new(Balance::default());
    for (index, instance) in site.instances.iter().enumerate() {
        balance.add(index, instance.callers.address, instance.readiness);
    }
    let book = Rc::clone(&site.book);
    let tally = Rc::new(Tally::default());
    let end = Instant::now() + options.length + RECOVERY;
    for number in 0..options.callers * 2 {
        let kind = if number % 2 == 0 {
            Kind::Repeatable
        } else {
            Kind::Once
        };
        let (balance, book, tally) = (Rc::clone(&balance), Rc::clone(&book), Rc::clone(&tally));
        actix_rt::spawn(async move {
            let name = format!("c{number}");
            caller::run(balance, kind, &name, end, book, tally).await;
        });
    }
    let shape = Shape {
        groups: 5,
        size: 4,
        wanted: 4,
    };
    let store = site.store.clone();
    let mut trainer = Trainer::new("t", &balance, &store, &book, shape, options.seed);
    let mut soak = Soak {
        options,
        rng: ChaCha8Rng::seed_from_u64(options.seed),
        site: Rc::new(RefCell::new(site)),
        spans: Rc::default(),
        injected: Vec::new(),
        began: Instant::now(),
    };
    let stop = soak.began + options.length;
    tokio::join!(soak.faults(stop), trainer.run(stop));
    soak.heal().await;
    soak.check_recovery(&mut trainer, &tally).await;
    soak.check_planned_stops();
    book.check_orders();
    Ok(soak.report(&trainer, &tally, store.calls()))
}

impl Soak {
    async fn faults(&mut self, stop: Instant) {
        loop {
            let mean = self.options.pause.as_millis() as u64;
            let pause = Duration::from_millis(self.rng.random_range(mean / 4..mean * 2));
            if Instant::now() + pause >= stop {
                return;
            }
            sleep(pause).await;
            let trouble = *TROUBLES.choose(&mut self.rng).expect("there are some");
            let length = Duration::from_millis(self.rng.random_range(300..4_000));
            self.inject(trouble, length).await;
        }
    }

    fn note(&mut self, trouble: Trouble, index: usize, length: Duration) {
        let at = self.began.elapsed().as_millis();
        self.injected.push(format!(
            "{at} ms {trouble:?} {index} for {} ms",
            length.as_millis()
        ));
    }

    /// Notes when a fault is in force; without an instance it may touch all.
    fn span(&self, instance: Option<usize>, planned: bool, length: Duration) {
        let from = Instant::now();
        self.spans.borrow_mut().push(Span {
            instance,
            planned,
            from,
            to: from + length,
        });
    }

    /// Ends a fault after its time.
    fn later(&self, length: Duration, end: impl FnOnce(&mut Site) + 'static) {
        let site = Rc::clone(&self.site);
        actix_rt::spawn(async move {
            sleep(length).await;
            end(&mut site.borrow_mut());
        });
    }

    async fn inject(&mut self, trouble: Trouble, length: Duration) {
        let site = Rc::clone(&self.site);
        let counts = {
            let site = site.borrow();
            [
                site.instances.len(),
                site.engines.len(),
                site.services.len(),
            ]
        };
        let [instance, engine, service] = counts.map(|count| self.rng.random_range(0..count));
        let index = match trouble {
            Trouble::EngineSlow
            | Trouble::EngineCuts
            | Trouble::EngineLateOrders
            | Trouble::EngineDark
            | Trouble::EngineLapses
            | Trouble::EngineLeaves => engine,
            Trouble::ServiceLoses
            | Trouble::ServiceCuts
            | Trouble::ServiceSlow
            | Trouble::ServiceLeaves => service,
            _ => instance,
        };
        self.note(trouble, index, length);
        match trouble {
            Trouble::Kill | Trouble::Terminate | Trouble::Pause => {
                self.signal(trouble, index, length);
            }
            Trouble::CutFromStore
            | Trouble::ResetStoreConnections
            | Trouble::DelayCallers
            | Trouble::ResetCallers
            | Trouble::BadSettings => self.instance_fault(trouble, index, length),
            Trouble::StoreDown
            | Trouble::StoreSlow
            | Trouble::StoreLoses
            | Trouble::StoreForgets => self.store_fault(trouble, length),
            Trouble::EngineLeaves | Trouble::ServiceLeaves => self.replace(trouble, index).await,
            Trouble::Configure => self.configure(),
            _ => self.endpoint_fault(trouble, index, length),
        }
    }

    fn signal(&mut self, trouble: Trouble, index: usize, length: Duration) {
        let planned = matches!(trouble, Trouble::Terminate);
        let mut site = self.site.borrow_mut();
        let instance = &mut site.instances[index];
        if !instance.is_running() || instance.paused {
            return;
        }
        match trouble {
            Trouble::Kill => instance.signal(Signal::KILL),
            Trouble::Pause => {
                instance.signal(Signal::STOP);
                instance.paused = true;
            }
            _ => instance.signal(Signal::TERM),
        }
        drop(site);
        if planned {
            // It ends by itself; then it is started again.
            self.span(Some(index), true, Duration::from_secs(9));
            self.restart_when_ended(index);
        } else {
            self.span(Some(index), false, length + AFTERMATH);
            self.later(length, move |site| {
                let instance = &mut site.instances[index];
                if instance.paused {
                    instance.signal(Signal::CONT);
                    instance.paused = false;
                } else if !instance.is_running() {
                    start(site, index);
                }
            });
        }
    }

    fn restart_when_ended(&self, index: usize) {
        let site = Rc::clone(&self.site);
        actix_rt::spawn(async move {
            loop {
                sleep(Duration::from_millis(50)).await;
                let site = &mut *site.borrow_mut();
                if !site.instances[index].is_running() {
                    start(site, index);
                    return;
                }
            }
        });
    }

    fn instance_fault(&mut self, trouble: Trouble, index: usize, length: Duration) {
        let one_way = self.rng.random_bool(0.4);
        self.span(Some(index), false, length + AFTERMATH);
        let site = self.site.borrow();
        let instance = &site.instances[index];
        match trouble {
            Trouble::CutFromStore => {
                let fault = proxy::Fault {
                    mute_requests: !one_way,
                    ..proxy::Fault::SILENT
                };
                instance.store.set(fault);
                self.later(length, move |site| {
                    site.instances[index].store.set(proxy::Fault::default());
                });
            }
            Trouble::ResetStoreConnections => instance.store.reset(),
            Trouble::DelayCallers => {
                let delay = Duration::from_millis(60);
                instance.callers.set(proxy::Fault {
                    delay,
                    ..proxy::Fault::default()
                });
                self.later(length, move |site| {
                    site.instances[index].callers.set(proxy::Fault::default());
                });
            }
            Trouble::BadSettings => {
                instance.spoil_settings();
                self.later(length, move |site| site.instances[index].mend_settings());
            }
            _ => instance.callers.reset(),
        }
    }

    fn store_fault(&mut self, trouble: Trouble, length: Duration) {
        self.span(None, false, length + AFTERMATH);
        let late = self.rng.random_bool(0.5);
        let site = self.site.borrow();
        let fault = match trouble {
            Trouble::StoreDown => store::Fault {
                down: true,
                ..store::Fault::default()
            },
            Trouble::StoreSlow => store::Fault {
                delay: Duration::from_millis(200),
                ..store::Fault::default()
            },
            Trouble::StoreLoses => store::Fault {
                lost: 0.35,
                late,
                ..store::Fault::default()
            },
            _ => {
                site.store.compact();
                return;
            }
        };
        site.store.set(fault);
        self.later(length, |site| site.store.set(store::Fault::default()));
    }

    fn endpoint_fault(&self, trouble: Trouble, index: usize, length: Duration) {
        self.span(None, false, length + AFTERMATH);
        let site = self.site.borrow();
        if let Some(fault) = service_fault(trouble) {
            site.services[index].endpoint.set(fault);
            self.later(length, move |site| {
                site.services[index].endpoint.set(service::Fault::default());
            });
            return;
        }
        let fronted = &site.engines[index];
        match trouble {
            Trouble::EngineDark => {
                fronted.proxy.set(proxy::Fault::SILENT);
                self.later(length, move |site| {
                    site.engines[index].proxy.set(proxy::Fault::default());
                });
            }
            Trouble::EngineLapses => {
                fronted.endpoint.unlist();
                self.later(length.min(Duration::from_millis(1_500)), move |site| {
                    let fronted = &site.engines[index];
                    fronted.endpoint.list(fronted.proxy.address);
                });
            }
            _ => {
                fronted.endpoint.set(engine_fault(trouble));
                self.later(length, move |site| {
                    site.engines[index].endpoint.set(engine::Fault::default());
                });
            }
        }
    }

    /// An endpoint leaves in good order, and a new one comes first.
    async fn replace(&mut self, trouble: Trouble, index: usize) {
        let mut site = self.site.borrow_mut();
        if matches!(trouble, Trouble::EngineLeaves) {
            let version = site.engines[index].endpoint.version();
            // A site that can't add an endpoint keeps the old one.
            if add(site.add_engine(version)) {
                site.engines[index].endpoint.leave();
                let last = site.engines.len() - 1;
                site.engines.swap(index, last);
                let old = site.engines.pop().expect("one was just added");
                end_later(move || old.endpoint.unlist());
            }
        } else if index + 1 < site.services.len() && add(site.add_service("plain")) {
            let fronted = &site.services[index];
            fronted.endpoint.leave(fronted.proxy.address);
            let last = site.services.len() - 1;
            site.services.swap(index, last);
            let old = site.services.pop().expect("one was just added");
            end_later(move || old.endpoint.unlist());
        }
    }

    fn configure(&mut self) {
        let other = self.rng.random_bool(0.5);
        let timeout = Duration::from_millis(self.rng.random_range(1_500..2_500));
        let service = if other { "other" } else { "plain" };
        self.site.borrow_mut().configure(service, timeout);
    }

    /// Ends all faults that may still be in force.
    async fn heal(&self) {
        sleep(Duration::from_secs(4)).await;
        let mut site = self.site.borrow_mut();
        site.store.set(store::Fault::default());
        for index in 0..site.instances.len() {
            let instance = &mut site.instances[index];
            instance.callers.set(proxy::Fault::default());
            instance.store.set(proxy::Fault::default());
            instance.mend_settings();
            if instance.paused {
                instance.signal(Signal::CONT);
                instance.paused = false;
            }
            if !instance.is_running() {
                start(&mut site, index);
            }
        }
        for fronted in &site.engines {
            fronted.proxy.set(proxy::Fault::default());
            fronted.endpoint.set(engine::Fault::default());
        }
        for fronted in &site.services {
            fronted.endpoint.set(service::Fault::default());
        }
    }

    /// After the last fault steps are done and callers are answered.
    async fn check_recovery(&self, trainer: &mut Trainer, tally: &Tally) {
        let book = Rc::clone(&self.site.borrow().book);
        sleep(RECOVERY / 3).await;
        let good = tally.good.get();
        let done = trainer.done;
        let began = Instant::now();
        for step in 0..STEPS_AFTER {
            trainer.step(1_000_000 + step).await;
        }
        if trainer.done < done + STEPS_AFTER {
            book.fault("steps are not done after the last fault");
        }
        if tally.good.get() == good {
            book.fault("no caller is answered after the last fault");
        }
        if began.elapsed() > RECOVERY {
            book.fault(format!(
                "steps after the last fault took {:?}",
                began.elapsed()
            ));
        }
        let late = book.latest();
        if late > Duration::from_secs(2) {
            book.fault(format!(
                "work came to an endpoint {late:?} after it was leaving"
            ));
        }
        // Orders of work that came too late are noted after a while.
        sleep(Duration::from_secs(1)).await;
    }

    /// A planned stop cuts nothing that was read, unless something else goes wrong beside it.
    fn check_planned_stops(&self) {
        let site = self.site.borrow();
        let spans = self.spans.borrow();
        for (index, instance) in site.instances.iter().enumerate() {
            for at in instance.callers.cuts() {
                let during = |span: &Span| span.from <= at && at <= span.to;
                let here = |span: &Span| span.instance.is_none_or(|i| i == index);
                let planned = spans
                    .iter()
                    .any(|span| span.planned && span.instance == Some(index) && during(span));
                let excused = spans
                    .iter()
                    .any(|span| !span.planned && here(span) && during(span));
                if planned && !excused {
                    let millis = at.duration_since(self.began).as_millis();
                    site.book.fault(format!(
                        "a planned stop of {index} cut a request at {millis} ms"
                    ));
                }
            }
        }
    }

    fn report(self, trainer: &Trainer, tally: &Tally, calls: u64) -> Report {
        let site = self.site.borrow();
        let broken = site.book.faults();
        let logs = if broken.is_empty() {
            Vec::new()
        } else {
            let lines = site.instances.iter().map(|instance| instance.all_lines());
            lines.flatten().collect()
        };
        Report {
            seed: self.options.seed,
            injected: self.injected,
            broken,
            live: [tally.good.get(), tally.not_run.get(), tally.unknown.get()],
            steps: [trainer.done, trainer.given_up, trainer.refused],
            orders: site.book.accepted_orders(),
            calls,
            logs,
        }
    }
}

fn start(site: &mut Site, index: usize) {
    if let Err(error) = site.instances[index].start() {
        let name = site.instances[index].name.clone();
        site.book.fault(format!("{name} does not start: {error}"));
    }
}

/// Binding a loopback port never waits, so that the future is done at once.
fn add(adding: impl Future<Output = io::Result<()>>) -> bool {
    let done = futures_util::FutureExt::now_or_never(adding);
    matches!(done, Some(Ok(())))
}

/// An endpoint that has announced its leave goes off the list when its last requests are over.
fn end_later(end: impl FnOnce() + 'static) {
    actix_rt::spawn(async move {
        sleep(Duration::from_secs(4)).await;
        end();
    });
}

fn service_fault(trouble: Trouble) -> Option<service::Fault> {
    let none = service::Fault::default();
    match trouble {
        Trouble::ServiceLoses => Some(service::Fault {
            lose_one_of: 3,
            ..none
        }),
        Trouble::ServiceCuts => Some(service::Fault {
            cut_one_of: 3,
            ..none
        }),
        Trouble::ServiceSlow => Some(service::Fault {
            delay: Duration::from_millis(400),
            ..none
        }),
        _ => None,
    }
}

fn engine_fault(trouble: Trouble) -> engine::Fault {
    let none = engine::Fault::default();
    match trouble {
        Trouble::EngineSlow => engine::Fault { slow: 6, ..none },
        Trouble::EngineCuts => engine::Fault {
            cut_after: Some(3),
            ..none
        },
        _ => engine::Fault {
            late_orders: true,
            ..none
        },
    }
}
