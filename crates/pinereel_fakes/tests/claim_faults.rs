//! Idempotency keys under faults: lost responses, outages of the object API, and failures of
//! services and entries.

#![allow(clippy::unwrap_used)]

mod claim_support;

use claim_support::{
    KEY, Response, book_order, book_order_until, book_order_until_final, claim_object_count,
    execution_count, key_owned_by, other_key_in_same_shard, simulate_crash, start_site,
    try_book_order, wait_for_members, wait_for_settlement,
};
use futures_util::future::join_all;
use pinereel_api::object;
use pinereel_fakes::{
    service::{self, Faults},
    site::{Site, wait_until},
};
use std::{cell::Cell, rc::Rc, time::Duration};
use tokio::time::Instant;

/// Maximum duration of calls that are refused immediately. It is shorter than the time for which an
/// entry waits for a verdict on a key.
const MAX_REFUSAL_TIME: Duration = Duration::from_millis(1_500);

/// Loses the responses to this number of next writes of claim logs; the writes take effect.
fn lose_write_responses(site: &Site, count: u32) {
    site.object_api.set_faults(object::Faults {
        lose_write_answers: Some(count),
        lose_kind: Some("claims".into()),
        ..object::Faults::default()
    });
}

/// Starts an outage of the object API of this duration; 0 ends the current one.
fn set_outage(site: &Site, duration_ms: u64) {
    site.object_api.set_faults(object::Faults {
        outage_ms: Some(duration_ms),
        ..object::Faults::default()
    });
}

#[actix_rt::test]
async fn a_call_runs_once_when_the_response_to_the_create_of_its_claim_is_lost() {
    let site = start_site(3).await;
    wait_for_members(&site).await;
    lose_write_responses(&site, 1);
    let response = book_order(&site, 0, Some(KEY), "lacquer").await;
    assert_eq!(response.summary(), "200");
    wait_for_settlement(&site, KEY).await;
    let repeated = book_order_until_final(&site, 1, KEY, "lacquer").await;
    assert_eq!(repeated.summary(), "200 replay");
    assert_eq!(execution_count(&site, KEY), 1);
}

#[actix_rt::test]
async fn a_key_is_free_after_a_refusal_although_its_claim_may_be_stored() {
    let site = start_site(3).await;
    wait_for_members(&site).await;
    lose_write_responses(&site, 1);
    site.object_api.set_faults(object::Faults {
        delay_ms: Some(200),
        ..object::Faults::default()
    });
    // The outage starts after the create has taken effect and before its response is lost, so that
    // no read can tell whether the claim is stored.
    let start_outage = async {
        wait_until(|| claim_object_count(&site) > 0).await.unwrap();
        set_outage(&site, 60_000);
    };
    let call = book_order(&site, 0, Some(KEY), "lacquer");
    let (refused, ()) = futures_util::future::join(call, start_outage).await;
    site.object_api.set_faults(object::Faults {
        delay_ms: Some(0),
        ..object::Faults::default()
    });
    assert_eq!(refused.summary(), "503 object_api not-run later");
    assert_eq!(execution_count(&site, KEY), 0);
    set_outage(&site, 0);
    let repeated = book_order_until(&site, 1, KEY, "lacquer", |r| r.status == 200).await;
    assert!(!repeated.is_replay);
    assert_eq!(execution_count(&site, KEY), 1);
}

#[actix_rt::test]
async fn calls_are_refused_immediately_and_do_not_run_during_an_outage_of_the_object_api() {
    let site = start_site(3).await;
    wait_for_members(&site).await;
    // Opens the log of one shard. The logs of the other keys are not open when the outage starts.
    book_order(&site, 0, Some(KEY), "lacquer").await;
    wait_for_settlement(&site, KEY).await;
    set_outage(&site, 60_000);
    let keys = ["slot-july", "slot-august", "slot-may"];
    let start = Instant::now();
    for (index, key) in keys.iter().enumerate() {
        let response = book_order(&site, index, Some(key), "lacquer").await;
        assert_eq!(response.summary(), "503 object_api not-run later");
        assert_eq!(execution_count(&site, key), 0);
    }
    assert!(start.elapsed() < MAX_REFUSAL_TIME, "{:?}", start.elapsed());
    set_outage(&site, 0);
    for key in keys {
        let response = book_order_until(&site, 0, key, "lacquer", |r| r.status == 200).await;
        assert!(!response.is_replay);
        assert_eq!(execution_count(&site, key), 1);
    }
}

#[actix_rt::test]
async fn the_first_claim_of_an_outage_is_refused_immediately_if_the_log_is_open() {
    let site = start_site(3).await;
    wait_for_members(&site).await;
    book_order(&site, 0, Some(KEY), "lacquer").await;
    wait_for_settlement(&site, KEY).await;
    set_outage(&site, 60_000);
    let key = other_key_in_same_shard(KEY);
    let start = Instant::now();
    let response = book_order(&site, 1, Some(&key), "lacquer").await;
    assert!(start.elapsed() < MAX_REFUSAL_TIME, "{:?}", start.elapsed());
    assert_eq!(response.summary(), "503 object_api not-run later");
    assert_eq!(execution_count(&site, &key), 0);
}

#[actix_rt::test]
async fn a_key_is_free_after_a_refusal_because_the_object_api_does_not_respond() {
    let site = start_site(3).await;
    wait_for_members(&site).await;
    book_order(&site, 0, Some(&other_key_in_same_shard(KEY)), "lacquer").await;
    let set_delay = |delay_ms| {
        site.object_api.set_faults(object::Faults {
            delay_ms: Some(delay_ms),
            ..object::Faults::default()
        });
    };
    // The create takes effect, but its response would arrive long after its timeout.
    set_delay(60_000);
    let start = Instant::now();
    let refused = book_order(&site, 1, Some(KEY), "lacquer").await;
    assert_eq!(refused.summary(), "503 object_api not-run later");
    assert!(
        start.elapsed() < 2 * MAX_REFUSAL_TIME,
        "{:?}",
        start.elapsed()
    );
    assert_eq!(execution_count(&site, KEY), 0);
    set_delay(0);
    let repeated = book_order_until(&site, 2, KEY, "lacquer", |r| r.status == 200).await;
    assert!(!repeated.is_replay);
    assert_eq!(execution_count(&site, KEY), 1);
}

#[actix_rt::test]
async fn a_call_whose_response_is_lost_after_it_ran_is_unknown_and_never_runs_again() {
    let site = start_site(3).await;
    wait_for_members(&site).await;
    site.services[0].handle.set_faults(Faults {
        drop_after_run: Some(1),
        ..Faults::default()
    });
    let first = book_order(&site, 0, Some(KEY), "lacquer").await;
    assert_eq!(first.summary(), "502 unknown unknown");
    wait_for_settlement(&site, KEY).await;
    for index in 0..3 {
        let repeated = book_order_until_final(&site, index, KEY, "lacquer").await;
        assert_eq!(repeated.summary(), "502 unknown unknown");
    }
    assert_eq!(execution_count(&site, KEY), 1);
}

#[actix_rt::test]
async fn a_key_is_free_after_the_connection_to_the_service_was_refused() {
    let mut site = start_site(3).await;
    wait_for_members(&site).await;
    site.services[0].handle.stop();
    let first = book_order(&site, 0, Some(KEY), "lacquer").await;
    assert_eq!(first.summary(), "503 no_endpoint not-run later");
    wait_for_settlement(&site, KEY).await;
    let handle = service::Service::start(service::Options::default())
        .await
        .unwrap();
    let instance = object::Instance {
        incarnation: 2,
        address: handle.address.to_string().into(),
        zone: "toledo-hall".into(),
        pool: "orders-app".into(),
        state: object::InstanceState::Live,
    };
    site.object_api.put_instance("orders-app-0", instance);
    site.services[0].handle = handle;
    let repeated = book_order_until(&site, 1, KEY, "lacquer", |r| r.status == 200).await;
    assert!(!repeated.is_replay);
    assert_eq!(execution_count(&site, KEY), 1);
}

/// Books an order that the service executes at once and answers after 200 ms. Calls
/// `after_execution` as soon as the execution is recorded.
async fn book_slow_order(
    site: &Site,
    index: usize,
    key: &str,
    after_execution: impl FnOnce(),
) -> Option<Response> {
    site.services[0].handle.set_faults(Faults {
        delay_ms: Some(200),
        ..Faults::default()
    });
    let wait_for_execution = async {
        wait_until(|| execution_count(site, key) > 0).await.unwrap();
        after_execution();
    };
    let call = try_book_order(site, index, Some(key), "lacquer", 10_000);
    futures_util::future::join(call, wait_for_execution).await.0
}

#[actix_rt::test]
async fn a_key_does_not_run_again_when_its_owner_crashes_between_claim_and_settlement() {
    let site = start_site(3).await;
    wait_for_members(&site).await;
    let key = key_owned_by(&site, 0);
    let response = book_slow_order(&site, 1, &key, || simulate_crash(&site, 0))
        .await
        .unwrap();
    assert_eq!(response.summary(), "200");
    let repeated = book_order_until_final(&site, 2, &key, "lacquer").await;
    assert_eq!(repeated.summary(), "200 replay");
    assert_eq!(repeated.body, response.body);
    assert_eq!(execution_count(&site, &key), 1);
}

#[actix_rt::test]
async fn a_call_succeeds_when_the_owner_of_its_key_crashes_before_replying_to_the_claim() {
    let site = start_site(3).await;
    wait_for_members(&site).await;
    let key = key_owned_by(&site, 0);
    let set_delay = |delay_ms| {
        site.object_api.set_faults(object::Faults {
            delay_ms: Some(delay_ms),
            ..object::Faults::default()
        });
    };
    set_delay(200);
    let crash = async {
        wait_until(|| claim_object_count(&site) > 0).await.unwrap();
        simulate_crash(&site, 0);
        set_delay(0);
    };
    let call = book_order(&site, 1, Some(&key), "lacquer");
    let (response, ()) = futures_util::future::join(call, crash).await;
    assert_eq!(response.summary(), "200");
    assert_eq!(execution_count(&site, &key), 1);
    let repeated = book_order_until_final(&site, 2, &key, "lacquer").await;
    assert_eq!(
        (repeated.summary().as_str(), repeated.body),
        ("200 replay", response.body)
    );
}

#[actix_rt::test]
async fn a_key_is_in_progress_and_then_unknown_when_the_entry_of_its_running_call_crashes() {
    let site = start_site(3).await;
    wait_for_members(&site).await;
    let key = key_owned_by(&site, 0);
    site.services[0].handle.set_faults(Faults {
        delay_ms: Some(5_000),
        ..Faults::default()
    });
    let call = try_book_order(&site, 1, Some(&key), "lacquer", 1_000);
    let crash = async {
        wait_until(|| execution_count(&site, &key) > 0)
            .await
            .unwrap();
        simulate_crash(&site, 1);
    };
    let (lost, ()) = futures_util::future::join(call, crash).await;
    assert_eq!(lost, None);
    let before_deadline = book_order(&site, 2, Some(&key), "lacquer").await;
    assert_eq!(before_deadline.summary(), "409 in_progress unknown later");
    let after_deadline = book_order_until_final(&site, 2, &key, "lacquer").await;
    assert_eq!(after_deadline.summary(), "502 unknown unknown");
    assert_eq!(execution_count(&site, &key), 1);
}

#[actix_rt::test]
async fn two_entries_that_both_act_as_owner_run_each_key_once() {
    let site = start_site(3).await;
    wait_for_members(&site).await;
    // Without peer links this entry writes to every log itself, while the other entries send their
    // claims to the owners.
    site.entries[2].shared.mesh.close();
    let keys: Vec<_> = (0..20).map(|i| format!("slot-{i}")).collect();
    let calls = keys.iter().flat_map(|key| {
        let site = &site;
        (0..3).map(move |index| async move {
            (
                key,
                book_order_until_final(site, index, key, "lacquer").await,
            )
        })
    });
    let responses = join_all(calls).await;
    for key in &keys {
        let of_key = responses.iter().filter(|(k, _)| k == &key);
        let results: Vec<_> = of_key.map(|(_, r)| (r.status, &r.body)).collect();
        assert!(
            results.iter().all(|r| *r == results[0] && r.0 == 200),
            "{results:?}"
        );
        assert_eq!(execution_count(&site, key), 1, "{key}");
    }
    assert!(site.entries[2].shared.claims.open_log_count() > 0);
}

#[actix_rt::test]
async fn no_call_is_refused_while_an_entry_drains() {
    let mut site = start_site(3).await;
    wait_for_members(&site).await;
    let entry = site.entries.remove(0);
    let drained = Rc::new(Cell::new(false));
    let drained_flag = Rc::clone(&drained);
    entry.shared.drain.request_stop();
    actix_rt::spawn(async move {
        entry.run_until_drained().await;
        drained_flag.set(true);
    });
    let mut number = 0;
    let mut calls_after_drain = 0;
    while calls_after_drain < 20 {
        let key = format!("slot-{number}");
        let response = try_book_order(&site, number % 2, Some(&key), "lacquer", 10_000).await;
        assert_eq!(response.unwrap().summary(), "200", "{key}");
        assert_eq!(execution_count(&site, &key), 1);
        number += 1;
        calls_after_drain += usize::from(drained.get());
    }
}

#[actix_rt::test]
async fn the_outcome_of_a_call_is_stored_when_its_caller_disconnects() {
    let site = start_site(2).await;
    wait_for_members(&site).await;
    site.services[0].handle.set_faults(Faults {
        delay_ms: Some(100),
        ..Faults::default()
    });
    let call = book_order(&site, 0, Some(KEY), "lacquer");
    let executed = wait_until(|| execution_count(&site, KEY) > 0);
    // The select drops the call, which closes its connection.
    tokio::select! {
        response = call => panic!("{response:?}"),
        result = executed => result.unwrap(),
    }
    let repeated = book_order_until_final(&site, 1, KEY, "lacquer").await;
    assert_eq!(repeated.summary(), "200 replay");
    assert_eq!(execution_count(&site, KEY), 1);
}
