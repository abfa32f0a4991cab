//! Staggered takeover: the order in which followers try to take a free lease.

use pinereel_core::lease::Rank;
use std::time::Duration;

fn rank(number: u32, preferred: u32, total: u32) -> Rank {
    Rank {
        number,
        preferred,
        total,
    }
}

fn delays(duty: &str, total: u32) -> Vec<Duration> {
    let mut delays: Vec<_> = (0..total)
        .map(|number| rank(number, total, total).takeover_delay(duty))
        .collect();
    delays.sort();
    delays
}

#[test]
fn one_follower_has_no_takeover_delay_and_few_have_short_ones() {
    for total in [1, 2, 9, 55, 350] {
        let delays = delays("lots-m", total);
        assert_eq!(delays[0], Duration::ZERO);
        let early = delays.iter().filter(|d| d.as_millis() < 700).count();
        assert!(
            early <= 7,
            "{early} of {total} write within one poll interval"
        );
        let longest = delays.last().expect("there is at least one follower");
        assert!(*longest <= Duration::from_millis(800));
    }
}

#[test]
fn the_follower_without_a_delay_differs_by_duty() {
    let first = |duty: &str| {
        (0..55)
            .find(|number| rank(*number, 55, 55).takeover_delay(duty).is_zero())
            .expect("there is at least one follower")
    };
    let firsts: std::collections::BTreeSet<_> = ["a", "b", "c", "d", "e"]
        .map(|model| first(&format!("lots-{model}")))
        .into();
    assert!(firsts.len() >= 4, "{firsts:?}");
}

#[test]
fn a_rank_in_an_empty_group_has_no_takeover_delay() {
    assert_eq!(rank(0, 0, 0).takeover_delay("x"), Duration::ZERO);
}

/// Lots run badly on an instance with little CPU time, so preferred instances come first.
#[test]
fn preferred_instances_have_shorter_delays_than_all_others() {
    for preferred in [0, 1, 8, 54] {
        let delay = |number| rank(number, preferred, 55).takeover_delay("lots-m");
        let last_preferred = (0..preferred).map(delay).max().unwrap_or_default();
        let first_other = (preferred..55)
            .map(delay)
            .min()
            .expect("there is at least one follower");
        assert!(preferred == 0 || last_preferred < first_other);
    }
}
