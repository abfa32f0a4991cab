//! Objects that are larger than any that belongs to their kind. Other writers may add such objects, of up to a
//! megabyte each, and all instances keep the lists of these kinds in memory.

use crate::objects::Purpose;
use pinereel_port::store::Object;
use serde_json::Value;

/// Maximum size of an entry of the endpoint list, and of a retirement request, in bytes of its text.
const MAX_ENTRY_BYTES: usize = 32 << 10;
/// Maximum size of a lease, in bytes of its text. The crash reports, of the same kind, take 40 kB.
const MAX_LEASE_BYTES: usize = 128 << 10;

/// The maximum size of an object that is read for `purpose`; `None` if whole objects are kept.
const fn max_bytes(purpose: Purpose) -> Option<usize> {
    match purpose {
        Purpose::Instances | Purpose::Retirements => Some(MAX_ENTRY_BYTES),
        Purpose::Leases => Some(MAX_LEASE_BYTES),
        _ => None,
    }
}

/// Replaces the spec and the status of each larger object by null, so that it is rejected like any other invalid
/// one. Returns the number of bytes that were dropped.
pub(super) fn clear_large<'a>(
    purpose: Purpose,
    kind: &str,
    objects: impl Iterator<Item = &'a mut Object>,
) -> usize {
    let Some(max) = max_bytes(purpose) else {
        return 0;
    };
    let (mut count, mut dropped) = (0_u32, 0);
    for object in objects {
        let size = text_bytes(&object.spec) + text_bytes(&object.status);
        if size > max {
            if count == 0 {
                log::error!(kind, name:% = shortened(&object.name), bytes = size, max; "object store: object too large, contents ignored");
            }
            count += 1;
            dropped += size;
            (object.spec, object.status) = (Value::Null, Value::Null);
        }
    }
    if count > 1 {
        log::error!(kind, count, bytes = dropped, max; "object store: objects too large, contents ignored");
    }
    dropped
}

/// The beginning of a name, for the log.
fn shortened(name: &str) -> &str {
    const MAX_LOGGED_NAME_BYTES: usize = 200;
    &name[..name.floor_char_boundary(MAX_LOGGED_NAME_BYTES)]
}

/// Size of a value as text, without escapes.
fn text_bytes(value: &Value) -> usize {
    match value {
        Value::Null | Value::Bool(_) | Value::Number(_) => 4,
        Value::String(text) => text.len() + 2,
        Value::Array(values) => {
            2 + values
                .iter()
                .map(|value| text_bytes(value) + 1)
                .sum::<usize>()
        }
        Value::Object(members) => {
            let members = members.iter();
            2 + members
                .map(|(name, value)| name.len() + 4 + text_bytes(value))
                .sum::<usize>()
        }
    }
}
