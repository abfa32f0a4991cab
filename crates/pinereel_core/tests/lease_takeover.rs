//! Takeover of a free lease: staggered followers, recovery after an outage of the object store, and
//! the cooldown between two holders.

use pinereel_core::{
    Time,
    lease::{Action, Candidate, Cooldown, Event, Lease, RemainingCooldown, Timing},
};
use std::time::Duration;

const TIMING: Timing = Timing {
    duration: Duration::from_millis(2_000),
    clock_margin: Duration::from_millis(200),
    retry_interval: Duration::from_millis(700),
};
const TAKEOVER_DELAY: Duration = Duration::from_millis(600);

fn lease(holder: &str, fence: u64) -> Lease {
    Lease {
        holder: holder.into(),
        fence,
        duration_ms: 2_000,
        write_id: "w".into(),
        address: "".into(),
        acts_ms: None,
        remaining_cooldown: None,
    }
}

fn follower() -> Candidate {
    let mut candidate = Candidate::new(Time::ZERO, "a", TIMING);
    candidate.set_takeover_delay(TAKEOVER_DELAY);
    candidate
}

/// A follower that has just read the lease of another holder, and what it read.
fn follower_of_held_lease() -> (Candidate, Option<(u64, Lease)>) {
    let mut candidate = follower();
    let found = Some((3, lease("b", 1)));
    candidate.step(Time::ZERO, Event::Tick);
    candidate.step(Time::ZERO, Event::Read(found.clone()));
    (candidate, found)
}

/// Answers reads with `found` until the candidate writes; returns the time of the write.
fn first_write_at(candidate: &mut Candidate, found: Option<(u64, Lease)>) -> Option<Time> {
    let mut now = Time::ZERO;
    for _ in 0..500 {
        let mut actions = candidate.step(now, Event::Tick);
        while let Some(action) = actions.pop() {
            match action {
                Action::Read => actions.extend(candidate.step(now, Event::Read(found.clone()))),
                Action::Write { .. } => return Some(now),
            }
        }
        now = now + Duration::from_millis(10);
    }
    None
}

fn millis(time: Option<Time>) -> u128 {
    let time = time.expect("the candidate writes");
    time.since(Time::ZERO).as_millis()
}

#[test]
fn a_free_lease_is_taken_after_the_takeover_delay() {
    let absent = millis(first_write_at(&mut follower(), None));
    let released = millis(first_write_at(&mut follower(), Some((3, lease("", 1)))));
    let lapsed = millis(first_write_at(&mut follower(), Some((3, lease("b", 1)))));
    assert_eq!([absent, released, lapsed], [600, 600, 2_800]);
}

#[test]
fn a_lease_of_an_earlier_start_of_the_instance_is_taken_immediately() {
    let mut candidate = follower().with_previous_id_prefix("a/");
    assert_eq!(
        millis(first_write_at(&mut candidate, Some((3, lease("a/1", 1))))),
        0
    );
}

#[test]
fn a_lease_taken_by_another_during_the_takeover_delay_is_not_taken() {
    let mut candidate = follower();
    let now = Time::ZERO;
    candidate.step(now, Event::Tick);
    candidate.step(now, Event::Read(None));
    assert!(candidate.awaits_takeover_delay(now));
    let later = now + Duration::from_millis(550);
    candidate.step(later, Event::Tick);
    // The answer to a read that was sent before the takeover delay had passed.
    let now = now + Duration::from_millis(700);
    candidate.step(now, Event::Read(Some((4, lease("b", 1)))));
    assert!(!candidate.awaits_takeover_delay(now));
    assert_eq!(candidate.step(now, Event::Tick), vec![]);
}

/// A renewal does not wait for the takeover delay: the lease would expire meanwhile.
#[test]
fn an_own_lease_is_renewed_without_a_takeover_delay() {
    let mut candidate = follower();
    let mut now = Time::ZERO;
    let found = Some((3, lease("", 1)));
    now = now + Duration::from_millis(millis(first_write_at(&mut candidate, found)) as u64);
    candidate.step(now, Event::Written(5));
    assert!(candidate.fencing_token(now).is_some());
    let mut renewal = None;
    while renewal.is_none() {
        now = now + Duration::from_millis(10);
        assert!(
            candidate.fencing_token(now).is_some(),
            "the lease has expired"
        );
        let actions = candidate.step(now, Event::Tick);
        renewal = actions
            .into_iter()
            .find(|a| matches!(a, Action::Write { .. }));
    }
}

/// A live holder must not lose its lease through an outage of the store. Without the grace period a
/// follower that reached the store first took the lease.
#[test]
fn a_holder_has_a_grace_period_to_renew_after_an_outage() {
    let (mut candidate, found) = follower_of_held_lease();
    let recovered_at = Time::from_millis(6_000);
    candidate.expedite(recovered_at);
    let mut now = recovered_at;
    loop {
        let actions = candidate.step(now, Event::Tick);
        match actions.first() {
            Some(Action::Write { .. }) => break,
            Some(Action::Read) => drop(candidate.step(now, Event::Read(found.clone()))),
            None => {}
        }
        now = now + Duration::from_millis(10);
    }
    assert_eq!(
        now.since(recovered_at).as_millis(),
        1_800,
        "the grace period and the takeover delay"
    );
}

/// The call that fails in the outage may be the follower's own, and so may the first that succeeds.
#[test]
fn the_first_answer_after_failures_starts_the_grace_period() {
    let (mut candidate, found) = follower_of_held_lease();
    let later = Time::from_millis(2_900);
    let writes = candidate.step(later, Event::Tick);
    assert!(matches!(writes[..], [Action::Write { .. }]));
    candidate.step(later, Event::Unknown);
    candidate.step(later, Event::Failed);
    let recovered_at = Time::from_millis(6_000);
    assert_eq!(
        candidate.step(recovered_at, Event::Tick),
        vec![Action::Read]
    );
    candidate.step(recovered_at, Event::Read(found.clone()));
    let soon = recovered_at + Duration::from_millis(1_500);
    assert_eq!(candidate.step(soon, Event::Tick), vec![Action::Read]);
    candidate.step(soon, Event::Read(found));
    let then = recovered_at + Duration::from_millis(2_500);
    let writes = candidate.step(then, Event::Tick);
    assert!(matches!(writes[..], [Action::Write { .. }]));
}

/// While the store is unreachable, nobody can renew, so a follower must not try to take the lease.
#[test]
fn no_lease_is_taken_while_the_store_is_unreachable() {
    let (mut candidate, found) = follower_of_held_lease();
    candidate.note_store_unreachable();
    let recovered_at = Time::from_millis(6_000);
    assert_eq!(
        candidate.step(recovered_at, Event::Tick),
        vec![Action::Read]
    );
    candidate.step(recovered_at, Event::Read(found));
    let soon = recovered_at + Duration::from_millis(1_100);
    assert_eq!(candidate.step(soon, Event::Tick), vec![Action::Read]);
}

/// A read that was sent before the outage may be answered right after it.
#[test]
fn a_read_that_outlasts_an_outage_does_not_lead_to_a_takeover() {
    let (mut candidate, found) = follower_of_held_lease();
    let read_at = Time::from_millis(900);
    assert_eq!(candidate.step(read_at, Event::Tick), vec![Action::Read]);
    let recovered_at = Time::from_millis(6_000);
    candidate.note_store_recovered(recovered_at, Duration::from_millis(10));
    assert_eq!(candidate.step(recovered_at, Event::Read(found)), vec![]);
}

/// The store's answers are lost from the middle of a renewal on, then it recovers. The lost write may
/// still take effect, but a later renewal invalidates it. Waiting for the outcome left each duty
/// without a holder for 0.7 s.
#[test]
fn a_renewal_whose_answer_was_lost_is_repeated_immediately() {
    let mut candidate = follower();
    let found = Some((3, lease("", 1)));
    let taken = millis(first_write_at(&mut candidate, found)) as u64;
    candidate.step(Time::from_millis(taken), Event::Written(5));
    let mut now = Time::from_millis(taken + 900);
    let actions = candidate.step(now, Event::Tick);
    let Some(Action::Write { lease: sent, .. }) = actions.first() else {
        panic!("expected a renewal: {actions:?}");
    };
    let before = Lease {
        write_id: "a.1".into(),
        ..sent.clone()
    };
    assert_eq!(candidate.step(now, Event::Unknown), vec![Action::Read]);
    now = now + Duration::from_secs(5);
    candidate.step(now, Event::Failed);
    now = now + Duration::from_secs(1);
    candidate.expedite(now);
    assert_eq!(candidate.step(now, Event::Tick), vec![Action::Read]);
    let actions = candidate.step(now, Event::Read(Some((5, before))));
    assert!(matches!(
        actions[..],
        [Action::Write {
            expected: Some(5),
            ..
        }]
    ));
}

/// After a lost write, a lease that another candidate holds must not be taken before it is free,
/// whatever the outcome of the write.
#[test]
fn a_lease_of_another_holder_is_not_written_again_right_after_a_lost_write() {
    let mut candidate = follower();
    let found = Some((3, lease("b", 1)));
    let now = Time::from_millis(millis(first_write_at(&mut candidate, found.clone())) as u64);
    assert_eq!(candidate.step(now, Event::Unknown), vec![Action::Read]);
    assert_eq!(candidate.step(now, Event::Read(found)), vec![]);
    let soon = now + Duration::from_millis(500);
    assert_eq!(candidate.step(soon, Event::Tick), vec![]);
}

/// Minimum time between the actions of two holders of a duty.
const COOLDOWN: Duration = Duration::from_millis(3_000);

/// Lets `taker` take the lease, which it reads as `found` from `now` on; returns the time of the
/// write.
fn take(taker: &mut Candidate, now: Time, found: &(u64, Lease)) -> Time {
    let mut at = now;
    loop {
        let mut actions = taker.step(at, Event::Tick);
        while let Some(action) = actions.pop() {
            match action {
                Action::Read => actions.extend(taker.step(at, Event::Read(Some(found.clone())))),
                Action::Write { .. } => {
                    taker.step(at, Event::Written(found.0 + 1));
                    return at;
                }
            }
        }
        at = at + Duration::from_millis(10);
    }
}

/// The lease that a holder writes when it drains at `now`.
fn released(candidate: &mut Candidate, now: Time) -> Lease {
    let actions = candidate.step(now, Event::Drain);
    match actions.into_iter().next() {
        Some(Action::Write { lease, .. }) => lease,
        other => panic!("expected a release: {other:?}"),
    }
}

/// A holder is suspended, its successor is stopped before it may act, and so is the next one. When
/// each waited for the whole cooldown, engines got no order for 8 s, and a version that a step needed
/// reached them 4 s late.
#[test]
fn a_holder_that_never_acted_passes_on_its_remaining_cooldown() {
    let mut second = Candidate::new(Time::ZERO, "b/1", TIMING);
    let taken = take(&mut second, Time::ZERO, &(3, lease("a/1", 1)));
    // The suspended holder has not acted since its lease, first read at 0 s, expired by its own clock.
    let idle_since = Time::from_millis(1_800);
    assert_eq!(second.cooldown(), Some(Cooldown::IdleSince(idle_since)));
    assert!(taken > idle_since);
    let cooldown_end = taken + COOLDOWN;
    second.set_cooldown_ends(cooldown_end, cooldown_end);
    let stopped = taken + Duration::from_millis(1_500);
    let released = released(&mut second, stopped);
    let remaining = RemainingCooldown {
        own_ms: 1_500,
        other_ms: 1_500,
    };
    assert_eq!(released.remaining_cooldown, Some(remaining));
    let mut third = Candidate::new(stopped, "c/1", TIMING);
    let taken_again = take(&mut third, stopped, &(4, released));
    assert_eq!(third.cooldown(), Some(Cooldown::EndsAt(cooldown_end)));
    assert!(taken_again < cooldown_end);
}

#[test]
fn a_restart_on_the_same_machine_skips_its_own_cooldown() {
    let mut before = lease("a/1", 4);
    before.remaining_cooldown = Some(RemainingCooldown {
        own_ms: 0,
        other_ms: 2_800,
    });
    before.address = "10.0.0.1:7".into();
    let restarted = |address: &str| {
        let mut candidate = Candidate::new(Time::ZERO, "a/2", TIMING)
            .with_previous_id_prefix("a/")
            .with_address(address);
        take(&mut candidate, Time::ZERO, &(3, before.clone()));
        candidate.cooldown()
    };
    let no_cooldown = Some(Cooldown::EndsAt(Time::ZERO));
    assert_eq!(restarted("10.0.0.1:7"), no_cooldown);
    // An instance of the same name on another machine.
    assert!(matches!(
        restarted("10.0.0.2:7"),
        Some(Cooldown::IdleSince(_))
    ));
}

#[test]
fn a_lease_without_a_remaining_cooldown_is_followed_by_the_whole_cooldown() {
    let mut candidate = Candidate::new(Time::ZERO, "c/1", TIMING);
    let taken = take(&mut candidate, Time::ZERO, &(3, lease("", 1)));
    assert_eq!(candidate.cooldown(), Some(Cooldown::IdleSince(taken)));
    // There was no holder before.
    let mut first = Candidate::new(Time::ZERO, "c/1", TIMING);
    first.step(Time::ZERO, Event::Tick);
    first.step(Time::ZERO, Event::Read(None));
    first.step(Time::from_millis(10), Event::Written(1));
    assert_eq!(first.cooldown(), Some(Cooldown::EndsAt(Time::ZERO)));
}

/// The holder is cut off from the store just after a renewal. When a holder could act for as long as
/// its lease is valid, its successor acted only 4.8 s after that renewal.
#[test]
fn a_holder_that_acts_for_part_of_the_lease_is_succeeded_sooner() {
    let acts = Duration::from_millis(800);
    let mut first = Candidate::new(Time::ZERO, "b", TIMING).with_max_acting_time(acts);
    first.step(Time::ZERO, Event::Tick);
    let actions = first.step(Time::ZERO, Event::Read(Some((3, lease("", 1)))));
    let Some(Action::Write { lease: written, .. }) = actions.into_iter().next() else {
        panic!("expected a write of the lease");
    };
    first.step(Time::ZERO, Event::Written(4));
    assert!(first.fencing_token(Time::from_millis(799)).is_some());
    assert!(first.fencing_token(Time::from_millis(800)).is_none());
    assert!(
        first.next_call_at() < Time::from_millis(700),
        "the renewal is due before the end of the acting time"
    );
    assert!(
        first.is_presumed_holder(),
        "the candidate is still the presumed holder"
    );
    let mut next = Candidate::new(Time::ZERO, "a", TIMING).with_max_acting_time(acts);
    let taken = take(&mut next, Time::ZERO, &(4, written));
    assert_eq!(taken, Time::from_millis(2_200));
    assert_eq!(
        next.cooldown(),
        Some(Cooldown::IdleSince(Time::from_millis(800)))
    );
}
