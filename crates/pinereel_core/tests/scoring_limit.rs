//! Limit of concurrent scorings, alone and with several runners on one service in virtual time.
//!
//! Guards against live requests that wait behind scorings. With a constant limit of half of the slots
//! for each runner, three runners send 1.5 times as many scorings as the service has slots.

use pinereel_core::{
    Time,
    endpoint::{AttemptEnd, Event, Key, Listing, LoadReport, Set},
    route::{self, Policy, Priority, Request},
    scoring::{Limit, Load, Scope},
};
use rand::{Rng as _, SeedableRng as _};
use rand_chacha::ChaCha8Rng;
use std::{
    cmp::Reverse,
    collections::{BTreeMap, BinaryHeap, VecDeque},
    time::Duration,
};

const SCOPE: Scope = Scope {
    slots: 108,
    models: 1,
};
const POLICY: Policy = Policy {
    adaptive_limits: false,
    ..Policy::FULL
};
const ENDPOINT_SLOTS: u32 = 6;
const ENDPOINT_QUEUE: usize = 24;
/// Instances that receive live requests.
const LIVE_INSTANCES: usize = 20;
/// Time between two steps of a trainer.
const STEP_INTERVAL: Duration = Duration::from_secs(4);

const fn millis(millis: u64) -> Time {
    Time::from_millis(millis)
}

const fn load(running: u32, waiting: u32) -> Load {
    Load {
        running,
        waiting,
        slots: ENDPOINT_SLOTS,
    }
}

/// Reports `load` `count` times within 200 ms while `in_flight` scorings run and more wait.
fn report(limit: &mut Limit, from: u64, load: Load, count: u64) {
    for number in 0..count {
        let now = millis(from + number * 200 / count);
        assert!(limit.record_report(now, load, SCOPE, true));
    }
}

#[test]
fn without_reports_the_limit_is_half_of_the_slots() {
    let mut limit = Limit::default();
    for at in [0, 500, 5_000] {
        assert_eq!(limit.current(millis(at), SCOPE), 54);
        limit.record_start(millis(at));
    }
    limit.record_end(millis(6_000), SCOPE);
    assert_eq!(limit.current(millis(6_000), SCOPE), 54);
    assert!(!limit.has_reports() && !limit.has_spare_slots(millis(6_000)));
    let no_slots = Scope {
        slots: 0,
        models: 1,
    };
    assert_eq!(Limit::default().current(Time::ZERO, no_slots), 1);
}

#[test]
fn the_limit_follows_the_reports_between_its_bounds() {
    let mut limit = Limit::default();
    for _ in 0..30 {
        limit.record_start(Time::ZERO);
    }
    report(&mut limit, 200, load(2, 0), 30);
    assert!(limit.current(millis(400), SCOPE) > 60);
    for round in 2..40 {
        report(&mut limit, round * 200, load(2, 0), 30);
    }
    assert_eq!(limit.current(millis(8_000), SCOPE), 108);
    report(&mut limit, 8_000, load(6, 12), 30);
    assert!(limit.current(millis(8_200), SCOPE) < 80);
    for round in 41..80 {
        report(&mut limit, round * 200, load(6, 12), 30);
    }
    let lowest = limit.current(millis(16_000), SCOPE);
    assert!((3..=8).contains(&lowest), "{lowest}");
}

/// A runner whose step is short must not start the next one with all slots of the service.
#[test]
fn the_limit_does_not_grow_while_no_scoring_waits() {
    let mut limit = Limit::default();
    limit.record_start(Time::ZERO);
    for at in 0..100 {
        limit.record_report(millis(at * 10), load(0, 0), SCOPE, false);
    }
    assert_eq!(limit.current(millis(1_000), SCOPE), 54);
}

#[test]
fn when_reports_stop_the_limit_returns_to_half_of_the_slots() {
    let mut limit = Limit::default();
    for _ in 0..30 {
        limit.record_start(Time::ZERO);
    }
    for round in 0..20 {
        report(&mut limit, round * 200, load(6, 20), 30);
    }
    let last_report = 19 * 200 + 29 * 200 / 30;
    assert!(limit.current(millis(last_report + 999), SCOPE) < 10);
    assert_eq!(limit.current(millis(last_report + 1_000), SCOPE), 54);
    // A report after the gap starts a new average: the old one was 4 requests per slot.
    limit.record_report(millis(last_report + 2_000), load(3, 0), SCOPE, true);
    assert_eq!(limit.utilization(), Some(0.5));
    assert!(limit.current(millis(last_report + 2_000), SCOPE) >= 54);
}

/// Without scorings no reports are expected, so their absence is no reason for the former limit if
/// others use the service, too.
#[test]
fn an_idle_runner_starts_again_at_a_quarter_of_a_shared_service_or_half_of_a_free_one() {
    for (reported, expected) in [(load(6, 20), 27), (load(0, 0), 54)] {
        let mut limit = Limit::default();
        limit.record_start(Time::ZERO);
        for round in 0..30 {
            limit.record_report(millis(round * 10), reported, SCOPE, true);
        }
        limit.record_end(millis(300), SCOPE);
        assert_eq!(limit.current(millis(10_000), SCOPE), expected);
    }
}

#[test]
fn invalid_figures_change_nothing() {
    let mut limit = Limit::default();
    limit.record_start(Time::ZERO);
    let invalid = [
        Load {
            running: 1,
            waiting: 0,
            slots: 0,
        },
        load(u32::MAX, u32::MAX),
    ];
    for load in invalid {
        assert!(!limit.record_report(millis(100), load, SCOPE, true));
    }
    assert!(!limit.has_reports());
    assert_eq!(limit.current(millis(100), SCOPE), 54);
}

/// A service, and the scorings of one step of each runner.
#[derive(Clone, Copy, Debug)]
struct Site {
    endpoints: usize,
    /// Average work of a scoring in microseconds; it varies by a fifth.
    scoring_work: u64,
    /// Work of a live request in microseconds.
    live_work: u64,
    scorings: u64,
    /// Times after which live requests and scorings are hedged, half of their objectives.
    hedge_after: [Duration; 2],
}

const SITE_A: Site = Site {
    endpoints: 18,
    scoring_work: 200_000,
    live_work: 25_000,
    scorings: 160,
    hedge_after: [Duration::from_millis(75), Duration::from_millis(400)],
};
const SITE_B: Site = Site {
    endpoints: 4,
    scoring_work: 30_000,
    live_work: 21_000,
    scorings: 128,
    hedge_after: [Duration::from_millis(75), Duration::from_millis(75)],
};

/// Limits of the runners of a simulation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum LimitPolicy {
    /// Half of the slots for each runner.
    Constant,
    /// According to load reports.
    Reports,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Action {
    /// A scoring of this runner is ready.
    ScoringReady(usize),
    LiveArrives,
    /// The first runner ends without notice, and its requests are cancelled.
    Disappear,
    /// The request is sent to one more endpoint unless it is answered.
    Hedge(u64),
    /// The endpoint completes this attempt of the request.
    Complete(usize, u64),
}

struct Endpoint {
    running: usize,
    queue: VecDeque<u64>,
    hangs: bool,
}

struct Client {
    set: Set,
    keys: BTreeMap<Key, usize>,
    zone: &'static str,
}

struct Call {
    client: usize,
    is_live: bool,
    sent_at: Time,
    used: Vec<Key>,
    is_done: bool,
}

#[derive(Debug)]
struct Outcome {
    /// Time from the arrival of live requests to their answers, less their work, in ms, sorted.
    live_waits: Vec<u64>,
    /// Time from the start of each step to its last scoring, in ms.
    steps: Vec<u64>,
    /// Longest queue of an endpoint that does not hang.
    max_waiting: usize,
}

impl Outcome {
    fn live_percentile(&self, percent: usize) -> u64 {
        self.live_waits[(self.live_waits.len() - 1) * percent / 100]
    }

    fn mean_step(&self) -> u64 {
        self.steps.iter().sum::<u64>() / self.steps.len() as u64
    }
}

struct Simulation {
    site: Site,
    scope: Scope,
    now: Time,
    rng: ChaCha8Rng,
    next_number: u64,
    actions: BinaryHeap<Reverse<(Time, u64, Action)>>,
    endpoints: Vec<Endpoint>,
    /// The runners first, then the instances of live requests.
    clients: Vec<Client>,
    policy: LimitPolicy,
    reports_until: Time,
    /// Whether the first runner has disappeared.
    is_gone: bool,
    limits: Vec<Limit>,
    waiting: Vec<usize>,
    calls: BTreeMap<u64, Call>,
    ready_at: Vec<Time>,
    left: Vec<usize>,
    outcome: Outcome,
}

impl Simulation {
    fn new(site: Site, policy: LimitPolicy, runners: usize, hanging: usize, seed: u64) -> Self {
        let clients = (0..runners + LIVE_INSTANCES).map(|number| {
            let mut set = Set::default();
            for at in 0..site.endpoints {
                let listing = Listing {
                    name: format!("s{at}").into(),
                    incarnation: 1,
                    address: "".into(),
                    zone: ["a", "b", "c"][at % 3].into(),
                    pool: "plain".into(),
                    slots: ENDPOINT_SLOTS,
                    leaving: false,
                };
                set.step(Time::ZERO, Event::Listed(listing));
            }
            let number_of = |name: &str| {
                name[1..]
                    .parse()
                    .expect("a number follows the first letter")
            };
            let keys = set.iter().map(|(key, e)| (key, number_of(&e.name)));
            Client {
                keys: keys.collect(),
                zone: ["a", "b", "c"][number % 3],
                set,
            }
        });
        Self {
            site,
            scope: Scope {
                slots: site.endpoints as u32 * ENDPOINT_SLOTS,
                models: 1,
            },
            now: millis(1),
            rng: ChaCha8Rng::seed_from_u64(seed),
            next_number: 0,
            actions: BinaryHeap::new(),
            endpoints: (0..site.endpoints)
                .map(|at| Endpoint {
                    running: 0,
                    queue: VecDeque::new(),
                    hangs: at < hanging,
                })
                .collect(),
            clients: clients.collect(),
            policy,
            reports_until: millis(u64::MAX / 1_000),
            is_gone: false,
            limits: vec![Limit::default(); runners],
            waiting: vec![0; runners],
            calls: BTreeMap::new(),
            ready_at: vec![Time::ZERO; runners],
            left: vec![0; runners],
            outcome: Outcome {
                live_waits: Vec::new(),
                steps: Vec::new(),
                max_waiting: 0,
            },
        }
    }

    fn schedule(&mut self, at: Time, action: Action) {
        self.next_number += 1;
        self.actions.push(Reverse((at, self.next_number, action)));
    }

    /// Runs `steps` steps, in each of which every runner gets its scorings within 300 ms.
    fn run(mut self, steps: u32) -> Outcome {
        let end = self.now + STEP_INTERVAL * steps;
        self.schedule(self.now, Action::LiveArrives);
        for step in 0..steps {
            let start = self.now + STEP_INTERVAL * step;
            for runner in 0..self.limits.len() {
                for number in 0..self.site.scorings {
                    let at = start + Duration::from_micros(300_000 * number / self.site.scorings);
                    self.schedule(at, Action::ScoringReady(runner));
                }
            }
        }
        while let Some(Reverse((at, _, action))) = self.actions.pop() {
            if at >= end {
                break;
            }
            self.now = at;
            self.apply(action);
        }
        self.outcome.live_waits.sort_unstable();
        self.outcome
    }

    fn apply(&mut self, action: Action) {
        match action {
            Action::Disappear => {
                self.is_gone = true;
                self.waiting[0] = 0;
                for call in self.calls.values_mut().filter(|call| call.client == 0) {
                    call.is_done = true;
                }
            }
            Action::ScoringReady(0) if self.is_gone => {}
            Action::ScoringReady(runner) => {
                if self.left[runner] == 0 {
                    self.ready_at[runner] = self.now;
                    self.left[runner] = self.site.scorings as usize;
                }
                self.waiting[runner] += 1;
                self.start_scorings(runner);
            }
            Action::LiveArrives => {
                let gap = -(1.0 - self.rng.random::<f64>()).ln() / 12.0;
                let next = self.now + Duration::from_secs_f64(gap);
                self.schedule(next, Action::LiveArrives);
                let client = self.limits.len() + self.rng.random_range(0..LIVE_INSTANCES);
                self.start_call(client, true);
            }
            Action::Hedge(id) => {
                if self.calls.get(&id).is_some_and(|call| !call.is_done) {
                    self.send(id);
                }
            }
            Action::Complete(endpoint, id) => self.complete(endpoint, id),
        }
    }

    fn start_scorings(&mut self, runner: usize) {
        while self.waiting[runner] > 0 {
            let limit = &mut self.limits[runner];
            let has_room = match self.policy {
                LimitPolicy::Constant => limit.in_flight() < self.scope.slots / 2,
                LimitPolicy::Reports => limit.has_room(self.now, self.scope),
            };
            if !has_room {
                return;
            }
            limit.record_start(self.now);
            self.waiting[runner] -= 1;
            self.start_call(runner, false);
        }
    }

    fn start_call(&mut self, client: usize, is_live: bool) {
        self.next_number += 1;
        let id = self.next_number;
        let call = Call {
            client,
            is_live,
            sent_at: self.now,
            used: Vec::new(),
            is_done: false,
        };
        self.calls.insert(id, call);
        self.send(id);
    }

    /// Sends the call to one more endpoint, at most to four.
    fn send(&mut self, id: u64) {
        let call = &self.calls[&id];
        if call.used.len() >= 4 {
            return;
        }
        let client = &self.clients[call.client];
        let request = Request {
            pool: "plain",
            prefix: Some(call.client as u64),
            priority: Priority::Live,
            zone: client.zone,
            versions: None,
            excluded: &call.used,
            repeatable: true,
            seed: id,
        };
        let choice = route::choose(&client.set, &request, self.now, &POLICY);
        let hedge_after = self.site.hedge_after[usize::from(!call.is_live)];
        self.schedule(self.now + hedge_after, Action::Hedge(id));
        let Ok(choice) = choice else {
            return;
        };
        let call = self.calls.get_mut(&id).expect("calls are kept");
        call.used.push(choice.key);
        let client = &mut self.clients[call.client];
        let event = Event::Started {
            key: choice.key,
            tokens: 0,
        };
        client.set.step(self.now, event);
        let number = client.keys[&choice.key];
        let endpoint = &mut self.endpoints[number];
        if endpoint.queue.len() >= ENDPOINT_QUEUE {
            self.end_attempt(id, number, AttemptEnd::Overloaded);
            self.send(id);
            return;
        }
        endpoint.queue.push_back(id);
        self.start_queued(number);
    }

    fn start_queued(&mut self, number: usize) {
        while !self.endpoints[number].hangs
            && self.endpoints[number].running < ENDPOINT_SLOTS as usize
            && let Some(id) = self.endpoints[number].queue.pop_front()
        {
            let call = &self.calls[&id];
            if call.is_done {
                self.end_attempt(id, number, AttemptEnd::Cancelled);
                continue;
            }
            let work = if call.is_live {
                self.site.live_work
            } else {
                let fifth = self.site.scoring_work / 5;
                let range = self.site.scoring_work - fifth..self.site.scoring_work + fifth;
                self.rng.random_range(range)
            };
            self.endpoints[number].running += 1;
            let at = self.now + Duration::from_micros(work);
            self.schedule(at, Action::Complete(number, id));
        }
        let queue = self.endpoints[number].queue.len();
        if !self.endpoints[number].hangs {
            self.outcome.max_waiting = self.outcome.max_waiting.max(queue);
        }
    }

    /// Records the end of an attempt and the load that its response reports.
    fn end_attempt(&mut self, id: u64, number: usize, end: AttemptEnd) {
        let (running, waiting) = {
            let endpoint = &self.endpoints[number];
            (endpoint.running as u32, endpoint.queue.len() as u32)
        };
        let call = &self.calls[&id];
        let (client_number, is_live, sent_at) = (call.client, call.is_live, call.sent_at);
        let client = &mut self.clients[client_number];
        let (key, _) = client
            .keys
            .iter()
            .find(|(_, at)| **at == number)
            .expect("all are listed");
        let key = *key;
        if end != AttemptEnd::Cancelled && self.now < self.reports_until {
            let report = LoadReport {
                at: self.now,
                running,
                waiting,
                version: None,
                loading: None,
                leaving: false,
            };
            let event = Event::Reported {
                key,
                incarnation: 1,
                report,
            };
            client.set.step(self.now, event);
            if !is_live {
                let has_waiting = self.waiting[client_number] > 0;
                self.limits[client_number].record_report(
                    self.now,
                    load(running, waiting),
                    self.scope,
                    has_waiting,
                );
            }
        }
        let took = self.now.since(sent_at);
        let event = Event::Finished {
            key,
            tokens: 0,
            took,
            end,
        };
        self.clients[client_number].set.step(self.now, event);
    }

    fn complete(&mut self, number: usize, id: u64) {
        self.endpoints[number].running -= 1;
        self.start_queued(number);
        self.end_attempt(id, number, AttemptEnd::Completed);
        let call = self.calls.get_mut(&id).expect("calls are kept");
        if std::mem::replace(&mut call.is_done, true) {
            return;
        }
        let (client, is_live, took) = (call.client, call.is_live, self.now.since(call.sent_at));
        if is_live {
            let wait = took.saturating_sub(Duration::from_micros(self.site.live_work));
            self.outcome.live_waits.push(wait.as_millis() as u64);
            return;
        }
        self.limits[client].record_end(self.now, self.scope);
        self.left[client] -= 1;
        if self.left[client] == 0 {
            let step = self.now.since(self.ready_at[client]);
            self.outcome.steps.push(step.as_millis() as u64);
        }
        self.start_scorings(client);
    }
}

/// Simulates 12 steps with the former limit and the new one.
fn compare(site: Site, runners: usize, hanging: usize) -> (Outcome, Outcome) {
    let run = |policy| Simulation::new(site, policy, runners, hanging, 1).run(12);
    let (former, new) = (run(LimitPolicy::Constant), run(LimitPolicy::Reports));
    for (name, outcome) in [("constant", &former), ("reports", &new)] {
        println!(
            "{} endpoints, {runners} runners, {hanging} hanging, {name}: live waits p90 {} ms, p99 {} ms; \
             last scoring after {} ms on average, {} ms at most; longest queue {}",
            site.endpoints,
            outcome.live_percentile(90),
            outcome.live_percentile(99),
            outcome.mean_step(),
            outcome.steps.iter().max().expect("steps are complete"),
            outcome.max_waiting
        );
    }
    (former, new)
}

/// With the former limit, one live request in ten waited longer than three of its own run times.
#[test]
fn live_requests_wait_less_beside_three_runners() {
    let (former, new) = compare(SITE_A, 3, 0);
    assert!(former.live_percentile(90) >= 75, "{former:?}");
    assert!(new.live_percentile(90) <= 25, "{new:?}");
    assert!(new.live_percentile(99) * 3 <= former.live_percentile(99) * 2);
    assert!(new.max_waiting < former.max_waiting);
    // The reserve costs the last scoring of a step up to a sixth of its time.
    assert!(new.mean_step() * 6 <= former.mean_step() * 7, "{new:?}");
}

/// Four runners fill the service more than three, and none of them may be left behind.
#[test]
fn no_runner_starves_beside_others() {
    let (former, new) = compare(SITE_A, 4, 0);
    assert!(new.live_percentile(90) * 3 <= former.live_percentile(90));
    let slowest = *new.steps.iter().max().unwrap();
    assert!(slowest * 4 <= new.mean_step() * 5, "{new:?}");
}

/// On few slots with short scorings the minimum of each runner is a larger share.
#[test]
fn a_small_service_with_short_scorings_is_shared_as_well() {
    let (former, new) = compare(SITE_B, 4, 0);
    assert!(new.live_percentile(90) <= former.live_percentile(90));
    assert!(new.mean_step() * 6 <= former.mean_step() * 7, "{new:?}");
}

/// A runner that has the service for itself must not be slower than with the constant limit.
#[test]
fn a_single_runner_uses_the_free_slots() {
    let (former, new) = compare(SITE_A, 1, 0);
    assert!(new.mean_step() < former.mean_step(), "{new:?}");
    assert!(new.live_percentile(90) == 0, "{new:?}");
}

/// An endpoint that hangs sends no report and keeps the scorings that it got.
#[test]
fn a_hanging_endpoint_neither_stops_runners_nor_delays_live_requests() {
    let (former, new) = compare(SITE_A, 3, 1);
    assert!(new.live_percentile(90) * 2 <= former.live_percentile(90));
    assert!(new.mean_step() * 6 <= former.mean_step() * 7, "{new:?}");
}

/// Without load reports every decision is the same as with the constant limit.
#[test]
fn without_reports_a_simulation_is_the_same_as_with_the_constant_limit() {
    let run = |policy| {
        let mut simulation = Simulation::new(SITE_A, policy, 3, 1, 7);
        simulation.reports_until = Time::ZERO;
        simulation.run(4)
    };
    let (former, new) = (run(LimitPolicy::Constant), run(LimitPolicy::Reports));
    assert_eq!(former.live_waits, new.live_waits);
    assert_eq!(former.steps, new.steps);
}

/// Reports that stop in the middle of a step must not keep the limit low for good.
#[test]
fn after_the_reports_stop_steps_are_about_as_fast_as_with_the_constant_limit() {
    let run = |policy, reports_until| {
        let mut simulation = Simulation::new(SITE_A, policy, 3, 0, 8);
        simulation.reports_until = reports_until;
        simulation.run(12)
    };
    let former = run(LimitPolicy::Constant, Time::ZERO);
    let new = run(LimitPolicy::Reports, millis(4_500));
    println!("constant {:?}, reports stop {:?}", former.steps, new.steps);
    assert_eq!(former.steps.len(), new.steps.len());
    assert!(new.mean_step() * 10 <= former.mean_step() * 11, "{new:?}");
}

/// The slots of a runner that disappears at the start of a step must be used by the others in this step.
/// They are free once its scorings end, 0.2 s later. The limits of the others follow slowly: they see
/// the load of their own zones, which routing fills to 80 % before it uses another one.
#[test]
fn the_share_of_a_runner_that_disappears_is_used_by_the_others() {
    let run = |disappears, seed| {
        let mut simulation = Simulation::new(SITE_A, LimitPolicy::Reports, 3, 0, seed);
        if disappears {
            simulation.schedule(millis(4_200), Action::Disappear);
        }
        let outcome = simulation.run(2);
        let last_step = &outcome.steps[3..];
        assert_eq!(last_step.len(), if disappears { 2 } else { 3 });
        last_step.iter().sum::<u64>() / last_step.len() as u64
    };
    let mut sums = (0, 0);
    for seed in 1..=8 {
        let (all, fewer) = (run(false, seed), run(true, seed));
        println!("mean of the last scorings: three runners {all} ms, two after 0.2 s {fewer} ms");
        assert!(fewer < all, "seed {seed}");
        sums = (sums.0 + all, sums.1 + fewer);
    }
    assert!(sums.1 * 20 < sums.0 * 19, "{sums:?}");
}
