//! Lots whose ids have a meaning in a URI.

use actix_http::{Method, StatusCode};
use bytes::Bytes;
use pinereel_fakes::hosting::{
    http::{Answer, call},
    site::{HOST, MODEL, Site, Size},
    trainer::submit_once,
};
use pinereel_port::uri::encode;
use serde_json::{Value, json};
use std::time::Duration;
use tokio::time::{Instant, sleep};

const SITE_SIZE: Size = Size {
    instances: 2,
    engines: 1,
    services: 1,
};
const TIMEOUT: Duration = Duration::from_secs(3);
const RESULT_TIMEOUT: Duration = Duration::from_secs(10);
const BODY: &str = "prompt";

async fn send(site: &Site, method: Method, target: &str) -> Answer {
    let address = site.instances[1].caller_proxy.address;
    let headers = [("host", HOST.to_owned())];
    let answer = call(address, method, target, &headers, Bytes::new(), TIMEOUT);
    answer.await.expect("an answer")
}

fn item(id: &str) -> Value {
    json!({"id": id, "path": "/lots/x", "body": "cHJvbXB0", "tokens": 3, "group": "g", "headers": {"X-Model": MODEL}})
}

/// The id was read from the path without decoding, so that a lot that was accepted was never found.
#[actix_rt::test]
async fn a_lot_is_found_whatever_its_id() {
    let site = Site::start(SITE_SIZE, 701).await.expect("the site starts");
    for id in [
        "a b", "a%b", "a%41", "a?b", "a&b=c", "a#b", "a+b", "a;b", "\"a\"", "~a.b_c-d",
    ] {
        let item_id = format!("item of {id}");
        let submitted = submit_once(&site, id, (MODEL, 1), vec![item(&item_id)]).await;
        assert_eq!(submitted, Ok(StatusCode::ACCEPTED), "{id}");
        let target = format!("/v1/items/{}?id={}", encode(id), encode(&item_id));
        let body = send(&site, Method::GET, &target).await;
        assert_eq!(
            (body.status, &*body.body),
            (StatusCode::OK, BODY.as_bytes()),
            "{id}"
        );
        let target = format!("/v1/lots/{}", encode(id));
        let end = Instant::now() + RESULT_TIMEOUT;
        let result = loop {
            let answer = send(&site, Method::GET, &target).await;
            assert_eq!(answer.status, StatusCode::OK, "{id}");
            let page: Value = serde_json::from_slice(&answer.body).expect("a page");
            if page["results"][0].is_object() || Instant::now() > end {
                break page["results"][0].clone();
            }
            sleep(Duration::from_millis(100)).await;
        };
        assert_eq!(result["id"], *item_id, "{id}");
        let ended = send(&site, Method::DELETE, &target).await;
        assert_eq!(ended.status, StatusCode::OK, "{id}");
    }
}

/// The store refuses such a name with a status that says nothing about the lot, which may have been kept for all
/// that its trainer knew.
#[actix_rt::test]
async fn a_lot_whose_id_cannot_be_kept_is_refused() {
    let site = Site::start(SITE_SIZE, 702).await.expect("the site starts");
    for id in ["a/b", "/", "", ".", "..", "é"] {
        let submitted = submit_once(&site, id, (MODEL, 1), vec![item("i")]).await;
        assert_eq!(submitted, Ok(StatusCode::BAD_REQUEST), "{id:?}");
    }
}
