//! Admission on the whole path: refused at once, never held beyond the deadline, places freed.

#![allow(clippy::unwrap_used)]

mod overload;

use futures_util::future::{join, join_all};
use overload::{ORDERS, POOL, STALL, Size, attempts, complete, completion, open, queued, site};
use pinereel_api::engine::FinishReason;
use pinereel_core::route::Priority;
use pinereel_fakes::{
    engine::{batch, fault::Faults, text},
    service,
    site::wait_until,
};
use std::time::Duration;
use tokio::time::Instant;

const LONG: Duration = Duration::from_secs(20);

#[actix_rt::test]
async fn full_queue_is_refused_at_once_and_the_rest_is_served() {
    let site = site(Size::default()).await;
    let address = site.caller_addresses().remove(0);
    site.engines[0].handle.set_faults(STALL);
    let prompts = ["a", "b", "c", "d"];
    let held = prompts.map(|prompt| complete(&address, prompt, 5, LONG));
    let more = async {
        queued(&site, POOL, 2, 2).await;
        let refused = complete(&address, "one too many", 5, LONG).await;
        refused.assert_refused();
        assert!(attempts(&site, "one too many").is_empty());
        site.engines[0].handle.set_faults(Faults::default());
    };
    let (answers, ()) = join(join_all(held), more).await;
    for (answer, prompt) in answers.iter().zip(prompts) {
        assert_eq!(answer.text(), text::completion(prompt, 7, 5), "{answer:?}");
    }
    queued(&site, POOL, 0, 0).await;
}

#[actix_rt::test]
async fn deadline_that_passes_in_the_queue_is_not_run() {
    let size = Size {
        slots: 1,
        ..Size::default()
    };
    let site = site(size).await;
    let address = site.caller_addresses().remove(0);
    site.engines[0].handle.set_faults(STALL);
    let body = completion("first", 5, false);
    let _first = open(&address, "/v1/completions", &body, LONG).await;
    queued(&site, POOL, 1, 0).await;
    let began = Instant::now();
    let deadline = Duration::from_millis(200);
    let answer = complete(&address, "second", 5, deadline).await;
    let took = began.elapsed();
    answer.assert_refused();
    assert!(took >= deadline && took < 2 * deadline, "{took:?}");
    assert!(attempts(&site, "second").is_empty());
}

#[actix_rt::test]
async fn deadline_that_passes_after_the_send_is_unknown() {
    let site = site(Size::default()).await;
    let address = site.caller_addresses().remove(0);
    site.engines[0].handle.set_faults(STALL);
    let answer = complete(&address, "silent", 5, Duration::from_millis(300)).await;
    assert_eq!(answer.status, 504, "{answer:?}");
    assert_eq!(answer.ran.as_deref(), Some("unknown"));
    assert_eq!(attempts(&site, "silent").len(), 1);
}

#[actix_rt::test]
async fn silent_engine_leaves_time_for_another() {
    let size = Size {
        engines: 2,
        slots: 8,
        queue: 16,
        ..Size::default()
    };
    let site = site(size).await;
    let address = site.caller_addresses().remove(0);
    site.engines[0].handle.set_faults(STALL);
    let prompts: Vec<String> = (0..8).map(|n| format!("prompt {n}")).collect();
    let calls = prompts
        .iter()
        .map(|prompt| complete(&address, prompt, 5, Duration::from_millis(1_500)));
    let answers = join_all(calls).await;
    for (answer, prompt) in answers.iter().zip(&prompts) {
        assert_eq!(answer.text(), text::completion(prompt, 7, 5), "{answer:?}");
    }
    let silent = || site.engines[0].handle.records();
    assert!(!silent().is_empty(), "no request met the silent engine");
    let cancelled = || {
        silent()
            .values()
            .all(|r| r.finished == Some(FinishReason::Cancelled))
    };
    wait_until(cancelled).await.unwrap();
}

#[actix_rt::test]
async fn retries_stay_within_their_budget() {
    let size = Size {
        engines: 2,
        ..Size::default()
    };
    let site = site(size).await;
    let address = site.caller_addresses().remove(0);
    let cut = Faults {
        cut_streams: true,
        ..Faults::default()
    };
    for engine in &site.engines {
        engine.handle.set_faults(cut.clone());
    }
    let began = Instant::now();
    for number in 0..60 {
        let answer = complete(&address, &format!("{number}"), 20, LONG).await;
        assert_eq!(answer.status, 502, "{answer:?}");
        assert_eq!(answer.ran.as_deref(), Some("unknown"));
    }
    let attempts: usize = site.engines.iter().map(|e| e.handle.records().len()).sum();
    let extra = attempts - 60;
    let seconds = began.elapsed().as_secs() as usize;
    assert!(
        (15..=21 + seconds).contains(&extra),
        "{extra} extra attempts"
    );
    let metrics = site.entries[0].shared.metrics.render();
    let counted = format!("pinereel_retries_total{{pool=\"{POOL}\"}} {extra}\n");
    assert!(
        metrics.contains(&counted),
        "{extra} extra attempts: {metrics}"
    );
}

#[actix_rt::test]
async fn an_earlier_attempt_that_may_have_run_is_not_forgotten() {
    let size = Size {
        engines: 2,
        ..Size::default()
    };
    let site = site(size).await;
    let address = site.caller_addresses().remove(0);
    let cut = Faults {
        cut_streams: true,
        ..Faults::default()
    };
    site.engines[0].handle.set_faults(cut);
    site.engines[1].handle.stop();
    let mut ran = 0;
    for number in 0..8 {
        let prompt = format!("prompt {number}");
        let answer = complete(&address, &prompt, 20, LONG).await;
        let expected = if attempts(&site, &prompt).is_empty() {
            "not-run"
        } else {
            ran += 1;
            "unknown"
        };
        assert_eq!(answer.ran.as_deref(), Some(expected), "{answer:?}");
    }
    assert!(ran > 0, "no request met the engine that cuts");
}

#[actix_rt::test]
async fn callers_that_go_away_do_not_shorten_the_estimate() {
    let size = Size {
        slots: 1,
        batch: batch::Options {
            tokens_per_second: 100.0,
            ..batch::Options::default()
        },
        ..Size::default()
    };
    let site = site(size).await;
    let address = site.caller_addresses().remove(0);
    let enough = |prompt: &String| text::length(prompt, 7, 40) == 40;
    let prompt = (0..).map(|n| n.to_string()).find(enough).unwrap();
    let answer = complete(&address, &prompt, 40, LONG).await;
    assert_eq!(answer.text(), text::completion(&prompt, 7, 40));
    let body = completion(&prompt, 40, false);
    for _ in 0..30 {
        let gone = open(&address, "/v1/completions", &body, LONG).await;
        queued(&site, POOL, 1, 0).await;
        drop(gone);
        queued(&site, POOL, 0, 0).await;
    }
    let _runs = open(&address, "/v1/completions", &body, LONG).await;
    queued(&site, POOL, 1, 0).await;
    // One takes 400 ms, and another one is before it.
    let queues = &site.entries[0].shared.queues;
    assert!(!queues.admits(POOL, Priority::Live, Duration::from_millis(300)));
    assert!(queues.admits(POOL, Priority::Live, LONG));
}

#[actix_rt::test]
async fn caller_that_goes_away_frees_its_place_and_its_engine() {
    for stream in [false, true] {
        let site = site(Size::default()).await;
        let address = site.caller_addresses().remove(0);
        site.engines[0].handle.set_faults(STALL);
        let body = completion("gone", 5, stream);
        let path = "/v1/completions";
        let mut running = Vec::new();
        for _ in 0..2 {
            running.push(open(&address, path, &body, LONG).await);
        }
        queued(&site, POOL, 2, 0).await;
        let waiting = open(&address, path, &body, LONG).await;
        queued(&site, POOL, 2, 1).await;
        wait_until(|| attempts(&site, "gone").len() == 2)
            .await
            .unwrap();
        drop(waiting);
        queued(&site, POOL, 2, 0).await;
        drop(running);
        queued(&site, POOL, 0, 0).await;
        let cancelled = || {
            let records = attempts(&site, "gone");
            let cancelled = |r: &_| matches!(r, Some(FinishReason::Cancelled));
            records.len() == 2 && records.iter().all(|r| cancelled(&r.finished))
        };
        wait_until(cancelled).await.unwrap();
        site.engines[0].handle.set_faults(Faults::default());
        let next = complete(&address, "next", 5, LONG).await;
        assert_eq!(next.text(), text::completion("next", 7, 5), "{next:?}");
    }
}

#[actix_rt::test]
async fn call_that_may_not_be_repeated_outlives_its_caller() {
    let size = Size {
        engines: 0,
        services: 1,
        slots: 1,
        ..Size::default()
    };
    let site = site(size).await;
    let address = site.caller_addresses().remove(0);
    let service = &site.services[0].handle;
    let slow = |delay_ms| service::Faults {
        delay_ms: Some(delay_ms),
        ..service::Faults::default()
    };
    service.set_faults(slow(500));
    let path = |rest| format!("/services/{ORDERS}{rest}");
    let _first = open(&address, &path("/orders/1"), "", LONG).await;
    queued(&site, ORDERS, 1, 0).await;
    let order = open(&address, &path("/orders"), "lacquer", LONG).await;
    let look = open(&address, &path("/orders/2"), "", LONG).await;
    queued(&site, ORDERS, 1, 2).await;
    drop((order, look));
    queued(&site, ORDERS, 1, 1).await;
    service.set_faults(slow(0));
    queued(&site, ORDERS, 0, 0).await;
    let ran: Vec<_> = service.executions().into_iter().map(|e| e.path).collect();
    assert_eq!(ran, ["/orders/1", "/orders"]);
}
