//! Bulk attempts that yield take no room from live requests, but do take room from all others.

#![allow(clippy::unwrap_used)]

use pinereel_core::{
    Time,
    endpoint::{AttemptEnd, Event, Key, Listing, Set},
    route::{self, Policy, Priority, Refusal, Request},
};
use std::time::Duration;

const NOW: Time = Time::ZERO;

fn choose(set: &Set, priority: Priority) -> Result<Key, Refusal> {
    let request = Request {
        pool: "draft-llm",
        prefix: None,
        priority,
        zone: "toledo-hall",
        versions: None,
        excluded: &[],
        repeatable: true,
        seed: 1,
    };
    route::choose(set, &request, NOW, &Policy::FULL).map(|choice| choice.key)
}

fn start(set: &mut Set, key: Key, change: i32) {
    set.step(NOW, Event::Started { key, tokens: 1 });
    set.step(NOW, Event::Yielding { key, change });
}

#[test]
fn yielding_bulk_attempts_take_no_slots_from_live_requests() {
    let mut set = Set::default();
    let listing = Listing {
        name: "draft-llm-0".into(),
        incarnation: 1,
        address: "127.0.0.1:1".into(),
        zone: "toledo-hall".into(),
        pool: "draft-llm".into(),
        slots: 2,
        leaving: false,
    };
    set.step(NOW, Event::Listed(listing));
    let key = choose(&set, Priority::Bulk).unwrap();
    start(&mut set, key, 1);
    start(&mut set, key, 1);
    assert_eq!(choose(&set, Priority::Bulk), Err(Refusal::Full));
    assert_eq!(choose(&set, Priority::Straggler), Err(Refusal::Full));
    for _ in 0..2 {
        assert_eq!(choose(&set, Priority::Live), Ok(key));
        start(&mut set, key, 0);
    }
    assert_eq!(choose(&set, Priority::Live), Err(Refusal::Full));
    // The end of a bulk attempt makes no room for a live one: two live attempts are still running.
    set.step(NOW, Event::Yielding { key, change: -1 });
    let end = Event::Finished {
        key,
        tokens: 1,
        took: Duration::ZERO,
        end: AttemptEnd::Completed,
    };
    set.step(NOW, end);
    assert_eq!(choose(&set, Priority::Live), Err(Refusal::Full));
}
