//! Real processes: calls with idempotency keys run at most once while entries are killed and
//! responses are lost.

#![allow(clippy::unwrap_used)]

mod process_support;

use pinereel_api::{
    header::{DEADLINE_MS, IDEMPOTENCY_KEY},
    object::CLAIMS,
    problem::{Code, Problem, Ran},
};
use pinereel_fakes::{
    child_process::Signal,
    cluster::{self, Cluster, wait_until},
};
use process_support::{SERVICES, book_order, options, print_elapsed};
use serde_json::{Value, json};
use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    time::{Duration, Instant},
};

/// Value of the deadline header of each call, in milliseconds.
const CALL_DEADLINE_MS: &str = "4000";

/// The result of an order with an idempotency key.
#[derive(Clone, Debug, PartialEq)]
enum Outcome {
    /// The service booked the order under this id.
    Booked(u64),
    /// The entry or the service returned a problem.
    Problem(Code, Ran),
    /// No complete response arrived.
    Lost,
}

/// Books an order with an idempotency key.
async fn book_keyed_order(entry: SocketAddr, key: &str) -> Outcome {
    let url = format!("http://{entry}/services/{SERVICES}/orders");
    let request = cluster::http_client()
        .post(url)
        .insert_header((IDEMPOTENCY_KEY, key))
        .insert_header((DEADLINE_MS, CALL_DEADLINE_MS));
    let Ok(mut response) = request.send_body(format!("order of {key}")).await else {
        return Outcome::Lost;
    };
    let status = response.status();
    let Ok(body) = response.body().await else {
        return Outcome::Lost;
    };
    if status.is_success() {
        let body: Value = serde_json::from_slice(&body).unwrap();
        return Outcome::Booked(body["id"].as_u64().unwrap());
    }
    let problem: Problem = serde_json::from_slice(&body).unwrap();
    Outcome::Problem(problem.code, problem.ran)
}

/// Number of executions of each key, by the records of the services.
async fn count_executions(cluster: &Cluster) -> BTreeMap<String, usize> {
    let mut counts = BTreeMap::new();
    for execution in cluster.executions().await.unwrap() {
        let key = execution.key.unwrap().to_string();
        *counts.entry(key).or_default() += 1;
    }
    counts
}

/// Repeats the order with this key at each entry in turn until the outcome is final.
async fn retry_until_final(cluster: &Cluster, key: &str) -> Outcome {
    let mut outcome = Outcome::Lost;
    let mut attempt = 0;
    let is_final = async || {
        let entry = &cluster.entries[attempt % cluster.entries.len()];
        attempt += 1;
        outcome = book_keyed_order(entry.callers, key).await;
        matches!(
            outcome,
            Outcome::Booked(_) | Outcome::Problem(Code::Unknown, Ran::Unknown)
        )
    };
    wait_until(is_final)
        .await
        .unwrap_or_else(|_| panic!("{key}: {outcome:?}"));
    outcome
}

#[actix_rt::test]
async fn a_key_sent_to_all_entries_at_once_runs_once() {
    let cluster = Cluster::start(options(3, 0, 2)).await.unwrap();
    for number in 0..5 {
        let key = format!("pressing-{number}");
        let orders = cluster
            .entries
            .iter()
            .map(|entry| book_keyed_order(entry.callers, &key));
        let outcomes = futures_util::future::join_all(orders).await;
        let Outcome::Booked(id) = retry_until_final(&cluster, &key).await else {
            panic!("{outcomes:?}")
        };
        for outcome in outcomes {
            let in_progress = Outcome::Problem(Code::InProgress, Ran::Unknown);
            assert!(
                outcome == Outcome::Booked(id) || outcome == in_progress,
                "{outcome:?}"
            );
        }
    }
    let executions = count_executions(&cluster).await;
    assert!(executions.values().all(|count| *count == 1));
}

#[actix_rt::test]
async fn an_order_runs_at_most_once_when_the_response_to_its_claim_is_lost() {
    let cluster = Cluster::start(options(2, 0, 1)).await.unwrap();
    let mut outcomes = BTreeMap::new();
    for number in 0..6 {
        let faults = json!({ "lose_write_answers": 1, "lose_kind": CLAIMS });
        cluster.set_object_api_faults(faults).await.unwrap();
        let key = format!("quote-{number}");
        let start = Instant::now();
        let entry = cluster.entries[number % 2].callers;
        outcomes.insert(key.clone(), book_keyed_order(entry, &key).await);
        print_elapsed("keyed call with a lost response to its claim", start);
    }
    let executions = count_executions(&cluster).await;
    for (key, outcome) in &outcomes {
        let count = executions.get(key).copied().unwrap_or(0);
        let is_consistent = match outcome {
            Outcome::Booked(_) => count == 1,
            Outcome::Problem(_, Ran::NotRun) => count == 0,
            Outcome::Problem(_, Ran::Unknown) | Outcome::Lost => count <= 1,
        };
        assert!(is_consistent, "{key}: {outcome:?}, {count} executions");
    }
    println!("measured: {outcomes:?}");
}

#[actix_rt::test]
async fn keyed_calls_are_refused_as_not_run_while_the_object_api_is_down() {
    let cluster = Cluster::start(options(2, 0, 1)).await.unwrap();
    assert!(matches!(
        book_keyed_order(cluster.entries[0].callers, "before").await,
        Outcome::Booked(_)
    ));
    cluster
        .set_object_api_faults(json!({ "outage_ms": 100_000 }))
        .await
        .unwrap();
    for number in 0..4 {
        let key = format!("down-{number}");
        let start = Instant::now();
        let outcome = book_keyed_order(cluster.entries[number % 2].callers, &key).await;
        let elapsed = print_elapsed("refusal of a keyed call, object API down", start);
        assert!(
            matches!(outcome, Outcome::Problem(_, Ran::NotRun)),
            "{outcome:?}"
        );
        assert!(elapsed < Duration::from_secs(3), "{elapsed:?}");
    }
    assert_eq!(count_executions(&cluster).await.len(), 1);
    cluster
        .set_object_api_faults(json!({ "outage_ms": 0 }))
        .await
        .unwrap();
    let outage_end = Instant::now();
    assert!(matches!(
        retry_until_final(&cluster, "down-0").await,
        Outcome::Booked(_)
    ));
    print_elapsed("keyed call after the outage", outage_end);
    let executions = count_executions(&cluster).await;
    assert!(executions.values().all(|count| *count == 1));
}

#[actix_rt::test]
async fn no_keyed_order_runs_twice_when_an_entry_is_killed() {
    let mut cluster = Cluster::start(options(3, 0, 2)).await.unwrap();
    let entries: Vec<_> = cluster.entries.iter().map(|entry| entry.callers).collect();
    // The delay is long enough that some orders are executing when the entry is killed.
    for service in &cluster.services {
        cluster::post_json(service.address, "/faults", &json!({ "delay_ms": 50 }))
            .await
            .unwrap();
    }
    let keys: Vec<_> = (0..60).map(|number| format!("order-{number}")).collect();
    let orders: Vec<_> = keys
        .iter()
        .enumerate()
        .map(|(number, key)| {
            let (entry, key) = (entries[number % 3], key.clone());
            actix_rt::spawn(async move { book_keyed_order(entry, &key).await })
        })
        .collect();
    wait_until(async || count_executions(&cluster).await.len() >= 10)
        .await
        .unwrap();
    cluster.entries[1].child.signal(Signal::KILL).unwrap();
    let kill_time = Instant::now();
    let mut lost = 0;
    for order in orders {
        lost += usize::from(order.await.unwrap() == Outcome::Lost);
    }
    cluster.entries.remove(1);
    let mut booked = 0;
    for key in &keys {
        let outcome = retry_until_final(&cluster, key).await;
        booked += usize::from(matches!(outcome, Outcome::Booked(_)));
    }
    print_elapsed("final outcome of every key after the kill", kill_time);
    let executions = count_executions(&cluster).await;
    println!(
        "measured: {lost} responses lost, {booked} of {} booked in the end",
        keys.len()
    );
    let run_once = executions.values().all(|count| *count == 1);
    assert!(run_once, "{executions:?}");
    assert!(booked <= executions.len());
}

#[actix_rt::test]
async fn an_order_whose_response_is_lost_is_reported_as_unknown_and_not_resent() {
    let cluster = Cluster::start(options(2, 0, 2)).await.unwrap();
    for (fault, min_executions) in [("drop_after_run", 1), ("drop_before_run", 0)] {
        for service in &cluster.services {
            cluster::post_json(service.address, "/faults", &json!({ fault: 1 }))
                .await
                .unwrap();
        }
        let before = cluster.executions().await.unwrap().len();
        let mut lost = 0;
        for entry in &cluster.entries {
            let result = book_order(entry.callers, format!("{fault} at {}", entry.name)).await;
            // A booked order reached a service whose one fault the other order had used up.
            if let Err(problem) = result {
                let problem: Problem = serde_json::from_str(&problem).unwrap();
                assert_eq!((problem.code, problem.ran), (Code::Unknown, Ran::Unknown));
                lost += 1;
            }
        }
        let executions = cluster.executions().await.unwrap();
        let new_executions = executions.len() - before;
        assert!(
            lost > 0 && new_executions >= min_executions,
            "{fault}: {lost}"
        );
        let bodies: BTreeSet<_> = executions.iter().map(|e| format!("{:?}", e.body)).collect();
        assert_eq!(bodies.len(), executions.len(), "an order ran twice");
        clear_faults(&cluster).await;
    }
}

/// Clears the faults that have not been used up.
async fn clear_faults(cluster: &Cluster) {
    let no_faults = json!({ "drop_after_run": 0, "drop_before_run": 0 });
    for service in &cluster.services {
        cluster::post_json(service.address, "/faults", &no_faults)
            .await
            .unwrap();
    }
}
