//! Frames of store calls on the links between instances, and their compatibility with older builds.

use ciborium::Value;
use pinereel::{
    hosted::{Frame, StoreCall, StoreOutcome},
    objects::Purpose,
};
use std::time::Duration;

fn encode(value: &Value) -> Vec<u8> {
    let mut bytes = Vec::new();
    ciborium::into_writer(value, &mut bytes).expect("a value in memory");
    bytes
}

fn map(entries: &[(&str, Value)]) -> Value {
    let entries = entries.iter();
    Value::Map(
        entries
            .map(|(key, value)| (Value::from(*key), value.clone()))
            .collect(),
    )
}

#[test]
fn a_call_and_its_answer_are_decoded_as_they_were_encoded() {
    let call = Frame::StoreCall(StoreCall {
        id: 7,
        hops: 1,
        purpose: "lots".into(),
        access: "write".into(),
        method: "POST".into(),
        path: "/v1/objects/pinereel-lots".into(),
        body: vec![0, 255, 10].into(),
        wait: Duration::from_millis(20_000),
    });
    let answers = [
        StoreOutcome::Answered {
            status: 409,
            body: vec![1, 2].into(),
        },
        StoreOutcome::NotSent,
        StoreOutcome::Unknown,
    ];
    let answers = answers.map(|outcome| Frame::StoreAnswer { id: 7, outcome });
    let part = Frame::StoreAnswerPart {
        id: 7,
        body: vec![3; 70_000].into(),
    };
    for frame in [call, part].iter().chain(&answers) {
        let bytes = frame.encode().unwrap();
        assert_eq!(Frame::decode(&bytes).as_ref(), Some(frame));
    }
}

/// A heartbeat as the previous build sends it: it must be understood, and announce nothing.
#[test]
fn a_heartbeat_of_the_previous_build_announces_no_store_calls() {
    let size = map(&[("preferred", 1.into()), ("others", 2.into())]);
    let age = map(&[("secs", 0.into()), ("nanos", 20_000_000.into())]);
    let heartbeat = map(&[
        ("lineage", Value::Array(vec!["10.0.0.1:9470".into()])),
        ("deputies", Value::Array(Vec::new())),
        ("age", age.clone()),
        ("reads", true.into()),
        ("calm", age),
        ("ranks", map(&[("before", size.clone()), ("of", size)])),
    ]);
    let frame = Frame::decode(&encode(&map(&[("Alive", heartbeat)])));
    let Some(Frame::Heartbeat(heartbeat)) = frame else {
        panic!("not a heartbeat: {frame:?}");
    };
    assert!(!heartbeat.store_calls);
}

/// The previous build ignores fields that it does not know, so a heartbeat with the announcement reaches
/// it. Checked here by a heartbeat with a field that this build does not know.
#[test]
fn a_heartbeat_with_an_unknown_field_is_decoded() {
    let size = map(&[("preferred", 1.into()), ("others", 2.into())]);
    let span = map(&[("secs", 1.into()), ("nanos", 0.into())]);
    let heartbeat = map(&[
        ("lineage", Value::Array(vec!["10.0.0.1:9470".into()])),
        ("deputies", Value::Array(Vec::new())),
        ("age", Value::Null),
        ("reads", true.into()),
        ("calm", span),
        ("ranks", map(&[("before", size.clone()), ("of", size)])),
        ("store_calls", true.into()),
        ("of_a_later_build", true.into()),
    ]);
    let frame = Frame::decode(&encode(&map(&[("Alive", heartbeat)])));
    assert!(matches!(frame, Some(Frame::Heartbeat(h)) if h.store_calls));
}

/// The configuration holds keys: it must not pass through other instances. A purpose that is unknown to
/// the receiver is refused as well.
#[test]
fn the_configuration_and_the_instance_list_are_never_relayed() {
    let relayed = ["lots", "leases", "weights", "usage", "retirements"];
    for label in relayed {
        assert!(Purpose::from_label(label).is_some_and(Purpose::may_be_relayed));
    }
    for label in ["config", "instances", "members", "claims"] {
        assert!(Purpose::from_label(label).is_some_and(|purpose| !purpose.may_be_relayed()));
    }
    assert_eq!(Purpose::from_label("keys"), None);
}
