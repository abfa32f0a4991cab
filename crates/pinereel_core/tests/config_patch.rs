//! Merging and validation of configuration patches, with the path and reason of each error.

use pinereel_core::config::{Document, Fault, check_change, merge, validate};
use serde_json::{Value, json};

fn base() -> Document {
    let value = json!({
        "pools": {
            "llm": {"kind": "engine", "model": "draft"},
            "other": {"kind": "engine", "model": "winder"},
            "score": {"kind": "service", "non_idempotent": ["POST /book"]},
        },
        "trainers": {"wording": {"pool": "llm", "bound": 2, "scorer": "score"}},
    });
    validate(&value).expect("the base is valid")
}

fn lines(faults: &[Fault]) -> String {
    faults
        .iter()
        .map(Fault::to_string)
        .collect::<Vec<_>>()
        .join("\n")
}

/// Applies a patch to the base document. Returns the errors of the document or of the change, or
/// "valid".
fn outcome(patch: Value) -> String {
    match validate(&merge(&base(), &patch)) {
        Err(faults) => lines(&faults),
        Ok(document) => match check_change(&base(), &document) {
            faults if faults.is_empty() => "valid".into(),
            faults => lines(&faults),
        },
    }
}

#[test]
fn a_patch_changes_what_it_names_and_null_removes() {
    let patch = json!({"limits": {"max_queue": 7}, "pools": {"other": null}});
    let document = validate(&merge(&base(), &patch)).expect("valid");
    let mut expected = base();
    expected.limits.max_queue = 7;
    expected.pools.remove("other");
    assert_eq!(document, expected);
}

#[test]
fn all_unknown_keys_and_wrong_types_are_reported_together() {
    insta::assert_snapshot!(outcome(json!({
        "pool": {},
        "limits": {"max_queues": 1},
        "pools": {"llm": {"slot": 3}, "a/b": 7},
        "trainers": {"wording": {"bound": "two", "share": -1}, "new": {"bound": 1}},
    })), @r#"
/limits/max_queues: unknown field `max_queues`, expected one of `max_body`, `max_queue`, `max_samples`, `default_deadline_ms`
/pool: unknown key
/pools/a~1b: invalid type: integer `7`, expected struct Pool
/pools/llm/slot: unknown field `slot`, expected one of `kind`, `model`, `slots`, `non_idempotent`, `checks_fencing`, `floor`, `loads`
/trainers/new: missing field `pool`
/trainers/wording/bound: invalid type: string "two", expected u64
/trainers/wording/share: invalid value: integer `-1`, expected u32
"#);
    insta::assert_snapshot!(outcome(json!([])), @": expected an object");
}

#[test]
fn dangling_references_are_refused() {
    insta::assert_snapshot!(outcome(json!({"pools": {"llm": null}})), @"/trainers/wording/pool: no pool `llm`");
    insta::assert_snapshot!(outcome(json!({
        "trainers": {"wording": {"pool": "score", "scorer": "llm"}, "new": {"pool": "x", "bound": 1}},
    })), @r#"
/trainers/new/pool: no pool `x`
/trainers/wording/pool: pool `score` is of the wrong kind
/trainers/wording/scorer: pool `llm` is of the wrong kind
"#);
}

#[test]
fn values_out_of_range_are_refused() {
    insta::assert_snapshot!(outcome(json!({
        "pools": {
            "llm": {"model": null, "slots": 0, "floor": 1.5},
            "score": {"model": "m", "non_idempotent": ["POST /book", "book", "post /x", "GET x", "GET /a b"]},
        },
        "trainers": {"wording": {"share": 0}},
        "limits": {"max_body": 0, "max_queue": 0, "max_samples": 65_537, "default_deadline_ms": 0},
    })), @r#"
/pools/llm/model: an engine pool needs a model
/pools/llm/slots: must be at least 1
/pools/llm/floor: must be from 0 to 1
/pools/score/model: a service pool has no model
/pools/score/non_idempotent/1: expected `METHOD /path`
/pools/score/non_idempotent/2: expected `METHOD /path`
/pools/score/non_idempotent/3: expected `METHOD /path`
/pools/score/non_idempotent/4: expected `METHOD /path`
/trainers/wording/share: must be at least 1
/limits/max_body: must be at least 1
/limits/max_queue: must be at least 1
/limits/default_deadline_ms: must be at least 1
/limits/max_samples: must be at most 65536
"#);
    assert_eq!(outcome(json!({"limits": {"max_samples": 65_536}})), "valid");
}

#[test]
fn unsafe_changes_are_refused() {
    insta::assert_snapshot!(outcome(json!({"pools": {"llm": {"model": "new"}}})), @"/pools/llm/model: trainer wording samples from this pool's model");
    insta::assert_snapshot!(outcome(json!({"trainers": {"wording": {"pool": "other"}}})), @"/trainers/wording/pool: the new pool serves another model; remove the trainer first");
    insta::assert_snapshot!(
        outcome(json!({"pools": {"other": {"kind": "service", "model": null}}})),
        @"/pools/other/kind: a pool's kind is fixed"
    );
    assert_eq!(
        outcome(json!({"pools": {"other": {"model": "new"}}})),
        "valid"
    );
    assert_eq!(
        outcome(json!({"trainers": {"wording": null}, "pools": {"llm": null}})),
        "valid"
    );
}
