//! A call that may not be repeated runs at most once under its key, whichever entries get it.

#![allow(clippy::unwrap_used)]

mod claims;

use claims::{
    answered, executions, is_final, joined, order, ran, send, send_until, settled, shard_of, site,
};
use futures_util::future::join_all;
use pinereel_core::claim::Limits;
use pinereel_fakes::{
    service::Faults,
    site::{Site, wait_until},
};
use std::time::Duration;

#[actix_rt::test]
async fn a_repeat_through_another_entry_gets_the_recorded_answer() {
    let site = site(2).await;
    joined(&site).await;
    let first = order(&site, 0, Some("slot-june"), "lacquer").await;
    assert_eq!(first.short(), "200");
    settled(&site, "slot-june").await;
    let again = answered(&site, 1, "slot-june", "lacquer").await;
    assert_eq!(again.short(), "200 replay");
    assert_eq!(again.body, first.body);
    assert_eq!(ran(&site, "slot-june"), 1);
}

#[actix_rt::test]
async fn one_key_through_all_entries_at_once_runs_once_and_all_get_its_answer() {
    let site = site(3).await;
    joined(&site).await;
    site.services[0].handle.set_faults(Faults {
        delay_ms: Some(100),
        ..Faults::default()
    });
    let calls = (0..9).map(|i| order(&site, i % 3, Some("slot-june"), "lacquer"));
    let first = join_all(calls).await;
    for answer in &first {
        let short = answer.short();
        assert!(
            ["200", "409 in_progress unknown later"].contains(&short.as_str()),
            "{short}"
        );
    }
    let granted = first.iter().filter(|answer| answer.status == 200).count();
    assert_eq!(granted, 1);
    let calls = (0..3).map(|i| answered(&site, i, "slot-june", "lacquer"));
    for answer in join_all(calls).await {
        assert_eq!(answer.short(), "200 replay");
        assert_eq!(answer.body, "{\"id\":1}");
    }
    assert_eq!(ran(&site, "slot-june"), 1);
}

#[actix_rt::test]
async fn a_key_with_another_request_is_refused_and_does_not_run() {
    let site = site(2).await;
    joined(&site).await;
    order(&site, 0, Some("slot-june"), "lacquer").await;
    let body = order(&site, 1, Some("slot-june"), "test pressing").await;
    assert_eq!(body.short(), "422 key_conflict not-run");
    let address = site.entries[1].callers.address.to_string();
    let path = send(
        address,
        "POST",
        "/orders/rush",
        Some("slot-june"),
        "lacquer",
    )
    .await;
    assert_eq!(path.short(), "422 key_conflict not-run");
    assert_eq!(ran(&site, "slot-june"), 1);
}

#[actix_rt::test]
async fn a_key_that_is_no_plain_text_is_refused() {
    let site = site(1).await;
    let long = "k".repeat(257);
    for key in [long.as_str(), "slot\tjune", ""] {
        let answer = order(&site, 0, Some(key), "lacquer").await;
        assert_eq!(answer.short(), "400 bad_request not-run", "{key:?}");
    }
    let longest = order(&site, 0, Some(&long[1..]), "lacquer").await;
    assert_eq!(longest.short(), "200");
    assert_eq!(executions(&site).values().sum::<usize>(), 1);
}

#[actix_rt::test]
async fn a_key_on_a_call_that_may_be_repeated_is_passed_through_without_a_claim() {
    let site = site(1).await;
    let address = site.entries[0].callers.address.to_string();
    for _ in 0..2 {
        let key = Some("slot-june");
        let answer = send(address.clone(), "GET", "/orders/1", key, "").await;
        assert_eq!(answer.short(), "200");
    }
    assert_eq!(ran(&site, "slot-june"), 2);
    assert_eq!(site.object_api.objects("claims").items.len(), 0);
}

#[actix_rt::test]
async fn an_answer_too_large_to_keep_comes_whole_and_repeats_as_its_status() {
    let site = site(1).await;
    let address = site.entries[0].callers.address.to_string();
    let body = "wire gauge ".repeat(2_000);
    let key = Some("slot-june");
    let first = send(address.clone(), "POST", "/echo", key, &body).await;
    assert_eq!((first.short().as_str(), &first.body), ("200", &body));
    settled(&site, "slot-june").await;
    let again = send_until(&address, "/echo", "slot-june", &body, is_final).await;
    assert_eq!(
        (again.short().as_str(), again.body.as_str()),
        ("200 replay", "")
    );
    assert_eq!(ran(&site, "slot-june"), 1);
}

#[actix_rt::test]
async fn segments_older_than_the_window_are_deleted_and_their_keys_are_new() {
    let site = site(2).await;
    joined(&site).await;
    for entry in &site.entries {
        entry.shared.claims.set_limits(Limits {
            retention: Duration::from_millis(1_500),
            ..Limits::default()
        });
    }
    let short = || claims::try_order(&site, 0, Some("slot-june"), "lacquer", 1_000);
    assert_eq!(short().await.unwrap().short(), "200");
    settled(&site, "slot-june").await;
    let base = format!("{}.base", shard_of("slot-june"));
    wait_until(|| {
        let objects = site.object_api.objects("claims").items;
        objects.len() == 1 && objects[0].name == base && objects[0].value == 2
    })
    .await
    .unwrap();
    let again = short().await.unwrap();
    assert_eq!(again.short(), "200");
    assert_eq!(ran(&site, "slot-june"), 2);
}

#[actix_rt::test]
async fn a_call_without_a_key_is_sent_once_only() {
    let site = site(1).await;
    let service = &site.services[0].handle;
    service.set_faults(Faults {
        fail_status: Some(503),
        ..Faults::default()
    });
    assert_eq!(order(&site, 0, None, "lacquer").await.short(), "503");
    assert_eq!(service.executions().len(), 1);
    service.set_faults(Faults {
        fail_status: Some(0),
        drop_after_run: Some(1),
        ..Faults::default()
    });
    let lost = order(&site, 0, None, "lacquer").await;
    assert_eq!(lost.short(), "502 unknown unknown");
    assert_eq!(service.executions().len(), 2);
    service.set_faults(Faults {
        refuse: Some(true),
        ..Faults::default()
    });
    let refused = order(&site, 0, None, "lacquer").await;
    assert_eq!(refused.short(), "503 no_endpoint not-run later");
    assert_eq!(service.executions().len(), 2);
}

#[actix_rt::test]
async fn a_refusal_after_a_lost_attempt_does_not_say_that_nothing_ran() {
    let mut options = claims::options(1);
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
    let mut lost = 0;
    for _ in 0..20 {
        let before = executions(&site).values().sum::<usize>();
        let answer = send(address.clone(), "GET", "/orders/1", None, "").await;
        let ran = executions(&site).values().sum::<usize>() > before;
        assert!(!(ran && answer.not_run()), "{answer:?}");
        lost += usize::from(ran);
    }
    assert!(lost > 0);
}
