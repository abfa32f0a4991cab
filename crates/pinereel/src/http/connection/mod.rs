//! State of one connection: its requests in progress, how much may be read from it, and until when.
//!
//! The HTTP library reads ahead whatever a client sends, in pieces that may take many times their length. So
//! [`Stream`](super::stream::Stream) reads from the socket only as much as this state allows: a request head,
//! and then what the reader of the body asks for.

mod permission;
mod request;
mod state;

pub(super) use permission::Permission;
pub(super) use request::{RequestGuard, WRITE_BYTES};

use super::server::HeadLimits;
use crate::memory::{Phase, Reservation};
use actix_http::StatusCode;
use pinereel_api::problem::Code;
use state::{Reading, State};
use std::{cell::RefCell, io, rc::Rc, task::Waker, time::Duration};
use tokio::{
    sync::Notify,
    time::{Instant, sleep_until},
};

/// Memory of a connection with its buffers, in bytes.
pub(super) const CONNECTION_BYTES: usize = 40 << 10;
/// Additional memory of a connection on which more than [`SMALL_READ_BYTES`] of a request were read.
const LARGE_READ_BYTES: usize = 32 << 10;
/// Bytes of a request that the initial read buffer takes.
const SMALL_READ_BYTES: usize = 8 << 10;
/// Maximum number of bytes of a refused body that are read and discarded. Closing a connection with unread
/// bytes resets it, so that the client may lose the answer.
const MAX_DRAINED_BYTES: usize = 32 << 20;
/// Time beyond the limit in which a head may arrive that its client has sent in time.
const HEAD_DELAY: Duration = Duration::from_millis(500);
/// Maximum time for which a refused body is read.
pub(super) const DRAIN_TIMEOUT: Duration = Duration::from_secs(2);
/// Maximum time in which a client must read [`WRITE_BYTES`] of a response.
const WRITE_TIMEOUT: Duration = Duration::from_secs(10);

/// Shared by the task of a connection, its stream and its request handlers.
pub(super) struct Connection {
    reservation: Reservation,
    head_limits: Box<dyn Fn() -> HeadLimits>,
    /// How long the connection may be idle between requests.
    keep_alive: Duration,
    state: RefCell<State>,
    /// A deadline may be earlier than before.
    deadline_changed: Notify,
    /// Called with the code of a refusal that no handler sees.
    on_refusal: Box<dyn Fn(Code)>,
}

impl Connection {
    pub(super) fn new(
        reservation: Reservation,
        head_limits: impl Fn() -> HeadLimits + 'static,
        keep_alive: Duration,
        on_refusal: impl Fn(Code) + 'static,
    ) -> Rc<Self> {
        let state = State::new(Instant::now(), head_limits().max_bytes);
        Rc::new(Self {
            reservation,
            head_limits: Box::new(head_limits),
            keep_alive,
            state: RefCell::new(state),
            deadline_changed: Notify::new(),
            on_refusal: Box::new(on_refusal),
        })
    }

    /// Memory of this connection.
    pub(super) const fn reservation(&self) -> &Reservation {
        &self.reservation
    }

    /// Counts a request as in progress until the returned guard is dropped.
    pub(super) fn begin_request(self: &Rc<Self>, has_body: bool) -> RequestGuard {
        let mut state = self.state.borrow_mut();
        state.in_progress += 1;
        state.head_since = None;
        if has_body {
            state.read_body();
        } else {
            state.read_ahead();
        }
        drop(state);
        self.reservation.set_phase(Phase::Busy);
        RequestGuard(Rc::clone(self))
    }

    /// Sets how much of the body of the request in progress is read ahead.
    pub(super) fn set_body_window(&self, bytes: usize) {
        self.state.borrow_mut().body_window = bytes;
    }

    /// Allows to read more of the body of the request in progress.
    pub(super) fn allow_body(&self) {
        let mut state = self.state.borrow_mut();
        if state.reading == Reading::Body && state.allowed < state.body_window {
            state.allowed = state.body_window;
            state.wake_reader();
        }
    }

    /// Records that the body of the request in progress has ended.
    pub(super) fn end_body(&self) {
        let mut state = self.state.borrow_mut();
        if state.reading == Reading::Body {
            state.read_ahead();
        }
    }

    /// Reads and discards the rest of the body of the request in progress; returns whether there is any.
    fn drain_body(&self) -> bool {
        let mut state = self.state.borrow_mut();
        if state.reading != Reading::Body {
            return false;
        }
        state.reading = Reading::Rest;
        state.undecoded = 0;
        state.allowed = MAX_DRAINED_BYTES;
        state.wake_reader();
        true
    }

    fn end_request(&self) {
        let mut state = self.state.borrow_mut();
        let now = Instant::now();
        state.in_progress -= 1;
        state.idle_since = now;
        state.writing_since = None;
        if state.in_progress > 0 {
            return;
        }
        let phase = if state.reading == Reading::Rest {
            state.drained_since = Some(now);
            self.deadline_changed.notify_one();
            Phase::Draining
        } else {
            state.reading = Reading::Head;
            state.undecoded = 0;
            state.allowed = (self.head_limits)().max_bytes;
            state.read = 0;
            state.wake_reader();
            Phase::Idle
        };
        drop(state);
        self.reservation.set_phase(phase);
    }

    /// Records that a client was given a part of a response, or that it is not waited for any more.
    fn set_writing(&self, is_writing: bool) {
        let mut state = self.state.borrow_mut();
        let was_writing = state.writing_since.is_some();
        state.writing_since = is_writing.then(Instant::now);
        drop(state);
        if is_writing && !was_writing {
            self.deadline_changed.notify_one();
        }
    }

    /// What the stream may do next. `waker` is woken when it may do more.
    pub(super) fn permission(&self, waker: &Waker) -> Permission {
        let mut state = self.state.borrow_mut();
        state.reader = Some(waker.clone());
        let allowed = state.allowed;
        match state.reading {
            Reading::Refused(status) => {
                state.reading = Reading::Discarded;
                state.allowed = MAX_DRAINED_BYTES;
                state.drained_since = Some(Instant::now());
                drop(state);
                self.deadline_changed.notify_one();
                Permission::Refuse(status)
            }
            Reading::Discarded if allowed > 0 => Permission::Discard(allowed),
            Reading::Head | Reading::Rest if state.must_be_decoded() => {
                state.undecoded = 0;
                waker.wake_by_ref();
                Permission::Wait
            }
            Reading::Head if allowed == 0 => {
                drop(state);
                self.refuse_head(StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE, Code::TooLarge);
                self.permission(waker)
            }
            Reading::Head | Reading::Rest if allowed > 0 => {
                let part = state.reading.part_bytes() - state.undecoded;
                Permission::Read(allowed.min(part))
            }
            _ if allowed > 0 => Permission::Read(allowed),
            Reading::Body | Reading::Ahead => Permission::Wait,
            Reading::Head | Reading::Rest | Reading::Discarded => Permission::End,
        }
    }

    /// Records that bytes after a refused head were discarded.
    pub(super) fn record_discarded(&self, bytes: usize) {
        let mut state = self.state.borrow_mut();
        state.allowed = state.allowed.saturating_sub(bytes);
    }

    /// Whether what the library writes is of no use, as the client has got its last answer.
    pub(super) fn discards_writes(&self) -> bool {
        self.state.borrow().reading == Reading::Discarded
    }

    /// Records that bytes were read.
    ///
    /// # Errors
    /// There is no memory for a larger read buffer.
    pub(super) fn record_read(&self, bytes: usize) -> io::Result<()> {
        let mut state = self.state.borrow_mut();
        state.allowed = state.allowed.saturating_sub(bytes);
        state.undecoded += bytes;
        if state.reading == Reading::Rest {
            return Ok(());
        }
        state.read += bytes;
        let is_head = state.reading == Reading::Head;
        if is_head && state.head_since.is_none() && bytes > 0 {
            state.head_since = Some(Instant::now());
            self.deadline_changed.notify_one();
        }
        if state.read > SMALL_READ_BYTES && !state.counts_large_read {
            self.reservation
                .grow(LARGE_READ_BYTES)
                .map_err(io::Error::other)?;
            state.counts_large_read = true;
        }
        Ok(())
    }

    fn refuse_head(&self, status: StatusCode, code: Code) {
        let mut state = self.state.borrow_mut();
        state.reading = Reading::Refused(status);
        state.head_since = None;
        state.wake_reader();
        drop(state);
        (self.on_refusal)(code);
    }

    /// Waits until the connection must be closed because its client is too slow.
    pub(super) async fn wait_for_timeout(&self) {
        loop {
            let changed = self.deadline_changed.notified();
            let (deadline, kind) = self.deadline();
            if deadline > Instant::now() {
                tokio::select! {
                    () = sleep_until(deadline) => {}
                    () = changed => {}
                }
                continue;
            }
            match kind {
                Timeout::Head => {
                    self.refuse_head(StatusCode::REQUEST_TIMEOUT, Code::SlowSender);
                    continue;
                }
                Timeout::Idle => (self.on_refusal)(Code::SlowSender),
                Timeout::Drain => {}
                Timeout::Write => log::info!("response not read in time; closing the connection"),
            }
            return;
        }
    }

    /// The next deadline, and what is late then.
    fn deadline(&self) -> (Instant, Timeout) {
        let state = self.state.borrow();
        let idle_since = match state.in_progress {
            0 => state.idle_since,
            _ => Instant::now(),
        };
        let head_timeout = (self.head_limits)().timeout;
        let head_since = state.head_since.filter(|_| state.in_progress == 0);
        let deadlines = [
            (head_since, head_timeout + HEAD_DELAY, Timeout::Head),
            // The library closes an idle connection before, unless a part of a head came with an earlier request.
            (
                Some(idle_since),
                self.keep_alive + head_timeout,
                Timeout::Idle,
            ),
            (state.drained_since, DRAIN_TIMEOUT, Timeout::Drain),
            (state.writing_since, WRITE_TIMEOUT, Timeout::Write),
        ];
        let deadlines = deadlines
            .into_iter()
            .filter_map(|(since, timeout, kind)| Some((since? + timeout, kind)));
        deadlines
            .min_by_key(|(deadline, _)| *deadline)
            .expect("the idle timeout always applies")
    }
}

/// What a client is too slow with.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Timeout {
    /// Its request head is not complete.
    Head,
    /// It sends no request.
    Idle,
    /// It does not end a request that was refused.
    Drain,
    /// It does not read a response.
    Write,
}
