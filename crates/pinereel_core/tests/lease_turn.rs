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
fn watching() -> (Candidate, Option<(u64, Lease)>) {
    let mut candidate = follower();
    let found = Some((3, lease("b", 1)));
    candidate.step(Time::ZERO, Event::Tick);
    candidate.step(Time::ZERO, Event::Read(found.clone()));
    (candidate, found)
}

/// Answers reads with `found` until the candidate writes; returns when it does.
fn writes_at(candidate: &mut Candidate, found: Option<(u64, Lease)>) -> Option<Time> {
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
fn a_free_lease_is_taken_when_the_turn_has_come() {
    let absent = millis(writes_at(&mut follower(), None));
    let released = millis(writes_at(&mut follower(), Some((3, lease("", 1)))));
    let lapsed = millis(writes_at(&mut follower(), Some((3, lease("b", 1)))));
    assert_eq!([absent, released, lapsed], [600, 600, 2_800]);
}

#[test]
fn an_earlier_start_of_the_instance_is_succeeded_at_once() {
    let mut candidate = follower().with_previous_id_prefix("a/");
    assert_eq!(
        millis(writes_at(&mut candidate, Some((3, lease("a/1", 1))))),
        0
    );
}

#[test]
fn one_that_is_taken_meanwhile_is_left_alone() {
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
fn an_own_lease_is_renewed_without_a_turn() {
    let mut candidate = follower();
    let mut now = Time::ZERO;
    let found = Some((3, lease("", 1)));
    now = now + Duration::from_millis(millis(writes_at(&mut candidate, found)) as u64);
    candidate.step(now, Event::Written(5));
    assert!(candidate.fencing_token(now).is_some());
    let mut renewed = None;
    while renewed.is_none() {
        now = now + Duration::from_millis(10);
        assert!(
            candidate.fencing_token(now).is_some(),
            "the lease has expired"
        );
        let actions = candidate.step(now, Event::Tick);
        renewed = actions
            .into_iter()
            .find(|a| matches!(a, Action::Write { .. }));
    }
}

/// A live holder must not lose its duty through an outage of the store. Without the grace period a
/// follower that reached the store first took the lease.
#[test]
fn a_holder_that_could_not_renew_in_an_outage_has_a_head_start() {
    let (mut candidate, found) = watching();
    let back = Time::from_millis(6_000);
    candidate.expedite(back);
    let mut now = back;
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
        now.since(back).as_millis(),
        1_800,
        "the grace period and the takeover delay"
    );
}

/// The call that fails in the outage may be the follower's own, and so may the first that succeeds.
#[test]
fn the_first_answer_after_failures_is_a_return() {
    let (mut candidate, found) = watching();
    let later = Time::from_millis(2_900);
    let writes = candidate.step(later, Event::Tick);
    assert!(matches!(writes[..], [Action::Write { .. }]));
    candidate.step(later, Event::Unknown);
    candidate.step(later, Event::Failed);
    let back = Time::from_millis(6_000);
    assert_eq!(candidate.step(back, Event::Tick), vec![Action::Read]);
    candidate.step(back, Event::Read(found.clone()));
    let soon = back + Duration::from_millis(1_500);
    assert_eq!(candidate.step(soon, Event::Tick), vec![Action::Read]);
    candidate.step(soon, Event::Read(found));
    let then = back + Duration::from_millis(2_500);
    let writes = candidate.step(then, Event::Tick);
    assert!(matches!(writes[..], [Action::Write { .. }]));
}

/// While the store is unreachable, nobody can renew, so a follower must not try to take the lease.
#[test]
fn nothing_is_taken_while_the_api_is_away() {
    let (mut candidate, found) = watching();
    candidate.note_store_unreachable();
    let back = Time::from_millis(6_000);
    assert_eq!(candidate.step(back, Event::Tick), vec![Action::Read]);
    candidate.step(back, Event::Read(found));
    let soon = back + Duration::from_millis(1_100);
    assert_eq!(candidate.step(soon, Event::Tick), vec![Action::Read]);
}

/// A read that was sent before the outage may be answered right after it.
#[test]
fn a_look_that_outlasts_an_outage_is_no_reason_to_take_the_lease() {
    let (mut candidate, found) = watching();
    let asked = Time::from_millis(900);
    assert_eq!(candidate.step(asked, Event::Tick), vec![Action::Read]);
    let back = Time::from_millis(6_000);
    candidate.note_store_recovered(back, Duration::from_millis(10));
    assert_eq!(candidate.step(back, Event::Read(found)), vec![]);
}

/// The store's answers are lost from the middle of a renewal on, then it recovers. The lost write may
/// still take effect, but a renewal after it makes it void. Waiting for it left each duty without a
/// holder for 0.7 s.
#[test]
fn a_renewal_whose_answer_was_lost_is_sent_again_at_once() {
    let mut candidate = follower();
    let found = Some((3, lease("", 1)));
    let taken = millis(writes_at(&mut candidate, found)) as u64;
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
/// whatever became of the write.
#[test]
fn a_lost_write_for_another_s_lease_gets_time_to_land() {
    let mut candidate = follower();
    let found = Some((3, lease("b", 1)));
    let now = Time::from_millis(millis(writes_at(&mut candidate, found.clone())) as u64);
    assert_eq!(candidate.step(now, Event::Unknown), vec![Action::Read]);
    assert_eq!(candidate.step(now, Event::Read(found)), vec![]);
    let soon = now + Duration::from_millis(500);
    assert_eq!(candidate.step(soon, Event::Tick), vec![]);
}

/// Minimum time between the actions of two holders of a duty.
const GAP: Duration = Duration::from_millis(3_000);

/// Lets `taker` take the lease, which it finds as `found` from `now` on; returns when it does.
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

/// A holder freezes, its successor is stopped before it may act, and then the next one as well. When
/// each waited for the whole gap, engines got no order for 8 s, and a version that a step needed
/// reached them 4 s late.
#[test]
fn one_that_never_acted_passes_on_what_is_left_of_its_wait() {
    let mut second = Candidate::new(Time::ZERO, "b/1", TIMING);
    let taken = take(&mut second, Time::ZERO, &(3, lease("a/1", 1)));
    // The frozen holder has not acted since its lease, first read at 0 s, ended by its own clock.
    let idle = Time::from_millis(1_800);
    assert_eq!(second.cooldown(), Some(Cooldown::IdleSince(idle)));
    assert!(taken > idle);
    let cooldown_end = taken + GAP;
    second.set_cooldown_ends(cooldown_end, cooldown_end);
    let stopped = taken + Duration::from_millis(1_500);
    let left = released(&mut second, stopped);
    let remaining = RemainingCooldown {
        own_ms: 1_500,
        other_ms: 1_500,
    };
    assert_eq!(left.remaining_cooldown, Some(remaining));
    let mut third = Candidate::new(stopped, "c/1", TIMING);
    let again = take(&mut third, stopped, &(4, left));
    assert_eq!(third.cooldown(), Some(Cooldown::EndsAt(cooldown_end)));
    assert!(again < cooldown_end);
}

#[test]
fn a_restart_on_the_same_machine_need_not_wait_for_itself() {
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
    let at_once = Some(Cooldown::EndsAt(Time::ZERO));
    assert_eq!(restarted("10.0.0.1:7"), at_once);
    // An instance of the same name on another machine.
    assert!(matches!(
        restarted("10.0.0.2:7"),
        Some(Cooldown::IdleSince(_))
    ));
}

#[test]
fn a_lease_that_tells_nothing_is_followed_by_the_whole_wait() {
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

/// The holder is cut off from the store just after a renewal. When it might act for as long as the
/// lease is valid, its successor acted only 4.8 s after that renewal.
#[test]
fn one_that_acts_for_a_part_of_the_lease_is_succeeded_sooner() {
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
        "the renewal comes before the end"
    );
    assert!(
        first.is_presumed_holder(),
        "it is still the presumed holder"
    );
    let mut next = Candidate::new(Time::ZERO, "a", TIMING).with_max_acting_time(acts);
    let taken = take(&mut next, Time::ZERO, &(4, written));
    assert_eq!(taken, Time::from_millis(2_200));
    assert_eq!(
        next.cooldown(),
        Some(Cooldown::IdleSince(Time::from_millis(800)))
    );
}
