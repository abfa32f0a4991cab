//! Idempotency keys without faults of the entries or the object API: a non-idempotent call runs at
//! most once under its key, whichever entries it is sent to. Also covers non-idempotent calls
//! without a key.

#![allow(clippy::unwrap_used)]

mod claim_support;

use claim_support::{
    book_order, book_order_until_final, call_service, count_executions, execution_count, is_final,
    options, post_until, shard_of, start_site, try_book_order, wait_for_members,
    wait_for_settlement,
};
use futures_util::future::join_all;
use pinereel_core::claim::Limits;
use pinereel_fakes::{
    service::Faults,
    site::{Site, wait_until},
};
use std::time::Duration;

#[actix_rt::test]
async fn a_repeated_call_at_another_entry_gets_the_stored_response() {
    let site = start_site(2).await;
    wait_for_members(&site).await;
    let first = book_order(&site, 0, Some("slot-june"), "lacquer").await;
    assert_eq!(first.summary(), "200");
    wait_for_settlement(&site, "slot-june").await;
    let repeated = book_order_until_final(&site, 1, "slot-june", "lacquer").await;
    assert_eq!(repeated.summary(), "200 replay");
    assert_eq!(repeated.body, first.body);
    assert_eq!(execution_count(&site, "slot-june"), 1);
}

#[actix_rt::test]
async fn concurrent_calls_under_one_key_at_all_entries_run_once_and_get_one_response() {
    let site = start_site(3).await;
    wait_for_members(&site).await;
    site.services[0].handle.set_faults(Faults {
        delay_ms: Some(100),
        ..Faults::default()
    });
    let calls = (0..9).map(|i| book_order(&site, i % 3, Some("slot-june"), "lacquer"));
    let first = join_all(calls).await;
    for response in &first {
        let summary = response.summary();
        assert!(
            ["200", "409 in_progress unknown later"].contains(&summary.as_str()),
            "{summary}"
        );
    }
    let successes = first.iter().filter(|r| r.status == 200).count();
    assert_eq!(successes, 1);
    let calls = (0..3).map(|i| book_order_until_final(&site, i, "slot-june", "lacquer"));
    for response in join_all(calls).await {
        assert_eq!(response.summary(), "200 replay");
        assert_eq!(response.body, "{\"id\":1}");
    }
    assert_eq!(execution_count(&site, "slot-june"), 1);
}

#[actix_rt::test]
async fn a_key_reused_for_another_request_is_refused_and_the_request_does_not_run() {
    let site = start_site(2).await;
    wait_for_members(&site).await;
    book_order(&site, 0, Some("slot-june"), "lacquer").await;
    let other_body = book_order(&site, 1, Some("slot-june"), "test pressing").await;
    assert_eq!(other_body.summary(), "422 key_conflict not-run");
    let address = site.entries[1].callers.address.to_string();
    let other_path = call_service(
        address,
        "POST",
        "/orders/rush",
        Some("slot-june"),
        "lacquer",
    )
    .await;
    assert_eq!(other_path.summary(), "422 key_conflict not-run");
    assert_eq!(execution_count(&site, "slot-june"), 1);
}

#[actix_rt::test]
async fn an_invalid_key_is_refused() {
    let site = start_site(1).await;
    let too_long = "k".repeat(257);
    for key in [too_long.as_str(), "slot\tjune", ""] {
        let response = book_order(&site, 0, Some(key), "lacquer").await;
        assert_eq!(response.summary(), "400 bad_request not-run", "{key:?}");
    }
    let longest = book_order(&site, 0, Some(&too_long[1..]), "lacquer").await;
    assert_eq!(longest.summary(), "200");
    assert_eq!(count_executions(&site).values().sum::<usize>(), 1);
}

#[actix_rt::test]
async fn an_idempotent_call_with_a_key_is_forwarded_without_a_claim() {
    let site = start_site(1).await;
    let address = site.entries[0].callers.address.to_string();
    for _ in 0..2 {
        let key = Some("slot-june");
        let response = call_service(address.clone(), "GET", "/orders/1", key, "").await;
        assert_eq!(response.summary(), "200");
    }
    assert_eq!(execution_count(&site, "slot-june"), 2);
    assert_eq!(site.object_api.objects("claims").items.len(), 0);
}

#[actix_rt::test]
async fn a_response_too_large_to_store_is_returned_whole_and_replayed_without_its_body() {
    let site = start_site(1).await;
    let address = site.entries[0].callers.address.to_string();
    let body = "wire gauge ".repeat(2_000);
    let key = Some("slot-june");
    let first = call_service(address.clone(), "POST", "/echo", key, &body).await;
    assert_eq!((first.summary().as_str(), &first.body), ("200", &body));
    wait_for_settlement(&site, "slot-june").await;
    let repeated = post_until(&address, "/echo", "slot-june", &body, is_final).await;
    assert_eq!(
        (repeated.summary().as_str(), repeated.body.as_str()),
        ("200 replay", "")
    );
    assert_eq!(execution_count(&site, "slot-june"), 1);
}

#[actix_rt::test]
async fn segments_are_deleted_after_the_retention_time_and_their_keys_are_free() {
    let site = start_site(2).await;
    wait_for_members(&site).await;
    for entry in &site.entries {
        entry.shared.claims.set_limits(Limits {
            retention: Duration::from_millis(1_500),
            ..Limits::default()
        });
    }
    // The deadline must lie within the retention time.
    let book = || try_book_order(&site, 0, Some("slot-june"), "lacquer", 1_000);
    assert_eq!(book().await.unwrap().summary(), "200");
    wait_for_settlement(&site, "slot-june").await;
    let base_name = format!("{}.base", shard_of("slot-june"));
    wait_until(|| {
        let objects = site.object_api.objects("claims").items;
        objects.len() == 1 && objects[0].name == base_name && objects[0].value == 2
    })
    .await
    .unwrap();
    let repeated = book().await.unwrap();
    assert_eq!(repeated.summary(), "200");
    assert_eq!(execution_count(&site, "slot-june"), 2);
}

#[actix_rt::test]
async fn a_non_idempotent_call_without_a_key_is_sent_only_once() {
    let site = start_site(1).await;
    let service = &site.services[0].handle;
    service.set_faults(Faults {
        fail_status: Some(503),
        ..Faults::default()
    });
    assert_eq!(book_order(&site, 0, None, "lacquer").await.summary(), "503");
    assert_eq!(service.executions().len(), 1);
    service.set_faults(Faults {
        fail_status: Some(0),
        drop_after_run: Some(1),
        ..Faults::default()
    });
    let lost = book_order(&site, 0, None, "lacquer").await;
    assert_eq!(lost.summary(), "502 unknown unknown");
    assert_eq!(service.executions().len(), 2);
    service.set_faults(Faults {
        refuse: Some(true),
        ..Faults::default()
    });
    let refused = book_order(&site, 0, None, "lacquer").await;
    assert_eq!(refused.summary(), "503 no_endpoint not-run later");
    assert_eq!(service.executions().len(), 2);
}

#[actix_rt::test]
async fn a_refusal_after_an_attempt_that_ran_does_not_say_that_the_call_did_not_run() {
    let mut options = options(1);
    options.service_pools[0].1 = 2;
    let site = Site::start(options).await.unwrap();
    site.services[0].handle.set_faults(Faults {
        drop_after_run: Some(u32::MAX),
        ..Faults::default()
    });
    site.services[1].handle.set_faults(Faults {
        refuse: Some(true),
        ..Faults::default()
    });
    let address = site.entries[0].callers.address.to_string();
    let mut executed_calls = 0;
    for _ in 0..20 {
        let before = count_executions(&site).values().sum::<usize>();
        let response = call_service(address.clone(), "GET", "/orders/1", None, "").await;
        let has_run = count_executions(&site).values().sum::<usize>() > before;
        assert!(!(has_run && response.is_not_run()), "{response:?}");
        executed_calls += usize::from(has_run);
    }
    assert!(executed_calls > 0);
}
