//! Real processes: calls with idempotency keys, when entries are killed and answers are lost.

#![allow(clippy::unwrap_used)]

mod process_support;

use pinereel_api::{
    header::{DEADLINE_MS, IDEMPOTENCY_KEY},
    object::CLAIMS,
    problem::{Code, Problem, Ran},
};
use pinereel_fakes::{
    cluster::{self, Cluster, wait_until},
    child_process::Signal,
};
use process_support::{SERVICES, measured, options, order};
use serde_json::{Value, json};
use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    time::{Duration, Instant},
};

/// Deadline of each call, in milliseconds.
const DEADLINE: &str = "4000";

/// What became of a keyed order.
#[derive(Clone, Debug, PartialEq)]
enum Outcome {
    /// The service's answer: the order's id.
    Booked(u64),
    /// A problem.
    Problem(Code, Ran),
    /// No answer.
    Lost,
}

async fn book(entry: SocketAddr, key: &str) -> Outcome {
    let url = format!("http://{entry}/services/{SERVICES}/orders");
    let request = cluster::http_client()
        .post(url)
        .insert_header((IDEMPOTENCY_KEY, key))
        .insert_header((DEADLINE_MS, DEADLINE));
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

/// How often each key ran, by the service's own record.
async fn ran(cluster: &Cluster) -> BTreeMap<String, usize> {
    let mut times = BTreeMap::new();
    for execution in cluster.executions().await.unwrap() {
        *times.entry(execution.key.unwrap().to_string()).or_default() += 1;
    }
    times
}

/// Repeats a key at all entries in turn until its outcome is final.
async fn settle(cluster: &Cluster, key: &str) -> Outcome {
    let mut last = Outcome::Lost;
    let mut turn = 0;
    let done = async || {
        let entry = &cluster.entries[turn % cluster.entries.len()];
        turn += 1;
        last = book(entry.callers, key).await;
        matches!(
            last,
            Outcome::Booked(_) | Outcome::Problem(Code::Unknown, Ran::Unknown)
        )
    };
    wait_until(done)
        .await
        .unwrap_or_else(|_| panic!("{key}: {last:?}"));
    last
}

#[actix_rt::test]
async fn a_key_sent_to_all_entries_at_once_runs_once() {
    let cluster = Cluster::start(options(3, 0, 2)).await.unwrap();
    for number in 0..5 {
        let key = format!("pressing-{number}");
        let entries = cluster
            .entries
            .iter()
            .map(|entry| book(entry.callers, &key));
        let outcomes = futures_util::future::join_all(entries).await;
        let Outcome::Booked(id) = settle(&cluster, &key).await else {
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
    assert!(ran(&cluster).await.values().all(|times| *times == 1));
}

#[actix_rt::test]
async fn a_lost_answer_to_a_claim_neither_doubles_nor_loses_an_order() {
    let cluster = Cluster::start(options(2, 0, 1)).await.unwrap();
    let mut outcomes = BTreeMap::new();
    for number in 0..6 {
        let faults = json!({ "lose_write_answers": 1, "lose_kind": CLAIMS });
        cluster.set_object_api_faults(faults).await.unwrap();
        let key = format!("quote-{number}");
        let start = Instant::now();
        outcomes.insert(
            key.clone(),
            book(cluster.entries[number % 2].callers, &key).await,
        );
        measured("keyed call with a lost answer to its claim", start);
    }
    let ran = ran(&cluster).await;
    for (key, outcome) in &outcomes {
        let times = ran.get(key).copied().unwrap_or(0);
        let fits = match outcome {
            Outcome::Booked(_) => times == 1,
            Outcome::Problem(_, Ran::NotRun) => times == 0,
            Outcome::Problem(_, Ran::Unknown) | Outcome::Lost => times <= 1,
        };
        assert!(fits, "{key}: {outcome:?}, ran {times}");
    }
    println!("measured: {outcomes:?}");
}

#[actix_rt::test]
async fn keyed_calls_are_refused_as_not_run_while_the_object_api_is_down() {
    let cluster = Cluster::start(options(2, 0, 1)).await.unwrap();
    assert!(matches!(
        book(cluster.entries[0].callers, "before").await,
        Outcome::Booked(_)
    ));
    cluster
        .set_object_api_faults(json!({ "outage_ms": 100_000 }))
        .await
        .unwrap();
    for number in 0..4 {
        let key = format!("down-{number}");
        let start = Instant::now();
        let outcome = book(cluster.entries[number % 2].callers, &key).await;
        let took = measured("refusal of a keyed call, object API down", start);
        assert!(
            matches!(outcome, Outcome::Problem(_, Ran::NotRun)),
            "{outcome:?}"
        );
        assert!(took < Duration::from_secs(3), "{took:?}");
    }
    assert_eq!(ran(&cluster).await.len(), 1);
    cluster.set_object_api_faults(json!({ "outage_ms": 0 })).await.unwrap();
    let back = Instant::now();
    assert!(matches!(
        settle(&cluster, "down-0").await,
        Outcome::Booked(_)
    ));
    measured("keyed call after the outage", back);
    assert!(ran(&cluster).await.values().all(|times| *times == 1));
}

#[actix_rt::test]
async fn no_order_runs_twice_when_entries_are_killed_under_keyed_load() {
    let mut cluster = Cluster::start(options(3, 0, 2)).await.unwrap();
    let addresses: Vec<_> = cluster.entries.iter().map(|entry| entry.callers).collect();
    // Long enough that some run while the entry dies.
    for service in &cluster.services {
        cluster::post_json(service.address, "/faults", &json!({ "delay_ms": 50 }))
            .await
            .unwrap();
    }
    let keys: Vec<_> = (0..60).map(|number| format!("order-{number}")).collect();
    let work: Vec<_> = keys
        .iter()
        .enumerate()
        .map(|(number, key)| {
            let (entry, key) = (addresses[number % 3], key.clone());
            actix_rt::spawn(async move { book(entry, &key).await })
        })
        .collect();
    wait_until(async || ran(&cluster).await.len() >= 10)
        .await
        .unwrap();
    cluster.entries[1].child.signal(Signal::KILL).unwrap();
    let killed = Instant::now();
    let mut lost = 0;
    for task in work {
        lost += usize::from(task.await.unwrap() == Outcome::Lost);
    }
    cluster.entries.remove(1);
    let mut booked = 0;
    for key in &keys {
        booked += usize::from(matches!(settle(&cluster, key).await, Outcome::Booked(_)));
    }
    measured("every key settled after the kill", killed);
    let ran = ran(&cluster).await;
    println!(
        "measured: {lost} answers lost, {booked} of {} booked in the end",
        keys.len()
    );
    assert!(ran.values().all(|times| *times == 1), "{ran:?}");
    assert!(booked <= ran.len());
}

#[actix_rt::test]
async fn an_order_whose_answer_was_lost_is_unknown_and_never_sent_again() {
    let cluster = Cluster::start(options(2, 0, 2)).await.unwrap();
    for (fault, runs) in [("drop_after_run", 1), ("drop_before_run", 0)] {
        for service in &cluster.services {
            cluster::post_json(service.address, "/faults", &json!({ fault: 1 }))
                .await
                .unwrap();
        }
        let before = cluster.executions().await.unwrap().len();
        let mut lost = 0;
        for entry in &cluster.entries {
            let problem = order(entry.callers, format!("{fault} at {}", entry.name)).await;
            // A booked one came to a service whose fault was used up by the other.
            if let Err(problem) = problem {
                let problem: Problem = serde_json::from_str(&problem).unwrap();
                assert_eq!((problem.code, problem.ran), (Code::Unknown, Ran::Unknown));
                lost += 1;
            }
        }
        let all = cluster.executions().await.unwrap();
        assert!(lost > 0 && all.len() - before >= runs, "{fault}: {lost}");
        let bodies: BTreeSet<_> = all.iter().map(|e| format!("{:?}", e.body)).collect();
        assert_eq!(bodies.len(), all.len(), "an order ran twice");
        clear(&cluster).await;
    }
}

/// Ends the faults that were not used up.
async fn clear(cluster: &Cluster) {
    let none = json!({ "drop_after_run": 0, "drop_before_run": 0 });
    for service in &cluster.services {
        cluster::post_json(service.address, "/faults", &none)
            .await
            .unwrap();
    }
}
