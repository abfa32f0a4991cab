//! Endpoints that answer with a status which HTTP does not define, with real processes.

use bytes::Bytes;
use pinereel_fakes::hosting::{
    caller::post,
    service,
    site::{Site, Size},
};
use std::time::Duration;

const SITE_SIZE: Size = Size {
    instances: 1,
    engines: 1,
    services: 2,
};
const TIMEOUT: Duration = Duration::from_secs(2);

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
