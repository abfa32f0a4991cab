//! How much memory the bodies of responses may take, so that an endpoint that sends without an end cannot
//! exhaust that of the instance.

/// Length up to which a body is always read.
pub const MIN_SHARE: usize = 64 << 10;

/// The bytes that bodies take now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Usage {
    /// Most bytes of all bodies together: those that are being read, and those that are not yet delivered.
    pub max_bytes: usize,
    /// Bodies that are being read.
    pub reading: usize,
    /// Bytes of these.
    pub read_bytes: usize,
    /// Bytes of bodies that are complete and not yet delivered.
    pub held_bytes: usize,
}

impl Usage {
    /// Whether a body that would have `length` bytes with its next part may be read on: while there is room
    /// for all, or if it stays within its share of the room. So the longest bodies are cut first.
    pub fn admits(self, length: usize, part: usize) -> bool {
        let total = self.read_bytes + self.held_bytes + part;
        total <= self.max_bytes || length <= self.share()
    }

    fn share(self) -> usize {
        let room = self.max_bytes.saturating_sub(self.held_bytes);
        (room / self.reading.max(1)).max(MIN_SHARE)
    }
}
