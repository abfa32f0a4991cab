//! Clients that send large, incomplete or endless requests to an instance with little memory, with real
//! processes: the process stays alive and within its memory and descriptors, and ordinary requests are
//! answered afterwards.

use actix_http::StatusCode;
use pinereel_fakes::hosting::{
    caller::post,
    crowd::{Crowd, Exchange, Framing, Shape},
    engine,
    service::Faults,
    site::{Limits, MODEL, Site, Size},
    trainer::submit_once,
};
use serde_json::json;
use std::{collections::BTreeMap, time::Duration};
use tokio::{sync::Mutex, time::sleep};

/// Only one test runs at a time, as each starts processes and loads the machine.
static SERIAL: Mutex<()> = Mutex::const_new(());

const SITE_SIZE: Size = Size {
    instances: 1,
    engines: 1,
    services: 3,
};
const BODY_BYTES: usize = 4 << 20;
const LIMITS: Limits = Limits {
    memory_mb: Some(64),
    file_descriptors: 512,
    head_bytes: 16_384,
    body_bytes: BODY_BYTES,
};
const CLIENTS: usize = 32;
const ROUNDS: usize = 3;
/// Time after which a client of the crowd gives up a request that is not answered.
const HOLD: Duration = Duration::from_secs(3);
/// Time that an ordinary caller gives a request.
const DEADLINE: Duration = Duration::from_secs(5);
/// How often an ordinary caller sends a request at most, as one that was refused may be sent again.
const ATTEMPTS: usize = 10;
const RETRY_PAUSE: Duration = Duration::from_millis(300);

async fn start(seed: u64, limits: Limits) -> Site {
    let site = Site::start_with_limits(SITE_SIZE, seed, limits).await;
    site.expect("the site starts")
}

/// Sends an ordinary request until it is answered; returns its last status.
async fn ordinary_request(site: &Site, id: &str) -> Option<StatusCode> {
    let address = site.instances[0].caller_address();
    let mut status = None;
    for attempt in 0..ATTEMPTS {
        let id = format!("{id}-{attempt}");
        let answer = post(address, "/live/x", id, DEADLINE, "hello", DEADLINE).await;
        status = answer.ok().map(|answer| answer.status);
        if status == Some(StatusCode::OK) {
            break;
        }
        sleep(RETRY_PAUSE).await;
    }
    status
}

/// Asserts that the process lives within its memory and its descriptors, and answers an ordinary request.
async fn assert_intact(site: &mut Site, limits: Limits) {
    let instance = &mut site.instances[0];
    assert!(instance.is_running(), "the process has ended");
    let descriptors = instance.open_descriptors().expect("the process runs");
    let status = ordinary_request(site, "after").await;
    let peak = site.instances[0].peak_memory().expect("the process runs");
    let max_memory = limits.memory_mb.expect("set in all tests") * 1_000_000;
    println!("peak {peak} of {max_memory} bytes, {descriptors} descriptors");
    assert!(peak <= max_memory, "{peak} of {max_memory} bytes");
    assert!(descriptors as u64 <= limits.file_descriptors);
    assert_eq!(status, Some(StatusCode::OK));
}

/// Runs a crowd to its end.
async fn run_crowd(site: &Site, shape: Shape, clients: usize) -> Vec<Exchange> {
    let address = site.instances[0].caller_address();
    let crowd = Crowd::start(address, shape, clients, ROUNDS, HOLD).expect("started");
    let exchanges = crowd.join().await;
    let mut counts = BTreeMap::<_, usize>::new();
    for exchange in &exchanges {
        *counts.entry(exchange.status).or_default() += 1;
    }
    println!("{shape:?}: {counts:?}");
    assert_eq!(exchanges.len(), clients * ROUNDS);
    exchanges
}

/// Runs a crowd at a new site, and asserts that the instance is intact after it.
async fn withstand(seed: u64, shape: Shape) -> Vec<Exchange> {
    let _serial = SERIAL.lock().await;
    let mut site = start(seed, LIMITS).await;
    let exchanges = run_crowd(&site, shape, CLIENTS).await;
    assert_intact(&mut site, LIMITS).await;
    exchanges
}

#[actix_rt::test]
async fn large_bodies_that_lack_their_last_byte_stay_within_memory() {
    withstand(601, Shape::one_byte_short("/live/x", BODY_BYTES)).await;
}

#[actix_rt::test]
async fn large_bodies_in_small_writes_that_lack_their_last_byte_stay_within_memory() {
    let shape = Shape {
        write_bytes: 4_096,
        ..Shape::one_byte_short("/live/x", BODY_BYTES)
    };
    withstand(602, shape).await;
}

#[actix_rt::test]
async fn large_chunked_bodies_that_lack_their_last_chunk_stay_within_memory() {
    withstand(603, Shape::chunked("/live/x", BODY_BYTES, 64 << 10)).await;
}

/// Each chunk takes six bytes on the wire, and far more in the queue of the HTTP library.
#[actix_rt::test]
async fn bodies_in_chunks_of_one_byte_stay_within_memory() {
    withstand(604, Shape::chunked("/live/x", 512 << 10, 1)).await;
}

#[actix_rt::test]
async fn bodies_announced_far_over_the_limit_stay_within_memory() {
    let shape = Shape {
        framing: Framing::Length(1_000 * BODY_BYTES as u64),
        ..Shape::complete("/live/x", 2 * BODY_BYTES)
    };
    let exchanges = withstand(605, shape).await;
    let accepted = |exchange: &&Exchange| exchange.status == Some(200);
    assert_eq!(exchanges.iter().filter(accepted).count(), 0);
}

#[actix_rt::test]
async fn chunked_bodies_far_over_the_limit_stay_within_memory() {
    let exchanges = withstand(606, Shape::chunked("/live/x", 4 * BODY_BYTES, 64 << 10)).await;
    let accepted = |exchange: &&Exchange| exchange.status == Some(200);
    assert_eq!(exchanges.iter().filter(accepted).count(), 0);
}

/// Complete bodies at endpoints that read them late are held until then, and once more in the write buffer
/// of each attempt.
#[actix_rt::test]
async fn complete_bodies_at_slow_endpoints_stay_within_memory() {
    let _serial = SERIAL.lock().await;
    let mut site = start(607, LIMITS).await;
    for service in &site.services {
        service.endpoint.set_faults(Faults {
            read_delay: Duration::from_millis(800),
            ..Faults::default()
        });
    }
    run_crowd(&site, Shape::complete("/live/x", BODY_BYTES), CLIENTS).await;
    for service in &site.services {
        service.endpoint.set_faults(Faults::default());
    }
    assert_intact(&mut site, LIMITS).await;
}

/// A refusal promises that the request has not run and will not run.
#[actix_rt::test]
async fn requests_refused_beside_a_crowd_on_an_at_most_once_route_have_not_run() {
    let _serial = SERIAL.lock().await;
    let mut site = start(608, LIMITS).await;
    let exchanges = run_crowd(&site, Shape::complete("/once/x", BODY_BYTES), CLIENTS).await;
    assert_intact(&mut site, LIMITS).await;
    sleep(DEADLINE).await;
    for exchange in exchanges {
        let runs = site.recorder.run_count(&exchange.id);
        assert!(runs <= 1, "{exchange:?} ran {runs} times");
        if exchange.status.is_some_and(is_promise) {
            assert_eq!(runs, 0, "{exchange:?}");
        }
        if exchange.status == Some(503) {
            assert!(exchange.has_retry_after, "{exchange:?}");
        }
    }
}

fn is_promise(status: u16) -> bool {
    [408, 421, 429, 503].contains(&status)
}

#[actix_rt::test]
async fn large_lots_that_lack_their_last_byte_stay_within_memory() {
    withstand(609, Shape::one_byte_short("/lots/1", BODY_BYTES)).await;
}

/// Clients that take all connections, and hold them for longer than an ordinary caller tries.
const CONNECTIONS: usize = 400;
const LONG_HOLD: Duration = Duration::from_secs(6);

/// Runs a crowd that takes all connections, and asserts that an ordinary request is answered beside it.
async fn withstand_on_all_connections(seed: u64, shape: Shape) {
    let _serial = SERIAL.lock().await;
    let mut site = start(seed, LIMITS).await;
    let address = site.instances[0].caller_address();
    let crowd = Crowd::start(address, shape, CONNECTIONS, 1, LONG_HOLD).expect("started");
    sleep(Duration::from_secs(1)).await;
    let status = ordinary_request(&site, "beside").await;
    assert_eq!(crowd.join().await.len(), CONNECTIONS);
    assert_intact(&mut site, LIMITS).await;
    assert_eq!(status, Some(StatusCode::OK));
}

#[actix_rt::test]
async fn unfinished_heads_on_all_connections_leave_room_for_others() {
    withstand_on_all_connections(610, Shape::unfinished_head(120_000)).await;
}

#[actix_rt::test]
async fn unfinished_bodies_on_all_connections_leave_room_for_others() {
    let shape = Shape::one_byte_short("/live/x", 300_000);
    withstand_on_all_connections(611, shape).await;
}

#[actix_rt::test]
async fn answers_that_callers_do_not_read_stay_within_memory() {
    let _serial = SERIAL.lock().await;
    let mut site = start(612, LIMITS).await;
    for service in &site.services {
        service.endpoint.set_faults(Faults {
            answer_bytes: 8 << 20,
            ..Faults::default()
        });
    }
    let shape = Shape {
        ignores_answer: true,
        ..Shape::complete("/live/x", 100)
    };
    run_crowd(&site, shape, CLIENTS).await;
    for service in &site.services {
        service.endpoint.set_faults(Faults::default());
    }
    assert_intact(&mut site, LIMITS).await;
}

/// Requests that follow on the same connection are not read before their turn.
#[actix_rt::test]
async fn pipelined_requests_stay_within_memory() {
    let _serial = SERIAL.lock().await;
    let mut site = start(613, LIMITS).await;
    for service in &site.services {
        service.endpoint.set_faults(Faults {
            delay: Duration::from_millis(1_000),
            ..Faults::default()
        });
    }
    let shape = Shape {
        ends: true,
        pipelined: 8,
        ..Shape::chunked("/live/x", 128 << 10, 1)
    };
    run_crowd(&site, shape, 3 * CLIENTS).await;
    for service in &site.services {
        service.endpoint.set_faults(Faults::default());
    }
    assert_intact(&mut site, LIMITS).await;
}

/// Lots are kept in the store, and by the instance that runs them until they are complete.
#[actix_rt::test]
async fn accepted_lots_stay_within_the_memory_of_the_instance_that_runs_them() {
    let _serial = SERIAL.lock().await;
    let mut site = start(615, LIMITS).await;
    for engine in &site.engines {
        engine.endpoint.set_faults(engine::Faults {
            slow_factor: 60,
            ..engine::Faults::default()
        });
    }
    let body = "cHJvbXB0".repeat(40_000);
    for number in 0..60 {
        let item = |index: usize| {
            json!({
                "id": format!("i-{number}-{index}"), "path": "/lots/x", "body": body, "tokens": 30, "group": "g",
            })
        };
        let items = (0..3).map(item).collect();
        let lot = format!("lot-{number}");
        // A lot that is refused is not kept.
        let _ = submit_once(&site, &lot, (MODEL, 1), items).await;
    }
    sleep(HOLD).await;
    assert_intact(&mut site, LIMITS).await;
}

/// A single request of the largest legal size is served on the smallest instance.
#[actix_rt::test]
async fn one_body_of_the_largest_size_is_answered_within_memory() {
    let _serial = SERIAL.lock().await;
    let limits = Limits {
        memory_mb: Some(120),
        file_descriptors: 3_075,
        body_bytes: 32 << 20,
        ..LIMITS
    };
    let mut site = start(614, limits).await;
    let address = site.instances[0].caller_address();
    for path in ["/live/x", "/once/x"] {
        let body = vec![b'x'; 32 << 20];
        let answer = post(
            address,
            path,
            format!("large{path}"),
            DEADLINE,
            body,
            DEADLINE,
        )
        .await;
        assert_eq!(answer.map(|answer| answer.status), Ok(StatusCode::OK));
    }
    assert_intact(&mut site, limits).await;
}
