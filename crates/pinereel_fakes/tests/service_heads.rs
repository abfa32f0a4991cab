//! Services of `pinereel entry` whose answers have an invalid byte in the name of a field.

mod claim_support;
mod head_support;

use claim_support::{book_order, options};
use head_support::{assert_none_accepted, invalid_heads};
use pinereel_api::object::{Instance, InstanceState};
use pinereel_fakes::{
    hosting::raw_endpoint::{End, RawEndpoint, Script},
    site::{Options, Site, wait_until},
};

/// Generated heads for each byte that the name of a field may not contain.
const HEADS_PER_BYTE: usize = 2;

/// Failure: the caller gets the answer, with the line passed on as a valid one, or with a body that is delimited
/// in another way than the service's.
#[actix_rt::test]
async fn an_answer_of_a_service_with_an_invalid_byte_in_a_name_is_not_passed_on() {
    let site = Site::start(Options {
        service_pools: Vec::new(),
        ..options(1)
    });
    let site = site.await.expect("the site starts");
    let unused = Script::new(|_| Vec::new(), End::Finish);
    let service = RawEndpoint::listen("raw-0", unused).expect("the service starts");
    let instance = Instance {
        incarnation: 1,
        address: service.address.to_string().into(),
        zone: "toledo-hall".into(),
        pool: "orders-app".into(),
        state: InstanceState::Live,
    };
    site.object_api.put_instance("raw-0", instance);
    let is_known = || site.entries[0].shared.endpoints.set().iter().count() == 1;
    wait_until(is_known).await.expect("the service is known");
    let heads = invalid_heads(HEADS_PER_BYTE);
    let mut accepted = Vec::new();
    for head in &heads {
        let answered = head.clone();
        let answer = move |fields: &str| answered.response(fields);
        service.set_script(Script::new(answer, End::Finish));
        let requests_before = service.request_count();
        let answer = book_order(&site, 0, None, "{}").await;
        let requests = service.request_count() - requests_before;
        assert_eq!(requests, 1, "{head:?}: {answer:?}");
        if answer.status != 502 {
            accepted.push(format!("{head:?} gives {answer:?}"));
        }
    }
    assert_none_accepted(&accepted, heads.len());
}
