//! Admission control in a running site: requests are refused immediately or at their deadline,
//! retries are limited, and a caller that disconnects frees its place in the queue and its slot.

#![allow(clippy::unwrap_used)]

mod overload_support;

use futures_util::future::{join, join_all};
use overload_support::{
    ENGINES, SERVICES, STALL_FAULT, SiteOptions, attempt_records, complete, completion_body,
    send_request, start_site, wait_for_queue_counts,
};
use pinereel_api::engine::FinishReason;
use pinereel_core::route::Priority;
use pinereel_fakes::{
    engine::{batch, fault::Faults, text},
    service,
    site::wait_until,
};
use std::time::Duration;
use tokio::time::Instant;

/// A deadline that is not reached.
const LONG_DEADLINE: Duration = Duration::from_secs(20);

#[actix_rt::test]
async fn a_request_is_refused_immediately_when_the_queue_is_full_and_the_others_are_served() {
    let site = start_site(SiteOptions::default()).await;
    let address = site.caller_addresses().remove(0);
    site.engines[0].handle.set_faults(STALL_FAULT);
    let prompts = ["a", "b", "c", "d"];
    let requests = prompts.map(|prompt| complete(&address, prompt, 5, LONG_DEADLINE));
    let overload = async {
        wait_for_queue_counts(&site, ENGINES, 2, 2).await;
        let refused = complete(&address, "one too many", 5, LONG_DEADLINE).await;
        refused.assert_refused();
        assert!(attempt_records(&site, "one too many").is_empty());
        site.engines[0].handle.set_faults(Faults::default());
    };
    let (responses, ()) = join(join_all(requests), overload).await;
    for (response, prompt) in responses.iter().zip(prompts) {
        assert_eq!(
            response.text(),
            text::completion(prompt, 7, 5),
            "{response:?}"
        );
    }
    wait_for_queue_counts(&site, ENGINES, 0, 0).await;
}

#[actix_rt::test]
async fn a_request_whose_deadline_passes_in_the_queue_is_refused_and_not_run() {
    let options = SiteOptions {
        slots_per_endpoint: 1,
        ..SiteOptions::default()
    };
    let site = start_site(options).await;
    let address = site.caller_addresses().remove(0);
    site.engines[0].handle.set_faults(STALL_FAULT);
    let body = completion_body("first", 5, false);
    let _first = send_request(&address, "/v1/completions", &body, LONG_DEADLINE).await;
    wait_for_queue_counts(&site, ENGINES, 1, 0).await;
    let measured_delay = || site.entries[0].shared.scheduling_delay.recent_max();
    let delay_before = measured_delay();
    let start = Instant::now();
    let deadline = Duration::from_millis(200);
    let response = complete(&address, "second", 5, deadline).await;
    let elapsed = start.elapsed();
    response.assert_refused();
    // Earlier than at the deadline by twice the delay that the entry measures, and by a quarter at the most.
    let margin = (2 * delay_before.max(measured_delay())).min(deadline / 4);
    assert!(elapsed >= deadline - margin, "{elapsed:?}, {margin:?}");
    assert!(elapsed < 2 * deadline, "{elapsed:?}");
    assert!(attempt_records(&site, "second").is_empty());
}

#[actix_rt::test]
async fn a_request_whose_deadline_passes_after_it_was_sent_is_reported_as_unknown() {
    let site = start_site(SiteOptions::default()).await;
    let address = site.caller_addresses().remove(0);
    site.engines[0].handle.set_faults(STALL_FAULT);
    let response = complete(&address, "silent", 5, Duration::from_millis(300)).await;
    assert_eq!(response.status, 504, "{response:?}");
    assert_eq!(response.ran.as_deref(), Some("unknown"));
    assert_eq!(attempt_records(&site, "silent").len(), 1);
}

#[actix_rt::test]
async fn a_request_at_a_stalled_engine_is_retried_at_another_before_its_deadline() {
    let options = SiteOptions {
        engine_count: 2,
        slots_per_endpoint: 8,
        max_waiting: 16,
        ..SiteOptions::default()
    };
    let site = start_site(options).await;
    let address = site.caller_addresses().remove(0);
    site.engines[0].handle.set_faults(STALL_FAULT);
    let prompts: Vec<String> = (0..8).map(|n| format!("prompt {n}")).collect();
    let calls = prompts
        .iter()
        .map(|prompt| complete(&address, prompt, 5, Duration::from_millis(1_500)));
    let responses = join_all(calls).await;
    for (response, prompt) in responses.iter().zip(&prompts) {
        assert_eq!(
            response.text(),
            text::completion(prompt, 7, 5),
            "{response:?}"
        );
    }
    let stalled_records = || site.engines[0].handle.records();
    assert!(
        !stalled_records().is_empty(),
        "no request was sent to the stalled engine"
    );
    let all_cancelled = || {
        stalled_records()
            .values()
            .all(|r| r.finished == Some(FinishReason::Cancelled))
    };
    wait_until(all_cancelled).await.unwrap();
}

#[actix_rt::test]
async fn retries_stay_within_the_retry_budget() {
    let options = SiteOptions {
        engine_count: 2,
        ..SiteOptions::default()
    };
    let site = start_site(options).await;
    let address = site.caller_addresses().remove(0);
    let cut = Faults {
        cut_streams: true,
        ..Faults::default()
    };
    for engine in &site.engines {
        engine.handle.set_faults(cut.clone());
    }
    let start = Instant::now();
    for number in 0..60 {
        let response = complete(&address, &format!("{number}"), 20, LONG_DEADLINE).await;
        assert_eq!(response.status, 502, "{response:?}");
        assert_eq!(response.ran.as_deref(), Some("unknown"));
    }
    let attempts: usize = site.engines.iter().map(|e| e.handle.records().len()).sum();
    let retries = attempts - 60;
    let seconds = start.elapsed().as_secs() as usize;
    assert!((15..=21 + seconds).contains(&retries), "{retries} retries");
    let metrics = site.entries[0].shared.metrics.render();
    let metric = format!("pinereel_retries_total{{pool=\"{ENGINES}\"}} {retries}\n");
    assert!(metrics.contains(&metric), "{retries} retries: {metrics}");
}

#[actix_rt::test]
async fn a_failed_request_is_reported_as_not_run_only_if_no_attempt_may_have_run() {
    let options = SiteOptions {
        engine_count: 2,
        ..SiteOptions::default()
    };
    let site = start_site(options).await;
    let address = site.caller_addresses().remove(0);
    let cut = Faults {
        cut_streams: true,
        ..Faults::default()
    };
    site.engines[0].handle.set_faults(cut);
    site.engines[1].handle.stop();
    let mut unknown = 0;
    for number in 0..8 {
        let prompt = format!("prompt {number}");
        let response = complete(&address, &prompt, 20, LONG_DEADLINE).await;
        let expected = if attempt_records(&site, &prompt).is_empty() {
            "not-run"
        } else {
            unknown += 1;
            "unknown"
        };
        assert_eq!(response.ran.as_deref(), Some(expected), "{response:?}");
    }
    assert!(
        unknown > 0,
        "no request was sent to the engine that cuts streams"
    );
}

#[actix_rt::test]
async fn requests_of_disconnected_callers_do_not_shorten_the_service_time_estimate() {
    let options = SiteOptions {
        slots_per_endpoint: 1,
        batch: batch::Options {
            tokens_per_second: 100.0,
            ..batch::Options::default()
        },
        ..SiteOptions::default()
    };
    let site = start_site(options).await;
    let address = site.caller_addresses().remove(0);
    let is_full_length = |prompt: &String| text::length(prompt, 7, 40) == 40;
    let prompt = (0..).map(|n| n.to_string()).find(is_full_length).unwrap();
    let response = complete(&address, &prompt, 40, LONG_DEADLINE).await;
    assert_eq!(response.text(), text::completion(&prompt, 7, 40));
    let body = completion_body(&prompt, 40, false);
    for _ in 0..30 {
        let connection = send_request(&address, "/v1/completions", &body, LONG_DEADLINE).await;
        wait_for_queue_counts(&site, ENGINES, 1, 0).await;
        drop(connection);
        wait_for_queue_counts(&site, ENGINES, 0, 0).await;
    }
    let _running = send_request(&address, "/v1/completions", &body, LONG_DEADLINE).await;
    wait_for_queue_counts(&site, ENGINES, 1, 0).await;
    // A request takes 400 ms, and a new request has to wait for the running one.
    let queues = &site.entries[0].shared.queues;
    assert!(!queues.admits(ENGINES, Priority::Live, Duration::from_millis(300)));
    assert!(queues.admits(ENGINES, Priority::Live, LONG_DEADLINE));
}

#[actix_rt::test]
async fn a_request_is_cancelled_when_its_caller_disconnects() {
    for stream in [false, true] {
        let site = start_site(SiteOptions::default()).await;
        let address = site.caller_addresses().remove(0);
        site.engines[0].handle.set_faults(STALL_FAULT);
        let body = completion_body("gone", 5, stream);
        let path = "/v1/completions";
        let mut running = Vec::new();
        for _ in 0..2 {
            running.push(send_request(&address, path, &body, LONG_DEADLINE).await);
        }
        wait_for_queue_counts(&site, ENGINES, 2, 0).await;
        let waiting = send_request(&address, path, &body, LONG_DEADLINE).await;
        wait_for_queue_counts(&site, ENGINES, 2, 1).await;
        wait_until(|| attempt_records(&site, "gone").len() == 2)
            .await
            .unwrap();
        drop(waiting);
        wait_for_queue_counts(&site, ENGINES, 2, 0).await;
        drop(running);
        wait_for_queue_counts(&site, ENGINES, 0, 0).await;
        let all_cancelled = || {
            let records = attempt_records(&site, "gone");
            let cancelled = |r: &_| matches!(r, Some(FinishReason::Cancelled));
            records.len() == 2 && records.iter().all(|r| cancelled(&r.finished))
        };
        wait_until(all_cancelled).await.unwrap();
        site.engines[0].handle.set_faults(Faults::default());
        let next = complete(&address, "next", 5, LONG_DEADLINE).await;
        assert_eq!(next.text(), text::completion("next", 7, 5), "{next:?}");
    }
}

#[actix_rt::test]
async fn a_waiting_non_idempotent_call_runs_although_its_caller_disconnected() {
    let options = SiteOptions {
        engine_count: 0,
        service_count: 1,
        slots_per_endpoint: 1,
        ..SiteOptions::default()
    };
    let site = start_site(options).await;
    let address = site.caller_addresses().remove(0);
    let service = &site.services[0].handle;
    let delay_fault = |delay_ms| service::Faults {
        delay_ms: Some(delay_ms),
        ..service::Faults::default()
    };
    service.set_faults(delay_fault(500));
    let path = |rest| format!("/services/{SERVICES}{rest}");
    let _first = send_request(&address, &path("/orders/1"), "", LONG_DEADLINE).await;
    wait_for_queue_counts(&site, SERVICES, 1, 0).await;
    let order = send_request(&address, &path("/orders"), "lacquer", LONG_DEADLINE).await;
    let read = send_request(&address, &path("/orders/2"), "", LONG_DEADLINE).await;
    wait_for_queue_counts(&site, SERVICES, 1, 2).await;
    drop((order, read));
    wait_for_queue_counts(&site, SERVICES, 1, 1).await;
    service.set_faults(delay_fault(0));
    wait_for_queue_counts(&site, SERVICES, 0, 0).await;
    let paths: Vec<_> = service.executions().into_iter().map(|e| e.path).collect();
    assert_eq!(paths, ["/orders/1", "/orders"]);
}
