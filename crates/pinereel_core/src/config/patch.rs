//! Merging of patches into a document, and validation of the result.

use super::{Document, Limits, Pool, PoolKind, Trainer};
use compact_str::{CompactString, format_compact};
use serde::{Deserialize, Serialize, de::DeserializeOwned};
use serde_json::{Map, Value};
use std::collections::BTreeMap;

/// Maximum number of samples per lot, limited by the size of a cursor token.
const MAX_LOT_SAMPLES: u32 = 65_536;

/// A validation error in a document or a change.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, thiserror::Error)]
#[error("{path}: {reason}")]
pub struct Fault {
    /// Location, as a JSON pointer (RFC 6901).
    pub path: CompactString,
    /// Description of the error.
    pub reason: CompactString,
}

/// Applies a merge patch (RFC 7396) to a document, without validating the result.
pub fn merge(document: &Document, patch: &Value) -> Value {
    let mut value = serde_json::to_value(document).expect("a document is plain data");
    json_patch::merge(&mut value, patch);
    value
}

/// Deserializes and validates a document on its own. Use [`check_change`] for the transition from
/// the document in force.
///
/// # Errors
/// All errors that can be told apart, not only the first.
pub fn validate(value: &Value) -> Result<Document, Vec<Fault>> {
    let mut faults = Vec::new();
    let document = read_document(value, &mut faults);
    // Checks across objects would repeat the errors of objects that could not be deserialized.
    if faults.is_empty() {
        check_pools(&document, &mut faults);
        check_trainers(&document, &mut faults);
        check_limits(&document.limits, &mut faults);
    }
    if faults.is_empty() {
        Ok(document)
    } else {
        Err(faults)
    }
}

/// Returns the errors of a change between two valid documents that is not safe while the old one is
/// in force.
pub fn check_change(old: &Document, new: &Document) -> Vec<Fault> {
    let mut faults = Vec::new();
    for (name, pool) in &old.pools {
        let Some(next) = new.pools.get(name) else {
            continue;
        };
        if next.kind != pool.kind {
            push_fault(
                &mut faults,
                format_compact!("/pools/{name}/kind"),
                "a pool's kind is fixed",
            );
        }
        let user = old.trainers.iter().find(|(key, trainer)| {
            trainer.pool == *name && new.trainers.get(*key).is_some_and(|t| t.pool == *name)
        });
        if let (Some((trainer, _)), true) = (user, next.model != pool.model) {
            let reason = format_compact!("trainer {trainer} samples from this pool's model");
            push_fault(&mut faults, format_compact!("/pools/{name}/model"), reason);
        }
    }
    for (name, trainer) in &old.trainers {
        let Some(next) = new.trainers.get(name) else {
            continue;
        };
        if trainer_model(old, trainer) != trainer_model(new, next) && trainer.pool != next.pool {
            let reason = "the new pool serves another model; remove the trainer first";
            push_fault(
                &mut faults,
                format_compact!("/trainers/{name}/pool"),
                reason,
            );
        }
    }
    faults
}

fn trainer_model<'a>(document: &'a Document, trainer: &Trainer) -> Option<&'a CompactString> {
    document.pools.get(&trainer.pool)?.model.as_ref()
}

fn push_fault(faults: &mut Vec<Fault>, path: CompactString, reason: impl Into<CompactString>) {
    faults.push(Fault {
        path,
        reason: reason.into(),
    });
}

fn read_document(value: &Value, faults: &mut Vec<Fault>) -> Document {
    let mut document = Document::default();
    let Some(fields) = value.as_object() else {
        push_fault(faults, "".into(), "expected an object");
        return document;
    };
    for (key, field) in fields {
        match key.as_str() {
            "pools" => document.pools = read_map::<Pool>("pools", field, faults),
            "trainers" => document.trainers = read_map::<Trainer>("trainers", field, faults),
            "limits" => {
                if let Some(limits) = read_object("/limits", field, faults) {
                    document.limits = limits;
                }
            }
            _ => push_fault(faults, pointer("", key), "unknown key"),
        }
    }
    document
}

fn read_map<T: DeserializeOwned>(
    key: &str,
    value: &Value,
    faults: &mut Vec<Fault>,
) -> BTreeMap<CompactString, T> {
    let empty = Map::new();
    let fields = value.as_object().unwrap_or_else(|| {
        push_fault(faults, format_compact!("/{key}"), "expected an object");
        &empty
    });
    let mut map = BTreeMap::new();
    for (name, field) in fields {
        let path = pointer(&format!("/{key}"), name);
        if name.is_empty() {
            push_fault(faults, path.clone(), "empty name");
        }
        if let Some(item) = read_object(&path, field, faults) {
            map.insert(name.into(), item);
        }
    }
    map
}

/// Deserializes one object. Removes each field that causes an error and tries again, to find all
/// errors.
fn read_object<T: DeserializeOwned>(
    path: &str,
    value: &Value,
    faults: &mut Vec<Fault>,
) -> Option<T> {
    let mut rest = value.clone();
    let mut removed = Vec::new();
    loop {
        let error = match T::deserialize(&rest) {
            Ok(item) => return removed.is_empty().then_some(item),
            Err(error) => error.to_string(),
        };
        if removed
            .iter()
            .any(|key| error == format!("missing field `{key}`"))
        {
            return None;
        }
        let Some(key) = offending_field::<T>(&rest, &error) else {
            push_fault(faults, path.into(), error);
            return None;
        };
        push_fault(faults, pointer(path, &key), error);
        rest.as_object_mut()?.remove(&key);
        removed.push(key);
    }
}

/// The field whose removal makes this deserialization error go away.
fn offending_field<T: DeserializeOwned>(value: &Value, error: &str) -> Option<String> {
    if error.starts_with("missing field") {
        return None;
    }
    let fields = value.as_object()?;
    let key = fields.keys().find(|key| {
        let mut rest = fields.clone();
        rest.remove(*key);
        T::deserialize(&Value::Object(rest)).map_or_else(|e| e.to_string() != error, |_| true)
    });
    key.cloned()
}

fn pointer(path: &str, key: &str) -> CompactString {
    let key = key.replace('~', "~0").replace('/', "~1");
    format_compact!("{path}/{key}")
}

fn check_pools(document: &Document, faults: &mut Vec<Fault>) {
    for (name, pool) in &document.pools {
        let path = pointer("/pools", name);
        match (pool.kind, &pool.model) {
            (PoolKind::Engine, None) => {
                push_fault(
                    faults,
                    pointer(&path, "model"),
                    "an engine pool needs a model",
                );
            }
            (PoolKind::Service, Some(_)) => {
                push_fault(
                    faults,
                    pointer(&path, "model"),
                    "a service pool has no model",
                );
            }
            _ => {}
        }
        if pool.slots == 0 {
            push_fault(faults, pointer(&path, "slots"), "must be at least 1");
        }
        if pool.loads == 0 {
            push_fault(faults, pointer(&path, "loads"), "must be at least 1");
        }
        if !(0.0..=1.0).contains(&pool.floor) {
            push_fault(faults, pointer(&path, "floor"), "must be from 0 to 1");
        }
        for (index, call) in pool.non_idempotent.iter().enumerate() {
            if !is_method_and_path(call) {
                let path = format_compact!("{path}/non_idempotent/{index}");
                push_fault(faults, path, "expected `METHOD /path`");
            }
        }
    }
}

fn is_method_and_path(call: &str) -> bool {
    let Some((method, path)) = call.split_once(' ') else {
        return false;
    };
    let method_ok = !method.is_empty() && method.bytes().all(|b| b.is_ascii_uppercase());
    method_ok && path.starts_with('/') && !path.contains(char::is_whitespace)
}

fn check_trainers(document: &Document, faults: &mut Vec<Fault>) {
    for (name, trainer) in &document.trainers {
        let path = pointer("/trainers", name);
        check_pool_reference(
            document,
            &trainer.pool,
            PoolKind::Engine,
            pointer(&path, "pool"),
            faults,
        );
        if let Some(scorer) = &trainer.scorer {
            check_pool_reference(
                document,
                scorer,
                PoolKind::Service,
                pointer(&path, "scorer"),
                faults,
            );
        }
        if trainer.share == 0 {
            push_fault(faults, pointer(&path, "share"), "must be at least 1");
        }
    }
}

fn check_pool_reference(
    document: &Document,
    pool: &str,
    kind: PoolKind,
    path: CompactString,
    faults: &mut Vec<Fault>,
) {
    match document.pools.get(pool) {
        None => push_fault(faults, path, format_compact!("no pool `{pool}`")),
        Some(found) if found.kind != kind => {
            push_fault(
                faults,
                path,
                format_compact!("pool `{pool}` is of the wrong kind"),
            );
        }
        Some(_) => {}
    }
}

fn check_limits(limits: &Limits, faults: &mut Vec<Fault>) {
    let values = [
        ("max_body", u64::from(limits.max_body)),
        ("max_queue", u64::from(limits.max_queue)),
        ("max_samples", u64::from(limits.max_samples)),
        ("default_deadline_ms", limits.default_deadline_ms),
    ];
    for (key, value) in values {
        if value == 0 {
            push_fault(faults, pointer("/limits", key), "must be at least 1");
        }
    }
    if limits.max_samples > MAX_LOT_SAMPLES {
        let reason = format_compact!("must be at most {MAX_LOT_SAMPLES}");
        push_fault(faults, pointer("/limits", "max_samples"), reason);
    }
}
