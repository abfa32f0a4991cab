//! Load slots shared by several models: the slots that some models do not use serve the others, in
//! virtual time against the controllers of three models on 44 engines, compared with fixed shares.

use compact_str::{CompactString, format_compact};
use pinereel_core::{
    Time, Version,
    rollout::{
        Action, Controller, Event, Lease, Settings, Status,
        load_slots::{self, Claim},
        max_loads,
    },
};
use proptest::{prelude::*, test_runner::RngSeed};
use std::{collections::BTreeMap, time::Duration};

const STEP: Duration = Duration::from_millis(10);
const TICK: Duration = Duration::from_millis(50);
/// Time from a call to an engine until its answer, with the read before an order.
const CALL_TIME: Duration = Duration::from_millis(10);
/// Age of the state in an engine's own report, and time until the endpoint list shows a new version.
const REPORT_AGE: Duration = Duration::from_millis(100);
const LOAD_TIME: Duration = Duration::from_millis(900);
const MIN_LOADS: usize = 2;
const LONG_LEASE: Duration = Duration::from_secs(100_000);

/// How the load slots are divided.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Policy {
    /// Each model has a fixed share, whatever the others load.
    Fixed,
    /// [`load_slots::divide`] at each tick.
    Divided,
}

#[derive(Clone, Default)]
struct Engine {
    model: usize,
    version: u64,
    /// Version and end of the load in progress.
    load: Option<(u64, Time)>,
    /// End of the last load.
    loaded_at: Time,
    /// Neither answers calls nor serves.
    hangs: bool,
}

/// The engines of one service, with one controller for each model.
struct Site {
    now: Time,
    policy: Policy,
    controllers: Vec<Controller>,
    published: Vec<u64>,
    lease: Option<Lease>,
    engines: BTreeMap<CompactString, Engine>,
    /// Answers and list changes under way, by the time at which they arrive and a number.
    inbox: BTreeMap<(Time, usize), (usize, Event)>,
    sent: usize,
    /// All actions of the controllers, in order.
    log: Vec<(Time, usize, Action)>,
    /// Largest number of concurrent loads so far.
    peak_loads: usize,
}

fn settings(min_serving_share: f64) -> Settings {
    // As in `hosted/orders`.
    Settings {
        min_serving_share,
        initial_load_time: LOAD_TIME,
        load_timeout: Duration::from_secs(6),
        answer_timeout: Duration::from_millis(1_050),
        poll_interval: Duration::from_millis(250),
        can_replace_load: false,
        ..Settings::default()
    }
}

impl Site {
    /// A site whose models have `engines` engines each, all with version 1 of their model.
    fn new(policy: Policy, min_serving_share: f64, engines: &[usize]) -> Self {
        let settings = settings(min_serving_share);
        let mut site = Self {
            now: Time::from_millis(1_000),
            policy,
            controllers: vec![Controller::new(settings); engines.len()],
            published: vec![1; engines.len()],
            lease: None,
            engines: BTreeMap::new(),
            inbox: BTreeMap::new(),
            sent: 0,
            log: Vec::new(),
            peak_loads: 0,
        };
        for (model, count) in engines.iter().enumerate() {
            for number in 0..*count {
                let name = format_compact!("engine-{model}-{number:02}");
                let engine = Engine {
                    model,
                    version: 1,
                    ..Engine::default()
                };
                site.engines.insert(name, engine);
            }
        }
        site.list_engines();
        site.take_lease(1);
        // The controllers read all engines first.
        site.run(Duration::from_secs(1));
        site
    }

    /// Informs the controllers of their engines.
    fn list_engines(&mut self) {
        for (number, (name, engine)) in self.engines.iter().enumerate() {
            let event = Event::Listed {
                name: name.clone(),
                zone: format_compact!("zone-{}", number % 3),
                outstanding: 0,
                leaving: false,
            };
            self.controllers[engine.model].step(self.now, event);
        }
    }

    fn take_lease(&mut self, fence: u64) {
        self.lease = Some(Lease {
            fence,
            expires_at: self.now + LONG_LEASE,
        });
    }

    fn step(&mut self, model: usize, event: Event) {
        for action in self.controllers[model].step(self.now, event) {
            match &action {
                Action::Read { name } => self.read(model, name),
                Action::Order {
                    name,
                    version,
                    fence,
                } => self.order(model, name, version.0, *fence),
                _ => {}
            }
            self.log.push((self.now, model, action));
        }
    }

    fn send(&mut self, delay: Duration, model: usize, event: Event) {
        self.sent += 1;
        self.inbox
            .insert((self.now + delay, self.sent), (model, event));
    }

    fn read(&mut self, model: usize, name: &CompactString) {
        let (engine, name) = (&self.engines[name], name.clone());
        if engine.hangs {
            self.send(
                Duration::from_millis(1_000),
                model,
                Event::NoAnswer { name },
            );
            return;
        }
        let mut status = Status {
            incarnation: 1,
            version: Some(Version(engine.version)),
            loading: engine.load.map(|(version, _)| Version(version)),
            failed: false,
        };
        // The report was made before the load ended.
        if engine.version > 1 && self.now.since(engine.loaded_at) < REPORT_AGE {
            status.loading = status.version;
            status.version = Some(Version(engine.version - 1));
        }
        self.send(CALL_TIME, model, Event::Observed { name, status });
    }

    fn order(&mut self, model: usize, name: &CompactString, version: u64, fence: u64) {
        let loading = self.loading();
        let shares_slots = self.policy == Policy::Divided && self.controllers.len() > 1;
        let engine = self.engines.get_mut(name).expect("listed");
        let name = name.clone();
        if engine.hangs {
            // The read before the order gets no answer.
            let event = match shares_slots {
                true => Event::OrderNotSent { name, fence },
                false => Event::NoAnswer { name },
            };
            self.send(Duration::from_millis(1_000), model, event);
            return;
        }
        assert_eq!(engine.load, None, "an engine refuses orders while it loads");
        // The store's throughput is shared by more than nine loads.
        let load_time = LOAD_TIME.mul_f64((loading as f64 / 9.0).max(1.0));
        engine.load = Some((version, self.now + CALL_TIME + load_time));
        let status = Status {
            incarnation: 1,
            version: Some(Version(engine.version)),
            loading: Some(Version(version)),
            failed: false,
        };
        let event = Event::Accepted {
            name,
            fence,
            status,
        };
        self.send(CALL_TIME, model, event);
    }

    /// Number of engines that load now.
    fn loading(&self) -> usize {
        self.engines.values().filter(|e| e.load.is_some()).count()
    }

    fn advance(&mut self) {
        self.now = self.now + STEP;
        let mut ended = Vec::new();
        for (name, engine) in &mut self.engines {
            if let Some((version, _)) = engine.load.filter(|(_, end)| *end <= self.now) {
                engine.version = version;
                engine.loaded_at = self.now;
                engine.load = None;
                ended.push((name.clone(), engine.model, version));
            }
        }
        for (name, model, version) in ended {
            let status = Status {
                incarnation: 1,
                version: Some(Version(version)),
                loading: None,
                failed: false,
            };
            self.send(REPORT_AGE, model, Event::Observed { name, status });
        }
        while let Some(entry) = self.inbox.first_entry()
            && entry.key().0 <= self.now
        {
            let (model, event) = entry.remove();
            self.step(model, event);
        }
        if self
            .now
            .since(Time::ZERO)
            .as_millis()
            .is_multiple_of(TICK.as_millis())
        {
            self.tick();
        }
        self.peak_loads = self.peak_loads.max(self.loading());
    }

    /// As `hosted/orders/load_slots.rs` does it.
    fn tick(&mut self) {
        for model in 0..self.controllers.len() {
            self.step(model, Event::Lease(self.lease));
            self.step(model, Event::Published(Version(self.published[model])));
        }
        let all = self.engines.len();
        let limits = match self.policy {
            Policy::Fixed => {
                let own = |model| self.engines.values().filter(|e| e.model == model).count();
                let models = 0..self.controllers.len();
                models
                    .map(|model| max_loads(all, all, own(model), MIN_LOADS))
                    .collect()
            }
            Policy::Divided => {
                let claims: Vec<Claim> = self
                    .controllers
                    .iter()
                    .map(|controller| controller.claim(self.now))
                    .collect();
                load_slots::divide(load_slots::total(all, MIN_LOADS), &claims)
            }
        };
        for (model, limit) in limits.into_iter().enumerate() {
            self.controllers[model].set_max_loads(limit);
            self.step(model, Event::Tick);
        }
    }

    fn run(&mut self, length: Duration) {
        let end = self.now + length;
        while self.now < end {
            self.advance();
        }
    }

    fn publish(&mut self, model: usize) {
        self.published[model] += 1;
    }

    /// Whether all engines of the model that do not hang serve its newest version.
    fn is_current(&self, model: usize) -> bool {
        let own = self.engines.values().filter(|e| e.model == model);
        own.filter(|e| !e.hangs)
            .all(|e| e.version == self.published[model])
    }

    /// Runs until all engines are current, for at most 30 s; returns when each model's engines were,
    /// in milliseconds from now.
    fn times_until_current(&mut self) -> Vec<u128> {
        let start = self.now;
        let mut times = vec![None; self.controllers.len()];
        while self.now.since(start) < Duration::from_secs(30) && times.contains(&None) {
            self.advance();
            for (model, time) in times.iter_mut().enumerate() {
                if time.is_none() && self.is_current(model) {
                    *time = Some(self.now.since(start).as_millis());
                }
            }
        }
        let times = times.into_iter().map(|time| time.expect("within 30 s"));
        times.collect()
    }
}

/// Time in milliseconds until the engines of one of three models have its new version, while the
/// other models load nothing.
fn single_rollout(policy: Policy, min_serving_share: f64, engines: &[usize]) -> u128 {
    let mut site = Site::new(policy, min_serving_share, engines);
    site.publish(0);
    let times = site.times_until_current();
    assert!(site.peak_loads <= 9, "{} loads at a time", site.peak_loads);
    times[0]
}

/// Number of engines of one model of three that load `after` a version of it was published.
fn loading_after(load_delay: Duration, after: Duration) -> usize {
    let mut site = Site::new(Policy::Divided, 0.4, &[15, 15, 14]);
    let settings = Settings {
        load_delay,
        ..settings(0.4)
    };
    for controller in &mut site.controllers {
        *controller = Controller::new(settings);
    }
    site.list_engines();
    site.run(Duration::from_secs(1));
    site.publish(0);
    site.run(after);
    site.loading()
}

/// Guards against loads that start between a version and the step that its trainer submits 0.15 s
/// later: the engines reject the step's first runs, those of its longest texts, until they have loaded.
#[test]
fn a_step_that_is_submitted_with_its_version_finds_no_loading_engine() {
    let delay = Duration::from_millis(300);
    let submission = Duration::from_millis(150);
    assert_eq!(loading_after(Duration::ZERO, submission), 9, "as before");
    assert_eq!(loading_after(delay, submission), 0);
    // The loads begin at the next tick and take all slots of the service.
    assert_eq!(loading_after(delay, delay + TICK * 2), 9);
}

/// Fails if a model with a new version leaves the slots of idle models unused, so that a lot waits
/// for engines longer than the time between two versions.
#[test]
fn a_single_rollout_uses_the_slots_of_the_other_models() {
    let engines = [15, 15, 14];
    let fixed = single_rollout(Policy::Fixed, 0.5, &engines);
    let half = single_rollout(Policy::Divided, 0.5, &engines);
    let divided = single_rollout(Policy::Divided, 0.4, &engines);
    println!("fixed {fixed} ms, divided {divided} ms; {half} ms with half in service");
    assert!(fixed >= 4_500, "five loads one after another: {fixed} ms");
    assert!(
        divided <= 2_100,
        "two loads one after another: {divided} ms"
    );
}

/// Times in milliseconds until the engines of each of three models are current, for versions that
/// are published at 0, 250 and 500 ms.
fn staggered_rollouts(policy: Policy, min_serving_share: f64) -> (Vec<u128>, usize) {
    let mut site = Site::new(policy, min_serving_share, &[15, 15, 14]);
    let start = site.now;
    let mut times = vec![None; 3];
    while times.contains(&None) {
        let elapsed = site.now.since(start).as_millis();
        assert!(
            elapsed < 30_000,
            "the engines do not get current: {times:?}"
        );
        if elapsed.is_multiple_of(250) && elapsed <= 500 {
            site.publish(elapsed as usize / 250);
        }
        site.advance();
        let elapsed = site.now.since(start).as_millis();
        for (model, time) in times.iter_mut().enumerate() {
            let published_at = model as u128 * 250;
            if time.is_none() && elapsed > published_at && site.is_current(model) {
                *time = Some(elapsed - published_at);
            }
        }
    }
    let times = times.into_iter().map(|time| time.expect("all are current"));
    (times.collect(), site.peak_loads)
}

/// Fails if models that are published together get their engines later than with fixed shares, or if
/// the division lets more engines load than the store carries. 44 loads of 0.9 s on 9 slots take
/// 4.4 s in any order.
#[test]
fn rollouts_of_three_models_at_a_time_end_no_later_than_with_fixed_shares() {
    let (fixed, _) = staggered_rollouts(Policy::Fixed, 0.5);
    let (divided, peak) = staggered_rollouts(Policy::Divided, 0.4);
    println!("fixed {fixed:?} ms, divided {divided:?} ms, at most {peak} loads");
    let sum = |times: &[u128]| times.iter().sum::<u128>();
    assert!(sum(&divided) < sum(&fixed));
    for (fixed, divided) in fixed.iter().zip(&divided) {
        assert!(divided <= fixed, "{divided} ms instead of {fixed} ms");
    }
    // A model gets its first slot while loads of the others are in progress.
    assert!(peak <= 9 + 2, "{peak} loads at a time");
}

/// Fails if the division changes anything for a service with one model: every read and order must be
/// the same, at the same time, also with engines that hang.
#[test]
fn a_single_model_is_rolled_out_as_with_fixed_shares() {
    let actions = |policy| {
        let mut site = Site::new(policy, 0.5, &[44]);
        for name in ["engine-0-03", "engine-0-17"] {
            site.engines.get_mut(name).expect("listed").hangs = true;
        }
        for _ in 0..5 {
            site.publish(0);
            site.run(Duration::from_secs(4));
        }
        site.run(Duration::from_secs(10));
        assert!(site.is_current(0));
        assert!(site.peak_loads <= 9);
        site.log
    };
    let (fixed, divided) = (actions(Policy::Fixed), actions(Policy::Divided));
    assert!(fixed.len() > 200, "{} actions", fixed.len());
    assert_eq!(fixed, divided);
}

/// Fails if engines are ordered while no instance holds the lease, if the next holder forgets the
/// loads in progress when it divides the slots, or if it does not finish the rollouts.
#[test]
fn rollouts_continue_after_a_time_without_a_lease_holder() {
    let mut site = Site::new(Policy::Divided, 0.4, &[15, 15, 14]);
    site.publish(0);
    site.run(Duration::from_millis(500));
    assert_eq!(site.loading(), 9);
    // The lease ends with nine loads in progress, and another version is published meanwhile.
    site.lease = None;
    site.tick();
    let orders = |site: &Site| {
        let orders = site.log.iter();
        orders
            .filter(|(.., action)| matches!(action, Action::Order { .. }))
            .count()
    };
    let before = orders(&site);
    site.publish(1);
    site.run(Duration::from_millis(300));
    assert_eq!((orders(&site), site.loading()), (before, 9));
    // The next holder knows no engine and reads all of them.
    let settings = settings(0.4);
    for model in 0..3 {
        site.controllers[model] = Controller::new(settings);
        let own = site.engines.iter().filter(|(_, e)| e.model == model);
        for (name, _) in own {
            let event = Event::Listed {
                name: name.clone(),
                zone: "zone-0".into(),
                outstanding: 0,
                leaving: false,
            };
            site.controllers[model].step(site.now, event);
        }
    }
    site.inbox.clear();
    site.take_lease(2);
    let times = site.times_until_current();
    println!("after the change of holder {times:?} ms");
    assert!(times.iter().all(|time| *time <= 3_500), "{times:?}");
    assert!(site.peak_loads <= 9 + 2, "{} loads", site.peak_loads);
}

/// Fails if engines that hang, and so never get their order, keep load slots from other models for
/// the whole load timeout of 6 s.
#[test]
fn engines_that_hang_do_not_keep_slots_from_other_models() {
    let times = |policy, min_serving_share| {
        let mut site = Site::new(policy, min_serving_share, &[15, 15, 14]);
        for number in 0..5 {
            let name = format_compact!("engine-0-{number:02}");
            site.engines.get_mut(&name).expect("listed").hangs = true;
        }
        site.publish(0);
        site.publish(1);
        site.times_until_current()
    };
    let (fixed, divided) = (times(Policy::Fixed, 0.5), times(Policy::Divided, 0.4));
    println!("five engines hang: fixed {fixed:?} ms, divided {divided:?} ms");
    assert!(divided[0] <= 5_000 && divided[1] <= 4_500, "{divided:?}");
    assert!(divided[0] < fixed[0] && divided[1] < fixed[1], "{fixed:?}");
}

/// Fails if an engine in quarantine is never ordered again, because its model gets no slot.
#[test]
fn claims_count_the_engines_that_may_be_ordered_now() {
    let mut site = Site::new(Policy::Divided, 0.4, &[5, 5]);
    assert_eq!(site.controllers[0].claim(site.now).pending, 0);
    site.publish(0);
    site.tick();
    let claim = site.controllers[0].claim(site.now);
    assert_eq!((claim.engines, claim.pending, claim.loading), (5, 3, 2));
    // Its loads fail, so that the engines back off and then are in quarantine.
    for _ in 0..3 {
        for (name, model) in [("engine-0-00", 0), ("engine-0-01", 0), ("engine-0-02", 0)] {
            let engine = site.engines.get_mut(name).expect("listed");
            engine.load = None;
            let status = Status {
                incarnation: 1,
                version: Some(Version(1)),
                loading: None,
                failed: true,
            };
            let name = name.into();
            site.step(model, Event::Observed { name, status });
        }
        site.run(Duration::from_secs(3));
    }
    site.run(Duration::from_secs(60));
    assert!(
        site.is_current(0),
        "quarantine has ended, and all are loaded"
    );
    assert_eq!(site.controllers[0].claim(site.now).pending, 0);
}

fn claim(engines: usize, pending: usize, loading: usize, published_at: u64) -> Claim {
    Claim {
        engines,
        pending,
        loading,
        published_at: Time::from_millis(published_at),
    }
}

#[test]
fn slots_that_a_model_cannot_use_go_to_the_first_published_one() {
    let divide = |claims: &[Claim]| load_slots::divide(9, claims);
    let idle = claim(15, 0, 0, 1);
    assert_eq!(divide(&[claim(15, 15, 0, 5), idle, idle]), [9, 0, 0]);
    // All models wait: shares in proportion to the engines.
    let all = [claim(8, 8, 0, 5), claim(18, 18, 0, 6), claim(18, 18, 0, 7)];
    assert_eq!(divide(&all), [2, 4, 3]);
    // The third model uses one slot of its three.
    let two = [claim(15, 15, 0, 6), claim(15, 15, 0, 5), claim(14, 1, 0, 4)];
    assert_eq!(divide(&two), [3, 5, 1]);
    // Loads in progress keep their slots, but each model gets one.
    let late = [
        claim(15, 15, 9, 5),
        claim(15, 15, 0, 6),
        claim(14, 14, 0, 7),
    ];
    assert_eq!(divide(&late), [7, 1, 1]);
    assert_eq!(load_slots::divide(1, &late), [1, 1, 1]);
    assert_eq!(load_slots::divide(9, &[]), [0; 0]);
}

fn claims() -> impl Strategy<Value = Vec<Claim>> {
    let claim = (0..40usize, 0..40usize, 0..40usize, 0..1_000u64).prop_map(
        |(engines, pending, loading, published_at)| {
            let pending = pending.min(engines);
            claim(engines, pending, loading.min(pending), published_at)
        },
    );
    prop::collection::vec(claim, 0..6)
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 2_000,
        rng_seed: RngSeed::Fixed(52),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Fails if slots stay unused while engines wait, if more are given out than there are, if a
    /// model gets less than its share while others have more, or if a model gets none.
    #[test]
    fn all_slots_are_used_and_no_model_is_left_out(total in 1..20usize, claims in claims()) {
        let limits = load_slots::divide(total, &claims);
        prop_assert_eq!(limits.len(), claims.len());
        let sum: usize = limits.iter().sum();
        let usable: usize = claims.iter().map(|c| c.pending).sum();
        let waiting = claims.iter().filter(|c| c.pending > 0).count();
        prop_assert_eq!(sum, usable.min(total.max(waiting)));
        let engines: usize = claims.iter().map(|c| c.engines).sum();
        for (claim, limit) in claims.iter().zip(&limits) {
            prop_assert!(*limit <= claim.pending);
            prop_assert!(claim.pending == 0 || *limit > 0);
            let loading: usize = claims.iter().map(|c| c.loading).sum();
            if loading == 0 && waiting < total {
                // One less than the exact share: shares are rounded.
                let share = total * claim.engines / engines.max(1);
                prop_assert!(*limit + 1 >= share.min(claim.pending));
            }
        }
    }
}
