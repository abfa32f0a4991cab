//! Requests on routes that an instance does not know while it may miss changes of the configuration, with real
//! processes.

use actix_http::{Method, StatusCode};
use bytes::Bytes;
use pinereel_fakes::{
    child_process::Signal,
    hosting::{
        http::{Answer, call},
        proxy,
        site::{HOST, Instance, PLAIN_SERVICE, Site, Size},
    },
};
use std::time::Duration;
use tokio::time::sleep;

/// Longest time between the confirmation of a change and its effect.
const MAX_APPLY_TIME: Duration = Duration::from_secs(2);
const TIMEOUT: Duration = Duration::from_secs(2);

async fn ask(instance: &Instance, path: &str) -> Answer {
    let headers = [
        ("host", HOST.to_owned()),
        ("x-request-id", format!("{}{path}", instance.name)),
        ("x-deadline-ms", TIMEOUT.as_millis().to_string()),
    ];
    let (address, body) = (instance.caller_address(), Bytes::new());
    let answer = call(address, Method::POST, path, &headers, body, TIMEOUT);
    answer.await.expect("the instance answers")
}

/// An instance answered 404 to requests on added routes, as if its configuration were the newest one, for as
/// long as changes did not reach it. Callers do not repeat a request after 404.
#[actix_rt::test]
async fn an_added_route_is_not_denied_while_changes_do_not_arrive() {
    let size = Size {
        instances: 3,
        engines: 1,
        services: 2,
    };
    let mut site = Site::start(size, 261).await.expect("the site starts");
    sleep(Duration::from_secs(2)).await;
    let alone = (site.root() + 1) % size.instances;
    let calm = ask(&site.instances[alone], "/unknown/x").await;
    assert_eq!(calm.status, StatusCode::NOT_FOUND);
    let others: Vec<_> = (0..size.instances).filter(|i| *i != alone).collect();
    for index in &others {
        site.instances[*index].signal(Signal::STOP);
    }
    let store_proxy = site.instances[alone].store_proxy.clone();
    store_proxy.set_faults(proxy::Faults::DROP_ALL);
    site.configure(PLAIN_SERVICE, TIMEOUT);
    sleep(MAX_APPLY_TIME).await;
    let path = format!("/only-{}/x", site.config_version);
    let outdated = ask(&site.instances[alone], &path).await;
    assert_eq!(outdated.status, StatusCode::SERVICE_UNAVAILABLE);
    assert!(outdated.header("retry-after").is_some(), "{outdated:?}");
    for index in others {
        site.instances[index].signal(Signal::CONT);
    }
    store_proxy.set_faults(proxy::Faults::default());
    store_proxy.reset_connections();
    sleep(MAX_APPLY_TIME).await;
    let current = ask(&site.instances[alone], &path).await;
    assert_eq!(current.status, StatusCode::OK);
    let unknown = ask(&site.instances[alone], "/unknown/x").await;
    assert_eq!(unknown.status, StatusCode::NOT_FOUND);
}
