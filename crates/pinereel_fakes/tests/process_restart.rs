//! Real processes: a rolling restart of the entries under load, and engines that leave.

#![allow(clippy::unwrap_used)]

mod process_support;

use awc::http::StatusCode;
use pinereel_api::object::InstanceState;
use pinereel_core::hash::Digest;
use pinereel_fakes::{
    child_process::Signal,
    cluster::{self, Cluster, wait_until},
    engine::text,
};
use process_support::{
    TRAINER, book_order, check_versions, complete, count_decisions, count_regenerated,
    finish_trainer, options, print_elapsed, printed_report, stream,
};
use serde_json::json;
use std::{
    cell::{Cell, RefCell},
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant},
};

/// Lag of the platform's list of instances in the tests of leaving engines.
const LIST_LAG: Duration = Duration::from_secs(3);
/// Maximum time from when entries can know that an engine leaves until its last request: it covers
/// their polls and the requests that are on their way.
const MAX_REACTION_TIME: Duration = Duration::from_millis(1_500);

/// A load balancer that selects round-robin among the entries that were ready at its last poll.
#[derive(Clone, Default)]
struct Balancer {
    ready: Rc<RefCell<Vec<SocketAddr>>>,
    next: Rc<Cell<usize>>,
    stop: Rc<Cell<bool>>,
}

impl Balancer {
    /// Starts polling the entries, which are all taken to be ready at first.
    fn start(entries: Vec<SocketAddr>) -> Self {
        let balancer = Self::default();
        balancer.ready.replace(entries.clone());
        let poller = balancer.clone();
        actix_rt::spawn(async move {
            while !poller.stop.get() {
                let mut ready = Vec::new();
                for address in &entries {
                    let url = format!("http://{address}/ready");
                    let response = cluster::http_client().get(url).send().await;
                    if response.is_ok_and(|response| response.status() == StatusCode::OK) {
                        ready.push(*address);
                    }
                }
                poller.ready.replace(ready);
                tokio::time::sleep(Duration::from_millis(100)).await;
            }
        });
        balancer
    }

    /// The entry that gets the next request.
    fn pick(&self) -> SocketAddr {
        let next = self.next.get();
        self.next.set(next + 1);
        let ready = self.ready.borrow();
        ready[next % ready.len()]
    }
}

/// Sends numbered requests one after the other until the balancer stops. Returns the problems.
async fn send_requests(
    balancer: Balancer,
    sent: Rc<Cell<u32>>,
    request: impl AsyncFn(SocketAddr, u32) -> Result<(), String>,
) -> Vec<String> {
    let mut problems = Vec::new();
    while !balancer.stop.get() {
        let number = sent.get();
        sent.set(number + 1);
        let entry = balancer.pick();
        if let Err(problem) = request(entry, number).await {
            problems.push(format!("{number} at {entry}: {problem}"));
        }
    }
    problems
}

#[actix_rt::test]
async fn a_rolling_restart_fails_no_request_and_runs_none_twice() {
    let mut options = options(3, 3, 2);
    options.extra_settings = "[drain]\nbalancer_lag = 500ms\nlongest = 20s\n".into();
    let mut cluster = Cluster::start(options).await.unwrap();
    let entries: Vec<_> = cluster.entries.iter().map(|e| e.callers).collect();
    let balancer = Balancer::start(entries);
    let (streams, orders) = (Rc::new(Cell::new(0)), Rc::new(Cell::new(0)));
    let live = async |entry, number| {
        let prompt = format!("live request {number}");
        stream(entry, &prompt, 60).await.map(drop)
    };
    let book = async |entry, number| book_order(entry, format!("order {number}")).await;
    let load = [
        actix_rt::spawn(send_requests(balancer.clone(), Rc::clone(&streams), live)),
        actix_rt::spawn(send_requests(balancer.clone(), Rc::clone(&streams), live)),
        actix_rt::spawn(send_requests(balancer.clone(), Rc::clone(&orders), book)),
    ];
    let flags = [
        "--steps",
        "8",
        "--groups",
        "4",
        "--samples",
        "8",
        "--max-tokens",
        "200",
        "--train-ms",
        "200",
    ];
    // The engines serve the trainer's first version already, so the first step needs no rollout lease.
    let mut trainer = cluster.start_trainer(TRAINER, &flags).unwrap();
    process_support::wait_for_samples(&trainer, 0, 4).await;
    let start = Instant::now();
    for index in 0..3 {
        let callers = cluster.entries[index].callers;
        cluster.entries[index].child.signal(Signal::TERM).unwrap();
        let stop_time = Instant::now();
        assert!(
            cluster::wait_for_exit(&mut cluster.entries[index].child)
                .await
                .unwrap()
        );
        print_elapsed("exit after SIGTERM", stop_time);
        cluster.entries[index] = cluster.start_entry(index, Some(callers)).unwrap();
        let entry = &cluster.entries[index];
        wait_until(async || entry.is_ready().await).await.unwrap();
        let all_ready = async || balancer.ready.borrow().len() == 3;
        wait_until(all_ready).await.unwrap();
    }
    print_elapsed("rolling restart of three entries", start);
    balancer.stop.set(true);
    let mut problems = Vec::new();
    for task in load {
        problems.extend(task.await.unwrap());
    }
    let samples = finish_trainer(&mut trainer, 8, 32).await;
    let attempts = cluster.attempts().await.unwrap();
    check_versions(&samples, &attempts);
    let retries = printed_report(&trainer).retries;
    println!(
        "measured: {} streams, {} orders, {} problems; trainer: {} samples, {} regenerated, \
        {retries} calls retried",
        streams.get(),
        orders.get(),
        problems.len(),
        samples.len(),
        count_regenerated(&attempts)
    );
    assert!(problems.is_empty(), "{problems:#?}");
    let executions = cluster.executions().await.unwrap();
    for number in 0..orders.get() {
        let body = Some(Digest::of(format!("order {number}").as_bytes()));
        let count = executions.iter().filter(|e| e.body == body).count();
        assert_eq!(count, 1, "order {number}");
    }
}

/// Sends live requests until `duration` after `start`. Returns the time after `start` at which the
/// engine with this index last began a request.
async fn last_request_time(
    cluster: &Cluster,
    index: usize,
    start: Instant,
    duration: Duration,
) -> Duration {
    let engine = &cluster.engines[index];
    let count_attempts = async || {
        type Records = std::collections::BTreeMap<String, pinereel_fakes::engine::types::Record>;
        let records: Records = cluster::get_json(engine.address, "/record").await.unwrap();
        records.len()
    };
    let (mut last, mut count, mut number) = (Duration::ZERO, count_attempts().await, 0);
    while start.elapsed() < duration {
        let prompt = format!("request {number} {duration:?}");
        let entry = &cluster.entries[number % cluster.entries.len()];
        let (text, _) = complete(entry.callers, &prompt).await.unwrap();
        assert_eq!(text, text::completion(&prompt, 0, 40));
        number += 1;
        let new_count = count_attempts().await;
        if new_count > count {
            (last, count) = (start.elapsed(), new_count);
        }
    }
    last
}

#[actix_rt::test]
async fn a_leaving_engine_gets_no_requests_once_the_platform_lists_it_as_leaving() {
    let mut options = options(2, 2, 0);
    options.instance_list_lag = LIST_LAG;
    options.engine_flags[1] = "2000";
    let cluster = Cluster::start(options).await.unwrap();
    // Only the platform says that the engine leaves, not the engine.
    let engine = &cluster.engines[0];
    let leave_time = Instant::now();
    cluster
        .register_engine(0, engine, InstanceState::Leaving)
        .await
        .unwrap();
    let duration = LIST_LAG + 2 * MAX_REACTION_TIME;
    let last = last_request_time(&cluster, 0, leave_time, duration).await;
    println!(
        "measured: last new request {} ms after the platform knew, list lag 3 s",
        last.as_millis()
    );
    assert!(last <= LIST_LAG + MAX_REACTION_TIME, "{last:?}");
    assert!(
        last > Duration::ZERO,
        "the engine got no requests even before it left"
    );
}

#[actix_rt::test]
async fn an_engine_that_reports_that_it_leaves_gets_no_requests_before_the_list_shows_it() {
    let mut options = options(2, 2, 0);
    options.instance_list_lag = LIST_LAG;
    options.engine_flags[1] = "2000";
    let cluster = Cluster::start(options).await.unwrap();
    let engine = &cluster.engines[0];
    let chosen = format!("\"chosen\":\"{}\"", engine.name);
    let count_routed = || -> usize {
        let routed = cluster
            .entries
            .iter()
            .map(|e| count_decisions(e, &["\"msg\":\"route\"", &chosen]));
        routed.sum()
    };
    let routed_before = async || {
        let entry = &cluster.entries[0];
        complete(entry.callers, &format!("before {}", count_routed()))
            .await
            .unwrap();
        count_routed() > 0
    };
    wait_until(routed_before).await.unwrap();
    let leave_time = Instant::now();
    cluster::post_json(engine.address, "/faults", &json!({ "leaving": true }))
        .await
        .unwrap();
    let (mut last, mut count) = (Duration::ZERO, count_routed());
    let mut number = 0;
    while leave_time.elapsed() < LIST_LAG {
        let prompt = format!("request {number}");
        let (text, _) = complete(cluster.entries[number % 2].callers, &prompt)
            .await
            .unwrap();
        assert_eq!(text, text::completion(&prompt, 0, 40));
        number += 1;
        if count_routed() > count {
            (last, count) = (leave_time.elapsed(), count_routed());
        }
    }
    println!(
        "measured: last request {} ms after the engine reported it, of {number} requests",
        last.as_millis()
    );
    assert!(last <= MAX_REACTION_TIME, "{last:?}");
}
