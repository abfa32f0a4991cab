//! State of one connection: its requests in progress, how much may be read from it, and until when.
//!
//! The HTTP library reads ahead whatever a client sends, in pieces that may take many times their length. So
//! [`Stream`](super::stream::Stream) reads from the socket only as much as this state allows: a request head,
//! and then what the reader of the body asks for.

use super::{Response, body::WINDOW_BYTES, server::HeadLimits};
use crate::memory::{Phase, Reservation};
use actix_http::{
    ConnectionType, StatusCode,
    body::{BodySize, BoxBody, MessageBody},
};
use bytes::Bytes;
use pinereel_api::problem::Code;
use std::{
    cell::RefCell,
    error::Error,
    io,
    pin::Pin,
    rc::Rc,
    task::{Context, Poll, Waker},
    time::Duration,
};
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
/// Bytes that are read while a request is in progress whose body has ended, so that the end of the connection
/// is noticed.
const READ_AHEAD_BYTES: usize = 1 << 10;
/// Maximum number of bytes of a refused body that are read and discarded. Closing a connection with unread
/// bytes resets it, so that the client may lose the answer.
const MAX_DRAINED_BYTES: usize = 32 << 20;
/// Bytes of a refused body that are read at once, as the library keeps them until it discards them.
const DRAINED_PART_BYTES: usize = 16 << 10;
/// Bytes of a request head that are read at once, as the library decodes what follows the head, too.
const HEAD_PART_BYTES: usize = 4 << 10;
/// Time beyond the limit in which a head may arrive that its client has sent in time.
const HEAD_DELAY: Duration = Duration::from_millis(500);
/// Maximum time for which a refused body is read.
pub(super) const DRAIN_TIMEOUT: Duration = Duration::from_secs(2);
/// Bytes of a response that are copied to the write buffer at once.
pub(super) const WRITE_BYTES: usize = 16 << 10;
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

struct State {
    /// Requests in progress; a request ends with its response body.
    in_progress: u32,
    /// When the last request ended, or the connection was opened if there was none.
    idle_since: Instant,
    /// When the head that is being received began. The first begins with the connection.
    head_since: Option<Instant>,
    reading: Reading,
    /// Bytes that may be read in total.
    allowed: usize,
    /// Bytes that were read since the library has last decoded what it has.
    undecoded: usize,
    /// Bytes of a body that are read ahead.
    body_window: usize,
    /// Bytes of the current request that were read.
    read: usize,
    /// Whether the larger read buffer is counted.
    counts_large_read: bool,
    /// The task that waits until it may read.
    reader: Option<Waker>,
    /// When a body began to be drained whose request has ended.
    drained_since: Option<Instant>,
    /// When the client was last given a part of a response that it has not read yet.
    writing_since: Option<Instant>,
}

/// What is read from a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Reading {
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
    const fn part_bytes(self) -> usize {
        match self {
            Self::Head => HEAD_PART_BYTES,
            Self::Rest => DRAINED_PART_BYTES,
            Self::Body | Self::Ahead | Self::Refused(_) | Self::Discarded => usize::MAX,
        }
    }
}

/// What the stream may do next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Permission {
    /// Read up to so many bytes.
    Read(usize),
    /// Read up to so many bytes and discard them.
    Discard(usize),
    /// Wait until it is woken.
    Wait,
    /// Report the end of the connection.
    End,
    /// Answer with this status, and then discard what follows.
    Refuse(StatusCode),
}

impl Connection {
    pub(super) fn new(
        reservation: Reservation,
        head_limits: impl Fn() -> HeadLimits + 'static,
        keep_alive: Duration,
        on_refusal: impl Fn(Code) + 'static,
    ) -> Rc<Self> {
        let now = Instant::now();
        let max_bytes = head_limits().max_bytes;
        Rc::new(Self {
            reservation,
            head_limits: Box::new(head_limits),
            keep_alive,
            state: RefCell::new(State {
                in_progress: 0,
                idle_since: now,
                head_since: Some(now),
                reading: Reading::Head,
                allowed: max_bytes,
                undecoded: 0,
                body_window: WINDOW_BYTES,
                read: 0,
                counts_large_read: false,
                reader: None,
                drained_since: None,
                writing_since: None,
            }),
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
            state.reading = Reading::Body;
            state.allowed = 0;
            state.body_window = WINDOW_BYTES;
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
        self.deadline_changed.notify_one();
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

impl State {
    /// Whether the library has to decode what was read before it may read more.
    const fn must_be_decoded(&self) -> bool {
        let is_last = self.allowed == 0 && self.undecoded > 0;
        is_last || self.undecoded >= self.reading.part_bytes()
    }

    fn read_ahead(&mut self) {
        self.reading = Reading::Ahead;
        self.allowed = READ_AHEAD_BYTES;
        self.wake_reader();
    }

    fn wake_reader(&mut self) {
        if let Some(reader) = self.reader.take() {
            reader.wake();
        }
    }
}

/// Counts one request as in progress while it exists.
pub(super) struct RequestGuard(Rc<Connection>);

impl Drop for RequestGuard {
    fn drop(&mut self) {
        self.0.end_request();
    }
}

impl RequestGuard {
    /// Keeps the request in progress until the body of `response` has ended. If the request's body was not
    /// read to its end, the connection is closed after the response.
    pub(super) fn attach_to(self, mut response: Response) -> Response {
        if self.0.drain_body() {
            response
                .head_mut()
                .set_connection_type(ConnectionType::Close);
        }
        response.map_body(|_, body| {
            BoxBody::new(TrackedBody {
                body,
                part: Bytes::new(),
                guard: self,
            })
        })
    }
}

/// Body that counts its request as in progress until it is dropped, and that is sent in small parts, so that
/// the write buffer stays small.
struct TrackedBody {
    body: BoxBody,
    /// Rest of the last part of `body`.
    part: Bytes,
    guard: RequestGuard,
}

impl MessageBody for TrackedBody {
    type Error = Box<dyn Error>;

    fn size(&self) -> BodySize {
        self.body.size()
    }

    fn poll_next(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Bytes, Self::Error>>> {
        self.guard.0.set_writing(false);
        if self.part.is_empty() {
            match Pin::new(&mut self.body).poll_next(cx) {
                Poll::Ready(Some(Ok(part))) => self.part = part,
                other => return other,
            }
        }
        let length = self.part.len().min(WRITE_BYTES);
        let part = self.part.split_to(length);
        self.guard.0.set_writing(true);
        Poll::Ready(Some(Ok(part)))
    }
}
