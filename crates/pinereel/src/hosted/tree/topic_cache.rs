//! All objects of a topic, as an instance was told.

use super::{
    Frame, Topic,
    encoded_object::{EncodedObject, decode},
};
use bytes::Bytes;
use compact_str::CompactString;
use pinereel_core::tree::ReplayBuffer;
use pinereel_port::store::Object;
use std::{collections::BTreeMap, time::Duration};

/// Bytes of changes that are kept beside a snapshot, as a part of it (one of so many): beyond that it is made anew.
const REPLAY_DIVISOR: usize = 4;
/// But at least so many bytes.
const MIN_REPLAY_BYTES: usize = 64 * 1024;

/// The objects of a topic, encoded: each instance keeps them for children that it may get.
#[derive(Default)]
pub(super) struct TopicCache {
    /// The store's revision.
    pub(super) revision: u64,
    objects: BTreeMap<CompactString, Bytes>,
    /// Changes that came after what children may have.
    replay: ReplayBuffer,
    /// All objects as one frame, and the revision as of which.
    snapshot: Option<(u64, Bytes)>,
}

impl TopicCache {
    /// Takes over all objects of the topic.
    pub(super) fn replace(&mut self, objects: Vec<EncodedObject>, revision: u64) {
        self.revision = revision;
        let objects = objects.into_iter();
        self.objects = objects
            .map(|encoded| (encoded.name, encoded.object))
            .collect();
        self.replay.reset(revision);
        self.snapshot = None;
    }

    /// Takes over changes; `frame` tells children of them.
    pub(super) fn apply(&mut self, changes: Vec<EncodedObject>, revision: u64, frame: Bytes) {
        self.revision = revision;
        for encoded in changes {
            if encoded.deleted {
                self.objects.remove(&encoded.name);
            } else {
                self.objects.insert(encoded.name, encoded.object);
            }
        }
        let snapshot = self.snapshot.as_ref();
        let size = snapshot.map_or(0, |(_, bytes)| bytes.len());
        let max_bytes = MIN_REPLAY_BYTES.max(size / REPLAY_DIVISOR);
        self.replay.push(revision, frame, max_bytes);
    }

    /// What differs from `objects`, which are all that there are.
    pub(super) fn diff(&self, objects: &[EncodedObject]) -> Vec<EncodedObject> {
        let present: BTreeMap<_, _> = objects.iter().map(|o| (&o.name, o)).collect();
        let removed = self.objects.iter();
        let removed = removed.filter(|(name, _)| !present.contains_key(name));
        let deleted = removed.map(|(name, bytes)| EncodedObject {
            name: name.clone(),
            deleted: true,
            object: bytes.clone(),
        });
        let changed = objects
            .iter()
            .filter(|encoded| self.objects.get(&encoded.name) != Some(&encoded.object));
        deleted.chain(changed.cloned()).collect()
    }

    /// Whether an object is among them.
    pub(super) fn contains(&self, name: &str) -> bool {
        self.objects.contains_key(name)
    }

    /// What a child that knows the topic as of `revision` has missed, as frames.
    pub(super) fn frames_since(
        &mut self,
        topic: Topic,
        revision: u64,
        store_uptime: Duration,
    ) -> Vec<Bytes> {
        if let Some(frames) = self.replay.changes_since(revision) {
            return frames;
        }
        let usable = self.snapshot.take().and_then(|(revision, snapshot)| {
            let changes = self.replay.changes_since(revision)?;
            Some((revision, snapshot, changes))
        });
        if let Some((revision, snapshot, changes)) = usable {
            self.snapshot = Some((revision, snapshot.clone()));
            return std::iter::once(snapshot).chain(changes).collect();
        }
        let objects = self.objects.iter().map(|(name, bytes)| EncodedObject {
            name: name.clone(),
            deleted: false,
            object: bytes.clone(),
        });
        let frame = Frame::Snapshot {
            topic,
            revision: self.revision,
            objects: objects.collect(),
            store_uptime,
        };
        let Some(bytes) = frame.encode().map(Bytes::from) else {
            return Vec::new();
        };
        self.snapshot = Some((self.revision, bytes.clone()));
        vec![bytes]
    }

    /// All objects, decoded.
    pub(super) fn objects(&self) -> Vec<Object> {
        let objects = self.objects.iter();
        objects
            .filter_map(|(name, bytes)| decode(name, bytes))
            .collect()
    }
}
