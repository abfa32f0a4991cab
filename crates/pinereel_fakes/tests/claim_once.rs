//! A call that may not be repeated runs at most once under its key, whichever entries get it.

#![allow(clippy::unwrap_used)]

mod claims;

use claims::{joined, order, ran, settled, site};

#[actix_rt::test]
async fn a_repeat_through_another_entry_gets_the_recorded_answer() {
    let site = site(2).await;
    joined(&site).await;
    let first = order(&site, 0, Some("slot-june"), "lacquer").await;
    assert_eq!(first.short(), "200");
    settled(&site, "slot-june").await;
    let again = order(&site, 1, Some("slot-june"), "lacquer").await;
    assert_eq!(again.short(), "200 replay");
    assert_eq!(again.body, first.body);
    assert_eq!(ran(&site, "slot-june"), 1);
}
