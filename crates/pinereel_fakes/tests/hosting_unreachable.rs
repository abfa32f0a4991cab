//! Endpoints that instances cannot reach for a while, though they run and are listed, with real processes.

use actix_http::StatusCode;
use pinereel_fakes::hosting::{
    caller::post,
    proxy::Cut,
    site::{Site, Size},
};
use std::time::Duration;
use tokio::time::sleep;

/// Time after the end of a cut within which each endpoint is used again.
const RECOVERY_TIME: Duration = Duration::from_secs(3);
const REQUEST_INTERVAL: Duration = Duration::from_millis(100);
const DEADLINE: Duration = Duration::from_millis(1_500);

async fn is_served(site: &Site, instance: usize, route: &str, number: u32) -> bool {
    let address = site.instances[instance].caller_proxy.address;
    let (target, id) = (
        format!("/{route}/x"),
        format!("{route}-{instance}-{number}"),
    );
    let time_limit = Duration::from_secs(2);
    let answer = post(address, &target, id, DEADLINE, "", time_limit).await;
    answer.is_ok_and(|answer| answer.status == StatusCode::OK)
}

/// Sends requests through all instances for `span`, on a route whose requests may be repeated and on one
/// whose may not; returns how many were sent and served.
async fn send_requests(site: &Site, span: Duration) -> (usize, usize) {
    let rounds = 0..(span.as_millis() / REQUEST_INTERVAL.as_millis()) as u32;
    let requests = rounds.flat_map(|round| {
        let instances = 0..site.instances.len();
        let routes = instances.flat_map(|i| [("live", i), ("once", i)]);
        routes.map(move |(route, instance)| async move {
            sleep(REQUEST_INTERVAL * round).await;
            is_served(site, instance, route, round).await
        })
    });
    let served = futures_util::future::join_all(requests).await;
    (
        served.len(),
        served.iter().filter(|served| **served).count(),
    )
}

/// Number of requests that each endpoint has run.
fn run_counts(site: &Site) -> Vec<u64> {
    let services = site.services.iter();
    services
        .map(|service| service.endpoint.answer_count())
        .collect()
}

/// Cuts all endpoints of a service but `spared` for `span` beside requests, and checks that each that was used
/// before is used again afterwards.
async fn play(seed: u64, cut: Cut, span: Duration, spared: usize) {
    let size = Size {
        instances: 2,
        engines: 1,
        services: 3,
    };
    let site = Site::start(size, seed).await.expect("the site starts");
    let (sent, served) = send_requests(&site, Duration::from_secs(1)).await;
    assert_eq!(sent, served, "before the cut");
    let used = run_counts(&site);
    let severed: Vec<_> = site.services.iter().take(size.services - spared).collect();
    severed.iter().for_each(|service| service.proxy.cut(cut));
    let during = send_requests(&site, span).await;
    severed.iter().for_each(|service| service.proxy.heal());
    sleep(RECOVERY_TIME).await;
    let before = run_counts(&site);
    let (sent, served) = send_requests(&site, Duration::from_secs(4)).await;
    let runs: Vec<_> = run_counts(&site)
        .iter()
        .zip(before)
        .map(|(now, before)| now - before)
        .collect();
    println!(
        "{cut:?} {span:?}, {spared} spared: {during:?} (sent, served) in the cut, {served} of {sent} after it, {runs:?}"
    );
    assert_eq!(sent, served, "after the cut");
    let mut pairs = used.iter().zip(&runs);
    assert!(
        pairs.all(|(used, runs)| *used == 0 || *runs > 0),
        "{used:?} {runs:?}"
    );
}

/// Three refused connections in more than a second marked an endpoint as leaving for good: after a cut of
/// all endpoints of a service, each request was refused until a restart.
#[actix_rt::test]
async fn all_endpoints_of_a_service_are_used_again_after_a_cut() {
    for (seed, cut, seconds) in [
        (221, Cut::Refused, 1.5),
        (222, Cut::Refused, 5.0),
        (223, Cut::Silent, 5.0),
    ] {
        play(seed, cut, Duration::from_secs_f64(seconds), 0).await;
    }
}

/// With one endpoint left, the others were never tried again.
#[actix_rt::test]
async fn each_endpoint_of_a_service_is_used_again_after_a_cut_of_some() {
    for (seed, cut, seconds) in [(224, Cut::Refused, 5.0), (225, Cut::Silent, 5.0)] {
        play(seed, cut, Duration::from_secs_f64(seconds), 1).await;
    }
}
