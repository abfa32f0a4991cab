//! Endpoints that answer with a status which HTTP does not define, with real processes.

use bytes::Bytes;
use pinereel_fakes::hosting::{
    caller::post,
    raw_endpoint::{End, RawEndpoint, Script},
    service,
    site::{PLAIN_SERVICE, Site, Size},
};
use serde_json::json;
use std::time::Duration;
use tokio::time::sleep;

const SITE_SIZE: Size = Size {
    instances: 1,
    engines: 1,
    services: 2,
};
const TIMEOUT: Duration = Duration::from_secs(2);
/// Time within which an instance knows a new endpoint.
const REGISTRATION_TIME: Duration = Duration::from_millis(1_500);

/// Failure: an instance passes such an answer on, and its caller takes it for the endpoint's answer.
#[actix_rt::test]
async fn an_answer_with_an_undefined_status_is_not_passed_on() {
    let site = Site::start(SITE_SIZE, 351).await.expect("the site starts");
    let address = site.instances[0].caller_proxy.address;
    for status in [600, 799, 999] {
        for proxied in &site.services {
            let faults = service::Faults {
                status: Some(status),
                ..service::Faults::default()
            };
            proxied.endpoint.set_faults(faults);
        }
        for path in ["/live/x", "/once/x"] {
            let id = format!("{status}{path}");
            let answer = post(address, path, &id, TIMEOUT, Bytes::new(), TIMEOUT).await;
            let answer = answer.expect("the instance answers");
            assert_eq!(answer.status.as_u16(), 502, "{id}");
            assert_eq!(answer.header("x-response-stamp"), None, "{id}");
        }
        assert_eq!(site.recorder.run_count(&format!("{status}/once/x")), 1);
    }
}

/// The same failure, with statuses that no HTTP library sends.
#[actix_rt::test]
async fn an_answer_with_a_status_that_is_no_number_from_100_is_not_passed_on() {
    let size = Size {
        services: 0,
        ..SITE_SIZE
    };
    let site = Site::start(size, 352).await.expect("the site starts");
    let unused = Script::new(|_| Vec::new(), End::Finish);
    let endpoint = RawEndpoint::start("raw-0", PLAIN_SERVICE, json!([]), unused, &site.store);
    let endpoint = endpoint.await.expect("the endpoint starts");
    sleep(REGISTRATION_TIME).await;
    let address = site.instances[0].caller_proxy.address;
    for status in [
        "000", "001", "099", "00", "20", "0000", "0200", "2000", "+20", "-20", "600", "",
    ] {
        let answer = move |fields: &str| {
            let head = format!("HTTP/1.1 {status} OK\r\n{fields}content-length: 2\r\n\r\nok");
            head.into_bytes()
        };
        endpoint.set_script(Script::new(answer, End::Finish));
        for path in ["/live/x", "/once/x"] {
            let requests_before = endpoint.request_count();
            let id = format!("{status}{path}");
            let answer = post(address, path, &id, TIMEOUT, "", TIMEOUT).await;
            let answer = answer.expect("the instance answers");
            assert_eq!(answer.status.as_u16(), 502, "{id}");
            assert_eq!(answer.header("x-response-stamp"), None, "{id}");
            let requests = endpoint.request_count() - requests_before;
            assert!(requests >= 1, "{id}");
            assert!(path == "/live/x" || requests == 1, "{id}: {requests}");
        }
    }
}
