//! Real processes: patches that race, lose answers, and meet dead or paused entries.

#![allow(clippy::unwrap_used)]

mod process_support;

use awc::http::StatusCode;
use pinereel_api::{
    header::CONFIG_NUMBER,
    operator::{Config, Patch, Patched},
    problem::{Code, Problem, Ran},
};
use pinereel_fakes::{
    cluster::{self, Cluster, Entry, wait_until},
    child_process::Signal,
    site::OPERATOR_TOKEN,
};
use process_support::{ENGINES, LONG, measured, options};
use serde_json::json;
use std::{
    cell::Cell,
    collections::BTreeMap,
    io::{Read as _, Write as _},
    net::{SocketAddr, TcpStream},
    rc::Rc,
    time::{Duration, Instant},
};

/// Within which an accepted patch is in force everywhere.
const IN_FORCE: Duration = Duration::from_secs(5);

/// Submits a patch that sets the deadline of live requests.
async fn patch(
    operators: SocketAddr,
    id: &str,
    base: u64,
    millis: u64,
) -> Result<u64, (Code, Ran)> {
    let patch = Patch {
        base,
        id: id.into(),
        merge: json!({ "limits": { "default_deadline_ms": millis } }),
    };
    let url = format!("http://{operators}/v1/config");
    let request = cluster::http_client().post(url).bearer_auth(OPERATOR_TOKEN);
    let mut response = request.send_json(&patch).await.unwrap();
    if response.status() == StatusCode::OK {
        return Ok(response.json::<Patched>().await.unwrap().number);
    }
    let problem: Problem = response.json().await.unwrap();
    Err((problem.code, problem.ran))
}

async fn config(entry: &Entry) -> Option<Config> {
    let url = format!("http://{}/v1/config", entry.operators);
    let request = cluster::http_client().get(url).bearer_auth(OPERATOR_TOKEN);
    request.send().await.ok()?.json().await.ok()
}

/// The number that a live request is served under; none if it is refused.
async fn served_under(entry: &Entry) -> Option<u64> {
    let request = json!({ "model": ENGINES, "prompt": "number", "max_tokens": 2 });
    let url = format!("http://{}/v1/completions", entry.callers);
    let response = cluster::http_client().post(url).send_json(&request).await.ok()?;
    let number = response.headers().get(CONFIG_NUMBER)?.to_str().ok()?;
    number.parse().ok()
}

/// Waits until all entries serve live requests under `number` or a later one.
async fn in_force(cluster: &Cluster, number: u64) {
    for entry in &cluster.entries {
        let there = async || served_under(entry).await >= Some(number);
        wait_until(there).await.unwrap();
    }
}

/// Watches the numbers that entries serve under; panics in the task if one goes back.
fn watch(cluster: &Cluster, stop: &Rc<Cell<bool>>) -> actix_rt::task::JoinHandle<u32> {
    let entries: Vec<_> = cluster.entries.iter().map(|e| e.callers).collect();
    let stop = Rc::clone(stop);
    actix_rt::spawn(async move {
        let mut newest = BTreeMap::new();
        let mut seen = 0;
        while !stop.get() {
            for callers in &entries {
                let request = json!({ "model": ENGINES, "prompt": "watch", "max_tokens": 1 });
                let url = format!("http://{callers}/v1/completions");
                let Ok(response) = cluster::http_client().post(url).send_json(&request).await else {
                    continue;
                };
                let Some(number) = response.headers().get(CONFIG_NUMBER) else {
                    continue;
                };
                let number: u64 = number.to_str().unwrap().parse().unwrap();
                let before = newest.insert(*callers, number);
                assert!(
                    before <= Some(number),
                    "{callers}: {number} after {before:?}"
                );
                seen += 1;
            }
        }
        seen
    })
}

#[actix_rt::test]
async fn of_racing_patches_one_takes_effect_everywhere() {
    let cluster = Cluster::start(options(3, 1, 0)).await.unwrap();
    let stop = Rc::new(Cell::new(false));
    let watch = watch(&cluster, &stop);
    let mut times = Vec::new();
    let mut base = 1;
    for round in 0..6 {
        let start = Instant::now();
        let ids: Vec<_> = (0..3)
            .map(|index| format!("race-{round}-{index}"))
            .collect();
        let races = cluster.entries.iter().enumerate().map(|(index, entry)| {
            patch(
                entry.operators,
                &ids[index],
                base,
                20_000 + 10 * round + index as u64,
            )
        });
        let answers = futures_util::future::join_all(races).await;
        let accepted: Vec<_> = answers.iter().flatten().copied().collect();
        assert!(accepted.len() <= 1, "{answers:?}");
        let Some(number) = accepted.first().copied() else {
            // Each may be taken back by another; nothing changed then.
            assert!(
                answers
                    .iter()
                    .all(|a| a.is_err_and(|(_, ran)| ran == Ran::NotRun)),
                "{answers:?}"
            );
            continue;
        };
        // Accepted means in force: every entry serves under it at once.
        for entry in &cluster.entries {
            assert!(served_under(entry).await >= Some(number));
        }
        times.push(start.elapsed());
        assert!(start.elapsed() < IN_FORCE, "{:?}", start.elapsed());
        base = number;
    }
    times.sort();
    println!(
        "measured: {} of 6 rounds accepted one; in force everywhere within {times:?}",
        times.len()
    );
    assert!(times.len() >= 3, "too few rounds accepted a patch");
    stop.set(true);
    println!(
        "measured: {} numbers seen, none went back",
        watch.await.unwrap()
    );
}

#[actix_rt::test]
async fn a_lost_answer_to_a_patch_is_no_false_refusal() {
    let cluster = Cluster::start(options(2, 1, 0)).await.unwrap();
    for round in 1..=4 {
        // The write of the pending patch, that of its acceptance, or both.
        let lost = 1 + round % 2;
        let faults = json!({ "lose_write_answers": lost, "lose_kind": "config" });
        cluster.set_object_api_faults(faults).await.unwrap();
        let (id, entry) = (
            format!("lost-{round}"),
            &cluster.entries[round as usize % 2],
        );
        let start = Instant::now();
        let number = patch(entry.operators, &id, round, 10_000 + round).await;
        assert_eq!(number, Ok(round + 1));
        measured("patch with lost answers", start);
        cluster
            .set_object_api_faults(json!({ "lose_write_answers": 0 }))
            .await
            .unwrap();
        // A repeat at the other entry gets the first answer.
        let other = &cluster.entries[(round as usize + 1) % 2];
        let again = patch(other.operators, &id, round, 10_000 + round).await;
        assert_eq!(again, Ok(round + 1));
        in_force(&cluster, round + 1).await;
    }
    let shown = config(&cluster.entries[0]).await.unwrap();
    assert_eq!(shown.number, 5);
    assert_eq!(shown.document["limits"]["default_deadline_ms"], 10_004);
}

#[actix_rt::test]
async fn an_entry_that_starts_again_shows_no_lower_number() {
    let mut cluster = Cluster::start(options(2, 1, 0)).await.unwrap();
    let number = patch(cluster.entries[0].operators, "before", 1, 9_000)
        .await
        .unwrap();
    cluster.entries[1].child.signal(Signal::KILL).unwrap();
    let killed = Instant::now();
    // A dead entry confirms nothing; the patch is in force or refused for now, never half.
    let mut turn = 0;
    let mut later = None;
    let accepted = async || {
        turn += 1;
        let answer = patch(
            cluster.entries[0].operators,
            &format!("after-{turn}"),
            number,
            9_001,
        )
        .await;
        later = answer.ok();
        later.is_some()
    };
    wait_until(accepted).await.unwrap();
    measured("patch accepted after the kill of an entry", killed);
    let callers = cluster.entries[1].callers;
    cluster.entries[1] = cluster.start_entry(1, Some(callers)).unwrap();
    let entry = &cluster.entries[1];
    wait_until(async || entry.is_ready().await).await.unwrap();
    measured("an entry that was killed is ready again", killed);
    assert_eq!(config(entry).await.map(|c| c.number), later);
    assert!(served_under(entry).await >= later);
}

#[actix_rt::test]
async fn a_paused_entry_serves_nothing_under_an_old_number() {
    let mut cluster = Cluster::start(options(3, 1, 0)).await.unwrap();
    cluster.entries[2].child.signal(Signal::STOP).unwrap();
    let paused = Instant::now();
    let mut turn = 0;
    let mut number = 0;
    let accepted = async || {
        turn += 1;
        let answer = patch(
            cluster.entries[0].operators,
            &format!("paused-{turn}"),
            1,
            8_000,
        )
        .await;
        number = answer.unwrap_or(0);
        number > 0
    };
    wait_until(accepted).await.unwrap();
    measured("patch accepted with an entry paused", paused);
    // Requests that wait in its sockets are the first thing that it sees when it wakes up.
    let callers = cluster.entries[2].callers;
    let waiting: Vec<_> = (0..8).map(|_| ask(callers)).collect();
    cluster.entries[2].child.signal(Signal::CONT).unwrap();
    let woken = Instant::now();
    for socket in waiting {
        let (status, shown) = answer(socket);
        let fits = shown.map_or(status == 503, |shown| shown >= number);
        assert!(fits, "{status} under {shown:?}, {number} is in force");
    }
    in_force(&cluster, number).await;
    measured(
        "paused entry serves under the new number after it wakes up",
        woken,
    );
}

/// Sends a live request and leaves it in the socket.
fn ask(callers: SocketAddr) -> TcpStream {
    let body = json!({ "model": ENGINES, "prompt": "p", "max_tokens": 2 }).to_string();
    let length = body.len();
    let mut socket = TcpStream::connect(callers).unwrap();
    let request = format!(
        "POST /v1/completions HTTP/1.1\r\nhost: {callers}\r\nconnection: close\r\n\
         content-type: application/json\r\ncontent-length: {length}\r\n\r\n{body}"
    );
    socket.write_all(request.as_bytes()).unwrap();
    socket.set_read_timeout(Some(LONG)).unwrap();
    socket
}

/// The status of the answer and the number that it names.
fn answer(mut socket: TcpStream) -> (u16, Option<u64>) {
    let mut text = String::new();
    socket.read_to_string(&mut text).unwrap();
    let status = text.split(' ').nth(1).unwrap().parse().unwrap();
    let name = format!("{CONFIG_NUMBER}: ");
    let line = text
        .lines()
        .find_map(|line| line.strip_prefix(name.as_str()));
    (status, line.map(|number| number.parse().unwrap()))
}
