//! A seeded soak test: injects faults into a site of real processes, and checks what callers,
//! trainers and endpoints observe.
//!
//! Faults may overlap. All random draws depend only on the seed, but the timing of the processes
//! does not, so a seed that failed once may need several runs to fail again.

mod checks;
mod config_changes;
mod config_history;
mod control_faults;
mod crashing_requests;
mod crowds;
mod ended_lots;
mod fault_kind;
mod foreign_entries;
mod foreign_specs;
mod inject;
mod late_copies;
mod link_cuts;
mod processes;
mod report;
mod start_faults;

pub use report::Report;

use super::{
    caller::{self, Kind, Tally},
    site::{Limits, Site, Size, WORKSPACE},
    trainer::{Shape, Trainer},
};
use crashing_requests::CrashingRequests;
use fault_kind::{FaultKind, WEIGHTED_FAULT_KINDS};
use rand::{Rng as _, SeedableRng as _, seq::IndexedRandom as _};
use rand_chacha::ChaCha8Rng;
use std::{cell::RefCell, io, rc::Rc, time::Duration};
use tokio::{
    sync::oneshot,
    time::{Instant, sleep},
};

/// Time after the end of a fault, other than a graceful shutdown, during which it may still have
/// effects.
const AFTER_EFFECT_TIME: Duration = Duration::from_secs(3);
/// Longest time that the steps after the last fault may take. Before them, the test waits for a
/// third of this time.
const MAX_RECOVERY_TIME: Duration = Duration::from_secs(12);
/// Longest time during which callers send requests. They are ended after the last check and not at
/// a fixed time, since a trainer's last step may end long after the last fault.
const MAX_CALLER_TIME: Duration = Duration::from_secs(600);
/// Time after which API keys are in force at every instance.
const KEY_PROPAGATION_TIME: Duration = Duration::from_secs(1);
/// Memory of each instance in runs without crowds, in megabytes; as in the example on the platform's page.
const MEMORY_MB: u64 = 260;
/// Number of steps that the trainer runs after the last fault.
const RECOVERY_STEPS: u64 = 2;

/// Options of a soak test.
#[derive(Clone, Copy, Debug)]
pub struct Options {
    /// Seed of all random draws.
    pub seed: u64,
    /// Time during which faults are injected.
    pub duration: Duration,
    /// Number of processes and endpoints of the site.
    pub size: Size,
    /// Number of live callers of each [`Kind`].
    pub callers_per_kind: usize,
    /// Approximate mean pause between two faults: pauses are drawn between a quarter of it and
    /// twice it.
    pub mean_pause: Duration,
    /// Whether requests are sent that crash the endpoints that run them.
    pub crashing_requests: bool,
    /// Whether links to endpoints are cut, and the store is silent to the root of the broadcast tree.
    pub link_cuts: bool,
    /// Whether endpoints send late copies of their answers, and lots are ended beside freezes of their runner.
    pub late_copies: bool,
    /// Whether crowds of clients exhaust the memory and the connections of instances.
    pub crowds: bool,
    /// Whether the configuration changes in quick succession beside faults between the store and the instances.
    pub config_changes: bool,
    /// Whether signals, incomplete settings, held ports and predecessors meet processes that start.
    pub start_faults: bool,
    /// Whether entries of another writer come and go in the store.
    pub foreign_entries: bool,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            seed: 1,
            duration: Duration::from_secs(20),
            size: Size {
                instances: 4,
                engines: 4,
                services: 3,
            },
            callers_per_kind: 4,
            mean_pause: Duration::from_millis(900),
            crashing_requests: false,
            link_cuts: false,
            late_copies: false,
            crowds: false,
            config_changes: false,
            start_faults: false,
            foreign_entries: false,
        }
    }
}

/// The period in which a fault is in force.
#[derive(Clone, Debug)]
struct FaultPeriod {
    /// Index of the affected instance; `None` if the fault may affect all.
    instance: Option<usize>,
    /// Whether the fault is a graceful shutdown.
    graceful: bool,
    /// Which instances may miss changes of the configuration.
    out_of_touch: OutOfTouch,
    from: Instant,
    to: Instant,
}

/// The instances that a fault may keep from the changes that the store has confirmed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum OutOfTouch {
    All,
    Instance(usize),
    None,
}

/// A running soak test.
struct Soak {
    options: Options,
    rng: ChaCha8Rng,
    site: Rc<RefCell<Site>>,
    fault_periods: Rc<RefCell<Vec<FaultPeriod>>>,
    injected_faults: Vec<String>,
    /// Number of endpoints that each crashing request crashed.
    crash_counts: Vec<usize>,
    started: Instant,
}

/// Runs a soak test.
///
/// # Errors
/// If the site cannot be started.
pub async fn run(options: Options) -> io::Result<Report> {
    let mut limits = match options.crowds {
        true => crowds::LIMITS,
        false => Limits::default(),
    };
    let memory_mb = *limits.memory_mb.get_or_insert(MEMORY_MB);
    let mut site = Site::start_with_limits(options.size, options.seed, limits).await?;
    inject::change_api_keys(&mut site);
    site.configure("plain", Duration::from_secs(2));
    sleep(KEY_PROPAGATION_TIME).await;
    let load_balancer = site.load_balancer();
    let recorder = Rc::clone(&site.recorder);
    let tally = Rc::new(Tally::default());
    let callers_end = Instant::now() + MAX_CALLER_TIME;
    let mut callers = Vec::new();
    for number in 0..options.callers_per_kind * 2 {
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
            if number % 4 < 2 {
                caller::run(load_balancer, kind, &name, callers_end, recorder, tally).await;
            } else {
                let (balancer, end) = (load_balancer, callers_end);
                caller::run_on_kept_connections(balancer, kind, &name, end, recorder, tally).await;
            }
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
        fault_periods: Rc::default(),
        injected_faults: Vec::new(),
        crash_counts: Vec::new(),
        started: Instant::now(),
    };
    let end = soak.started + options.duration;
    let watcher = actix_rt::spawn(processes::watch(Rc::clone(&soak.site)));
    let start = || CrashingRequests::start(&soak.site, options.seed);
    let mut crashing = options.crashing_requests.then(start).transpose()?;
    let sender = async {
        if let Some(crashing) = &mut crashing {
            crashing.send_until(end).await;
        }
    };
    let (cut_site, periods) = (Rc::clone(&soak.site), Rc::clone(&soak.fault_periods));
    let cutter = async {
        if options.link_cuts {
            link_cuts::cut_until(&cut_site, &periods, options.seed, end).await;
        }
    };
    let (copy_site, copy_periods) = (Rc::clone(&soak.site), Rc::clone(&soak.fault_periods));
    let copier = async {
        if options.late_copies {
            let (site, periods, seed) = (&copy_site, &copy_periods, options.seed);
            tokio::join!(
                late_copies::send_until(site, seed, end),
                ended_lots::end_until(site, &load_balancer, periods, seed, end),
            );
        }
    };
    let (crowded_site, crowd_periods) = (Rc::clone(&soak.site), Rc::clone(&soak.fault_periods));
    let crowder = async {
        if options.crowds {
            crowds::run_until(&crowded_site, &crowd_periods, options.seed, end).await;
        }
    };
    let (changed_site, change_periods) = (Rc::clone(&soak.site), Rc::clone(&soak.fault_periods));
    let (changes_ended, until_changes_ended) = oneshot::channel();
    let changer = async {
        match options.config_changes {
            true => {
                let (site, periods) = (&changed_site, &change_periods);
                config_changes::change_until(site, periods, options.seed, until_changes_ended).await
            }
            false => String::new(),
        }
    };
    let (faulty_site, control_periods) = (Rc::clone(&soak.site), Rc::clone(&soak.fault_periods));
    let control_faults = async {
        match options.config_changes {
            true => {
                let (site, periods) = (&faulty_site, &control_periods);
                control_faults::inject_until(site, periods, options.seed, end).await
            }
            false => Vec::new(),
        }
    };
    let (starting_site, start_periods) = (Rc::clone(&soak.site), Rc::clone(&soak.fault_periods));
    let start_faults = async {
        match options.start_faults {
            true => {
                let (site, periods) = (&starting_site, &start_periods);
                start_faults::inject_until(site, periods, options.seed, end).await
            }
            false => Vec::new(),
        }
    };
    let (written_site, restart_periods) = (Rc::clone(&soak.site), Rc::clone(&soak.fault_periods));
    let foreign_writer = async {
        match options.foreign_entries {
            true => {
                let (site, periods) = (&written_site, &restart_periods);
                Some(foreign_entries::write_until(site, periods, options.seed, end).await)
            }
            false => None,
        }
    };
    let faults = async {
        let (_, _, _, _, _, _, injected, at_starts, observation) = tokio::join!(
            soak.inject_faults(end),
            trainer.run(end),
            sender,
            cutter,
            copier,
            crowder,
            control_faults,
            start_faults,
            foreign_writer,
        );
        soak.injected_faults.extend(injected);
        soak.injected_faults.extend(at_starts);
        soak.end_faults().await;
        soak.check_recovery(&mut trainer, &tally).await;
        // The receiver waits until then.
        let _ = changes_ended.send(());
        observation
    };
    let (config_summary, observation) = tokio::join!(changer, faults);
    soak.check_graceful_shutdowns();
    ended_lots::check_slots(&soak.site).await;
    let memory_limit = memory_mb * 1_000_000;
    let process_summary = processes::check(&soak.site, memory_limit, soak.started).await;
    watcher.abort();
    let store_summary = observation.map(|observation| {
        let (site, time) = (soak.site.borrow(), soak.started.elapsed());
        foreign_entries::check(&site, &observation, time)
    });
    if let Some(crashing) = &crashing {
        crashing.check();
        let crash_counts = crashing.crash_counts();
        soak.injected_faults.push(format!(
            "endpoints that crashed under each request: {crash_counts:?}"
        ));
        soak.crash_counts = crash_counts.into_values().collect();
    }
    recorder.check_orders();
    recorder.check_callers(WORKSPACE);
    for caller in callers {
        caller.abort();
    }
    let mut report = soak.into_report(&trainer, &tally, store.call_count());
    report.config_summary = config_summary;
    report.process_summary = process_summary;
    report.store_summary = store_summary.unwrap_or_default();
    Ok(report)
}

impl Soak {
    /// Injects faults one after the other until `end`.
    async fn inject_faults(&mut self, end: Instant) {
        loop {
            let mean_millis = self.options.mean_pause.as_millis() as u64;
            let pause =
                Duration::from_millis(self.rng.random_range(mean_millis / 4..mean_millis * 2));
            if Instant::now() + pause >= end {
                return;
            }
            sleep(pause).await;
            let kind = *WEIGHTED_FAULT_KINDS
                .choose(&mut self.rng)
                .expect("the list is not empty");
            let length = Duration::from_millis(self.rng.random_range(300..4_000));
            self.inject(kind, length).await;
        }
    }

    /// Records an injected fault for the report.
    fn record_fault(&mut self, kind: FaultKind, index: usize, length: Duration) {
        let millis = self.started.elapsed().as_millis();
        self.injected_faults.push(format!(
            "{millis} ms {kind:?} {index} for {} ms",
            length.as_millis()
        ));
    }

    /// Records that a fault is in force from now on for `length`; `instance` is `None` if it may
    /// affect all instances.
    fn record_period(&self, instance: Option<usize>, graceful: bool, length: Duration) {
        let out_of_touch = instance.map_or(OutOfTouch::All, OutOfTouch::Instance);
        self.record_period_for(instance, graceful, out_of_touch, length);
    }

    /// Like [`Self::record_period`], for a fault at an endpoint.
    fn record_endpoint_period(&self, length: Duration) {
        self.record_period_for(None, false, OutOfTouch::None, length);
    }

    fn record_period_for(
        &self,
        instance: Option<usize>,
        graceful: bool,
        out_of_touch: OutOfTouch,
        length: Duration,
    ) {
        let from = Instant::now();
        self.fault_periods.borrow_mut().push(FaultPeriod {
            instance,
            graceful,
            out_of_touch,
            from,
            to: from + length,
        });
    }

    /// Ends a fault by `end` after `length`.
    fn end_after(&self, length: Duration, end: impl FnOnce(&mut Site) + 'static) {
        let site = Rc::clone(&self.site);
        actix_rt::spawn(async move {
            sleep(length).await;
            end(&mut site.borrow_mut());
        });
    }

    fn into_report(self, trainer: &Trainer, tally: &Tally, store_call_count: u64) -> Report {
        let site = self.site.borrow();
        let violations = site.recorder.violations();
        let logs = if violations.is_empty() {
            Vec::new()
        } else {
            let lines = site.instances.iter().map(|instance| instance.all_lines());
            lines.flatten().collect()
        };
        Report {
            seed: self.options.seed,
            injected_faults: self.injected_faults,
            crash_counts: self.crash_counts,
            violations,
            live_counts: [tally.good.get(), tally.not_run.get(), tally.unknown.get()],
            step_counts: [trainer.done, trainer.given_up, trainer.refused],
            accepted_order_count: site.recorder.accepted_order_count(),
            store_call_count,
            config_summary: String::new(),
            process_summary: String::new(),
            store_summary: String::new(),
            logs,
        }
    }
}

/// Starts the process of an instance with intact settings. Records a violation if the process cannot be started.
fn start_instance(site: &mut Site, index: usize) {
    site.instances[index].restore_settings();
    start_with_present_settings(site, index);
}

/// Starts the process of an instance with its settings file as it is. Records a violation if the process cannot be
/// started.
fn start_with_present_settings(site: &mut Site, index: usize) {
    let instance = &mut site.instances[index];
    if let Err(error) = instance.start_with_present_settings() {
        let violation = format!("{} does not start: {error}", instance.name);
        site.recorder.record_violation(violation);
    }
}
