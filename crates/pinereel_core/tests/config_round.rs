//! A proposer's round, step by step: the order of its writes, and what lost answers come to.

use compact_str::CompactString;
use pinereel_core::{
    Time,
    config::{Action, Answer, Event, Proposal, Round, Stored, Write},
};
use serde_json::json;
use std::{collections::BTreeSet, time::Duration};

const fn ms(millis: u64) -> Time {
    Time::from_millis(millis)
}

fn round(write: &str) -> Round {
    Round::new(
        ms(0),
        Proposal {
            patch: "p".into(),
            base: 0,
            content: json!({"limits": {"max_queue": 7}}),
            proposer: "e1".into(),
            write: write.into(),
            deadline: ms(0) + Duration::from_secs(8),
        },
    )
}

fn members() -> BTreeSet<CompactString> {
    BTreeSet::from(["e1".into(), "e2".into()])
}

fn confirm(round: &mut Round, now: u64, from: &str) -> Vec<Action> {
    round.step(
        ms(now),
        Event::Confirmed {
            from: from.into(),
            write: "w".into(),
        },
    )
}

fn written(round: &mut Round, now: u64, version: u64, write: Write) -> Vec<Action> {
    round.step(ms(now), Event::Written { version, write })
}

/// The content of the one write among the actions.
fn content(actions: &[Action]) -> Stored {
    match actions {
        [Action::Write { stored, .. }] => stored.clone(),
        other => panic!("expected one write: {other:?}"),
    }
}

/// Up to the prepare messages: version 1 holds the pending patch.
fn prepared(write: &str) -> (Round, Stored) {
    let mut round = round(write);
    assert_eq!(round.step(ms(0), Event::Tick), [Action::Read]);
    let pending = content(&round.step(ms(0), Event::Read(Some((0, Stored::default())))));
    // The members are listed only once the pending patch is known to stand.
    assert_eq!(written(&mut round, 0, 0, Write::Done(1)), [Action::List]);
    let actions = round.step(ms(0), Event::Members(Some(members())));
    assert!(matches!(&actions[..], [Action::Prepare { to, .. }] if *to == members()));
    (round, pending)
}

/// Up to the accepting write, whose content is returned.
fn accepting() -> (Round, Stored, Stored) {
    let (mut round, pending) = prepared("w");
    assert_eq!(confirm(&mut round, 1, "e1"), []);
    let accepted = content(&confirm(&mut round, 2, "e2"));
    (round, pending, accepted)
}

fn answers(actions: &[Action]) -> Vec<&Answer> {
    let answers = actions.iter().filter_map(|action| match action {
        Action::Answer(answer) => Some(answer),
        _ => None,
    });
    answers.collect()
}

#[test]
fn accepted_when_all_have_confirmed() {
    let (mut round, _, accepted) = accepting();
    assert_eq!(
        (accepted.number, accepted.document.limits.max_queue),
        (1, 7)
    );
    let actions = written(&mut round, 3, 1, Write::Done(2));
    let commit = Action::Commit {
        to: members(),
        number: 1,
        write: "w".into(),
    };
    assert_eq!(actions, [commit, Action::Answer(Answer::Accepted(1))]);
    assert!(round.is_over());
}

#[test]
fn a_lost_answer_to_the_accepting_write_is_read_back() {
    let (mut round, _, accepted) = accepting();
    assert_eq!(written(&mut round, 3, 1, Write::Lost), []);
    assert_eq!(round.step(ms(300), Event::Tick), [Action::Read]);
    let actions = round.step(ms(310), Event::Read(Some((2, accepted))));
    assert_eq!(answers(&actions), [&Answer::Accepted(1)]);
}

#[test]
fn an_accepting_write_that_did_not_land_is_sent_again() {
    let (mut round, pending, accepted) = accepting();
    written(&mut round, 3, 1, Write::Lost);
    round.step(ms(300), Event::Tick);
    let again = round.step(ms(310), Event::Read(Some((1, pending))));
    assert_eq!(
        again,
        [Action::Write {
            version: 1,
            stored: accepted
        }]
    );
}

#[test]
fn an_unresolved_accepting_write_is_unknown_at_the_deadline_only() {
    let (mut round, _, _) = accepting();
    written(&mut round, 3, 1, Write::Lost);
    for now in (250..8_000).step_by(250) {
        assert_eq!(
            answers(&round.step(ms(now), Event::Tick)),
            [] as [&Answer; 0]
        );
        round.step(ms(now), Event::Read(None));
    }
    assert_eq!(
        answers(&round.step(ms(8_000), Event::Tick)),
        [&Answer::Unknown]
    );
}

#[test]
fn a_missing_member_is_named_and_the_patch_can_never_be_accepted() {
    let (mut round, pending) = prepared("w");
    confirm(&mut round, 1, "e1");
    let actions = round.step(ms(2_000), Event::Tick);
    let expected = Answer::NotConfirmed(vec!["e2".into()]);
    assert_eq!(answers(&actions), [&expected]);
    let back = Action::Write {
        version: 1,
        stored: pending.taken_back(),
    };
    assert!(actions.contains(&back));
    assert_eq!(confirm(&mut round, 2_001, "e2"), []);
    written(&mut round, 2_100, 1, Write::Lost);
    round.step(ms(2_400), Event::Tick);
    assert_eq!(
        round.step(ms(2_410), Event::Read(Some((1, pending)))),
        [back]
    );
}

#[test]
fn a_confirmation_after_the_timeout_accepts_nothing() {
    let (mut round, pending) = prepared("w");
    confirm(&mut round, 1, "e1");
    let actions = confirm(&mut round, 60_000, "e2");
    assert_eq!(
        answers(&actions),
        [&Answer::NotConfirmed(vec!["e2".into()])]
    );
    let back = pending.taken_back();
    assert!(actions.contains(&Action::Write {
        version: 1,
        stored: back
    }));
}

#[test]
fn another_pending_patch_is_waited_for_then_taken_back() {
    let (_, foreign) = prepared("other");
    let mut round = round("w");
    round.step(ms(0), Event::Tick);
    let mut taken = None;
    for now in (0..4_000).step_by(250) {
        let actions = round.step(ms(now), Event::Read(Some((1, foreign.clone()))));
        if !actions.is_empty() {
            taken = Some((now, actions));
            break;
        }
        round.step(ms(now + 250), Event::Tick);
    }
    let expected = vec![Action::Write {
        version: 1,
        stored: foreign.taken_back(),
    }];
    assert_eq!(taken, Some((3_000, expected)));
}

#[test]
fn a_repeat_gets_the_first_answer_and_other_content_is_refused() {
    let (_, _, accepted) = accepting();
    let mut repeat = round("w2");
    repeat.step(ms(0), Event::Tick);
    let actions = repeat.step(ms(0), Event::Read(Some((9, accepted.clone()))));
    assert_eq!(answers(&actions), [&Answer::Accepted(1)]);
    let mut changed = accepted;
    changed.accepted[0].digest.0[0] ^= 1;
    let mut other = round("w3");
    other.step(ms(0), Event::Tick);
    let actions = other.step(ms(0), Event::Read(Some((9, changed))));
    assert_eq!(answers(&actions), [&Answer::Reused(1)]);
}

#[test]
fn regression_a_repeat_that_can_read_nothing_is_not_refused() {
    // An earlier round of the patch may have been accepted, with its answer lost.
    let mut repeat = round("w2");
    for now in (0..8_000).step_by(250) {
        assert_eq!(
            answers(&repeat.step(ms(now), Event::Tick)),
            [] as [&Answer; 0]
        );
    }
    assert_eq!(
        answers(&repeat.step(ms(8_000), Event::Tick)),
        [&Answer::Unknown]
    );
}
