//! A request that ran concurrently with one that crashes endpoints is not blocked, also with several
//! such requests and with full endpoints.
//!
//! Simulates a service in virtual time, in rounds of one run each. Requests go where the register
//! places them. An endpoint that runs a crasher crashes at the end of the round, ends all its runs
//! and returns as a new start some rounds later. All instances know of a round's crashes in the
//! next round.

use pinereel_core::{
    Time,
    crash::{
        Content, EndpointStart, Identity, MAX_CRASHES, Placement, RECORD_TTL, Register,
        RequestParts, RequestStatus,
    },
};
use rand::{Rng as _, SeedableRng as _};
use rand_chacha::ChaCha8Rng;
use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

/// Length of a round: one run, and the exchange of reports about it.
const ROUND: Duration = Duration::from_millis(100);
/// Rounds after which a crashed endpoint is back.
const RESTART_ROUNDS: u32 = 30;
const SLOTS: usize = 8;

#[derive(Clone, Copy)]
struct Scenario {
    endpoints: usize,
    crashers: usize,
    /// Requests without fault that are to run in each round.
    harmless: usize,
    /// Probability per round that an endpoint crashes without a crasher.
    spontaneous_crash_chance: f64,
    /// Share of the other requests that are crashers too, each seen for the first time.
    new_crasher_share: f64,
}

#[derive(Default)]
struct Outcome {
    /// Crashed endpoints per crasher.
    crashes: BTreeMap<usize, usize>,
    /// Requests without fault that were blocked at any time.
    wrongly_blocked: BTreeSet<Identity>,
    served: usize,
}

fn request(name: &str) -> Identity {
    Identity::of(RequestParts {
        caller: b"",
        method: "POST",
        host: "site.example",
        target: "/live/x",
        content: Content::Body(name.as_bytes()),
    })
}

struct Simulation {
    rng: ChaCha8Rng,
    now: Time,
    register: Register,
    /// Endpoints, each with the round of its return if it is down.
    starts: Vec<(EndpointStart, Option<u32>)>,
    next_incarnation: u64,
}

impl Simulation {
    fn new(scenario: Scenario, seed: u64) -> Self {
        let starts = (0..scenario.endpoints).map(|number| (start(number, 0), None));
        Self {
            rng: ChaCha8Rng::seed_from_u64(seed),
            now: Time::ZERO + RECORD_TTL,
            register: Register::default(),
            starts: starts.collect(),
            next_incarnation: 0,
        }
    }

    fn open(&self) -> Vec<EndpointStart> {
        let up = self
            .starts
            .iter()
            .filter(|(_, returns_at)| returns_at.is_none());
        up.map(|(start, _)| start.clone()).collect()
    }

    /// Endpoint that runs the request in this round; none if it is blocked or must wait.
    fn place(
        &mut self,
        identity: &Identity,
        load: &BTreeMap<EndpointStart, Vec<Identity>>,
        occupied: &BTreeSet<EndpointStart>,
    ) -> Option<EndpointStart> {
        let open = self.open();
        match self.register.status(self.now, identity) {
            RequestStatus::Blocked { .. } => None,
            RequestStatus::Suspected { .. } => {
                let placement = self.register.place(self.now, identity, &open, occupied);
                match placement {
                    Placement::Endpoint(start) => Some(start),
                    Placement::Wait(_) | Placement::Unavailable => None,
                }
            }
            RequestStatus::Unrestricted => {
                let reserved = self.register.reserved(self.now, &open);
                let free = |start: &&EndpointStart| {
                    load.get(*start).map_or(0, Vec::len) < SLOTS && !reserved.contains(*start)
                };
                let free: Vec<_> = open.iter().filter(free).collect();
                let index = (!free.is_empty()).then(|| self.rng.random_range(0..free.len()))?;
                Some(free[index].clone())
            }
        }
    }

    fn run_round(
        &mut self,
        number: u32,
        arrivals: &[(Identity, Option<usize>)],
        scenario: Scenario,
        outcome: &mut Outcome,
    ) -> BTreeSet<Identity> {
        let mut load: BTreeMap<EndpointStart, Vec<Identity>> = BTreeMap::new();
        let mut crasher_at: BTreeMap<EndpointStart, usize> = BTreeMap::new();
        let mut occupied = BTreeSet::new();
        for (identity, crasher) in arrivals {
            if matches!(
                self.register.status(self.now, identity),
                RequestStatus::Blocked { .. }
            ) && crasher.is_none()
            {
                outcome.wrongly_blocked.insert(*identity);
            }
            let Some(start) = self.place(identity, &load, &occupied) else {
                continue;
            };
            let status = self.register.status(self.now, identity);
            if matches!(status, RequestStatus::Suspected { .. }) {
                occupied.insert(start.clone());
            }
            if let Some(crasher) = crasher {
                crasher_at.insert(start.clone(), *crasher);
            }
            load.entry(start).or_default().push(*identity);
        }
        self.now = self.now + ROUND;
        let mut done = BTreeSet::new();
        for index in 0..self.starts.len() {
            let (start, returns_at) = self.starts[index].clone();
            if let Some(returns_at) = returns_at {
                if number >= returns_at {
                    self.next_incarnation += 1;
                    self.starts[index] = (self::start(index, self.next_incarnation), None);
                }
                continue;
            }
            let crasher = crasher_at.get(&start);
            let crashes =
                crasher.is_some() || self.rng.random_bool(scenario.spontaneous_crash_chance);
            let runs = load.remove(&start).unwrap_or_default();
            if !crashes {
                for identity in runs {
                    self.register.completed(self.now, identity);
                    outcome.served += 1;
                    done.insert(identity);
                }
                continue;
            }
            if let Some(crasher) = crasher {
                *outcome.crashes.entry(*crasher).or_default() += 1;
            }
            for identity in runs {
                match self
                    .register
                    .status(self.now, &identity)
                    .requires_isolation()
                {
                    true => self
                        .register
                        .crashed_isolated(self.now, identity, start.clone()),
                    false => self.register.crashed(self.now, identity, start.clone()),
                };
            }
            self.starts[index].1 = Some(number + RESTART_ROUNDS);
        }
        done
    }
}

fn start(number: usize, incarnation: u64) -> EndpointStart {
    EndpointStart {
        endpoint: format!("e-{number}").into(),
        incarnation,
    }
}

/// Simulates `rounds`. Requests without fault are retried until served, crashers always.
fn simulate(scenario: Scenario, seed: u64, rounds: u32) -> Outcome {
    let mut simulation = Simulation::new(scenario, seed);
    let mut outcome = Outcome::default();
    let mut waiting: Vec<(Identity, Option<usize>)> = Vec::new();
    let mut created = 0;
    let mut crasher_count = scenario.crashers;
    for number in 0..rounds {
        while waiting.len() < scenario.harmless + crasher_count - scenario.crashers {
            created += 1;
            let is_crasher = simulation.rng.random_bool(scenario.new_crasher_share);
            crasher_count += usize::from(is_crasher);
            let identity = request(&format!("request {created} of {seed}"));
            waiting.push((identity, is_crasher.then_some(crasher_count)));
        }
        let crashers =
            (0..scenario.crashers).map(|c| (request(&format!("culprit {c} of {seed}")), Some(c)));
        let mut arrivals: Vec<_> = waiting.iter().copied().chain(crashers).collect();
        // Varies the order of arrival from round to round.
        let offset = simulation.rng.random_range(0..arrivals.len());
        arrivals.rotate_left(offset);
        let done = simulation.run_round(number, &arrivals, scenario, &mut outcome);
        waiting.retain(|(identity, _)| !done.contains(identity));
    }
    outcome
}

#[test]
fn one_crasher_at_full_endpoints_crashes_three_and_no_harmless_request_is_blocked() {
    for seed in 0..20 {
        let scenario = Scenario {
            endpoints: 4,
            crashers: 1,
            harmless: 4 * SLOTS,
            spontaneous_crash_chance: 0.0,
            new_crasher_share: 0.0,
        };
        let outcome = simulate(scenario, seed, 150);
        assert_eq!(outcome.crashes[&0], MAX_CRASHES, "seed {seed}");
        assert_eq!(outcome.wrongly_blocked.len(), 0, "seed {seed}");
        assert!(outcome.served > 0);
    }
}

/// Crashers that meet at an endpoint share its crash; from then on each runs apart from other
/// suspected requests.
#[test]
fn concurrent_crashers_crash_at_most_three_each_and_no_harmless_request_is_blocked() {
    for seed in 0..12 {
        for (endpoints, crashers) in [(4, 2), (5, 3), (15, 5)] {
            let scenario = Scenario {
                endpoints,
                crashers,
                harmless: endpoints * SLOTS,
                spontaneous_crash_chance: 0.0,
                new_crasher_share: 0.0,
            };
            let outcome = simulate(scenario, seed, 150);
            let max_crashes = outcome.crashes.values().max();
            assert!(
                max_crashes.is_some_and(|max_crashes| *max_crashes <= MAX_CRASHES),
                "{max_crashes:?}, seed {seed}"
            );
            assert_eq!(
                outcome.wrongly_blocked.len(),
                0,
                "seed {seed}, {endpoints} endpoints"
            );
            assert!(outcome.served > 0);
        }
    }
}

/// Load pattern: each endpoint crashes once every twenty seconds on average, without a crasher.
#[test]
fn spontaneous_crashes_block_no_request() {
    for seed in 0..20 {
        let scenario = Scenario {
            endpoints: 8,
            crashers: 0,
            harmless: 48,
            spontaneous_crash_chance: ROUND.as_secs_f64() / 20.0,
            new_crasher_share: 0.0,
        };
        let outcome = simulate(scenario, seed, 200);
        assert_eq!(outcome.wrongly_blocked.len(), 0, "seed {seed}");
    }
}

/// Load pattern: three of a hundred requests crash the endpoint that starts them. Each is unknown
/// at first, and full endpoints end all their other runs. Guards against such a request crashing up
/// to five endpoints in place of three.
#[test]
fn a_share_of_new_crashers_crashes_at_most_three_each_and_no_harmless_request_is_blocked() {
    for seed in 0..6 {
        for endpoints in [4, 7, 15] {
            let scenario = Scenario {
                endpoints,
                crashers: 0,
                harmless: endpoints * SLOTS,
                spontaneous_crash_chance: 0.0,
                new_crasher_share: 0.03,
            };
            let outcome = simulate(scenario, seed, 200);
            let max_crashes = outcome.crashes.values().max();
            assert!(
                max_crashes.is_some_and(|max_crashes| *max_crashes <= MAX_CRASHES),
                "{max_crashes:?}, seed {seed}, {endpoints} endpoints"
            );
            assert_eq!(
                outcome.wrongly_blocked.len(),
                0,
                "seed {seed}, {endpoints} endpoints"
            );
            assert!(outcome.served > 0);
        }
    }
}
