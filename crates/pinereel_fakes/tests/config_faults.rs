//! Configuration patches and the admission of requests while responses of the object API are lost,
//! entries are disconnected, or the object API is unavailable.

#![allow(clippy::unwrap_used)]

mod config_support;

use config_support::{
    admits, all_admit_under, bound_merge, disconnect, disconnect_from_object_api, get,
    is_patch_pending, options, patch, reconnect_object_api, start_site, status,
    track_highest_number,
};
use pinereel_api::object::Faults;
use pinereel_fakes::site::{Site, wait_until};
use serde_json::{Value, json};
use std::time::{Duration, Instant};
use tokio::time::sleep;

/// More than the time for which an entry admits requests without contact to the object API or a
/// peer, and more than the time for which the result of a patch can be in doubt.
const OVER_ISOLATION_TIMEOUT: Duration = Duration::from_secs(6);
/// Maximum number of times that a patch is submitted.
const MAX_ATTEMPTS: u32 = 40;

/// Lets the object API apply the next `count` writes of the configuration without a response.
fn lose_write_responses(site: &Site, count: u32) {
    site.object_api.set_faults(Faults {
        lose_write_answers: Some(count),
        lose_kind: Some("config".into()),
        ..Faults::default()
    });
}

/// Delays every response of the object API by `millis`.
fn delay_responses(site: &Site, millis: u64) {
    site.object_api.set_faults(Faults {
        delay_ms: Some(millis),
        ..Faults::default()
    });
}

/// Submits a patch to the entry with this index again as long as the response is a problem with
/// this code; returns the first other response.
async fn retry_patch_while(
    site: &Site,
    index: usize,
    id: &str,
    problem_code: &str,
) -> (u16, Value) {
    for _ in 0..MAX_ATTEMPTS {
        let answer = patch(&site.entries[index], 1, id, bound_merge(3)).await;
        if answer.1["code"] != problem_code {
            return answer;
        }
        let stored_number = &site.object_api.objects("config").items[0].value["number"];
        let not_run = answer.1["ran"] == "not_run";
        assert!(
            !not_run || *stored_number == 1,
            "a patch that was reported as not run was accepted"
        );
        sleep(Duration::from_millis(100)).await;
    }
    panic!("problem {problem_code} after {MAX_ATTEMPTS} attempts");
}

#[actix_rt::test]
async fn a_lost_response_to_the_pending_write_does_not_fail_the_patch() {
    let site = start_site(3).await;
    lose_write_responses(&site, 1);
    let answer = patch(&site.entries[0], 1, "a", bound_merge(3)).await;
    assert_eq!(answer, (200, json!({ "number": 2 })));
    wait_until(|| all_admit_under(&site, 2)).await.unwrap();
}

#[actix_rt::test]
async fn lost_responses_to_both_writes_do_not_fail_the_patch() {
    let site = start_site(3).await;
    lose_write_responses(&site, 2);
    let answer = patch(&site.entries[0], 1, "a", bound_merge(3)).await;
    assert_eq!(answer, (200, json!({ "number": 2 })));
    wait_until(|| all_admit_under(&site, 2)).await.unwrap();
}

#[actix_rt::test]
async fn a_lost_response_to_the_accepting_write_does_not_fail_the_patch() {
    let site = start_site(3).await;
    delay_responses(&site, 100);
    let lose_next_response = async {
        wait_until(|| is_patch_pending(&site)).await.unwrap();
        lose_write_responses(&site, 1);
    };
    let submission = patch(&site.entries[0], 1, "a", bound_merge(3));
    let (answer, ()) = futures_util::future::join(submission, lose_next_response).await;
    assert_eq!(answer, (200, json!({ "number": 2 })));
    wait_until(|| all_admit_under(&site, 2)).await.unwrap();
}

/// Without responses to writes, a coordinator learns their results only by reading the object.
#[actix_rt::test]
async fn each_patch_gets_one_number_when_all_write_responses_are_lost() {
    let site = start_site(3).await;
    lose_write_responses(&site, u32::MAX);
    for base in 1..=4 {
        let entry = &site.entries[usize::try_from(base).unwrap() % 3];
        let id = format!("p{base}");
        let answer = patch(entry, base, &id, bound_merge(10 + base)).await;
        assert_eq!(answer, (200, json!({ "number": base + 1 })));
        let repeated = patch(entry, base, &id, bound_merge(10 + base)).await;
        assert_eq!(repeated, answer);
    }
    wait_until(|| all_admit_under(&site, 5)).await.unwrap();
}

#[actix_rt::test]
async fn a_patch_that_one_entry_does_not_confirm_is_refused_and_never_in_force() {
    let site = start_site(9).await;
    let highest = track_highest_number(&site);
    site.entries[8].shared.mesh.close();
    let start = Instant::now();
    let (http_status, problem) = patch(&site.entries[0], 1, "a", bound_merge(3)).await;
    assert!(
        start.elapsed() < Duration::from_secs(4),
        "{:?}",
        start.elapsed()
    );
    assert_eq!(
        (http_status, &problem["code"]),
        (503, &json!("not_confirmed"))
    );
    assert_eq!(problem["ran"], "not_run");
    let message = problem["message"].as_str().unwrap();
    assert!(message.ends_with("by entry-8"), "{message}");
    wait_until(|| !is_patch_pending(&site)).await.unwrap();
    // After this time no entry can be in doubt about the patch.
    sleep(OVER_ISOLATION_TIMEOUT).await;
    assert_eq!(highest.get(), 1);
    assert!(all_admit_under(&site, 1));
    let history = site.object_api.history(Some("config"));
    let values = history.iter().filter_map(|r| r.change.value.as_ref());
    assert!(values.map(|v| &v["number"]).all(|n| *n == 1));
    let status = status(&site.entries[0]).await;
    let lagging: Vec<_> = status.entries.iter().filter(|(_, e)| e.lags).collect();
    assert_eq!(lagging.len(), 1, "{lagging:?}");
    assert_eq!(lagging[0].0, "entry-8");
}

#[actix_rt::test]
async fn during_an_object_api_outage_entries_admit_requests_and_patch_results_are_unknown() {
    let site = start_site(9).await;
    site.object_api.set_faults(Faults {
        outage_ms: Some(60_000),
        ..Faults::default()
    });
    let start = Instant::now();
    let (http_status, problem) = patch(&site.entries[3], 1, "a", bound_merge(3)).await;
    assert!(
        start.elapsed() < Duration::from_secs(2),
        "{:?}",
        start.elapsed()
    );
    assert_eq!((http_status, &problem["code"]), (503, &json!("object_api")));
    // An earlier submission of the same patch may have been accepted.
    assert_eq!(problem["ran"], "unknown");
    while start.elapsed() < OVER_ISOLATION_TIMEOUT {
        for entry in &site.entries {
            assert_eq!(admits(entry), Ok(1), "{:?}", start.elapsed());
        }
        sleep(Duration::from_millis(20)).await;
    }
    site.object_api.set_faults(Faults {
        outage_ms: Some(0),
        ..Faults::default()
    });
    // The entry's client of the object API first has to finish its backoff.
    let accepted = retry_patch_while(&site, 3, "a", "object_api").await;
    assert_eq!(accepted, (200, json!({ "number": 2 })));
    wait_until(|| all_admit_under(&site, 2)).await.unwrap();
}

/// The entry cannot read whether the patch was accepted, so it must not report a refusal.
#[actix_rt::test]
async fn a_repeated_patch_is_unknown_at_an_entry_without_the_object_api() {
    let site = start_site(3).await;
    let answer = patch(&site.entries[0], 1, "a", bound_merge(3)).await;
    assert_eq!(answer, (200, json!({ "number": 2 })));
    disconnect_from_object_api(&site, &site.entries[1]);
    let (_, problem) = patch(&site.entries[1], 1, "a", bound_merge(3)).await;
    assert_eq!(problem["ran"], "unknown", "{problem}");
    reconnect_object_api(&site);
    assert_eq!(retry_patch_while(&site, 1, "a", "object_api").await, answer);
}

#[actix_rt::test]
async fn a_patch_result_is_unknown_when_the_object_api_does_not_respond_in_time() {
    let site = start_site(2).await;
    delay_responses(&site, 60_000);
    let start = Instant::now();
    let (http_status, problem) = patch(&site.entries[0], 1, "a", bound_merge(3)).await;
    assert!(
        start.elapsed() < OVER_ISOLATION_TIMEOUT,
        "{:?}",
        start.elapsed()
    );
    assert_eq!((http_status, &problem["code"]), (503, &json!("object_api")));
    // An earlier submission of the same patch may have been accepted.
    assert_eq!(problem["ran"], "unknown");
    assert!(all_admit_under(&site, 1));
}

/// The platform's list of instances is updated with a lag, so it may lack a running entry.
#[actix_rt::test]
async fn an_entry_missing_from_the_platform_list_stays_a_member_while_it_responds() {
    let site = start_site(3).await;
    let member = || {
        let items = site.object_api.objects("members").items;
        items.into_iter().find(|object| object.name == "entry-2")
    };
    let before = member().unwrap();
    site.object_api.remove_instance("entry-2");
    let removable = || {
        let entries = site.entries[..2].iter();
        let removable_members = entries.map(|e| e.shared.members.view().removable(e.shared.now()));
        removable_members
            .into_iter()
            .all(|members| !members.is_empty())
    };
    wait_until(removable).await.unwrap();
    sleep(Duration::from_secs(3)).await;
    assert_eq!(member(), Some(before));
}

/// Coordinators do not ask an entry without a member object to confirm patches.
#[actix_rt::test]
async fn an_entry_recreates_its_deleted_member_object() {
    let site = start_site(3).await;
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
async fn an_isolated_entry_stops_admitting_and_reports_not_ready() {
    let site = start_site(3).await;
    let isolated = &site.entries[2];
    let start = Instant::now();
    disconnect(&site, isolated);
    wait_until(|| admits(isolated).is_err()).await.unwrap();
    assert!(
        start.elapsed() < OVER_ISOLATION_TIMEOUT,
        "{:?}",
        start.elapsed()
    );
    let (http_status, body) = get(isolated, "/ready").await;
    let body = String::from_utf8(body).unwrap();
    assert_eq!(http_status, 503);
    assert!(body.contains("neither the object API nor a peer"), "{body}");
    assert!(body.contains("retry_after_ms"), "{body}");
    assert!(status(isolated).await.entries["entry-2"].lags);
    assert!(admits(&site.entries[0]).is_ok());
    reconnect_object_api(&site);
    wait_until(|| admits(isolated) == Ok(1)).await.unwrap();
}

#[actix_rt::test]
async fn a_restarted_entry_is_ready_only_with_the_number_in_force() {
    let options = options(3);
    let mut site = Site::start(options.clone()).await.unwrap();
    let old = site.entries.remove(2);
    // A graceful shutdown deletes the member object, so that patches do not wait for this entry.
    old.shared.drain.request_stop();
    pinereel::controllers::members::deregister(&old.shared)
        .await
        .unwrap();
    disconnect(&site, &old);
    let answer = patch(&site.entries[0], 1, "a", bound_merge(3)).await;
    assert_eq!(answer, (200, json!({ "number": 2 })));
    site.start_entry(&options, 2).await.unwrap();
    let new = site.entries[2].clone();
    let refusal = "the configuration has not been read yet";
    assert_eq!(admits(&new).unwrap_err(), refusal);
    sleep(Duration::from_secs(1)).await;
    assert_eq!(
        admits(&new).unwrap_err(),
        refusal,
        "the object API is still disconnected"
    );
    reconnect_object_api(&site);
    wait_until(|| admits(&new).is_ok()).await.unwrap();
    assert_eq!(admits(&new), Ok(2));
    site.wait_until_ready().await.unwrap();
    let answer = patch(&new, 2, "b", bound_merge(4)).await;
    assert_eq!(answer, (200, json!({ "number": 3 })));
}

#[actix_rt::test]
async fn a_draining_coordinator_finishes_its_patch_and_refuses_new_ones() {
    let mut options = options(3);
    options.extra_settings = "[drain]\nbalancer_lag = 1ms\nlongest = 6s\n".into();
    let mut site = Site::start(options).await.unwrap();
    let leaving = site.entries.remove(0);
    delay_responses(&site, 100);
    let patch_during_drain = async {
        wait_until(|| is_patch_pending(&site)).await.unwrap();
        leaving.shared.drain.request_stop();
        wait_until(|| leaving.shared.drain.refuses_requests())
            .await
            .unwrap();
        patch(&leaving, 1, "late", bound_merge(4)).await
    };
    let submission = patch(&leaving, 1, "a", bound_merge(3));
    let (answer, refusal, ()) =
        futures_util::future::join3(submission, patch_during_drain, leaving.run_until_drained())
            .await;
    assert_eq!(answer, (200, json!({ "number": 2 })));
    assert_eq!(
        (refusal.0, &refusal.1["code"]),
        (503, &json!("unavailable"))
    );
    wait_until(|| all_admit_under(&site, 2)).await.unwrap();
}

#[actix_rt::test]
async fn the_next_coordinator_aborts_the_pending_patch_of_a_dead_one() {
    let options = options(3);
    let site = Site::start(options).await.unwrap();
    let dead = site.entries[0].clone();
    // With slow responses the coordinator is disconnected before it learns that its patch is
    // pending.
    delay_responses(&site, 200);
    let lost_patch = actix_rt::spawn(async move { patch(&dead, 1, "lost", bound_merge(4)).await });
    wait_until(|| is_patch_pending(&site)).await.unwrap();
    disconnect(&site, &site.entries[0]);
    delay_responses(&site, 0);
    site.object_api.remove_instance("entry-0");
    // Patches need the confirmation of the dead entry until the platform's list has lacked it for
    // long enough.
    let next = retry_patch_while(&site, 1, "next", "not_confirmed").await;
    assert_eq!(next, (200, json!({ "number": 2 })));
    let alive = &site.entries[1..];
    wait_until(|| alive.iter().all(|e| admits(e) == Ok(2)))
        .await
        .unwrap();
    let snapshot = alive[0].shared.config.snapshot().unwrap();
    assert_eq!(snapshot.document.trainers["dispatch"].bound, 3);
    let (http_status, problem) = lost_patch.await.unwrap();
    assert_ne!(http_status, 200, "{problem}");
    assert!(
        admits(&site.entries[0]).is_err(),
        "a disconnected entry admits requests"
    );
}
