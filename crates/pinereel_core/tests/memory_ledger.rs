//! The ledger of memory: over orders of heads, parts, stalls, ends, cancellations and answers, the sum stays
//! within its limit, and a body that is alone, or small, is always admitted.

use pinereel_core::{
    Time,
    memory::{Full, Key, Kind, Ledger, MAX_MEDIUM_BYTES, MAX_SMALL_BYTES, Phase, STALL_TIMEOUT},
};
use proptest::prelude::*;
use std::{collections::BTreeMap, time::Duration};

const MAX_BYTES: usize = 64 << 20;
const MAX_LARGE_BYTES: usize = 56 << 20;
const CONNECTION_BYTES: usize = 40 << 10;

fn upload(ledger: &mut Ledger, now: Time, bytes: usize) -> Result<Key, Full> {
    let key = ledger.open(now, Kind::Upload(None));
    ledger.grow(now, key, bytes).map(|_| key)
}

#[derive(Clone, Debug)]
enum Event {
    /// A body begins, with a length that is announced or not.
    Head(Kind, usize),
    /// A part of the nth body that is being received, which was announced or not.
    Part(usize, usize),
    /// Nothing arrives for this many milliseconds.
    Stall(u64),
    /// The nth body is complete.
    End(usize),
    /// The sender of the nth body is gone.
    Cancelled(usize),
    /// The nth complete body is dropped.
    Answered(usize),
    Connected,
    Disconnected(usize),
}

fn event() -> impl Strategy<Value = Event> {
    let length = prop_oneof![0..MAX_SMALL_BYTES, 0..MAX_MEDIUM_BYTES, 0..MAX_LARGE_BYTES];
    let kind = prop_oneof![
        4 => Just(Kind::Upload(None)),
        2 => Just(Kind::Download),
        1 => Just(Kind::Control),
    ];
    prop_oneof![
        4 => (kind, length).prop_map(|(kind, length)| Event::Head(kind, length)),
        8 => (0..64_usize, 1..4_000_000_usize).prop_map(|(i, len)| Event::Part(i, len)),
        2 => (1..3_000_u64).prop_map(Event::Stall),
        2 => (0..64_usize).prop_map(Event::End),
        1 => (0..64_usize).prop_map(Event::Cancelled),
        2 => (0..64_usize).prop_map(Event::Answered),
        2 => Just(Event::Connected),
        1 => (0..64_usize).prop_map(Event::Disconnected),
    ]
}

/// What the model of a process holds, by key.
#[derive(Default)]
struct Model {
    receiving: BTreeMap<Key, (Kind, usize)>,
    held: BTreeMap<Key, usize>,
    connections: BTreeMap<Key, usize>,
}

impl Model {
    fn total(&self) -> usize {
        let receiving: usize = self.receiving.values().map(|(_, bytes)| bytes).sum();
        let held: usize = self.held.values().sum();
        receiving + held + self.connections.values().sum::<usize>()
    }

    fn drop_given_up(&mut self, given_up: Vec<Key>) {
        for key in given_up {
            let was_known =
                self.receiving.remove(&key).is_some() || self.connections.remove(&key).is_some();
            assert!(was_known, "a complete body was given up");
        }
    }

    fn grow(&mut self, ledger: &mut Ledger, now: Time, key: Key, bytes: usize) {
        match ledger.grow(now, key, bytes) {
            Ok(given_up) => {
                self.drop_given_up(given_up);
                self.receiving.get_mut(&key).expect("known").1 += bytes;
            }
            Err(Full) => {
                ledger.close(key);
                self.receiving.remove(&key);
            }
        }
    }
}

fn nth<V>(map: &BTreeMap<Key, V>, number: usize) -> Option<Key> {
    map.keys().nth(number % map.len().max(1)).copied()
}

proptest! {
    #[test]
    fn the_sum_of_all_entries_stays_within_the_limit(events in prop::collection::vec(event(), 1..300)) {
        let mut ledger = Ledger::new(MAX_BYTES);
        let mut model = Model::default();
        let mut now = Time::ZERO;
        for event in events {
            now = now + Duration::from_millis(1);
            match event {
                Event::Head(kind, length) => {
                    let key = ledger.open(now, kind);
                    model.receiving.insert(key, (kind, 0));
                    model.grow(&mut ledger, now, key, length);
                }
                Event::Part(number, bytes) => if let Some(key) = nth(&model.receiving, number) {
                    ledger.record_received(now, key, bytes);
                    model.grow(&mut ledger, now, key, bytes);
                },
                Event::Stall(millis) => now = now + Duration::from_millis(millis),
                Event::End(number) => if let Some(key) = nth(&model.receiving, number) {
                    let (_, bytes) = model.receiving.remove(&key).expect("known");
                    prop_assert!(ledger.hold(key, bytes));
                    model.held.insert(key, bytes);
                },
                Event::Cancelled(number) => if let Some(key) = nth(&model.receiving, number) {
                    ledger.close(key);
                    model.receiving.remove(&key);
                },
                Event::Answered(number) => if let Some(key) = nth(&model.held, number) {
                    ledger.close(key);
                    model.held.remove(&key);
                },
                Event::Connected => {
                    let key = ledger.open(now, Kind::Connection(Phase::New));
                    if let Ok(given_up) = ledger.grow(now, key, CONNECTION_BYTES) {
                        model.drop_given_up(given_up);
                        model.connections.insert(key, CONNECTION_BYTES);
                    } else {
                        ledger.close(key);
                    }
                }
                Event::Disconnected(number) => if let Some(key) = nth(&model.connections, number) {
                    ledger.close(key);
                    model.connections.remove(&key);
                },
            }
            prop_assert_eq!(ledger.used_bytes(), model.total());
            prop_assert!(ledger.used_bytes() <= MAX_BYTES);
            let receiving = model.receiving.values().filter(|(kind, _)| *kind != Kind::Control);
            let bodies = receiving.map(|(_, bytes)| bytes).chain(model.held.values());
            let large: usize = bodies.filter(|bytes| **bytes > MAX_MEDIUM_BYTES).sum();
            prop_assert!(large <= MAX_LARGE_BYTES + model.held.values().sum::<usize>());
            // A small request finds room unless complete bodies, answers and busy connections leave none.
            let fixed: usize = model.total() - model.receiving.values()
                .filter(|(kind, _)| matches!(kind, Kind::Upload(_)))
                .map(|(_, bytes)| bytes).sum::<usize>();
            if fixed + MAX_SMALL_BYTES <= MAX_BYTES {
                let key = ledger.open(now, Kind::Upload(None));
                let grown = ledger.grow(now, key, MAX_SMALL_BYTES);
                prop_assert!(grown.is_ok());
                model.drop_given_up(grown.unwrap_or_default());
                ledger.close(key);
            }
        }
        // A body alone is always admitted.
        for (key, _) in std::mem::take(&mut model.receiving) {
            ledger.close(key);
        }
        for (key, _) in std::mem::take(&mut model.held) {
            ledger.close(key);
        }
        for (key, _) in std::mem::take(&mut model.connections) {
            ledger.close(key);
        }
        prop_assert_eq!(ledger.used_bytes(), 0);
        prop_assert!(upload(&mut ledger, now, MAX_LARGE_BYTES).is_ok());
    }
}

#[test]
fn a_body_that_stalls_gives_way_to_a_new_one() {
    let mut ledger = Ledger::new(MAX_BYTES);
    let stalled = upload(&mut ledger, Time::ZERO, MAX_LARGE_BYTES).expect("alone");
    assert_eq!(upload(&mut ledger, Time::ZERO, MAX_LARGE_BYTES), Err(Full));
    let later = Time::ZERO + STALL_TIMEOUT;
    let key = ledger.open(later, Kind::Upload(None));
    let given_up = ledger.grow(later, key, MAX_LARGE_BYTES);
    assert_eq!(given_up, Ok(vec![stalled]));
}

/// Single bytes now and then do not keep the room of a body.
#[test]
fn a_body_that_makes_hardly_any_progress_counts_as_stalled() {
    let mut ledger = Ledger::new(MAX_BYTES);
    let slow = upload(&mut ledger, Time::ZERO, MAX_LARGE_BYTES).expect("alone");
    for millis in 0..1_000 {
        ledger.record_received(Time::from_millis(millis), slow, 1);
    }
    let now = Time::from_millis(1_000);
    let key = ledger.open(now, Kind::Upload(None));
    assert_eq!(ledger.grow(now, key, MAX_LARGE_BYTES), Ok(vec![slow]));
}

/// Among bodies that make progress, the oldest is completed.
#[test]
fn the_youngest_large_body_gives_way_to_an_older_one() {
    let mut ledger = Ledger::new(MAX_BYTES);
    let third = MAX_LARGE_BYTES / 3;
    let lengths = [third, third, MAX_LARGE_BYTES - 2 * third];
    let keys = lengths.map(|length| upload(&mut ledger, Time::ZERO, length).expect("room"));
    assert_eq!(ledger.grow(Time::ZERO, keys[0], 1), Ok(vec![keys[2]]));
    assert_eq!(ledger.grow(Time::ZERO, keys[1], lengths[2]), Err(Full));
}

#[test]
fn a_small_body_gives_up_a_large_one_but_no_complete_one() {
    let mut ledger = Ledger::new(MAX_BYTES);
    let held = upload(&mut ledger, Time::ZERO, MAX_LARGE_BYTES / 2).expect("room");
    assert!(ledger.hold(held, MAX_LARGE_BYTES / 2));
    let large = upload(&mut ledger, Time::ZERO, MAX_LARGE_BYTES / 2).expect("room");
    let mut small = 0;
    loop {
        let key = ledger.open(Time::ZERO, Kind::Upload(None));
        let given_up = ledger.grow(Time::ZERO, key, MAX_SMALL_BYTES);
        small += 1;
        if given_up.expect("room") == vec![large] {
            break;
        }
    }
    assert_eq!(small, (MAX_BYTES - MAX_LARGE_BYTES) / MAX_SMALL_BYTES + 1);
}

/// Short bodies are read to the end beside one without an end.
#[test]
fn the_longest_response_is_given_up_for_a_shorter_one() {
    let mut ledger = Ledger::new(MAX_BYTES);
    let download = |ledger: &mut Ledger, bytes| {
        let key = ledger.open(Time::ZERO, Kind::Download);
        ledger
            .grow(Time::ZERO, key, bytes)
            .map(|given_up| (key, given_up))
    };
    let (endless, _) = download(&mut ledger, MAX_LARGE_BYTES).expect("alone");
    assert_eq!(ledger.grow(Time::ZERO, endless, 1), Err(Full));
    let (_, given_up) = download(&mut ledger, 2 * MAX_MEDIUM_BYTES).expect("shorter");
    assert_eq!(given_up, [endless]);
}

#[test]
fn the_connection_that_waits_longest_without_a_request_is_given_up_first() {
    let mut ledger = Ledger::new(MAX_BYTES);
    let mut connect = |millis, phase| {
        let now = Time::from_millis(millis);
        let key = ledger.open(now, Kind::Connection(phase));
        ledger.grow(now, key, CONNECTION_BYTES).expect("room");
        key
    };
    let idle = connect(0, Phase::Idle);
    let busy = connect(1, Phase::Busy);
    let new = [connect(2, Phase::New), connect(3, Phase::New)];
    let draining = connect(4, Phase::Draining);
    let upload = ledger.open(Time::from_millis(5), Kind::Upload(Some(busy)));
    ledger.grow(Time::from_millis(5), upload, 1).expect("room");
    let mut order = Vec::new();
    while let Some(key) = ledger.give_up_connection(Time::from_millis(6), Duration::ZERO) {
        order.push(key);
        if key == busy {
            ledger.close(upload);
        }
    }
    assert_eq!(order, [draining, new[0], new[1], idle, busy]);
}

#[test]
fn a_connection_is_kept_for_the_shortest_wait() {
    let mut ledger = Ledger::new(MAX_BYTES);
    ledger.open(Time::ZERO, Kind::Connection(Phase::New));
    let min_wait = Duration::from_secs(1);
    let early = ledger.give_up_connection(Time::from_millis(999), min_wait);
    assert_eq!(early, None);
    let late = ledger.give_up_connection(Time::from_millis(1_000), min_wait);
    assert!(late.is_some());
}
