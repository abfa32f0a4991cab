//! In-memory store of the fake object API: objects, their versions, and the bounded list of changes
//! that watches read.

use compact_str::CompactString;
use pinereel_api::object::{Change, Changes, List, Object};
use serde::{Deserialize, Serialize};
use serde_json::Value;
use std::collections::{BTreeMap, VecDeque};

/// Condition of a write on the stored object.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Condition {
    /// The object does not exist (`If-None-Match: *`).
    Absent,
    /// The object has this version (`If-Match: V`).
    Version(u64),
}

/// Why a write was refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Refusal {
    /// The object does not exist.
    #[error("no such object")]
    NotFound,
    /// The object has this version, which does not meet the condition.
    #[error("the object has version {0}")]
    Conflict(u64),
}

/// An accepted write, as returned by `GET /history?kind=K`. Tests use it to check what was written.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct WriteRecord {
    /// Kind of the written object.
    pub kind: CompactString,
    /// New version and value of the object.
    pub change: Change,
    /// Time of the write, in milliseconds since the start of the fake API.
    pub at_ms: u64,
    /// `user-agent` header of the writer; empty if it sent none. It is `platform` for changes of
    /// instances.
    pub agent: CompactString,
}

/// Objects and changes of one kind.
#[derive(Debug, Default)]
struct Kind {
    /// Version and value by name.
    objects: BTreeMap<CompactString, (u64, Value)>,
    /// The newest changes, oldest first.
    changes: VecDeque<Change>,
    /// Version of the newest change that was dropped from `changes`.
    last_dropped_version: u64,
}

/// Objects of all kinds. A version is the revision of the whole store at the write, so that none is
/// ever reused.
#[derive(Debug)]
pub struct Store {
    revision: u64,
    kinds: BTreeMap<CompactString, Kind>,
    max_watch_changes: usize,
}

impl Store {
    /// Creates an empty store that keeps at most `max_watch_changes` changes of each kind.
    pub const fn new(max_watch_changes: usize) -> Self {
        Self {
            revision: 0,
            kinds: BTreeMap::new(),
            max_watch_changes,
        }
    }

    /// Revision of the newest write.
    pub const fn revision(&self) -> u64 {
        self.revision
    }

    /// Returns an object; `None` if it does not exist.
    pub fn read(&self, kind: &str, name: &str) -> Option<Object> {
        let (name, (version, value)) = self.kinds.get(kind)?.objects.get_key_value(name)?;
        Some(Object {
            name: name.clone(),
            version: *version,
            value: value.clone(),
        })
    }

    /// Returns the objects of a kind whose names start with `prefix`.
    pub fn list(&self, kind: &str, prefix: &str) -> List {
        let objects = self.kinds.get(kind).into_iter().flat_map(|k| &k.objects);
        let items = objects
            .filter(|(name, _)| name.starts_with(prefix))
            .map(|(name, (version, value))| Object {
                name: name.clone(),
                version: *version,
                value: value.clone(),
            })
            .collect();
        List {
            revision: self.revision,
            items,
        }
    }

    /// Returns the changes of a kind after revision `after`; `None` if some of them are no longer
    /// kept, or if the store has not reached that revision.
    pub fn changes(&self, kind: &str, after: u64) -> Option<Changes> {
        if after > self.revision {
            return None;
        }
        let mut changes = Vec::new();
        if let Some(kind) = self.kinds.get(kind) {
            if after < kind.last_dropped_version {
                return None;
            }
            let newer = kind.changes.iter().filter(|c| c.version > after);
            changes.extend(newer.cloned());
        }
        Some(Changes {
            revision: self.revision,
            changes,
        })
    }

    /// Writes an object if `condition` is met; a value of `None` deletes it.
    ///
    /// # Errors
    /// If the condition is not met.
    pub fn write(
        &mut self,
        kind: &str,
        name: &str,
        value: Option<Value>,
        condition: Condition,
    ) -> Result<Change, Refusal> {
        let current_version = self
            .kinds
            .get(kind)
            .and_then(|k| k.objects.get(name))
            .map(|(version, _)| *version);
        match (condition, current_version) {
            (Condition::Absent, None) => {}
            (Condition::Version(expected), Some(version)) if expected == version => {}
            (Condition::Version(_), None) => return Err(Refusal::NotFound),
            (_, Some(version)) => return Err(Refusal::Conflict(version)),
        }
        Ok(self.apply(kind, name, value))
    }

    /// Writes an object without a condition; a value of `None` deletes it.
    pub fn apply(&mut self, kind: &str, name: &str, value: Option<Value>) -> Change {
        self.revision += 1;
        let change = Change {
            name: name.into(),
            version: self.revision,
            value: value.clone(),
        };
        let kind = self.kinds.entry(kind.into()).or_default();
        match value {
            Some(value) => {
                kind.objects.insert(name.into(), (self.revision, value));
            }
            None => {
                kind.objects.remove(name);
            }
        }
        kind.changes.push_back(change.clone());
        while kind.changes.len() > self.max_watch_changes {
            if let Some(oldest) = kind.changes.pop_front() {
                kind.last_dropped_version = oldest.version;
            }
        }
        change
    }
}
