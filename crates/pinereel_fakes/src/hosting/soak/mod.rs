//! A seeded soak: the real processes, faults from outside, and checks from callers' and endpoints'
//! sides while they happen.
//!
//! Faults come in series and overlap. Whatever a seed does is drawn from it alone; the processes'
//! own timing is not, so that a seed that failed once may need several runs to fail again.

mod check;
mod crash;
mod inject;
mod trouble;

use super::{
    caller::{self, Kind, Tally},
    site::{Site, Size, WORKSPACE},
    trainer::{Shape, Trainer},
};
use crash::Crashing;
use rand::{Rng as _, SeedableRng as _, seq::IndexedRandom as _};
use rand_chacha::ChaCha8Rng;
use std::{cell::RefCell, fmt, io, rc::Rc, time::Duration};
use tokio::time::{Instant, sleep};
use trouble::{TROUBLES, Trouble};

/// After the end of an unplanned fault its traces may still show for so long.
const AFTERMATH: Duration = Duration::from_secs(3);
/// All must be served again so long after the last fault.
const RECOVERY: Duration = Duration::from_secs(12);
/// Callers go on until all is checked, and no longer than this. A trainer's last step may end long
/// after the last fault, so their end is not a time but the check's.
const LONGEST: Duration = Duration::from_secs(600);
/// Keys are in force everywhere after so long.
const KEYS: Duration = Duration::from_secs(1);
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
    /// Whether requests come that crash the endpoints that run them.
    pub crashing: bool,
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
            crashing: false,
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
    /// Endpoints that crashed under each request that crashes them.
    pub taken: Vec<usize>,
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
             steps {done} done {given_up} given up {refused} refused, {} orders, {} calls, crashes under each request {:?}, {} broken",
            self.seed,
            self.injected.len(),
            self.orders,
            self.calls,
            self.taken,
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

/// A running soak.
struct Soak {
    options: Options,
    rng: ChaCha8Rng,
    site: Rc<RefCell<Site>>,
    spans: Rc<RefCell<Vec<Span>>>,
    injected: Vec<String>,
    /// Endpoints that crashed under each request that crashes them.
    taken: Vec<usize>,
    began: Instant,
}

/// Runs a soak.
///
/// # Errors
/// If the site cannot be started.
pub async fn run(options: Options) -> io::Result<Report> {
    let mut site = Site::start(options.size, options.seed).await?;
    inject::change_keys(&mut site);
    site.configure("plain", Duration::from_secs(2));
    sleep(KEYS).await;
    let load_balancer = site.load_balancer();
    let recorder = Rc::clone(&site.recorder);
    let tally = Rc::new(Tally::default());
    let end = Instant::now() + LONGEST;
    let mut callers = Vec::new();
    for number in 0..options.callers * 2 {
        let kind = if number % 2 == 0 {
            Kind::Repeatable
        } else {
            Kind::Once
        };
        let (load_balancer, recorder, tally) = (
            Rc::clone(&load_balancer),
            Rc::clone(&recorder),
            Rc::clone(&tally),
        );
        callers.push(actix_rt::spawn(async move {
            let name = format!("c{number}");
            caller::run(load_balancer, kind, &name, end, recorder, tally).await;
        }));
    }
    let shape = Shape {
        groups: 5,
        group_size: 4,
        wanted_groups: 4,
    };
    let store = site.store.clone();
    let mut trainer = Trainer::new("t", &load_balancer, &store, &recorder, shape, options.seed);
    let mut soak = Soak {
        options,
        rng: ChaCha8Rng::seed_from_u64(options.seed),
        site: Rc::new(RefCell::new(site)),
        spans: Rc::default(),
        injected: Vec::new(),
        taken: Vec::new(),
        began: Instant::now(),
    };
    let stop = soak.began + options.length;
    let start = || Crashing::start(&soak.site, options.seed);
    let mut crashing = options.crashing.then(start).transpose()?;
    let crash = async {
        if let Some(crashing) = &mut crashing {
            crashing.send(stop).await;
        }
    };
    tokio::join!(soak.faults(stop), trainer.run(stop), crash);
    soak.heal().await;
    soak.check_recovery(&mut trainer, &tally).await;
    soak.check_planned_stops();
    if let Some(crashing) = &crashing {
        crashing.check();
        let taken = crashing.taken();
        soak.injected.push(format!(
            "endpoints that crashed under each request: {taken:?}"
        ));
        soak.taken = taken.into_values().collect();
    }
    recorder.check_orders();
    recorder.check_callers(WORKSPACE);
    for caller in callers {
        caller.abort();
    }
    Ok(soak.report(&trainer, &tally, store.call_count()))
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

    fn report(self, trainer: &Trainer, tally: &Tally, calls: u64) -> Report {
        let site = self.site.borrow();
        let broken = site.recorder.violations();
        let logs = if broken.is_empty() {
            Vec::new()
        } else {
            let lines = site.instances.iter().map(|instance| instance.all_lines());
            lines.flatten().collect()
        };
        Report {
            seed: self.options.seed,
            injected: self.injected,
            taken: self.taken,
            broken,
            live: [tally.good.get(), tally.not_run.get(), tally.unknown.get()],
            steps: [trainer.done, trainer.given_up, trainer.refused],
            orders: site.recorder.accepted_order_count(),
            calls,
            logs,
        }
    }
}

fn start(site: &mut Site, index: usize) {
    if let Err(error) = site.instances[index].start() {
        let name = site.instances[index].name.clone();
        site.recorder
            .record_violation(format!("{name} does not start: {error}"));
    }
}
