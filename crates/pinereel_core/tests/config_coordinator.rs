//! Tests of the coordinator event by event: the order of its writes, and its answers after lost
//! responses.

use compact_str::CompactString;
use pinereel_core::{
    Time,
    config::{
        Answer, Coordinator, CoordinatorAction, CoordinatorEvent, Proposal, StoredConfig,
        WriteResult,
    },
};
use serde_json::json;
use std::{collections::BTreeSet, time::Duration};

const fn ms(millis: u64) -> Time {
    Time::from_millis(millis)
}

fn coordinator(write_id: &str) -> Coordinator {
    Coordinator::new(
        ms(0),
        Proposal {
            patch: "p".into(),
            base: 0,
            content: json!({"limits": {"max_queue": 7}}),
            proposer: "e1".into(),
            write_id: write_id.into(),
            deadline: ms(0) + Duration::from_secs(8),
        },
    )
}

fn members() -> BTreeSet<CompactString> {
    BTreeSet::from(["e1".into(), "e2".into()])
}

fn confirm(coordinator: &mut Coordinator, now: u64, from: &str) -> Vec<CoordinatorAction> {
    coordinator.step(
        ms(now),
        CoordinatorEvent::Confirmed {
            from: from.into(),
            write_id: "w".into(),
        },
    )
}

fn written(
    coordinator: &mut Coordinator,
    now: u64,
    version: u64,
    result: WriteResult,
) -> Vec<CoordinatorAction> {
    coordinator.step(ms(now), CoordinatorEvent::Written { version, result })
}

/// The content of the only action, which must be a write.
fn written_config(actions: &[CoordinatorAction]) -> StoredConfig {
    match actions {
        [CoordinatorAction::Write { stored, .. }] => stored.clone(),
        other => panic!("expected one write: {other:?}"),
    }
}

/// Runs a coordinator up to its prepare messages. Version 1 holds the pending patch, which is
/// returned.
fn run_until_prepare(write_id: &str) -> (Coordinator, StoredConfig) {
    let mut coordinator = coordinator(write_id);
    assert_eq!(
        coordinator.step(ms(0), CoordinatorEvent::Tick),
        [CoordinatorAction::Read]
    );
    let pending = written_config(&coordinator.step(
        ms(0),
        CoordinatorEvent::Read(Some((0, StoredConfig::default()))),
    ));
    // The members are listed only after the pending patch is known to be stored.
    assert_eq!(
        written(&mut coordinator, 0, 0, WriteResult::Written(1)),
        [CoordinatorAction::List]
    );
    let actions = coordinator.step(ms(0), CoordinatorEvent::Listed(Some(members())));
    assert!(matches!(&actions[..], [CoordinatorAction::Prepare { to, .. }] if *to == members()));
    (coordinator, pending)
}

/// Runs a coordinator up to its accepting write. Returns the pending and the accepted content.
fn run_until_accept() -> (Coordinator, StoredConfig, StoredConfig) {
    let (mut coordinator, pending) = run_until_prepare("w");
    assert_eq!(confirm(&mut coordinator, 1, "e1"), []);
    let accepted = written_config(&confirm(&mut coordinator, 2, "e2"));
    (coordinator, pending, accepted)
}

fn answers(actions: &[CoordinatorAction]) -> Vec<&Answer> {
    let answers = actions.iter().filter_map(|action| match action {
        CoordinatorAction::Answer(answer) => Some(answer),
        _ => None,
    });
    answers.collect()
}

#[test]
fn a_patch_is_accepted_when_all_members_have_confirmed() {
    let (mut coordinator, _, accepted) = run_until_accept();
    assert_eq!(
        (accepted.number, accepted.document.limits.max_queue),
        (1, 7)
    );
    let actions = written(&mut coordinator, 3, 1, WriteResult::Written(2));
    let commit = CoordinatorAction::Commit {
        to: members(),
        number: 1,
        write_id: "w".into(),
    };
    assert_eq!(
        actions,
        [commit, CoordinatorAction::Answer(Answer::Accepted(1))]
    );
    assert!(coordinator.is_done());
}

#[test]
fn a_lost_answer_to_the_accepting_write_is_read_back() {
    let (mut coordinator, _, accepted) = run_until_accept();
    assert_eq!(written(&mut coordinator, 3, 1, WriteResult::Unknown), []);
    assert_eq!(
        coordinator.step(ms(300), CoordinatorEvent::Tick),
        [CoordinatorAction::Read]
    );
    let actions = coordinator.step(ms(310), CoordinatorEvent::Read(Some((2, accepted))));
    assert_eq!(answers(&actions), [&Answer::Accepted(1)]);
}

#[test]
fn an_accepting_write_without_effect_is_sent_again() {
    let (mut coordinator, pending, accepted) = run_until_accept();
    written(&mut coordinator, 3, 1, WriteResult::Unknown);
    coordinator.step(ms(300), CoordinatorEvent::Tick);
    let repeated = coordinator.step(ms(310), CoordinatorEvent::Read(Some((1, pending))));
    assert_eq!(
        repeated,
        [CoordinatorAction::Write {
            version: 1,
            stored: accepted
        }]
    );
}

#[test]
fn an_unresolved_accepting_write_is_answered_as_unknown_only_at_the_deadline() {
    let (mut coordinator, _, _) = run_until_accept();
    written(&mut coordinator, 3, 1, WriteResult::Unknown);
    for now in (250..8_000).step_by(250) {
        assert_eq!(
            answers(&coordinator.step(ms(now), CoordinatorEvent::Tick)),
            [] as [&Answer; 0]
        );
        coordinator.step(ms(now), CoordinatorEvent::Read(None));
    }
    assert_eq!(
        answers(&coordinator.step(ms(8_000), CoordinatorEvent::Tick)),
        [&Answer::Unknown]
    );
}

#[test]
fn a_patch_that_a_member_did_not_confirm_is_refused_and_never_accepted_later() {
    let (mut coordinator, pending) = run_until_prepare("w");
    confirm(&mut coordinator, 1, "e1");
    let actions = coordinator.step(ms(2_000), CoordinatorEvent::Tick);
    let expected = Answer::NotConfirmed(vec!["e2".into()]);
    assert_eq!(answers(&actions), [&expected]);
    let abort = CoordinatorAction::Write {
        version: 1,
        stored: pending.without_pending(),
    };
    assert!(actions.contains(&abort));
    assert_eq!(confirm(&mut coordinator, 2_001, "e2"), []);
    written(&mut coordinator, 2_100, 1, WriteResult::Unknown);
    coordinator.step(ms(2_400), CoordinatorEvent::Tick);
    assert_eq!(
        coordinator.step(ms(2_410), CoordinatorEvent::Read(Some((1, pending)))),
        [abort]
    );
}

#[test]
fn a_confirmation_after_the_timeout_accepts_nothing() {
    let (mut coordinator, pending) = run_until_prepare("w");
    confirm(&mut coordinator, 1, "e1");
    let actions = confirm(&mut coordinator, 60_000, "e2");
    assert_eq!(
        answers(&actions),
        [&Answer::NotConfirmed(vec!["e2".into()])]
    );
    let stored = pending.without_pending();
    assert!(actions.contains(&CoordinatorAction::Write { version: 1, stored }));
}

#[test]
fn another_pending_patch_is_aborted_after_a_timeout() {
    let (_, foreign) = run_until_prepare("other");
    let mut coordinator = coordinator("w");
    coordinator.step(ms(0), CoordinatorEvent::Tick);
    let mut aborted = None;
    for now in (0..4_000).step_by(250) {
        let actions = coordinator.step(ms(now), CoordinatorEvent::Read(Some((1, foreign.clone()))));
        if !actions.is_empty() {
            aborted = Some((now, actions));
            break;
        }
        coordinator.step(ms(now + 250), CoordinatorEvent::Tick);
    }
    let expected = vec![CoordinatorAction::Write {
        version: 1,
        stored: foreign.without_pending(),
    }];
    assert_eq!(aborted, Some((3_000, expected)));
}

#[test]
fn a_repeat_gets_the_first_answer_and_different_content_is_refused() {
    let (_, _, accepted) = run_until_accept();
    let mut repeat = coordinator("w2");
    repeat.step(ms(0), CoordinatorEvent::Tick);
    let actions = repeat.step(ms(0), CoordinatorEvent::Read(Some((9, accepted.clone()))));
    assert_eq!(answers(&actions), [&Answer::Accepted(1)]);
    let mut changed = accepted;
    changed.accepted[0].digest.0[0] ^= 1;
    let mut other = coordinator("w3");
    other.step(ms(0), CoordinatorEvent::Tick);
    let actions = other.step(ms(0), CoordinatorEvent::Read(Some((9, changed))));
    assert_eq!(answers(&actions), [&Answer::Reused(1)]);
}

#[test]
fn regression_a_repeat_without_a_read_is_answered_as_unknown() {
    // An earlier attempt of the same patch may have been accepted, with its answer lost.
    let mut repeat = coordinator("w2");
    for now in (0..8_000).step_by(250) {
        assert_eq!(
            answers(&repeat.step(ms(now), CoordinatorEvent::Tick)),
            [] as [&Answer; 0]
        );
    }
    assert_eq!(
        answers(&repeat.step(ms(8_000), CoordinatorEvent::Tick)),
        [&Answer::Unknown]
    );
}
