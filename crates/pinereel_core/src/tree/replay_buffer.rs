//! The last changes of a topic, for children that have missed no more than these.

use bytes::Bytes;
use std::collections::VecDeque;

/// Most frames that are kept: a child that has missed more is sent the whole topic.
const MAX_FRAMES: usize = 64;

/// Encoded changes since a revision.
///
/// Load pattern: a relay or a root is lost, and hundreds of instances find another parent, each of which has missed a
/// second's changes of a list that is thousands of times as long.
#[derive(Clone, Debug, Default)]
pub struct ReplayBuffer {
    /// The revision that the oldest frame follows.
    base_revision: u64,
    /// Frames with the revision after each, the oldest first.
    frames: VecDeque<(u64, Bytes)>,
    /// Bytes of all frames.
    bytes: usize,
}

impl ReplayBuffer {
    /// The whole topic is known anew as of a revision.
    pub fn reset(&mut self, revision: u64) {
        *self = Self {
            base_revision: revision,
            ..Self::default()
        };
    }

    /// Changes up to a revision, of which so many bytes are kept in all.
    pub fn push(&mut self, revision: u64, frame: Bytes, max_bytes: usize) {
        self.bytes += frame.len();
        self.frames.push_back((revision, frame));
        while self.bytes > max_bytes || self.frames.len() > MAX_FRAMES {
            let Some((revision, frame)) = self.frames.pop_front() else {
                return;
            };
            self.bytes -= frame.len();
            self.base_revision = revision;
        }
    }

    /// What has changed after a revision; none if that is not known any more.
    pub fn changes_since(&self, revision: u64) -> Option<Vec<Bytes>> {
        let later = self.frames.iter().filter(|(after, _)| *after > revision);
        (revision >= self.base_revision).then(|| later.map(|(_, frame)| frame.clone()).collect())
    }
}
