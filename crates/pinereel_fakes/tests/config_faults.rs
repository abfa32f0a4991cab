//! Patches and admission while answers are lost, entries vanish and the object API is down.

#![allow(clippy::unwrap_used)]

mod config_help;

use config_help::{
    admits, bound, cut, cut_api, get, highest, in_force, options, patch, pending, site, status,
    uncut,
};
use pinereel_api::object::Faults;
use pinereel_fakes::site::{Site, wait_until};
use serde_json::{Value, json};
use std::time::{Duration, Instant};
use tokio::time::sleep;

/// Longer than an entry admits without any contact.
const LONG: Duration = Duration::from_secs(6);
/// How often a patch is sent again at most.
const MAX_TRIES: u32 = 40;

fn lose(site: &Site, count: u32) {
    site.object_api.set_faults(Faults {
        lose_write_answers: Some(count),
        lose_kind: Some("config".into()),
        ..Faults::default()
    });
}

fn delay(site: &Site, millis: u64) {
    site.object_api.set_faults(Faults {
        delay_ms: Some(millis),
        ..Faults::default()
    });
}

/// Sends a patch to an entry until it is not refused with `code`.
async fn patch_until(site: &Site, entry: usize, id: &str, code: &str) -> (u16, Value) {
    for _ in 0..MAX_TRIES {
        let answer = patch(&site.entries[entry], 1, id, bound(3)).await;
        if answer.1["code"] != code {
            return answer;
        }
        let stands = &site.object_api.objects("config").items[0].value["number"];
        let refused = answer.1["ran"] == "not_run";
        assert!(!refused || *stands == 1, "refused, and yet accepted");
        sleep(Duration::from_millis(100)).await;
    }
    panic!("{code} again and again");
}

#[actix_rt::test]
async fn lost_answer_to_the_pending_write_is_no_refusal() {
    let site = site(3).await;
    lose(&site, 1);
    let answer = patch(&site.entries[0], 1, "a", bound(3)).await;
    assert_eq!(answer, (200, json!({ "number": 2 })));
    wait_until(|| in_force(&site, 2)).await.unwrap();
}

#[actix_rt::test]
async fn lost_answers_to_both_writes_are_no_refusal() {
    let site = site(3).await;
    lose(&site, 2);
    let answer = patch(&site.entries[0], 1, "a", bound(3)).await;
    assert_eq!(answer, (200, json!({ "number": 2 })));
    wait_until(|| in_force(&site, 2)).await.unwrap();
}

#[actix_rt::test]
async fn lost_answer_to_the_accepting_write_is_no_refusal() {
    let site = site(3).await;
    delay(&site, 100);
    let lose_next = async {
        wait_until(|| pending(&site)).await.unwrap();
        lose(&site, 1);
    };
    let sent = patch(&site.entries[0], 1, "a", bound(3));
    let (answer, ()) = futures_util::future::join(sent, lose_next).await;
    assert_eq!(answer, (200, json!({ "number": 2 })));
    wait_until(|| in_force(&site, 2)).await.unwrap();
}

/// With every answer of a write lost nothing but reading back tells what came of it.
#[actix_rt::test]
async fn no_write_answer_at_all_still_gives_one_number_a_patch() {
    let site = site(3).await;
    lose(&site, u32::MAX);
    for base in 1..=4 {
        let from = &site.entries[usize::try_from(base).unwrap() % 3];
        let id = format!("p{base}");
        let answer = patch(from, base, &id, bound(10 + base)).await;
        assert_eq!(answer, (200, json!({ "number": base + 1 })));
        let again = patch(from, base, &id, bound(10 + base)).await;
        assert_eq!(again, answer);
    }
    wait_until(|| in_force(&site, 5)).await.unwrap();
}

#[actix_rt::test]
async fn patch_that_one_entry_does_not_confirm_is_refused_and_never_in_force() {
    let site = site(9).await;
    let highest = highest(&site);
    site.entries[8].shared.mesh.close();
    let start = Instant::now();
    let (code, problem) = patch(&site.entries[0], 1, "a", bound(3)).await;
    assert!(
        start.elapsed() < Duration::from_secs(4),
        "{:?}",
        start.elapsed()
    );
    assert_eq!((code, &problem["code"]), (503, &json!("not_confirmed")));
    assert_eq!(problem["ran"], "not_run");
    let message = problem["message"].as_str().unwrap();
    assert!(message.ends_with("by entry-8"), "{message}");
    wait_until(|| !pending(&site)).await.unwrap();
    // Longer than any doubt lasts.
    sleep(LONG).await;
    assert_eq!(highest.get(), 1);
    assert!(in_force(&site, 1));
    let written = site.object_api.history(Some("config"));
    let numbers = written.iter().filter_map(|r| r.change.value.as_ref());
    assert!(numbers.map(|v| &v["number"]).all(|n| *n == 1));
    let status = status(&site.entries[0]).await;
    let lagging: Vec<_> = status.entries.iter().filter(|(_, e)| e.lags).collect();
    assert_eq!(lagging.len(), 1, "{lagging:?}");
    assert_eq!(lagging[0].0, "entry-8");
}

#[actix_rt::test]
async fn with_the_object_api_down_entries_serve_on_and_patches_are_unknown_at_once() {
    let site = site(9).await;
    site.object_api.set_faults(Faults {
        outage_ms: Some(60_000),
        ..Faults::default()
    });
    let start = Instant::now();
    let (code, problem) = patch(&site.entries[3], 1, "a", bound(3)).await;
    assert!(
        start.elapsed() < Duration::from_secs(2),
        "{:?}",
        start.elapsed()
    );
    assert_eq!((code, &problem["code"]), (503, &json!("object_api")));
    // An earlier sending of the same patch may have been accepted.
    assert_eq!(problem["ran"], "unknown");
    while start.elapsed() < LONG {
        for entry in &site.entries {
            assert_eq!(admits(entry), Ok(1), "{:?}", start.elapsed());
        }
        sleep(Duration::from_millis(20)).await;
    }
    site.object_api.set_faults(Faults {
        outage_ms: Some(0),
        ..Faults::default()
    });
    // Until the client's back-off is over.
    let accepted = patch_until(&site, 3, "a", "object_api").await;
    assert_eq!(accepted, (200, json!({ "number": 2 })));
    wait_until(|| in_force(&site, 2)).await.unwrap();
}

/// A repeat through an entry that can read nothing must not end as refused: it was accepted.
#[actix_rt::test]
async fn repeat_of_an_accepted_patch_at_a_cut_off_entry_is_unknown() {
    let site = site(3).await;
    let answer = patch(&site.entries[0], 1, "a", bound(3)).await;
    assert_eq!(answer, (200, json!({ "number": 2 })));
    cut_api(&site, &site.entries[1]);
    let (_, problem) = patch(&site.entries[1], 1, "a", bound(3)).await;
    assert_eq!(problem["ran"], "unknown", "{problem}");
    uncut(&site);
    assert_eq!(patch_until(&site, 1, "a", "object_api").await, answer);
}

#[actix_rt::test]
async fn patch_is_unknown_soon_while_the_object_api_hangs() {
    let site = site(2).await;
    delay(&site, 60_000);
    let start = Instant::now();
    let (code, problem) = patch(&site.entries[0], 1, "a", bound(3)).await;
    assert!(start.elapsed() < LONG, "{:?}", start.elapsed());
    assert_eq!((code, &problem["code"]), (503, &json!("object_api")));
    // An earlier sending of the same patch may have been accepted.
    assert_eq!(problem["ran"], "unknown");
    assert!(in_force(&site, 1));
}

/// The platform's list lags: it may lack an entry that runs.
#[actix_rt::test]
async fn entry_that_the_platform_lacks_stays_a_member_while_it_answers() {
    let site = site(3).await;
    let member = || {
        let items = site.object_api.objects("members").items;
        items.into_iter().find(|object| object.name == "entry-2")
    };
    let before = member().unwrap();
    site.object_api.remove_instance("entry-2");
    let removable = || {
        let entries = site.entries[..2].iter();
        let views = entries.map(|e| e.shared.members.view().removable(e.shared.now()));
        views.into_iter().all(|list| !list.is_empty())
    };
    wait_until(removable).await.unwrap();
    sleep(Duration::from_secs(3)).await;
    assert_eq!(member(), Some(before));
}

/// Without its object an entry would not be asked to confirm patches.
#[actix_rt::test]
async fn entry_whose_member_object_was_removed_writes_it_again() {
    let site = site(3).await;
    let member = || {
        let items = site.object_api.objects("members").items;
        items.into_iter().find(|object| object.name == "entry-2")
    };
    let before = member().unwrap();
    let url = format!("http://{}/objects/members/entry-2", site.object_api.address);
    let version = before.version.to_string();
    let request = awc::Client::default().delete(url);
    let response = request.insert_header(("if-match", version)).send().await;
    assert_eq!(response.unwrap().status(), 204);
    wait_until(|| member().is_some()).await.unwrap();
    assert_eq!(member().unwrap().value, before.value);
}

#[actix_rt::test]
async fn entry_cut_from_all_stops_admitting_within_seconds_and_says_so() {
    let site = site(3).await;
    let lonely = &site.entries[2];
    let start = Instant::now();
    cut(&site, lonely);
    wait_until(|| admits(lonely).is_err()).await.unwrap();
    assert!(start.elapsed() < LONG, "{:?}", start.elapsed());
    let (code, body) = get(lonely, "/ready").await;
    let body = String::from_utf8(body).unwrap();
    assert_eq!(code, 503);
    assert!(body.contains("neither the object API nor a peer"), "{body}");
    assert!(body.contains("retry_after_ms"), "{body}");
    assert!(status(lonely).await.entries["entry-2"].lags);
    assert!(admits(&site.entries[0]).is_ok());
    uncut(&site);
    wait_until(|| admits(lonely) == Ok(1)).await.unwrap();
}

#[actix_rt::test]
async fn restarted_entry_is_ready_only_with_the_number_in_force() {
    let options = options(3);
    let mut site = Site::start(options.clone()).await.unwrap();
    let old = site.entries.remove(2);
    // A graceful end takes its member object away, so that the others can go on.
    old.shared.drain.request_stop();
    pinereel::controllers::members::deregister(&old.shared)
        .await
        .unwrap();
    cut(&site, &old);
    let answer = patch(&site.entries[0], 1, "a", bound(3)).await;
    assert_eq!(answer, (200, json!({ "number": 2 })));
    site.start_entry(&options, 2).await.unwrap();
    let new = site.entries[2].clone();
    let refusal = "the configuration has not been read yet";
    assert_eq!(admits(&new).unwrap_err(), refusal);
    sleep(Duration::from_secs(1)).await;
    assert_eq!(admits(&new).unwrap_err(), refusal, "the object API is cut");
    uncut(&site);
    wait_until(|| admits(&new).is_ok()).await.unwrap();
    assert_eq!(admits(&new), Ok(2));
    site.wait_until_ready().await.unwrap();
    let answer = patch(&new, 2, "b", bound(4)).await;
    assert_eq!(answer, (200, json!({ "number": 3 })));
}

#[actix_rt::test]
async fn draining_proposer_finishes_its_patch_and_takes_no_more() {
    let mut quick = options(3);
    quick.extra_settings = "[drain]\nbalancer_lag = 1ms\nlongest = 6s\n".into();
    let mut site = Site::start(quick).await.unwrap();
    let leaving = site.entries.remove(0);
    delay(&site, 100);
    let stop = async {
        wait_until(|| pending(&site)).await.unwrap();
        leaving.shared.drain.request_stop();
        wait_until(|| leaving.shared.drain.refuses_requests())
            .await
            .unwrap();
        patch(&leaving, 1, "late", bound(4)).await
    };
    let sent = patch(&leaving, 1, "a", bound(3));
    let (answer, late, ()) =
        futures_util::future::join3(sent, stop, leaving.run_until_drained()).await;
    assert_eq!(answer, (200, json!({ "number": 2 })));
    assert_eq!((late.0, &late.1["code"]), (503, &json!("unavailable")));
    wait_until(|| in_force(&site, 2)).await.unwrap();
}

#[actix_rt::test]
async fn pending_patch_of_a_dead_proposer_is_taken_back_by_the_next() {
    let options = options(3);
    let site = Site::start(options).await.unwrap();
    let dead = site.entries[0].clone();
    // Slow answers, so that the proposer vanishes before it hears that its patch is pending.
    delay(&site, 200);
    let lost = actix_rt::spawn(async move { patch(&dead, 1, "lost", bound(4)).await });
    wait_until(|| pending(&site)).await.unwrap();
    cut(&site, &site.entries[0]);
    delay(&site, 0);
    site.object_api.remove_instance("entry-0");
    // Until the platform has said "gone" for long enough, the dead entry is missing.
    let next = patch_until(&site, 1, "next", "not_confirmed").await;
    assert_eq!(next, (200, json!({ "number": 2 })));
    let alive = &site.entries[1..];
    wait_until(|| alive.iter().all(|e| admits(e) == Ok(2)))
        .await
        .unwrap();
    let pin = alive[0].shared.config.snapshot().unwrap();
    assert_eq!(pin.document.trainers["dispatch"].bound, 3);
    let (code, problem) = lost.await.unwrap();
    assert_ne!(code, 200, "{problem}");
    assert!(
        admits(&site.entries[0]).is_err(),
        "it is cut off and may not serve"
    );
}
