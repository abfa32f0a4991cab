//! Real processes: configuration patches that compete, whose responses are lost, or during which an
//! entry is dead or paused.

#![allow(clippy::unwrap_used)]

mod process_support;

use awc::http::StatusCode;
use pinereel_api::{
    header::CONFIG_NUMBER,
    operator::{Config, Patch, Patched},
    problem::{Code, Problem, Ran},
};
use pinereel_fakes::{
    child_process::Signal,
    cluster::{self, Cluster, Entry, wait_until},
    site::OPERATOR_TOKEN,
};
use process_support::{ENGINES, TIMEOUT, options, print_elapsed};
use serde_json::json;
use std::{
    cell::Cell,
    collections::BTreeMap,
    io::{Read as _, Write as _},
    net::{SocketAddr, TcpStream},
    rc::Rc,
    time::{Duration, Instant},
};

/// Maximum time from the submission of a patch until it is in force at all entries.
const MAX_PATCH_TIME: Duration = Duration::from_secs(5);

/// Submits a patch that sets the default deadline of requests; returns the number of the resulting
/// configuration.
async fn patch(
    operators: SocketAddr,
    id: &str,
    base: u64,
    deadline_ms: u64,
) -> Result<u64, (Code, Ran)> {
    let patch = Patch {
        base,
        id: id.into(),
        merge: json!({ "limits": { "default_deadline_ms": deadline_ms } }),
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

/// The configuration that an entry shows to operators.
async fn config(entry: &Entry) -> Option<Config> {
    let url = format!("http://{}/v1/config", entry.operators);
    let request = cluster::http_client().get(url).bearer_auth(OPERATOR_TOKEN);
    request.send().await.ok()?.json().await.ok()
}

/// The number of the configuration under which an entry serves a live request; `None` if the request
/// fails or the response names no number.
async fn serving_config(entry: &Entry) -> Option<u64> {
    let request = json!({ "model": ENGINES, "prompt": "number", "max_tokens": 2 });
    let url = format!("http://{}/v1/completions", entry.callers);
    let response = cluster::http_client()
        .post(url)
        .send_json(&request)
        .await
        .ok()?;
    let number = response.headers().get(CONFIG_NUMBER)?.to_str().ok()?;
    number.parse().ok()
}

/// Waits until all entries serve live requests under configuration `number` or a later one.
async fn wait_until_in_force(cluster: &Cluster, number: u64) {
    for entry in &cluster.entries {
        let in_force = async || serving_config(entry).await >= Some(number);
        wait_until(in_force).await.unwrap();
    }
}

/// Starts a task that checks until `stop` that the configuration number of no entry decreases, and
/// that returns how many numbers it has read.
fn watch_numbers(cluster: &Cluster, stop: &Rc<Cell<bool>>) -> actix_rt::task::JoinHandle<u32> {
    let entries: Vec<_> = cluster.entries.iter().map(|e| e.callers).collect();
    let stop = Rc::clone(stop);
    actix_rt::spawn(async move {
        let mut newest = BTreeMap::new();
        let mut count = 0;
        while !stop.get() {
            for callers in &entries {
                let request = json!({ "model": ENGINES, "prompt": "watch", "max_tokens": 1 });
                let url = format!("http://{callers}/v1/completions");
                let Ok(response) = cluster::http_client().post(url).send_json(&request).await
                else {
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
                count += 1;
            }
        }
        count
    })
}

#[actix_rt::test]
async fn at_most_one_of_competing_patches_is_accepted_and_then_in_force_at_all_entries() {
    let cluster = Cluster::start(options(3, 1, 0)).await.unwrap();
    let stop = Rc::new(Cell::new(false));
    let watch = watch_numbers(&cluster, &stop);
    let mut times = Vec::new();
    let mut base = 1;
    for round in 0..6 {
        let start = Instant::now();
        let ids: Vec<_> = (0..3)
            .map(|index| format!("race-{round}-{index}"))
            .collect();
        let patches = cluster.entries.iter().enumerate().map(|(index, entry)| {
            patch(
                entry.operators,
                &ids[index],
                base,
                20_000 + 10 * round + index as u64,
            )
        });
        let results = futures_util::future::join_all(patches).await;
        let accepted: Vec<_> = results.iter().flatten().copied().collect();
        assert!(accepted.len() <= 1, "{results:?}");
        let Some(number) = accepted.first().copied() else {
            // Competing patches may all abort each other. Then none of them has taken effect.
            assert!(
                results
                    .iter()
                    .all(|r| r.is_err_and(|(_, ran)| ran == Ran::NotRun)),
                "{results:?}"
            );
            continue;
        };
        // An accepted patch is in force: every entry serves the next request under it.
        for entry in &cluster.entries {
            assert!(serving_config(entry).await >= Some(number));
        }
        times.push(start.elapsed());
        assert!(start.elapsed() < MAX_PATCH_TIME, "{:?}", start.elapsed());
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
        "measured: {} numbers read, none decreased",
        watch.await.unwrap()
    );
}

#[actix_rt::test]
async fn a_patch_is_accepted_although_responses_to_its_writes_are_lost() {
    let cluster = Cluster::start(options(2, 1, 0)).await.unwrap();
    for round in 1..=4 {
        // Loses one response or two: that to the write of the pending patch, and that to the write of
        // its acceptance.
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
        print_elapsed("patch with lost responses", start);
        cluster
            .set_object_api_faults(json!({ "lose_write_answers": 0 }))
            .await
            .unwrap();
        // The same patch sent to the other entry gets the first response again.
        let other = &cluster.entries[(round as usize + 1) % 2];
        let repeated = patch(other.operators, &id, round, 10_000 + round).await;
        assert_eq!(repeated, Ok(round + 1));
        wait_until_in_force(&cluster, round + 1).await;
    }
    let config = config(&cluster.entries[0]).await.unwrap();
    assert_eq!(config.number, 5);
    assert_eq!(config.document["limits"]["default_deadline_ms"], 10_004);
}

#[actix_rt::test]
async fn a_restarted_entry_serves_under_the_latest_configuration() {
    let mut cluster = Cluster::start(options(2, 1, 0)).await.unwrap();
    let number = patch(cluster.entries[0].operators, "before", 1, 9_000)
        .await
        .unwrap();
    cluster.entries[1].child.signal(Signal::KILL).unwrap();
    let kill_time = Instant::now();
    // The dead entry confirms no patch. Until the others go on without it, each patch is refused and
    // takes no effect.
    let mut attempt = 0;
    let mut latest = None;
    let accepted = async || {
        attempt += 1;
        let result = patch(
            cluster.entries[0].operators,
            &format!("after-{attempt}"),
            number,
            9_001,
        )
        .await;
        latest = result.ok();
        latest.is_some()
    };
    wait_until(accepted).await.unwrap();
    print_elapsed("patch accepted after the kill of an entry", kill_time);
    let callers = cluster.entries[1].callers;
    cluster.entries[1] = cluster.start_entry(1, Some(callers)).unwrap();
    let entry = &cluster.entries[1];
    wait_until(async || entry.is_ready().await).await.unwrap();
    print_elapsed("killed entry restarted and ready", kill_time);
    assert_eq!(config(entry).await.map(|c| c.number), latest);
    assert!(serving_config(entry).await >= latest);
}

#[actix_rt::test]
async fn a_resumed_entry_serves_no_request_under_an_old_configuration() {
    let mut cluster = Cluster::start(options(3, 1, 0)).await.unwrap();
    cluster.entries[2].child.signal(Signal::STOP).unwrap();
    let pause_time = Instant::now();
    let mut attempt = 0;
    let mut number = 0;
    let accepted = async || {
        attempt += 1;
        let result = patch(
            cluster.entries[0].operators,
            &format!("paused-{attempt}"),
            1,
            8_000,
        )
        .await;
        number = result.unwrap_or(0);
        number > 0
    };
    wait_until(accepted).await.unwrap();
    print_elapsed("patch accepted with an entry paused", pause_time);
    // Requests that wait in the sockets are the first that the entry reads when it resumes.
    let callers = cluster.entries[2].callers;
    let waiting: Vec<_> = (0..8).map(|_| send_request(callers)).collect();
    cluster.entries[2].child.signal(Signal::CONT).unwrap();
    let resume_time = Instant::now();
    for socket in waiting {
        let (status, served_under) = read_response(socket);
        let is_current = served_under.map_or(status == 503, |served| served >= number);
        assert!(
            is_current,
            "{status} under {served_under:?}, {number} is in force"
        );
    }
    wait_until_in_force(&cluster, number).await;
    print_elapsed(
        "new configuration in force at the resumed entry",
        resume_time,
    );
}

/// Sends a live request without reading the response.
fn send_request(callers: SocketAddr) -> TcpStream {
    let body = json!({ "model": ENGINES, "prompt": "p", "max_tokens": 2 }).to_string();
    let length = body.len();
    let mut socket = TcpStream::connect(callers).unwrap();
    let request = format!(
        "POST /v1/completions HTTP/1.1\r\nhost: {callers}\r\nconnection: close\r\n\
         content-type: application/json\r\ncontent-length: {length}\r\n\r\n{body}"
    );
    socket.write_all(request.as_bytes()).unwrap();
    socket.set_read_timeout(Some(TIMEOUT)).unwrap();
    socket
}

/// Reads a response; returns its status and the configuration number in its headers.
fn read_response(mut socket: TcpStream) -> (u16, Option<u64>) {
    let mut text = String::new();
    socket.read_to_string(&mut text).unwrap();
    let status = text.split(' ').nth(1).unwrap().parse().unwrap();
    let name = format!("{CONFIG_NUMBER}: ");
    let line = text
        .lines()
        .find_map(|line| line.strip_prefix(name.as_str()));
    (status, line.map(|number| number.parse().unwrap()))
}
