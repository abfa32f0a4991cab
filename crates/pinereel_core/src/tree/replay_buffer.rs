//! Buffer of the last changes of a topic, for children that have missed no more than these.

use bytes::Bytes;
use std::collections::VecDeque;

/// Most frames kept. A child that has missed more is sent the whole topic.
const MAX_FRAMES: usize = 64;

/// Encoded changes of a topic since a revision.
///
/// If an inner node or the root of the tree fails, hundreds of instances find another parent. Each has
/// missed the changes of about a second, while the whole list is thousands of times as long.
#[derive(Clone, Debug, Default)]
pub struct ReplayBuffer {
    /// The revision before the oldest frame.
    base_revision: u64,
    /// Frames, oldest first, with the revision after each.
    frames: VecDeque<(u64, Bytes)>,
    /// Total size of all frames, in bytes.
    bytes: usize,
}

impl ReplayBuffer {
    /// Drops all frames: the whole topic has been read again as of `revision`.
    pub fn reset(&mut self, revision: u64) {
        *self = Self {
            base_revision: revision,
            ..Self::default()
        };
    }

    /// Appends the changes up to `revision`, and drops the oldest frames beyond `MAX_FRAMES` or
    /// `max_bytes` in total.
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

    /// The frames after `revision`; `None` if some of them are no longer kept.
    pub fn changes_since(&self, revision: u64) -> Option<Vec<Bytes>> {
        let later = self.frames.iter().filter(|(after, _)| *after > revision);
        (revision >= self.base_revision).then(|| later.map(|(_, frame)| frame.clone()).collect())
    }
}
