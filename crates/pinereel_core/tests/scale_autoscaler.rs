//! Number of endpoints that the autoscaler requests for each zone.
//!
//! Four trainers request 464 items at the same time, 44 engines have 264 slots, and 44 more spot
//! engines cost 0.002 of a day's worth. But one additional engine for each six items does not make
//! steps end earlier (worth 0.661 and 0.690, against 0.698 and 0.699 without, five days each), nor
//! does one for each six items that wait 1.5 s for a slot (0.658 against 0.704, four days). The
//! longest text alone determines how long a step takes, and each engine that joins or leaves changes
//! which model others serve. So engines are added only if the shortage is at least half of the
//! present number.

use compact_str::CompactString;
use pinereel_core::{
    Time,
    scale::{Autoscaler, Request, Settings, Zone},
};
use std::{collections::BTreeMap, time::Duration};

const SETTINGS: Settings = Settings {
    max_per_zone: 22,
    startup_time: Duration::from_secs(4),
    use_spot: true,
};

type Zones = BTreeMap<CompactString, Zone>;

fn zones(spot: u32) -> Zones {
    let prices = [("a", 0.85), ("b", 1.2), ("c", 1.0), ("d", 1.1)];
    let zone = |(name, price)| {
        let zone = Zone {
            price,
            regular: 11,
            spot,
        };
        (CompactString::from(name), zone)
    };
    prices.into_iter().map(zone).collect()
}

fn at(millis: u64) -> Time {
    Time::from_millis(millis)
}

fn summary(requests: &[Request]) -> Vec<(&str, u32, bool)> {
    let requests = requests.iter();
    requests
        .map(|request| (&*request.zone, request.count, request.spot))
        .collect()
}

/// Takes the due requests and reports all of them as carried out.
fn request(autoscaler: &mut Autoscaler, now: Time, shortage: u32, zones: &Zones) -> Vec<Request> {
    let requests = autoscaler.due_requests(now, SETTINGS, shortage, zones);
    for request in &requests {
        autoscaler.note_result(now, &request.zone, true);
    }
    requests
}

#[test]
fn a_shortage_is_spread_over_the_zones_cheapest_first() {
    let mut autoscaler = Autoscaler::default();
    let requests = request(&mut autoscaler, at(0), 30, &zones(0));
    let expected = [
        ("a", 8, true),
        ("b", 7, true),
        ("c", 8, true),
        ("d", 7, true),
    ];
    assert_eq!(summary(&requests), expected);
    assert_eq!(
        summary(&request(&mut autoscaler, at(300), 30, &zones(0))),
        [],
        "not requested a second time"
    );
    let all: Vec<_> = summary(&request(&mut autoscaler, at(600), 1_000, &zones(0)))
        .iter()
        .map(|(_, count, _)| *count)
        .collect();
    assert_eq!(all, [11, 11, 11, 11], "within the operator's limit");
}

#[test]
fn no_request_is_made_for_a_small_shortage() {
    let mut autoscaler = Autoscaler::default();
    assert_eq!(summary(&request(&mut autoscaler, at(0), 0, &zones(0))), []);
    let few = request(&mut autoscaler, at(300), 21, &zones(0));
    assert_eq!(summary(&few), [], "the shortage is too small");
}

/// Steps come every four seconds, and between them no slot is needed.
#[test]
fn engines_are_kept_between_steps_and_released_after_a_minute() {
    let mut autoscaler = Autoscaler::default();
    request(&mut autoscaler, at(0), 24, &zones(0));
    for millis in (5_000..59_000).step_by(1_000) {
        assert_eq!(
            summary(&request(&mut autoscaler, at(millis), 0, &zones(6))),
            []
        );
    }
    let released = request(&mut autoscaler, at(61_000), 0, &zones(6));
    assert_eq!(
        summary(&released),
        [
            ("a", 0, true),
            ("b", 0, true),
            ("c", 0, true),
            ("d", 0, true)
        ]
    );
}

/// All spot endpoints of a zone are reclaimed, and for seconds the zone has no capacity for others.
#[test]
fn a_zone_without_capacity_is_retried_and_other_zones_cover_its_share() {
    let mut autoscaler = Autoscaler::default();
    request(&mut autoscaler, at(0), 24, &zones(0));
    let mut reclaimed = zones(6);
    reclaimed.get_mut("b").expect("listed").spot = 0;
    let repeated = autoscaler.due_requests(at(8_000), SETTINGS, 24, &reclaimed);
    assert_eq!(
        summary(&repeated),
        [("b", 6, true)],
        "replaces the reclaimed endpoints"
    );
    autoscaler.note_result(at(8_000), "b", false);
    let others = request(&mut autoscaler, at(8_300), 24, &reclaimed);
    assert_eq!(
        summary(&others),
        [("a", 8, true), ("c", 8, true), ("d", 8, true)]
    );
    // The zone has capacity again. The others release their additional endpoints after the delay.
    let later = request(&mut autoscaler, at(10_100), 24, &reclaimed);
    assert_eq!(summary(&later), [("b", 6, true)]);
    let much_later = request(&mut autoscaler, at(69_000), 24, &zones(6));
    let expected = [("a", 6, true), ("c", 6, true), ("d", 6, true)];
    assert_eq!(summary(&much_later), expected);
}

/// A request without an answer may still be carried out later, and it is repeated.
#[test]
fn a_lost_request_is_repeated_after_a_delay() {
    let mut autoscaler = Autoscaler::default();
    for request in autoscaler.due_requests(at(0), SETTINGS, 24, &zones(0)) {
        autoscaler.note_result(at(0), &request.zone, request.zone != "c");
    }
    assert_eq!(
        autoscaler
            .due_requests(at(300), SETTINGS, 24, &zones(0))
            .len(),
        3,
        "other zones cover its share"
    );
    let repeated = autoscaler.due_requests(at(2_100), SETTINGS, 24, &zones(0));
    assert!(summary(&repeated).contains(&("c", 6, true)), "{repeated:?}");
}

#[test]
fn regular_engines_are_requested_if_spot_is_disabled() {
    let mut autoscaler = Autoscaler::default();
    let settings = Settings {
        use_spot: false,
        ..SETTINGS
    };
    let requests = autoscaler.due_requests(at(0), settings, 24, &zones(0));
    let expected = [
        ("a", 17, false),
        ("b", 17, false),
        ("c", 17, false),
        ("d", 17, false),
    ];
    assert_eq!(summary(&requests), expected);
}
