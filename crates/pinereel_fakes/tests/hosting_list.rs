//! The endpoint list: endpoints that restart under the same id, and invalid entries of other
//! writers.

use actix_http::StatusCode;
use pinereel_fakes::hosting::{
    caller::post,
    engine, proxy,
    site::{Site, Size},
    trainer::{Shape, Trainer},
};
use serde_json::json;
use std::{rc::Rc, time::Duration};
use tokio::time::{Instant, sleep};

const SITE_SIZE: Size = Size {
    instances: 3,
    engines: 2,
    services: 2,
};

/// Maximum delay of a log line after the answer that it describes. Beside load, lines came up to 3 ms
/// after the answer.
const LOG_TIMEOUT: Duration = Duration::from_secs(2);

fn log_lines(site: &Site, text: &str) -> Vec<String> {
    let lines = site.instances.iter().flat_map(|instance| instance.lines());
    lines.filter(|line| line.contains(text)).collect()
}

/// Waits until the instances have logged `count` lines with `text`, for [`LOG_TIMEOUT`] at most, and
/// returns the lines. The thread that writes the log may write a request's line after the answer.
async fn wait_for_log_lines(site: &Site, text: &str, count: usize) -> Vec<String> {
    let deadline = Instant::now() + LOG_TIMEOUT;
    loop {
        let lines = log_lines(site, text);
        if lines.len() >= count || Instant::now() >= deadline {
            return lines;
        }
        sleep(Duration::from_millis(5)).await;
    }
}

/// An engine becomes unreachable and restarts meanwhile. Its runs must end as lost when the new
/// entry is listed, and not only after the 1.5 s timeout for silent runs.
#[actix_rt::test]
async fn runs_are_lost_at_once_when_their_engine_restarts() {
    let site = Site::start(SITE_SIZE, 140).await.unwrap();
    for engine in &site.engines {
        engine.endpoint.set_faults(engine::Faults {
            slow_factor: 12,
            ..engine::Faults::default()
        });
    }
    let (load_balancer, recorder) = (site.load_balancer(), Rc::clone(&site.recorder));
    let shape = Shape {
        groups: 2,
        group_size: 4,
        wanted_groups: 2,
    };
    let mut trainer = Trainer::new("again", &load_balancer, &site.store, &recorder, shape, 1);
    let restart = async {
        sleep(Duration::from_millis(900)).await;
        site.engines[0].proxy.set_faults(proxy::Faults::DROP_ALL);
        sleep(Duration::from_millis(200)).await;
        site.engines[0].endpoint.restart();
        sleep(Duration::from_millis(700)).await;
        // 0.9 s after the engine became unreachable.
        let lost = log_lines(&site, "Broken(Restarted)").len();
        site.engines[0].proxy.set_faults(proxy::Faults::default());
        lost
    };
    let (_, lost) = tokio::join!(trainer.step(0), restart);
    assert!(lost > 0, "runs are lost within 0.7 s of the entry");
    assert_eq!(trainer.done, 1);
    assert_eq!(recorder.violations(), Vec::<String>::new());
    // The restarted engine counts its orders from the beginning, and still gets the next version.
    let mut trainer = Trainer::new("next", &load_balancer, &site.store, &recorder, shape, 1);
    for step in 0..2 {
        trainer.step(step).await;
    }
    sleep(Duration::from_secs(1)).await;
    assert!(site.engines[0].endpoint.version() > 1);
    recorder.check_orders();
    assert_eq!(recorder.violations(), Vec::<String>::new());
}

/// Another writer overwrites one entry of a service with an invalid one and adds further invalid
/// entries. The valid entries must stay in use, and nothing may be sent to the invalid ones.
#[actix_rt::test]
async fn entries_of_another_writer_name_no_endpoint() {
    let site = Site::start(SITE_SIZE, 141).await.unwrap();
    let invalid_specs = [
        json!(null),
        json!("nothing"),
        json!({"service": "plain", "addr": "127.0.0.1:1", "zone": "here", "slots": 9, "state": "resting"}),
        json!({"service": "plain", "addr": "127.0.0.1:1", "zone": "here", "slots": "many", "state": "ready"}),
        json!({"service": "plain", "addr": "127.0.0.1:1", "zone": "here", "slots": 9, "state": "ready", "born": "now"}),
        json!({"service": "plain", "addr": "127.0.0.1:0", "zone": "here", "slots": 9, "state": "ready"}),
        json!({"service": "plain", "zone": "here", "slots": 9, "state": "ready"}),
    ];
    for (number, spec) in invalid_specs.into_iter().enumerate() {
        site.store.put("servers", &format!("other-{number}"), spec);
    }
    // An entry that was valid before becomes invalid.
    let invalidated_id = Rc::clone(&site.services[0].endpoint.id);
    site.store
        .put("servers", &invalidated_id, json!({"state": 7}));
    sleep(Duration::from_millis(1_200)).await;
    for number in 0..30 {
        let instance = &site.instances[number % site.instances.len()];
        let (address, id) = (instance.caller_proxy.address, format!("r-{number}"));
        let (deadline, time_limit) = (Duration::from_secs(2), Duration::from_secs(3));
        let answer = post(address, "/live/x", id, deadline, "", time_limit).await;
        assert_eq!(answer.map(|a| a.status), Ok(StatusCode::OK));
    }
    let request_lines = wait_for_log_lines(&site, "\"msg\":\"request\"", 30).await;
    assert!(request_lines.len() >= 30, "{}", request_lines.len());
    assert!(!request_lines.iter().any(|line| line.contains("other-")));
    assert!(
        !request_lines
            .iter()
            .any(|line| line.contains(&*invalidated_id))
    );
    // Each instance logs each invalid entry once.
    let refusals = log_lines(&site, "list entry refused");
    assert_eq!(refusals.len(), 8 * site.instances.len(), "{refusals:?}");
}
