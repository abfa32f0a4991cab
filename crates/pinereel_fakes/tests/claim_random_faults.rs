//! Randomized test of idempotency keys: calls under random faults, checked against the executions
//! that the service recorded.

#![allow(clippy::unwrap_used)]

mod claim_support;

use claim_support::{
    Response, book_order_until, count_executions, simulate_crash, start_site, try_book_order,
    wait_for_members,
};
use futures_util::future::join_all;
use pinereel_api::object;
use pinereel_fakes::{service, site::Site};
use rand::{Rng as _, SeedableRng as _};
use rand_chacha::ChaCha8Rng;
use std::collections::{BTreeMap, BTreeSet};

/// Seed of the random faults and calls, unless the environment variable `CLAIM_SEED` sets another.
const DEFAULT_SEED: u64 = 20;
const ENTRY_COUNT: usize = 4;
const ROUND_COUNT: usize = 120;
/// The round from which one entry has no peer links, so that it writes to every log itself.
const ISOLATION_ROUND: usize = 30;
/// The round in which one entry crashes while calls are in flight.
const CRASH_ROUND: usize = 90;
/// Index of the entry that loses its peer links.
const ISOLATED_ENTRY: usize = 3;
/// Index of the entry that crashes.
const CRASHED_ENTRY: usize = 0;

/// A site under random faults, and the responses to all calls so far.
struct Simulation {
    site: Site,
    rng: ChaCha8Rng,
    /// Indexes of the entries that have not crashed.
    running: Vec<usize>,
    /// Idempotency key of each call that got a response, and the response.
    responses: Vec<(String, Response)>,
}

impl Simulation {
    /// Sets random faults at the object API and at the service.
    fn set_random_faults(&mut self) {
        let rng = &mut self.rng;
        let disconnected = self.running[rng.random_range(0..self.running.len())];
        let mut cut_agents = Vec::new();
        if rng.random_bool(0.1) {
            cut_agents.push(self.site.entries[disconnected].shared.name().clone());
        }
        if !self.running.contains(&CRASHED_ENTRY) {
            cut_agents.push(self.site.entries[CRASHED_ENTRY].shared.name().clone());
        }
        self.site.object_api.set_faults(object::Faults {
            outage_ms: rng.random_bool(0.05).then(|| rng.random_range(20..100)),
            delay_ms: Some(rng.random_range(0..10)),
            lose_write_answers: Some(u32::from(rng.random_bool(0.4))),
            lose_kind: Some("claims".into()),
            end_watches: None,
            cut_agents: Some(cut_agents),
        });
        self.site.services[0].handle.set_faults(service::Faults {
            delay_ms: Some(rng.random_range(0..40)),
            refuse: Some(rng.random_bool(0.05)),
            drop_after_run: Some(u32::from(rng.random_bool(0.2))),
            drop_before_run: Some(u32::from(rng.random_bool(0.1))),
            ..service::Faults::default()
        });
    }

    /// Makes concurrent calls with random keys, of which some are the same, at random entries. A
    /// few calls have another body than the others under their key.
    async fn run_round(&mut self, number: usize) {
        self.set_random_faults();
        let mut planned_calls = Vec::new();
        for _ in 0..self.rng.random_range(2..10) {
            // Consecutive rounds share keys, so that calls are repeated in later rounds.
            let key = format!("slot-{}", number + self.rng.random_range(0..4));
            let body = if self.rng.random_bool(0.1) {
                "test"
            } else {
                "lacquer"
            };
            let entry = self.running[self.rng.random_range(0..self.running.len())];
            let deadline_ms = self.rng.random_range(400..1_500);
            planned_calls.push((key, body, entry, deadline_ms));
        }
        let site = &self.site;
        let calls = planned_calls
            .iter()
            .map(|(key, body, entry, deadline_ms)| async move {
                let response = try_book_order(site, *entry, Some(key), body, *deadline_ms).await;
                if let Some(response) = &response {
                    check_not_run(site, response);
                }
                response.map(|response| (key.clone(), response))
            });
        let crash = async {
            if number == CRASH_ROUND {
                tokio::task::yield_now().await;
                simulate_crash(site, CRASHED_ENTRY);
            }
        };
        let (responses, ()) = futures_util::future::join(join_all(calls), crash).await;
        self.responses.extend(responses.into_iter().flatten());
        if number == CRASH_ROUND {
            self.running.retain(|entry| *entry != CRASHED_ENTRY);
        }
    }

    /// Checks that each key ran at most once, that a call which succeeded ran, and that all
    /// successful responses under a key have the same body.
    fn check(&self) {
        for (key, count) in count_executions(&self.site) {
            assert_eq!(count, 1, "{key}");
        }
        let executions = count_executions(&self.site);
        let mut bodies = BTreeMap::new();
        for (key, response) in &self.responses {
            check_not_run(&self.site, response);
            if response.status == 200 {
                assert!(
                    executions.contains_key(key),
                    "{key} succeeded but did not run"
                );
                let first = bodies.entry(key).or_insert(&response.body);
                assert_eq!(*first, &response.body, "{key}");
            }
        }
    }

    /// Clears all faults except the crash, waits until every running entry serves new keys, and
    /// repeats the calls of all keys until their responses ask for no retry.
    async fn recover(&mut self) {
        let crashed = self.site.entries[CRASHED_ENTRY].shared.name().clone();
        self.site.object_api.set_faults(object::Faults {
            outage_ms: Some(0),
            delay_ms: Some(0),
            lose_write_answers: Some(0),
            cut_agents: Some(vec![crashed]),
            ..object::Faults::default()
        });
        self.site.services[0].handle.set_faults(service::Faults {
            delay_ms: Some(0),
            refuse: Some(false),
            drop_after_run: Some(0),
            drop_before_run: Some(0),
            ..service::Faults::default()
        });
        for entry in self.running.clone() {
            let key = format!("fresh-{entry}");
            let is_success = |response: &Response| response.status == 200;
            book_order_until(&self.site, entry, &key, "lacquer", is_success).await;
        }
        let keys: BTreeSet<_> = self.responses.iter().map(|(key, _)| key.clone()).collect();
        let site = &self.site;
        let running = &self.running;
        let needs_no_retry = |response: &Response| !matches!(response.status, 409 | 503);
        let calls = keys.into_iter().enumerate().map(|(i, key)| async move {
            let entry = running[i % running.len()];
            let response = book_order_until(site, entry, &key, "lacquer", needs_no_retry).await;
            (key, response)
        });
        let responses = join_all(calls).await;
        self.responses.extend(responses);
    }
}

/// Checks that a call that was reported as not run has no recorded execution. The checks of later
/// rounds repeat this for all earlier responses, since the call must not run later either.
fn check_not_run(site: &Site, response: &Response) {
    if !response.is_not_run() {
        return;
    }
    if response.request_id.is_empty() {
        // The entry refused the call before it assigned an id, because it could not confirm its
        // configuration.
        assert_eq!(response.code, "unavailable", "{response:?}");
        return;
    }
    for service in &site.services {
        let executions = service.handle.executions();
        let is_of_call =
            |e: &service::Execution| e.request_id.as_deref() == Some(&response.request_id);
        assert!(!executions.iter().any(is_of_call), "{response:?}");
    }
}

#[actix_rt::test]
async fn a_key_runs_at_most_once_under_random_faults() {
    let seed = std::env::var("CLAIM_SEED").map_or(DEFAULT_SEED, |seed| seed.parse().unwrap());
    let site = start_site(ENTRY_COUNT).await;
    wait_for_members(&site).await;
    let mut simulation = Simulation {
        site,
        rng: ChaCha8Rng::seed_from_u64(seed),
        running: (0..ENTRY_COUNT).collect(),
        responses: Vec::new(),
    };
    for number in 0..ROUND_COUNT {
        if number == ISOLATION_ROUND {
            simulation.site.entries[ISOLATED_ENTRY].shared.mesh.close();
        }
        simulation.run_round(number).await;
        simulation.check();
    }
    simulation.recover().await;
    simulation.check();
    let mut counts = BTreeMap::new();
    for (_, response) in &simulation.responses {
        *counts.entry(response.summary()).or_insert(0) += 1;
    }
    let keys_run = count_executions(&simulation.site).len();
    println!(
        "seed {seed}, responses {}, keys that ran {keys_run}: {counts:#?}",
        simulation.responses.len()
    );
    for summary in [
        "200",
        "200 replay",
        "409 in_progress unknown later",
        "422 key_conflict not-run",
        "502 unknown unknown",
        "503 object_api not-run later",
    ] {
        assert!(counts.contains_key(summary), "no call got {summary}");
    }
}
