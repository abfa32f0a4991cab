//! Endpoints whose answers have an invalid byte in the name of a field, with real processes.

mod head_support;

use head_support::{assert_none_accepted, invalid_heads};
use pinereel_fakes::hosting::{
    caller::post,
    raw_endpoint::{End, RawEndpoint, Script},
    site::{PLAIN_SERVICE, Site, Size},
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
/// Generated heads for each byte that the name of a field may not contain.
const HEADS_PER_BYTE: usize = 2;
const TIMEOUT: Duration = Duration::from_secs(2);

/// Failure: the caller gets the answer, with the line passed on as a valid one, or with a body that is delimited
/// in another way than the endpoint's.
#[actix_rt::test]
async fn an_answer_with_an_invalid_byte_in_a_name_is_not_passed_on() {
    let site = Site::start(SITE_SIZE, 695).await.expect("the site starts");
    let unused = Script::new(|_| Vec::new(), End::Finish);
    let endpoint = RawEndpoint::start("raw-0", PLAIN_SERVICE, json!([]), unused, &site.store);
    let endpoint = endpoint.await.expect("the endpoint starts");
    sleep(REGISTRATION_TIME).await;
    let address = site.instances[0].caller_proxy.address;
    let heads = invalid_heads(HEADS_PER_BYTE);
    let mut accepted = Vec::new();
    for (number, head) in heads.iter().enumerate() {
        let answered = head.clone();
        let answer = move |fields: &str| answered.response(fields);
        endpoint.set_script(Script::new(answer, End::Finish));
        for path in ["/live/x", "/once/x"] {
            let requests_before = endpoint.request_count();
            let id = format!("{number}{path}");
            let answer = post(address, path, id, TIMEOUT, "", TIMEOUT).await;
            let answer = answer.expect("the instance answers");
            let is_passed_on = answer.header("x-response-stamp").is_some();
            if answer.status.as_u16() != 502 || is_passed_on {
                let (status, body) = (answer.status, answer.body.escape_ascii());
                accepted.push(format!("{path} {head:?} gives {status} {body}"));
            }
            let requests = endpoint.request_count() - requests_before;
            // The answer is that of the endpoint, and a request that may run only once is sent once.
            assert!(requests >= 1, "{path} {head:?}");
            assert!(path == "/live/x" || requests == 1, "{path} {head:?}");
        }
    }
    assert_none_accepted(&accepted, heads.len() * 2);
}
