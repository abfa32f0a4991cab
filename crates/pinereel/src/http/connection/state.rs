//! What is in progress on a connection, and what may be read from it.

use crate::http::body::WINDOW_BYTES;
use actix_http::StatusCode;
use std::task::Waker;
use tokio::time::Instant;

/// Bytes that are read while a request is in progress whose body has ended, so that the end of the connection
/// is noticed.
const READ_AHEAD_BYTES: usize = 1 << 10;
/// Bytes of a refused body that are read at once, as the library keeps them until it discards them.
const DRAINED_PART_BYTES: usize = 16 << 10;
/// Bytes of a request head that are read at once, as the library decodes what follows the head, too.
const HEAD_PART_BYTES: usize = 4 << 10;

/// What is in progress on a connection, and since when.
pub(super) struct State {
    /// Requests in progress; a request ends with its response body.
    pub(super) in_progress: u32,
    /// When the last request ended, or the connection was opened if there was none.
    pub(super) idle_since: Instant,
    /// When the head that is being received began. The first begins with the connection.
    pub(super) head_since: Option<Instant>,
    pub(super) reading: Reading,
    /// Bytes that may be read in total.
    pub(super) allowed: usize,
    /// Bytes that were read since the library has last decoded what it has.
    pub(super) undecoded: usize,
    /// Bytes of a body that are read ahead.
    pub(super) body_window: usize,
    /// Bytes of the current request that were read.
    pub(super) read: usize,
    /// Whether the larger read buffer is counted.
    pub(super) counts_large_read: bool,
    /// The task that waits until it may read.
    pub(super) reader: Option<Waker>,
    /// When a body began to be drained whose request has ended.
    pub(super) drained_since: Option<Instant>,
    /// When the client was last given a part of a response that it has not read yet.
    pub(super) writing_since: Option<Instant>,
}

impl State {
    /// The state of a connection that was opened at `now`, with a head of up to `max_head_bytes`.
    pub(super) const fn new(now: Instant, max_head_bytes: usize) -> Self {
        Self {
            in_progress: 0,
            idle_since: now,
            head_since: Some(now),
            reading: Reading::Head,
            allowed: max_head_bytes,
            undecoded: 0,
            body_window: WINDOW_BYTES,
            read: 0,
            counts_large_read: false,
            reader: None,
            drained_since: None,
            writing_since: None,
        }
    }

    /// Whether the library has to decode what was read before it may read more.
    pub(super) const fn must_be_decoded(&self) -> bool {
        let is_last = self.allowed == 0 && self.undecoded > 0;
        is_last || self.undecoded >= self.reading.part_bytes()
    }

    /// Reads the body of a request as far as its reader asks for it.
    pub(super) const fn read_body(&mut self) {
        self.reading = Reading::Body;
        self.allowed = 0;
        self.body_window = WINDOW_BYTES;
    }

    /// Reads a little of the requests after the one in progress.
    pub(super) fn read_ahead(&mut self) {
        self.reading = Reading::Ahead;
        self.allowed = READ_AHEAD_BYTES;
        self.wake_reader();
    }

    /// Wakes the task that waits until it may read.
    pub(super) fn wake_reader(&mut self) {
        if let Some(reader) = self.reader.take() {
            reader.wake();
        }
    }
}

/// What is read from a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Reading {
    /// A request head.
    Head,
    /// The body of the request in progress, as its reader asks for it.
    Body,
    /// The requests after the one in progress.
    Ahead,
    /// The rest of a body that is not needed.
    Rest,
    /// Nothing: the head is refused with this status.
    Refused(StatusCode),
    /// What follows after a refused head.
    Discarded,
}

impl Reading {
    /// Bytes that the library may have before it decodes them.
    pub(super) const fn part_bytes(self) -> usize {
        match self {
            Self::Head => HEAD_PART_BYTES,
            Self::Rest => DRAINED_PART_BYTES,
            Self::Body | Self::Ahead | Self::Refused(_) | Self::Discarded => usize::MAX,
        }
    }
}
