//! Keyed calls under faults: lost answers, outages, endpoints and entries that die.

#![allow(clippy::unwrap_used)]

mod claims;

use claims::{
    Answer, SLOT, answered, joined, key_of, kill, order, order_until, ran, segments, settled, site,
};
use futures_util::future::join_all;
use pinereel_api::object;
use pinereel_fakes::{
    service::{self, Faults},
    site::{Site, wait_until},
};
use std::{cell::Cell, rc::Rc, time::Duration};
use tokio::time::Instant;

/// Shorter than the wait for a verdict that never comes.
const AT_ONCE: Duration = Duration::from_millis(1_500);

fn lose(site: &Site, answers: u32) {
    site.object_api.set_faults(object::Faults {
        lose_write_answers: Some(answers),
        lose_kind: Some("claims".into()),
        ..object::Faults::default()
    });
}

fn outage(site: &Site, millis: u64) {
    site.object_api.set_faults(object::Faults {
        outage_ms: Some(millis),
        ..object::Faults::default()
    });
}

#[actix_rt::test]
async fn a_lost_answer_to_the_create_still_grants_and_the_call_runs_once() {
    let site = site(3).await;
    joined(&site).await;
    lose(&site, 1);
    let answer = order(&site, 0, Some(SLOT), "lacquer").await;
    assert_eq!(answer.short(), "200");
    settled(&site, SLOT).await;
    let again = answered(&site, 1, SLOT, "lacquer").await;
    assert_eq!(again.short(), "200 replay");
    assert_eq!(ran(&site, SLOT), 1);
}

#[actix_rt::test]
async fn answers_lost_until_the_caller_is_refused_leave_the_key_free() {
    let site = site(3).await;
    joined(&site).await;
    lose(&site, 1);
    site.object_api.set_faults(object::Faults {
        delay_ms: Some(200),
        ..object::Faults::default()
    });
    // The outage begins between the create's effect and the loss of its answer, so that no read can
    // resolve it.
    let begins = async {
        wait_until(|| segments(&site) > 0).await.unwrap();
        outage(&site, 60_000);
    };
    let call = order(&site, 0, Some(SLOT), "lacquer");
    let (refused, ()) = futures_util::future::join(call, begins).await;
    site.object_api.set_faults(object::Faults {
        delay_ms: Some(0),
        ..object::Faults::default()
    });
    assert_eq!(refused.short(), "503 object_api not-run later");
    assert_eq!(ran(&site, SLOT), 0);
    outage(&site, 0);
    let again = order_until(&site, 1, SLOT, "lacquer", |answer| answer.status == 200).await;
    assert!(!again.replay);
    assert_eq!(ran(&site, SLOT), 1);
}

#[actix_rt::test]
async fn an_outage_of_the_object_api_refuses_at_once_and_nothing_runs() {
    let site = site(3).await;
    joined(&site).await;
    // One key's log is open already, the others' are not.
    order(&site, 0, Some(SLOT), "lacquer").await;
    settled(&site, SLOT).await;
    outage(&site, 60_000);
    let keys = ["slot-july", "slot-august", "slot-may"];
    let started = Instant::now();
    for (index, key) in keys.iter().enumerate() {
        let answer = order(&site, index, Some(key), "lacquer").await;
        assert_eq!(answer.short(), "503 object_api not-run later");
        assert_eq!(ran(&site, key), 0);
    }
    assert!(started.elapsed() < AT_ONCE, "{:?}", started.elapsed());
    outage(&site, 0);
    for key in keys {
        let answer = order_until(&site, 0, key, "lacquer", |answer| answer.status == 200).await;
        assert!(!answer.replay);
        assert_eq!(ran(&site, key), 1);
    }
}

#[actix_rt::test]
async fn a_log_that_is_open_refuses_its_first_claim_of_an_outage_at_once() {
    let site = site(3).await;
    joined(&site).await;
    order(&site, 0, Some(SLOT), "lacquer").await;
    settled(&site, SLOT).await;
    outage(&site, 60_000);
    let key = claims::same_shard(SLOT);
    let started = Instant::now();
    let answer = order(&site, 1, Some(&key), "lacquer").await;
    assert!(started.elapsed() < AT_ONCE, "{:?}", started.elapsed());
    assert_eq!(answer.short(), "503 object_api not-run later");
    assert_eq!(ran(&site, &key), 0);
}

#[actix_rt::test]
async fn an_object_api_that_answers_nothing_refuses_in_time_and_leaves_the_key_free() {
    let site = site(3).await;
    joined(&site).await;
    order(&site, 0, Some(&claims::same_shard(SLOT)), "lacquer").await;
    let delay = |millis| {
        site.object_api.set_faults(object::Faults {
            delay_ms: Some(millis),
            ..object::Faults::default()
        });
    };
    // The create takes effect, and its answer comes long after everybody has given up.
    delay(60_000);
    let started = Instant::now();
    let refused = order(&site, 1, Some(SLOT), "lacquer").await;
    assert_eq!(refused.short(), "503 object_api not-run later");
    assert!(started.elapsed() < 2 * AT_ONCE, "{:?}", started.elapsed());
    assert_eq!(ran(&site, SLOT), 0);
    delay(0);
    let again = order_until(&site, 2, SLOT, "lacquer", |answer| answer.status == 200).await;
    assert!(!again.replay);
    assert_eq!(ran(&site, SLOT), 1);
}

#[actix_rt::test]
async fn a_call_that_ran_and_lost_its_answer_is_unknown_and_never_runs_again() {
    let site = site(3).await;
    joined(&site).await;
    site.services[0].handle.set_faults(Faults {
        drop_after_run: Some(1),
        ..Faults::default()
    });
    let first = order(&site, 0, Some(SLOT), "lacquer").await;
    assert_eq!(first.short(), "502 unknown unknown");
    settled(&site, SLOT).await;
    for index in 0..3 {
        let again = answered(&site, index, SLOT, "lacquer").await;
        assert_eq!(again.short(), "502 unknown unknown");
    }
    assert_eq!(ran(&site, SLOT), 1);
}

#[actix_rt::test]
async fn a_refused_connection_frees_the_key_and_the_repeat_runs() {
    let mut site = site(3).await;
    joined(&site).await;
    site.services[0].handle.stop();
    let first = order(&site, 0, Some(SLOT), "lacquer").await;
    assert_eq!(first.short(), "503 no_endpoint not-run later");
    settled(&site, SLOT).await;
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
    let again = order_until(&site, 1, SLOT, "lacquer", |answer| answer.status == 200).await;
    assert!(!again.replay);
    assert_eq!(ran(&site, SLOT), 1);
}

/// Sends an order that runs for a while and does `meanwhile` as soon as it runs.
async fn during(site: &Site, index: usize, key: &str, meanwhile: impl FnOnce()) -> Option<Answer> {
    site.services[0].handle.set_faults(Faults {
        delay_ms: Some(200),
        ..Faults::default()
    });
    let running = async {
        wait_until(|| ran(site, key) > 0).await.unwrap();
        meanwhile();
    };
    let call = claims::try_order(site, index, Some(key), "lacquer", 10_000);
    futures_util::future::join(call, running).await.0
}

#[actix_rt::test]
async fn an_owner_that_dies_between_claim_and_settlement_costs_no_second_run() {
    let site = site(3).await;
    joined(&site).await;
    let key = key_of(&site, 0);
    let answer = during(&site, 1, &key, || kill(&site, 0)).await.unwrap();
    assert_eq!(answer.short(), "200");
    let again = answered(&site, 2, &key, "lacquer").await;
    assert_eq!(again.short(), "200 replay");
    assert_eq!(again.body, answer.body);
    assert_eq!(ran(&site, &key), 1);
}

#[actix_rt::test]
async fn an_owner_that_dies_with_the_claim_stored_and_not_answered_costs_no_refusal() {
    let site = site(3).await;
    joined(&site).await;
    let key = key_of(&site, 0);
    let delay = |millis| {
        site.object_api.set_faults(object::Faults {
            delay_ms: Some(millis),
            ..object::Faults::default()
        });
    };
    delay(200);
    let dies = async {
        wait_until(|| segments(&site) > 0).await.unwrap();
        kill(&site, 0);
        delay(0);
    };
    let call = order(&site, 1, Some(&key), "lacquer");
    let (answer, ()) = futures_util::future::join(call, dies).await;
    assert_eq!(answer.short(), "200");
    assert_eq!(ran(&site, &key), 1);
    let again = answered(&site, 2, &key, "lacquer").await;
    assert_eq!(
        (again.short().as_str(), again.body),
        ("200 replay", answer.body)
    );
}

#[actix_rt::test]
async fn a_front_that_dies_while_its_call_runs_leaves_the_key_in_progress_then_unknown() {
    let site = site(3).await;
    joined(&site).await;
    let key = key_of(&site, 0);
    site.services[0].handle.set_faults(Faults {
        delay_ms: Some(5_000),
        ..Faults::default()
    });
    let call = claims::try_order(&site, 1, Some(&key), "lacquer", 1_000);
    let dies = async {
        wait_until(|| ran(&site, &key) > 0).await.unwrap();
        kill(&site, 1);
    };
    let (lost, ()) = futures_util::future::join(call, dies).await;
    assert_eq!(lost, None);
    let soon = order(&site, 2, Some(&key), "lacquer").await;
    assert_eq!(soon.short(), "409 in_progress unknown later");
    let later = answered(&site, 2, &key, "lacquer").await;
    assert_eq!(later.short(), "502 unknown unknown");
    assert_eq!(ran(&site, &key), 1);
}

#[actix_rt::test]
async fn two_entries_that_both_act_as_owner_run_each_key_once() {
    let site = site(3).await;
    joined(&site).await;
    // Without links this one writes every log itself, while the others ask the owners.
    site.entries[2].shared.mesh.close();
    let keys: Vec<_> = (0..20).map(|i| format!("slot-{i}")).collect();
    let calls = keys.iter().flat_map(|key| {
        let site = &site;
        (0..3).map(move |index| async move { (key, answered(site, index, key, "lacquer").await) })
    });
    let answers = join_all(calls).await;
    for key in &keys {
        let mine = answers.iter().filter(|(k, _)| k == &key);
        let bodies: Vec<_> = mine.map(|(_, a)| (a.status, &a.body)).collect();
        assert!(
            bodies.iter().all(|b| *b == bodies[0] && b.0 == 200),
            "{bodies:?}"
        );
        assert_eq!(ran(&site, key), 1, "{key}");
    }
    assert!(site.entries[2].shared.claims.open_log_count() > 0);
}

#[actix_rt::test]
async fn a_draining_entry_causes_no_refusal() {
    let mut site = site(3).await;
    joined(&site).await;
    let entry = site.entries.remove(0);
    let done = Rc::new(Cell::new(false));
    let finished = Rc::clone(&done);
    entry.shared.drain.request_stop();
    actix_rt::spawn(async move {
        entry.run_until_drained().await;
        finished.set(true);
    });
    let mut number = 0;
    let mut after = 0;
    while after < 20 {
        let key = format!("slot-{number}");
        let answer = claims::try_order(&site, number % 2, Some(&key), "lacquer", 10_000).await;
        assert_eq!(answer.unwrap().short(), "200", "{key}");
        assert_eq!(ran(&site, &key), 1);
        number += 1;
        after += usize::from(done.get());
    }
}

#[actix_rt::test]
async fn a_caller_that_goes_away_leaves_an_outcome_behind() {
    let site = site(2).await;
    joined(&site).await;
    site.services[0].handle.set_faults(Faults {
        delay_ms: Some(100),
        ..Faults::default()
    });
    let call = order(&site, 0, Some(SLOT), "lacquer");
    let gone = wait_until(|| ran(&site, SLOT) > 0);
    // Dropping the call closes its connection.
    tokio::select! {
        answer = call => panic!("{answer:?}"),
        gone = gone => gone.unwrap(),
    }
    let again = answered(&site, 1, SLOT, "lacquer").await;
    assert_eq!(again.short(), "200 replay");
    assert_eq!(ran(&site, SLOT), 1);
}
