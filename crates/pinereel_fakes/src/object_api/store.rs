//! The objects, their versions and the bounded history that watches read.

use compact_str::CompactString;
use pinereel_api::object::{Change, Changes, List, Object};
use serde::{Deserialize, Serialize};
use serde_json::Value;
use std::collections::{BTreeMap, VecDeque};

/// What a write requires of the object that stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Condition {
    /// There is none (`If-None-Match: *`).
    Absent,
    /// It has this version (`If-Match: V`).
    Version(u64),
}

/// Why a write was not taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Refusal {
    /// There is no such object.
    #[error("no such object")]
    NotFound,
    /// The object has another version.
    #[error("the object has version {0}")]
    Conflict(u64),
}

/// One accepted write, for oracles: `GET /history?kind=K`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Record {
    /// Kind of the object.
    pub kind: CompactString,
    /// What changed.
    pub change: Change,
    /// When it took effect, in milliseconds since the start of the stand-in.
    pub at_ms: u64,
    /// `user-agent` of the writer; empty if it sent none.
    pub agent: CompactString,
}

/// The objects of one kind.
#[derive(Debug, Default)]
struct Kind {
    objects: BTreeMap<CompactString, (u64, Value)>,
    changes: VecDeque<Change>,
    /// Version of the newest change that is no longer in `changes`.
    forgotten: u64,
}

/// All objects. Versions are revisions of the whole store, so that none is ever reused.
#[derive(Debug)]
pub struct Store {
    revision: u64,
    kinds: BTreeMap<CompactString, Kind>,
    history: usize,
}

impl Store {
    /// An empty store that keeps `history` changes of each kind for watches.
    pub const fn new(history: usize) -> Self {
        Self {
            revision: 0,
            kinds: BTreeMap::new(),
            history,
        }
    }

    /// Revision of the newest write.
    pub const fn revision(&self) -> u64 {
        self.revision
    }

    /// One object.
    pub fn read(&self, kind: &str, name: &str) -> Option<Object> {
        let (name, (version, value)) = self.kinds.get(kind)?.objects.get_key_value(name)?;
        Some(Object {
            name: name.clone(),
            version: *version,
            value: value.clone(),
        })
    }

    /// The objects whose names begin with `prefix`.
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

    /// What changed after revision `after`; none if the history no longer reaches back so far, or
    /// if the revision is none of this store's.
    pub fn changes(&self, kind: &str, after: u64) -> Option<Changes> {
        if after > self.revision {
            return None;
        }
        let mut changes = Vec::new();
        if let Some(kind) = self.kinds.get(kind) {
            if after < kind.forgotten {
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

    /// Checks `condition` and writes; a value of none deletes.
    pub fn write(
        &mut self,
        kind: &str,
        name: &str,
        value: Option<Value>,
        condition: Condition,
    ) -> Result<Change, Refusal> {
        let present = self
            .kinds
            .get(kind)
            .and_then(|k| k.objects.get(name))
            .map(|(version, _)| *version);
        match (condition, present) {
            (Condition::Absent, None) => {}
            (Condition::Version(wanted), Some(version)) if wanted == version => {}
            (Condition::Version(_), None) => return Err(Refusal::NotFound),
            (_, Some(version)) => return Err(Refusal::Conflict(version)),
        }
        Ok(self.force(kind, name, value))
    }

    /// Writes without a condition; a value of none deletes.
    pub fn force(&mut self, kind: &str, name: &str, value: Option<Value>) -> Change {
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
        while kind.changes.len() > self.history {
            if let Some(oldest) = kind.changes.pop_front() {
                kind.forgotten = oldest.version;
            }
        }
        change
    }
}
