//! Cache of all objects of a topic, with the frames that bring a child up to date.

use super::{
    Frame, Topic,
    encoded_object::{EncodedObject, decode},
};
use bytes::Bytes;
use compact_str::CompactString;
use pinereel_core::tree::ReplayBuffer;
use pinereel_port::store::Object;
use std::{collections::BTreeMap, time::Duration};

/// Least ratio of the size of the snapshot to that of the changes kept beside it. With more changes, the
/// snapshot is encoded again.
const MIN_SNAPSHOT_REPLAY_RATIO: usize = 4;
/// Changes up to this size are kept also beside a small snapshot.
const MIN_REPLAY_LIMIT_BYTES: usize = 64 * 1024;

/// All objects of a topic in encoded form. Each instance keeps them for future children.
#[derive(Default)]
pub(super) struct TopicCache {
    /// The store's revision; 0 while nothing is cached.
    pub(super) revision: u64,
    objects: BTreeMap<CompactString, Bytes>,
    /// The last changes, as frames.
    replay: ReplayBuffer,
    /// All objects as one frame, and their revision.
    snapshot: Option<(u64, Bytes)>,
}

impl TopicCache {
    /// Replaces all objects of the topic.
    pub(super) fn replace(&mut self, objects: Vec<EncodedObject>, revision: u64) {
        self.revision = revision;
        let objects = objects.into_iter();
        self.objects = objects
            .map(|encoded| (encoded.name, encoded.object))
            .collect();
        self.replay.reset(revision);
        self.snapshot = None;
    }

    /// Applies changes; `frame` contains the same changes for children.
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
        let max_bytes = MIN_REPLAY_LIMIT_BYTES.max(size / MIN_SNAPSHOT_REPLAY_RATIO);
        self.replay.push(revision, frame, max_bytes);
    }

    /// The changes that lead from the cached objects to `objects`.
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

    /// Whether an object with this name is cached.
    pub(super) fn contains(&self, name: &str) -> bool {
        self.objects.contains_key(name)
    }

    /// Frames that bring a child with `revision` up to date: the changes since, or else a snapshot with the
    /// changes after it.
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
        let Some(bytes) = self.encode_snapshot(topic, store_uptime) else {
            return Vec::new();
        };
        self.snapshot = Some((self.revision, bytes.clone()));
        vec![bytes]
    }

    /// All objects as one frame; `None` if it cannot be encoded.
    pub(super) fn encode_snapshot(&self, topic: Topic, store_uptime: Duration) -> Option<Bytes> {
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
        frame.encode().map(Bytes::from)
    }

    /// All objects, decoded. Those that cannot be decoded are left out.
    pub(super) fn objects(&self) -> Vec<Object> {
        let objects = self.objects.iter();
        objects
            .filter_map(|(name, bytes)| decode(name, bytes))
            .collect()
    }
}
