//! How an instance finds a parent by its seeds.

use compact_str::CompactString;
use pinereel_core::{Time, tree::Seeds};

fn at(seconds: u64) -> Time {
    Time(seconds * 1_000_000)
}

fn seeds(own: &str) -> Seeds {
    Seeds::new(own.into(), ["a", "b", "c"].map(CompactString::from))
}

fn targets(seeds: &Seeds, now: Time) -> Vec<&str> {
    seeds.targets(now).map(CompactString::as_str).collect()
}

#[test]
fn an_instance_does_not_try_itself() {
    let mut seeds = seeds("b");
    assert_eq!(targets(&seeds, at(0)), ["a", "c"]);
    seeds.on_introduction(at(0), "b".into());
    assert_eq!(targets(&seeds, at(0)), ["a", "c"]);
}

#[test]
fn a_root_that_has_introduced_itself_is_tried_first_for_a_while() {
    let mut seeds = seeds("b");
    seeds.on_introduction(at(1), "r".into());
    assert_eq!(targets(&seeds, at(2)), ["r", "a", "c"]);
    assert_eq!(seeds.introduced_root(at(2)).map(|r| r.as_str()), Some("r"));
    seeds.on_introduction(at(8), "q".into());
    assert_eq!(targets(&seeds, at(12)), ["q", "a", "c"]);
    assert_eq!(targets(&seeds, at(18)), ["a", "c"]);
    assert_eq!(seeds.introduced_root(at(18)), None);
}

/// Where all seeds are children of the root, the introductions cost nothing.
#[test]
fn a_root_introduces_itself_to_seeds_that_are_not_its_children() {
    let children = |names: &[&str]| {
        names
            .iter()
            .map(|n| CompactString::from(*n))
            .collect::<Vec<_>>()
    };
    let to_introduce = |names: &[&str]| seeds("r").to_introduce(children(names).into_iter());
    assert_eq!(to_introduce(&["x", "b"]), ["a", "c"]);
    assert!(to_introduce(&["c", "b", "a"]).is_empty());
}
