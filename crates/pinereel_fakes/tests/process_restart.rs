//! Real processes: a rolling restart under load, and endpoints that leave.

#![allow(clippy::unwrap_used)]

mod process_support;

use awc::http::StatusCode;
use pinereel_api::object::InstanceState;
use pinereel_core::hash::Digest;
use pinereel_fakes::{
    cluster::{self, Cluster, wait_until},
    engine::text,
    child_process::Signal,
};
use process_support::{
    TRAINER, all_once, complete, decisions, measured, options, order, remade, report, stream,
    true_versions,
};
use serde_json::json;
use std::{
    cell::{Cell, RefCell},
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant},
};

/// Lag of the platform's list where it matters.
const LIST_LAG: Duration = Duration::from_secs(3);
/// What entries may take beyond what they are told: polls, and requests that were on their way.
const SLACK: Duration = Duration::from_millis(1_500);

/// The balancer: sends to entries that were ready at its last look.
#[derive(Clone, Default)]
struct Balancer {
    ready: Rc<RefCell<Vec<SocketAddr>>>,
    next: Rc<Cell<usize>>,
    stop: Rc<Cell<bool>>,
}

impl Balancer {
    fn start(entries: Vec<SocketAddr>) -> Self {
        let balancer = Self::default();
        balancer.ready.replace(entries.clone());
        let own = balancer.clone();
        actix_rt::spawn(async move {
            while !own.stop.get() {
                let mut ready = Vec::new();
                for address in &entries {
                    let url = format!("http://{address}/ready");
                    let sent = cluster::http_client().get(url).send().await;
                    if sent.is_ok_and(|response| response.status() == StatusCode::OK) {
                        ready.push(*address);
                    }
                }
                own.ready.replace(ready);
                tokio::time::sleep(Duration::from_millis(100)).await;
            }
        });
        balancer
    }

    fn pick(&self) -> SocketAddr {
        let next = self.next.get();
        self.next.set(next + 1);
        let ready = self.ready.borrow();
        ready[next % ready.len()]
    }
}

/// Sends one kind of request after another until the balancer stops; the problems met.
async fn load(
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
async fn a_rolling_restart_cuts_no_request_and_doubles_none() {
    let mut options = options(3, 3, 2);
    // The first step of a trainer finds no lease yet in the way of its weights.
    options.extra_settings = "[drain]\nbalancer_lag = 500ms\nlongest = 20s\n".into();
    let mut cluster = Cluster::start(options).await.unwrap();
    let entries: Vec<_> = cluster.entries.iter().map(|e| e.callers).collect();
    let balancer = Balancer::start(entries);
    let (streams, orders) = (Rc::new(Cell::new(0)), Rc::new(Cell::new(0)));
    let live = async |entry, number| {
        let prompt = format!("live request {number}");
        stream(entry, &prompt, 60).await.map(drop)
    };
    let book = async |entry, number| order(entry, format!("order {number}")).await;
    let work = [
        actix_rt::spawn(load(balancer.clone(), Rc::clone(&streams), live)),
        actix_rt::spawn(load(balancer.clone(), Rc::clone(&streams), live)),
        actix_rt::spawn(load(balancer.clone(), Rc::clone(&orders), book)),
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
    let mut trainer = cluster.start_trainer(TRAINER, &flags).unwrap();
    process_support::taken(&trainer, 0, 4).await;
    let start = Instant::now();
    for index in 0..3 {
        let callers = cluster.entries[index].callers;
        cluster.entries[index].child.signal(Signal::TERM).unwrap();
        let stopped = Instant::now();
        assert!(
            cluster::wait_for_exit(&mut cluster.entries[index].child)
                .await
                .unwrap()
        );
        measured("exit after SIGTERM", stopped);
        cluster.entries[index] = cluster.start_entry(index, Some(callers)).unwrap();
        let entry = &cluster.entries[index];
        wait_until(async || entry.is_ready().await).await.unwrap();
        let back = async || balancer.ready.borrow().len() == 3;
        wait_until(back).await.unwrap();
    }
    measured("rolling restart of three entries", start);
    balancer.stop.set(true);
    let mut problems = Vec::new();
    for task in work {
        problems.extend(task.await.unwrap());
    }
    let taken = all_once(&mut trainer, 8, 32).await;
    let attempts = cluster.attempts().await.unwrap();
    true_versions(&taken, &attempts);
    let retries = report(&trainer).retries;
    println!(
        "measured: {} streams, {} orders, {} problems; trainer: {} samples, {} made again, \
        {retries} calls repeated",
        streams.get(),
        orders.get(),
        problems.len(),
        taken.len(),
        remade(&attempts)
    );
    assert!(problems.is_empty(), "{problems:#?}");
    let ran = cluster.executions().await.unwrap();
    for number in 0..orders.get() {
        let body = Some(Digest::of(format!("order {number}").as_bytes()));
        let times = ran.iter().filter(|e| e.body == body).count();
        assert_eq!(times, 1, "order {number}");
    }
}

/// Sends live requests until `enough`; gives when the engine `index` last began one.
async fn last_new(cluster: &Cluster, index: usize, start: Instant, enough: Duration) -> Duration {
    let engine = &cluster.engines[index];
    let begun = async || {
        type Records = std::collections::BTreeMap<String, pinereel_fakes::engine::model::Record>;
        let records: Records = cluster::get_json(engine.address, "/record").await.unwrap();
        records.len()
    };
    let (mut last, mut count, mut number) = (Duration::ZERO, begun().await, 0);
    while start.elapsed() < enough {
        let prompt = format!("request {number} {enough:?}");
        let entry = &cluster.entries[number % cluster.entries.len()];
        let (answer, _) = complete(entry.callers, &prompt).await.unwrap();
        assert_eq!(answer, text::whole(&prompt, 0, 40));
        number += 1;
        let now = begun().await;
        if now > count {
            (last, count) = (start.elapsed(), now);
        }
    }
    last
}

#[actix_rt::test]
async fn a_leaving_engine_gets_nothing_new_although_the_list_lags() {
    let mut options = options(2, 2, 0);
    options.instance_list_lag = LIST_LAG;
    options.engine_flags[1] = "2000";
    let cluster = Cluster::start(options).await.unwrap();
    // Said by the platform alone.
    let engine = &cluster.engines[0];
    let told = Instant::now();
    cluster
        .register_engine(0, engine, InstanceState::Leaving)
        .await
        .unwrap();
    let last = last_new(&cluster, 0, told, LIST_LAG + 2 * SLACK).await;
    println!(
        "measured: last new request {} ms after the platform knew, list lag 3 s",
        last.as_millis()
    );
    assert!(last <= LIST_LAG + SLACK, "{last:?}");
    assert!(last > Duration::ZERO, "the engine got nothing even before");
}

#[actix_rt::test]
async fn a_leaving_engine_that_says_so_is_left_alone_long_before_the_list_does() {
    let mut options = options(2, 2, 0);
    options.instance_list_lag = LIST_LAG;
    options.engine_flags[1] = "2000";
    let cluster = Cluster::start(options).await.unwrap();
    let engine = &cluster.engines[0];
    let chosen = format!("\"chosen\":\"{}\"", engine.name);
    let sent = || -> usize {
        let routed = cluster
            .entries
            .iter()
            .map(|e| decisions(e, &["\"msg\":\"route\"", &chosen]));
        routed.sum()
    };
    let before = async || {
        let entry = &cluster.entries[0];
        complete(entry.callers, &format!("before {}", sent()))
            .await
            .unwrap();
        sent() > 0
    };
    wait_until(before).await.unwrap();
    let said = Instant::now();
    cluster::post_json(engine.address, "/faults", &json!({ "leaving": true }))
        .await
        .unwrap();
    let (mut last, mut count) = (Duration::ZERO, sent());
    let mut number = 0;
    while said.elapsed() < LIST_LAG {
        let prompt = format!("request {number}");
        let (answer, _) = complete(cluster.entries[number % 2].callers, &prompt)
            .await
            .unwrap();
        assert_eq!(answer, text::whole(&prompt, 0, 40));
        number += 1;
        if sent() > count {
            (last, count) = (said.elapsed(), sent());
        }
    }
    println!(
        "measured: last try {} ms after the engine said so, of {number} requests",
        last.as_millis()
    );
    assert!(last <= SLACK, "{last:?}");
}
