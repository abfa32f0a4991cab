//! One guard of the register a test. In the simulation several guards cover for each other.

use pinereel_core::{
    Time,
    config::{Document, Input, Order, Pending, Prepare, Refusal, Register, Stored},
    hash::Digest,
};

const fn ms(millis: u64) -> Time {
    Time::from_millis(millis)
}

fn stored(number: u64, pending: Option<&str>) -> Stored {
    let pending = pending.map(|write| Pending {
        number: number + 1,
        document: Document::default(),
        patch: "p".into(),
        digest: Digest::of(b""),
        proposer: "e9".into(),
        write: write.into(),
    });
    Stored {
        number,
        pending,
        ..Stored::default()
    }
}

fn read(issued: u64, version: u64, stored: Stored) -> Input {
    Input::Read {
        issued: ms(issued),
        version,
        stored,
    }
}

fn prepare(version: u64, number: u64, write: &str) -> Input {
    Input::Prepare(Prepare {
        version,
        number,
        document: Document::default(),
        write: write.into(),
    })
}

fn digest(asked: u64, number: u64, vouches: bool) -> Input {
    Input::Digest {
        asked: ms(asked),
        number,
        vouches,
        from: "e2".into(),
    }
}

/// Started at time 0 under number 5, from version 10.
fn register() -> Register {
    let mut register = Register::new(ms(0), "e1");
    register.step(ms(0), read(0, 10, stored(5, None)));
    register
}

/// Ticks and vouching digests, so that neither pause nor isolation is noticed.
fn pass(register: &mut Register, from: u64, to: u64) {
    for now in (from..=to).step_by(250) {
        register.step(ms(now), digest(now, register.number(), true));
        register.step(ms(now), Input::Tick);
    }
}

#[test]
fn admits_nothing_before_the_first_read() {
    let mut register = Register::new(ms(0), "e1");
    assert_eq!(register.admits(ms(0)), Err(Refusal::Starting));
    let fetched = Input::Fetched {
        number: 7,
        document: Document::default(),
    };
    register.step(ms(1), fetched);
    assert!(register.step(ms(1), prepare(11, 6, "w")).is_empty());
    assert_eq!(register.admits(ms(1)), Err(Refusal::Starting));
}

#[test]
fn doubt_stops_admission_in_time() {
    let mut register = register();
    assert_eq!(
        register.step(ms(0), prepare(11, 6, "w")),
        [Order::Confirm { write: "w".into() }]
    );
    pass(&mut register, 0, 2_750);
    assert_eq!(register.admits(ms(2_999)), Ok(5));
    pass(&mut register, 3_000, 3_000);
    assert_eq!(register.admits(ms(3_000)), Err(Refusal::InDoubt(6)));
    register.step(ms(3_100), read(3_050, 12, stored(5, None)));
    assert_eq!(register.admits(ms(3_100)), Ok(5));
}

#[test]
fn a_repeated_prepare_does_not_prolong_the_doubt() {
    let mut register = register();
    register.step(ms(0), prepare(11, 6, "w"));
    pass(&mut register, 0, 2_000);
    let again = register.step(ms(2_000), prepare(11, 6, "w"));
    assert_eq!(again, [Order::Confirm { write: "w".into() }]);
    pass(&mut register, 2_250, 3_000);
    assert_eq!(register.admits(ms(3_000)), Err(Refusal::InDoubt(6)));
}

#[test]
fn a_starting_entry_takes_a_pending_patch_for_prepared_since_its_read_was_sent() {
    let mut register = Register::new(ms(0), "e1");
    pass(&mut register, 0, 2_500);
    register.step(ms(2_500), read(100, 11, stored(5, Some("w"))));
    pass(&mut register, 2_500, 3_000);
    assert_eq!(register.admits(ms(3_000)), Ok(5));
    assert_eq!(register.admits(ms(3_100)), Err(Refusal::InDoubt(6)));
}

#[test]
fn a_doubt_is_read_then_taken_back() {
    let mut register = register();
    register.step(ms(0), prepare(11, 6, "w"));
    pass(&mut register, 0, 750);
    assert_eq!(register.step(ms(1_000), Input::Tick), [Order::Read]);
    let early = register.step(ms(1_100), read(1_050, 11, stored(5, Some("w"))));
    assert_eq!(early, []);
    let late = register.step(ms(2_700), read(2_650, 11, stored(5, Some("w"))));
    assert_eq!(
        late,
        [Order::TakeBack {
            version: 11,
            stored: stored(5, None)
        }]
    );
}

#[test]
fn a_late_read_from_before_the_prepare_does_not_resolve_it() {
    let mut register = register();
    register.step(ms(0), prepare(11, 6, "w"));
    pass(&mut register, 0, 2_750);
    register.step(ms(2_900), read(0, 10, stored(5, None)));
    pass(&mut register, 3_000, 3_000);
    assert_eq!(register.admits(ms(3_000)), Err(Refusal::InDoubt(6)));
}

#[test]
fn a_late_read_from_before_the_commit_starts_no_doubt() {
    let mut register = register();
    register.step(ms(0), prepare(11, 6, "w"));
    register.step(
        ms(10),
        Input::Commit {
            number: 6,
            write: "w".into(),
        },
    );
    register.step(ms(20), read(5, 11, stored(5, Some("w"))));
    assert_eq!(register.number(), 6);
    pass(&mut register, 250, 4_000);
    assert_eq!(register.admits(ms(4_000)), Ok(6));
}

#[test]
fn an_aborted_write_is_not_prepared_again() {
    let mut register = register();
    register.step(ms(0), Input::Abort { write: "w".into() });
    assert_eq!(register.step(ms(0), prepare(11, 6, "w")), []);
    register.step(ms(10), read(5, 11, stored(5, Some("w"))));
    pass(&mut register, 250, 4_000);
    assert_eq!(register.admits(ms(4_000)), Ok(5));
}

#[test]
fn a_prepare_that_is_already_resolved_is_not_confirmed() {
    let mut register = register();
    register.step(ms(0), read(0, 12, stored(5, None)));
    assert_eq!(register.step(ms(0), prepare(11, 6, "w")), []);
    assert_eq!(register.step(ms(0), prepare(13, 5, "w")), []);
    assert!(register.vouches(ms(0)));
}

#[test]
fn a_commit_without_its_prepare_stops_admission_until_the_document_is_here() {
    let mut register = register();
    register.step(
        ms(0),
        Input::Commit {
            number: 6,
            write: "w".into(),
        },
    );
    assert_eq!(register.admits(ms(0)), Err(Refusal::Behind(6)));
    let fetched = Input::Fetched {
        number: 6,
        document: Document::default(),
    };
    assert_eq!(register.step(ms(1), fetched), [Order::Apply { number: 6 }]);
    assert_eq!(register.admits(ms(1)), Ok(6));
}

#[test]
fn the_number_never_goes_down() {
    let mut register = register();
    register.step(ms(0), read(0, 11, stored(3, None)));
    let fetched = Input::Fetched {
        number: 4,
        document: Document::default(),
    };
    assert_eq!(register.step(ms(0), fetched), []);
    assert_eq!(register.admits(ms(0)), Ok(5));
}

#[test]
fn a_pause_must_be_followed_by_a_confirmation_asked_for_after_it() {
    let mut register = register();
    assert_eq!(register.admits(ms(1_001)), Err(Refusal::Paused));
    register.step(ms(1_500), digest(900, 5, true));
    assert_eq!(register.admits(ms(1_500)), Err(Refusal::Paused));
    register.step(ms(1_600), digest(1_550, 5, false));
    assert_eq!(register.admits(ms(1_600)), Err(Refusal::Paused));
    register.step(ms(1_700), digest(1_550, 5, true));
    assert_eq!(register.admits(ms(1_700)), Ok(5));
}

#[test]
fn isolation_stops_admission_whatever_arrives_late() {
    let mut register = register();
    for now in (0..=4_250).step_by(250) {
        // Held up on a link for long, or from a peer that is in doubt itself.
        register.step(ms(now), digest(0, 5, true));
        register.step(ms(now), digest(now, 5, false));
    }
    assert_eq!(register.admits(ms(4_001)), Err(Refusal::Isolated));
}

#[test]
fn peers_are_enough_while_the_object_api_is_down() {
    let mut register = register();
    pass(&mut register, 0, 3_600_000);
    assert_eq!(register.admits(ms(3_600_000)), Ok(5));
}
