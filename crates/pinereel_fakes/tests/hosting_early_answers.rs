//! Endpoints that answer before they have read a request, with real processes.

use bytes::Bytes;
use pinereel_fakes::hosting::{
    caller::post,
    http::Answer,
    raw_endpoint::{End, RawEndpoint, Script},
    site::{Limits, PLAIN_SERVICE, Site, Size},
};
use serde_json::json;
use std::time::Duration;
use tokio::time::sleep;

const SITE_SIZE: Size = Size {
    instances: 1,
    engines: 1,
    services: 0,
};
/// Time within which an instance knows a new endpoint.
const REGISTRATION_TIME: Duration = Duration::from_millis(1_500);
const TIMEOUT: Duration = Duration::from_secs(5);
/// More than the kernel buffers of a connection.
const UPLOAD_BYTES: [usize; 2] = [8_000_000, 30_000_000];
const ROUTES: [&str; 2] = ["/live/x", "/once/x"];
const RESETS_MS: [u64; 5] = [0, 5, 20, 60, 300];

/// A site whose only endpoint for live requests acts by `script`.
async fn site_with(seed: u64, script: Script) -> (Site, RawEndpoint) {
    let limits = Limits {
        body_bytes: 32_000_000,
        ..Limits::default()
    };
    let site = Site::start_with_limits(SITE_SIZE, seed, limits).await;
    let site = site.expect("the site starts");
    let endpoint = RawEndpoint::start("raw-0", PLAIN_SERVICE, json!([]), script, &site.store);
    let endpoint = endpoint.await.expect("the endpoint starts");
    sleep(REGISTRATION_TIME).await;
    (site, endpoint)
}

async fn upload(site: &Site, path: &str, id: &str, bytes: usize) -> Answer {
    let address = site.instances[0].caller_proxy.address;
    let body = Bytes::from(vec![b'u'; bytes]);
    let answer = post(address, path, id, TIMEOUT, body, TIMEOUT * 2).await;
    answer.expect("the instance answers")
}

/// A head without a length, and the first bytes of a body.
fn part(lines: &str, more: &str, body_bytes: usize) -> Vec<u8> {
    let head = format!("HTTP/1.1 200 OK\r\n{lines}{more}\r\n");
    [head.into_bytes(), vec![b'p'; body_bytes]].concat()
}

/// Sends an upload of each size on each route, of which none may be answered with a part of an answer.
async fn expect_no_answer(site: &Site, endpoint: &RawEndpoint, case: &str) {
    for bytes in UPLOAD_BYTES {
        for path in ROUTES {
            let id = format!("{case}{path}{bytes}");
            let requests_before = endpoint.request_count();
            let answer = upload(site, path, &id, bytes).await;
            let requests = endpoint.request_count() - requests_before;
            let body_bytes = answer.body.len();
            assert_eq!(answer.status.as_u16(), 502, "{id}: {body_bytes} bytes");
            assert_eq!(answer.header("x-response-stamp"), None, "{id}");
            assert_eq!(answer.header("x-not-executed"), None, "{id}");
            assert!(requests >= 1, "{id}");
            // A request that may run only once is never sent again after a lost answer.
            assert!(path == "/live/x" || requests == 1, "{id}: {requests}");
        }
    }
}

/// Failure: writing the request consumes the error of the reset, so that the part of the answer that has
/// arrived seems to be delimited by a regular end of the connection.
#[actix_rt::test]
async fn a_part_of_an_answer_before_a_reset_is_not_passed_on() {
    let unused = Script::new(|lines| part(lines, "", 4), End::Close);
    let (site, endpoint) = site_with(691, unused).await;
    for delay_ms in RESETS_MS {
        for body_bytes in [4, 60_000] {
            let end = End::Reset(Duration::from_millis(delay_ms));
            endpoint.set_script(Script::new(move |lines| part(lines, "", body_bytes), end));
            let case = format!("reset-{delay_ms}-{body_bytes}");
            expect_no_answer(&site, &endpoint, &case).await;
        }
    }
    for read_bytes in [1, 4_000_000] {
        let answer = |lines: &str| part(lines, "connection: close\r\n", 4);
        endpoint.set_script(Script {
            read_bytes,
            ..Script::new(answer, End::Reset(Duration::from_millis(20)))
        });
        expect_no_answer(&site, &endpoint, &format!("read-{read_bytes}")).await;
    }
}

/// Failure: an endpoint that closes a connection with unread bytes resets it.
#[actix_rt::test]
async fn a_part_of_an_answer_before_a_close_with_unread_bytes_is_not_passed_on() {
    let script = Script::new(|lines| part(lines, "", 4), End::Close);
    let (site, endpoint) = site_with(692, script).await;
    expect_no_answer(&site, &endpoint, "close").await;
}

/// An answer whose framing announces its end, or whose connection ends without an error, is whole.
#[actix_rt::test]
async fn a_whole_answer_before_the_end_of_the_upload_is_passed_on() {
    let with_length = |lines: &str| part(lines, "content-length: 4\r\n", 4);
    let chunked = |lines: &str| {
        let head = format!("HTTP/1.1 200 OK\r\n{lines}transfer-encoding: chunked\r\n\r\n");
        (head + "4\r\npppp\r\n0\r\n\r\n").into_bytes()
    };
    let after_interim = |lines: &str| {
        let interim = b"HTTP/1.1 103 Early Hints\r\nlink: </a>\r\n\r\n".to_vec();
        [interim, part(lines, "content-length:4\t \r\n", 4)].concat()
    };
    let reset = End::Reset(Duration::from_millis(300));
    let scripts = [
        ("length", Script::new(with_length, reset)),
        ("chunks", Script::new(chunked, reset)),
        ("interim", Script::new(after_interim, reset)),
        ("end", Script::new(|lines| part(lines, "", 4), End::Finish)),
    ];
    let (site, endpoint) = site_with(693, scripts[0].1.clone()).await;
    for (case, script) in scripts {
        endpoint.set_script(script);
        for bytes in UPLOAD_BYTES {
            for path in ROUTES {
                let id = format!("{case}{path}{bytes}");
                let answer = upload(&site, path, &id, bytes).await;
                assert_eq!(answer.status.as_u16(), 200, "{id}");
                assert_eq!(answer.body, "pppp", "{id}");
                assert!(answer.header("x-response-stamp").is_some(), "{id}");
            }
        }
    }
}

/// A repeatable request whose answer was cut is served by another endpoint.
#[actix_rt::test]
async fn a_repeatable_request_goes_on_to_another_endpoint() {
    let end = End::Reset(Duration::from_millis(20));
    let script = Script::new(|lines| part(lines, "", 4), end);
    let (site, cutting) = site_with(694, script).await;
    let framing = "connection: close\r\ncontent-length: 5\r\n";
    let whole = Script::new(|lines| part(lines, framing, 5), End::Finish);
    let whole = Script {
        read_bytes: UPLOAD_BYTES[0],
        ..whole
    };
    let other = RawEndpoint::start("raw-1", PLAIN_SERVICE, json!([]), whole, &site.store);
    let _other = other.await.expect("the endpoint starts");
    sleep(REGISTRATION_TIME).await;
    for number in 0..20 {
        let id = format!("r-{number}");
        let answer = upload(&site, "/live/x", &id, UPLOAD_BYTES[0]).await;
        assert_eq!(answer.status.as_u16(), 200, "{id}");
        assert_eq!(answer.body, "ppppp", "{id}");
    }
    assert!(cutting.request_count() > 0);
}
