//! Tests of each admission check of the participant on its own. In the simulation of
//! `config_invariants.rs` one check can hide the failure of another.

use pinereel_core::{
    Time,
    config::{
        Document, Participant, ParticipantAction, ParticipantEvent, PendingPatch, Prepare, Refusal,
        StoredConfig,
    },
    hash::Digest,
};

const fn ms(millis: u64) -> Time {
    Time::from_millis(millis)
}

fn stored(number: u64, pending: Option<&str>) -> StoredConfig {
    let pending = pending.map(|write_id| PendingPatch {
        number: number + 1,
        document: Document::default(),
        patch: "p".into(),
        digest: Digest::of(b""),
        proposer: "e9".into(),
        write_id: write_id.into(),
    });
    StoredConfig {
        number,
        pending,
        ..StoredConfig::default()
    }
}

fn read(sent_at: u64, version: u64, stored: StoredConfig) -> ParticipantEvent {
    ParticipantEvent::Read {
        sent_at: ms(sent_at),
        version,
        stored,
    }
}

fn prepare(version: u64, number: u64, write_id: &str) -> ParticipantEvent {
    ParticipantEvent::Prepare(Prepare {
        version,
        number,
        document: Document::default(),
        write_id: write_id.into(),
    })
}

fn peer_state(echoed_at: u64, number: u64, up_to_date: bool) -> ParticipantEvent {
    ParticipantEvent::PeerState {
        echoed_at: ms(echoed_at),
        number,
        up_to_date,
        from: "e2".into(),
    }
}

/// A participant that read version 10 with number 5 at time 0.
fn participant() -> Participant {
    let mut participant = Participant::new(ms(0), "e1");
    participant.step(ms(0), read(0, 10, stored(5, None)));
    participant
}

/// Sends ticks and state messages of an up-to-date peer, so that neither a pause nor isolation is
/// detected.
fn run_connected(participant: &mut Participant, from: u64, to: u64) {
    for now in (from..=to).step_by(250) {
        participant.step(ms(now), peer_state(now, participant.number(), true));
        participant.step(ms(now), ParticipantEvent::Tick);
    }
}

#[test]
fn admits_nothing_before_the_first_read() {
    let mut participant = Participant::new(ms(0), "e1");
    assert_eq!(participant.admits(ms(0)), Err(Refusal::Starting));
    let fetched = ParticipantEvent::Fetched {
        number: 7,
        document: Document::default(),
    };
    participant.step(ms(1), fetched);
    assert!(participant.step(ms(1), prepare(11, 6, "w")).is_empty());
    assert_eq!(participant.admits(ms(1)), Err(Refusal::Starting));
}

#[test]
fn an_unresolved_prepare_stops_admission_after_three_seconds() {
    let mut participant = participant();
    assert_eq!(
        participant.step(ms(0), prepare(11, 6, "w")),
        [ParticipantAction::Confirm {
            write_id: "w".into()
        }]
    );
    run_connected(&mut participant, 0, 2_750);
    assert_eq!(participant.admits(ms(2_999)), Ok(5));
    run_connected(&mut participant, 3_000, 3_000);
    assert_eq!(participant.admits(ms(3_000)), Err(Refusal::InDoubt(6)));
    participant.step(ms(3_100), read(3_050, 12, stored(5, None)));
    assert_eq!(participant.admits(ms(3_100)), Ok(5));
}

#[test]
fn a_repeated_prepare_does_not_extend_its_admission_period() {
    let mut participant = participant();
    participant.step(ms(0), prepare(11, 6, "w"));
    run_connected(&mut participant, 0, 2_000);
    let repeated = participant.step(ms(2_000), prepare(11, 6, "w"));
    assert_eq!(
        repeated,
        [ParticipantAction::Confirm {
            write_id: "w".into()
        }]
    );
    run_connected(&mut participant, 2_250, 3_000);
    assert_eq!(participant.admits(ms(3_000)), Err(Refusal::InDoubt(6)));
}

#[test]
fn a_starting_instance_treats_a_pending_patch_as_prepared_when_its_read_was_sent() {
    let mut participant = Participant::new(ms(0), "e1");
    run_connected(&mut participant, 0, 2_500);
    participant.step(ms(2_500), read(100, 11, stored(5, Some("w"))));
    run_connected(&mut participant, 2_500, 3_000);
    assert_eq!(participant.admits(ms(3_000)), Ok(5));
    assert_eq!(participant.admits(ms(3_100)), Err(Refusal::InDoubt(6)));
}

#[test]
fn an_unresolved_prepare_is_read_then_aborted() {
    let mut participant = participant();
    participant.step(ms(0), prepare(11, 6, "w"));
    run_connected(&mut participant, 0, 750);
    assert_eq!(
        participant.step(ms(1_000), ParticipantEvent::Tick),
        [ParticipantAction::Read]
    );
    let early = participant.step(ms(1_100), read(1_050, 11, stored(5, Some("w"))));
    assert_eq!(early, []);
    let late = participant.step(ms(2_700), read(2_650, 11, stored(5, Some("w"))));
    assert_eq!(
        late,
        [ParticipantAction::AbortPending {
            version: 11,
            stored: stored(5, None)
        }]
    );
}

#[test]
fn a_late_read_from_before_the_prepare_does_not_resolve_it() {
    let mut participant = participant();
    participant.step(ms(0), prepare(11, 6, "w"));
    run_connected(&mut participant, 0, 2_750);
    participant.step(ms(2_900), read(0, 10, stored(5, None)));
    run_connected(&mut participant, 3_000, 3_000);
    assert_eq!(participant.admits(ms(3_000)), Err(Refusal::InDoubt(6)));
}

#[test]
fn a_late_read_from_before_the_commit_does_not_prepare_the_patch_again() {
    let mut participant = participant();
    participant.step(ms(0), prepare(11, 6, "w"));
    participant.step(
        ms(10),
        ParticipantEvent::Commit {
            number: 6,
            write_id: "w".into(),
        },
    );
    participant.step(ms(20), read(5, 11, stored(5, Some("w"))));
    assert_eq!(participant.number(), 6);
    run_connected(&mut participant, 250, 4_000);
    assert_eq!(participant.admits(ms(4_000)), Ok(6));
}

#[test]
fn an_aborted_write_is_not_prepared_again() {
    let mut participant = participant();
    participant.step(
        ms(0),
        ParticipantEvent::Abort {
            write_id: "w".into(),
        },
    );
    assert_eq!(participant.step(ms(0), prepare(11, 6, "w")), []);
    participant.step(ms(10), read(5, 11, stored(5, Some("w"))));
    run_connected(&mut participant, 250, 4_000);
    assert_eq!(participant.admits(ms(4_000)), Ok(5));
}

#[test]
fn a_prepare_that_is_already_resolved_is_not_confirmed() {
    let mut participant = participant();
    participant.step(ms(0), read(0, 12, stored(5, None)));
    assert_eq!(participant.step(ms(0), prepare(11, 6, "w")), []);
    assert_eq!(participant.step(ms(0), prepare(13, 5, "w")), []);
    assert!(participant.is_up_to_date(ms(0)));
}

#[test]
fn a_commit_without_its_prepare_stops_admission_until_the_document_is_fetched() {
    let mut participant = participant();
    participant.step(
        ms(0),
        ParticipantEvent::Commit {
            number: 6,
            write_id: "w".into(),
        },
    );
    assert_eq!(participant.admits(ms(0)), Err(Refusal::Behind(6)));
    let fetched = ParticipantEvent::Fetched {
        number: 6,
        document: Document::default(),
    };
    assert_eq!(
        participant.step(ms(1), fetched),
        [ParticipantAction::Apply { number: 6 }]
    );
    assert_eq!(participant.admits(ms(1)), Ok(6));
}

#[test]
fn the_number_never_goes_down() {
    let mut participant = participant();
    participant.step(ms(0), read(0, 11, stored(3, None)));
    let fetched = ParticipantEvent::Fetched {
        number: 4,
        document: Document::default(),
    };
    assert_eq!(participant.step(ms(0), fetched), []);
    assert_eq!(participant.admits(ms(0)), Ok(5));
}

#[test]
fn admission_resumes_after_a_pause_only_with_a_peer_state_requested_after_it() {
    let mut participant = participant();
    assert_eq!(participant.admits(ms(1_001)), Err(Refusal::Paused));
    participant.step(ms(1_500), peer_state(900, 5, true));
    assert_eq!(participant.admits(ms(1_500)), Err(Refusal::Paused));
    participant.step(ms(1_600), peer_state(1_550, 5, false));
    assert_eq!(participant.admits(ms(1_600)), Err(Refusal::Paused));
    participant.step(ms(1_700), peer_state(1_550, 5, true));
    assert_eq!(participant.admits(ms(1_700)), Ok(5));
}

#[test]
fn isolation_stops_admission_despite_delayed_or_outdated_peer_states() {
    let mut participant = participant();
    for now in (0..=4_250).step_by(250) {
        // The first message was delayed on its link; the second is from a peer that is not up to
        // date.
        participant.step(ms(now), peer_state(0, 5, true));
        participant.step(ms(now), peer_state(now, 5, false));
    }
    assert_eq!(participant.admits(ms(4_001)), Err(Refusal::Isolated));
}

#[test]
fn peers_alone_sustain_admission_while_the_object_api_is_down() {
    let mut participant = participant();
    run_connected(&mut participant, 0, 3_600_000);
    assert_eq!(participant.admits(ms(3_600_000)), Ok(5));
}
