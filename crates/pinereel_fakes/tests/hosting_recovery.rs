//! Recovery after all instances were killed at once, while the store answers only a few of them, with real
//! processes. From 12 s after their return, at least a quarter of the requests must be served on each route.
//!
//! An instance that the store did not answer as it started knew no other instance, and served nothing until
//! the store answered it.

use actix_http::Method;
use bytes::Bytes;
use pinereel::upstream::pool::Pool;
use pinereel_fakes::{
    child_process::Signal,
    hosting::{
        http::call_on,
        proxy,
        site::{HOST, OTHER_SERVICE, Site, Size},
    },
};
use std::{collections::BTreeMap, rc::Rc, time::Duration};
use tokio::time::{Instant, sleep};

const INSTANCES: usize = 12;
/// Number of instances that the store answers.
const ANSWERED: usize = 2;
/// Time after the return of the instances from which on requests must be served.
const MAX_RECOVERY_TIME: Duration = Duration::from_secs(12);
/// Time between the starts of two instances; all start within 0.8 s.
const START_LAG: Duration = Duration::from_millis(60);
/// Time for which an instance may need until it counts as in touch.
const MAX_JOIN_TIME: Duration = Duration::from_secs(3);
/// Time for which requests are sent.
const REQUEST_TIME: Duration = Duration::from_secs(3);
const DEADLINE: Duration = Duration::from_secs(1);

/// How the store fails to answer some of the instances.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Failure {
    /// It does not answer.
    Silent,
    /// It receives calls and its answers are lost.
    AnswersLost,
    /// It closes connections.
    Refuses,
    /// It answers with status 503.
    Rejects,
}

fn cut_off(site: &Site, failure: Failure, indices: impl Iterator<Item = usize> + Clone) {
    let faults = match failure {
        Failure::Silent => proxy::Faults::DROP_ALL,
        Failure::AnswersLost => proxy::Faults {
            drop_requests: false,
            ..proxy::Faults::DROP_ALL
        },
        Failure::Refuses => proxy::Faults {
            refuse_connections: true,
            ..proxy::Faults::default()
        },
        Failure::Rejects => {
            let names = indices.map(|index| site.instances[index].name.clone());
            return site.store.reject_instances(names);
        }
    };
    for index in indices {
        site.instances[index].store_proxy.set_faults(faults);
    }
}

/// Sends requests to all instances over kept connections. Returns the number of requests and of those served,
/// by route.
async fn served_by_route(site: &Site) -> BTreeMap<String, [usize; 2]> {
    let newest = format!("only-{}", site.config_version);
    let routes = ["live", "once", &newest];
    let end = Instant::now() + REQUEST_TIME;
    let pool = Rc::new(Pool::default());
    let mut counts = BTreeMap::<_, [usize; 2]>::new();
    for round in 0.. {
        if Instant::now() >= end {
            break;
        }
        let requests = site.instances.iter().flat_map(|instance| {
            let pool = &pool;
            routes.map(|route| async move {
                let headers = [
                    ("host", HOST.to_owned()),
                    ("x-request-id", format!("{}-{route}-{round}", instance.name)),
                    ("x-deadline-ms", DEADLINE.as_millis().to_string()),
                ];
                let (address, path) = (instance.caller_address(), format!("/{route}/x"));
                let (method, body) = (Method::POST, Bytes::new());
                let answer = call_on(pool, address, method, &path, &headers, body, DEADLINE).await;
                (route, answer.is_ok_and(|answer| answer.status.is_success()))
            })
        });
        for (route, is_served) in futures_util::future::join_all(requests).await {
            let [sent, served] = counts.entry(route.to_owned()).or_default();
            *sent += 1;
            *served += usize::from(is_served);
        }
        sleep(Duration::from_millis(100)).await;
    }
    counts
}

/// Kills all instances right after a change of the configuration, and starts them again while the store fails
/// to answer all but a few.
async fn assert_recovery(failure: Failure, seed: u64) {
    let size = Size {
        instances: INSTANCES,
        engines: 1,
        services: 3,
    };
    let mut site = Site::start(size, seed).await.expect("the site starts");
    sleep(Duration::from_secs(2)).await;
    site.configure(OTHER_SERVICE, Duration::from_secs(2));
    for instance in &mut site.instances {
        instance.signal(Signal::KILL);
    }
    // Which instances are answered depends on the seed.
    let first = seed as usize % INSTANCES;
    let unanswered = (ANSWERED..INSTANCES).map(move |offset| (first + offset) % INSTANCES);
    cut_off(&site, failure, unanswered);
    for instance in &mut site.instances {
        sleep(START_LAG).await;
        instance.start().expect("the instance starts");
    }
    sleep(MAX_RECOVERY_TIME).await;
    let counts = served_by_route(&site).await;
    println!("{failure:?}: requests and served ones by route: {counts:?}");
    let is_served = |[sent, served]: &[usize; 2]| *served * 4 >= *sent && *sent > 0;
    assert!(counts.values().all(is_served), "{failure:?}: {counts:?}");
}

#[actix_rt::test]
async fn a_quarter_is_served_after_a_restart_of_all_while_the_store_is_silent_to_most() {
    assert_recovery(Failure::Silent, 241).await;
}

#[actix_rt::test]
async fn a_quarter_is_served_after_a_restart_of_all_while_the_answers_of_the_store_are_lost_to_most()
 {
    assert_recovery(Failure::AnswersLost, 245).await;
}

#[actix_rt::test]
async fn a_quarter_is_served_after_a_restart_of_all_while_the_store_refuses_connections_of_most() {
    assert_recovery(Failure::Refuses, 249).await;
}

#[actix_rt::test]
async fn a_quarter_is_served_after_a_restart_of_all_while_the_store_rejects_most() {
    assert_recovery(Failure::Rejects, 254).await;
}

/// An instance that starts while the store does not answer it gets the configuration and the endpoints from
/// others.
#[actix_rt::test]
async fn an_instance_that_starts_without_the_store_serves_by_its_seeds() {
    let size = Size {
        instances: 4,
        engines: 1,
        services: 2,
    };
    let mut site = Site::start(size, 242).await.expect("the site starts");
    sleep(Duration::from_secs(2)).await;
    let added = site.add_instance_without_store().await;
    added.expect("the instance starts");
    sleep(MAX_JOIN_TIME).await;
    assert!(site.serves_newest_routes(size.instances).await);
}
