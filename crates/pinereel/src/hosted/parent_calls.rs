//! Store calls that this instance sends through its parent in the broadcast tree: the parent as it last
//! announced itself, the queue of its link, and the calls that wait for an answer.

use super::{
    metrics::Metrics,
    store::Call,
    tree::{Frame, MAX_ANSWER_BYTES, StoreCall, StoreOutcome},
};
use crate::objects::Error;
use actix_http::StatusCode;
use bytes::{Bytes, BytesMut};
use pinereel_core::tree::StoreCallParent;
use std::{
    cell::{Cell, RefCell},
    collections::BTreeMap,
    time::Duration,
};
use tokio::{
    sync::mpsc,
    time::{Instant, timeout},
};

/// Longest time until the parent's answer, in addition to the wait of a watch. The parent's own call
/// takes up to 1.5 s, and a link adds a few milliseconds.
const PARENT_CALL_TIMEOUT: Duration = Duration::from_millis(2_000);
/// Most calls that wait for an answer of the parent, watches included. A runner has about ten, and an
/// instance may forward those of its children as well.
const MAX_PENDING_CALLS: usize = 64;
/// Most calls queued for the link to the parent.
const PARENT_QUEUE_CALLS: usize = 32;
/// Most received parts of an answer that its call has not handled yet. The parts that one read of the
/// link returns are few, and calls handle theirs before the next read.
const MAX_QUEUED_PARTS: usize = 32;
/// Largest body of a call, in bytes. The store accepts values of up to 1 MiB.
const MAX_CALL_BYTES: usize = 2 << 20;

/// Calls through the parent.
pub(super) struct ParentCalls {
    metrics: Metrics,
    /// Queue of the link to the parent; `None` without a link.
    link: RefCell<Option<mpsc::Sender<Bytes>>>,
    /// The parent as last observed, and when that was.
    parent: Cell<Option<(StoreCallParent, Instant)>>,
    pending: RefCell<BTreeMap<u64, mpsc::Sender<Received>>>,
    last_id: Cell<u64>,
    /// Number of calls that were answered through the parent.
    answered_count: Cell<u64>,
}

/// What the parent sends of an answer.
enum Received {
    /// A part of the body.
    Part(Bytes),
    /// The outcome with the rest of the body.
    Outcome(StoreOutcome),
}

/// A call that waits for an answer; its entry is freed on drop.
struct PendingCall<'a> {
    calls: &'a ParentCalls,
    id: u64,
}

impl Drop for PendingCall<'_> {
    fn drop(&mut self) {
        self.calls.pending.borrow_mut().remove(&self.id);
    }
}

impl ParentCalls {
    pub(super) fn new(metrics: Metrics) -> Self {
        Self {
            metrics,
            link: RefCell::default(),
            parent: Cell::default(),
            pending: RefCell::default(),
            last_id: Cell::default(),
            answered_count: Cell::default(),
        }
    }

    /// Opens the queue of a new link to a parent. The frames that are received from it must be sent to
    /// the parent.
    pub(super) fn open_link(&self) -> mpsc::Receiver<Bytes> {
        let (sender, frames) = mpsc::channel(PARENT_QUEUE_CALLS);
        self.link.replace(Some(sender));
        frames
    }

    /// Records that the link to the parent has ended. Calls in progress end as unknown.
    pub(super) fn close_link(&self) {
        self.link.take();
        self.parent.take();
        self.pending.take();
    }

    /// Records the parent as it is now; returns whether it has begun to accept calls.
    pub(super) fn observe_parent(&self, parent: Option<StoreCallParent>) -> bool {
        let accepts_calls =
            |parent: Option<StoreCallParent>| parent.is_some_and(|parent| parent.accepts_calls());
        let accepted_before = accepts_calls(self.parent());
        self.parent
            .set(parent.map(|parent| (parent, Instant::now())));
        accepts_calls(parent) && !accepted_before
    }

    /// The parent as a way to the store; `None` without a parent.
    pub(super) fn parent(&self) -> Option<StoreCallParent> {
        let (parent, at) = self.parent.get()?;
        Some(StoreCallParent {
            age: parent.age.map(|age| age.saturating_add(at.elapsed())),
            ..parent
        })
    }

    /// Number of calls that were answered through the parent.
    pub(super) fn answered_count(&self) -> u64 {
        self.answered_count.get()
    }

    /// Number of calls that wait for an answer.
    pub(super) fn pending_count(&self) -> usize {
        self.pending.borrow().len()
    }

    /// Handles a part of the body of the parent's answer to a call.
    pub(super) fn on_answer_part(&self, id: u64, body: Bytes) {
        self.deliver(id, Received::Part(body));
    }

    /// Handles the parent's answer to a call.
    pub(super) fn on_answer(&self, id: u64, outcome: StoreOutcome) {
        self.deliver(id, Received::Outcome(outcome));
    }

    /// Passes on what was received of an answer. That of a call that was dropped is ignored; a call
    /// whose queue is full ends as unknown.
    fn deliver(&self, id: u64, received: Received) {
        let mut pending = self.pending.borrow_mut();
        if let Some(sender) = pending.get(&id)
            && sender.try_send(received).is_err()
        {
            pending.remove(&id);
        }
    }

    /// Sends a call through the parent.
    ///
    /// # Errors
    /// As of a direct call: [`Error::NotSent`] if it certainly had no effect, [`Error::Unknown`] if its
    /// answer was lost.
    pub(super) async fn call(&self, call: Call) -> Result<(StatusCode, Bytes), Error> {
        let (purpose, access, hops) = (call.purpose, call.access, call.hops);
        let answer = self.exchange(call).await;
        let outcome = outcome_label(&answer);
        if answer.is_ok() {
            self.answered_count.set(self.answered_count.get() + 1);
        }
        log::debug!(
            purpose = purpose.as_str(),
            access = access.as_str(),
            hops,
            outcome;
            "object store: call through the parent"
        );
        self.metrics
            .count(&self.metrics.relayed_store_calls, &["parent", outcome]);
        answer
    }

    async fn exchange(&self, call: Call) -> Result<(StatusCode, Bytes), Error> {
        let not_sent = |reason: &str| Err(Error::NotSent(reason.into()));
        if call.request.body.len() > MAX_CALL_BYTES {
            return not_sent("the call is too large for the link to the parent");
        }
        if self.pending_count() >= MAX_PENDING_CALLS {
            return not_sent("too many calls through the parent at once");
        }
        let Some(link) = self.link.borrow().clone() else {
            return not_sent("no link to a parent");
        };
        let id = self.last_id.get() + 1;
        self.last_id.set(id);
        let wait = call.wait;
        let frame = StoreCall {
            id,
            hops: call.hops + 1,
            purpose: call.purpose.as_str().into(),
            access: call.access.as_str().into(),
            method: call.request.method.as_str().into(),
            path: call.request.path,
            body: call.request.body,
            wait,
        };
        let Some(frame) = Frame::StoreCall(frame).encode() else {
            return not_sent("the call was not serialized");
        };
        let (sender, mut answer) = mpsc::channel(MAX_QUEUED_PARTS);
        self.pending.borrow_mut().insert(id, sender);
        let _entry = PendingCall { calls: self, id };
        if link.try_send(frame.into()).is_err() {
            return not_sent("the queue of the link to the parent is full");
        }
        // Otherwise the queue would stay open when the link ends.
        drop(link);
        let mut parts = BytesMut::new();
        loop {
            // Each part shows that the answer is on its way.
            match timeout(wait + PARENT_CALL_TIMEOUT, answer.recv()).await {
                Ok(Some(Received::Part(part))) if parts.len() + part.len() <= MAX_ANSWER_BYTES => {
                    parts.extend_from_slice(&part);
                }
                Ok(Some(Received::Part(_))) => {
                    return Err(Error::Unknown("the parent's answer is too large".into()));
                }
                Ok(Some(Received::Outcome(outcome))) => return decode_outcome(outcome, parts),
                Ok(None) => return Err(Error::Unknown("the link to the parent ended".into())),
                Err(_) => {
                    return Err(Error::Unknown("the parent did not answer in time".into()));
                }
            }
        }
    }
}

/// The answer of an outcome; `parts` is the begin of its body.
fn decode_outcome(
    outcome: StoreOutcome,
    mut parts: BytesMut,
) -> Result<(StatusCode, Bytes), Error> {
    match outcome {
        StoreOutcome::Answered { status, body } => {
            let status = StatusCode::from_u16(status);
            let status = status.map_err(|error| Error::Unknown(error.to_string()))?;
            if parts.is_empty() {
                return Ok((status, body));
            }
            parts.extend_from_slice(&body);
            Ok((status, parts.freeze()))
        }
        StoreOutcome::NotSent => Err(Error::NotSent("the parent did not send the call".into())),
        StoreOutcome::Unknown => Err(Error::Unknown("the parent got no answer".into())),
    }
}

/// Label of an answer in logs and metrics.
pub(super) const fn outcome_label(answer: &Result<(StatusCode, Bytes), Error>) -> &'static str {
    match answer {
        Ok(_) => "answered",
        Err(Error::NotSent(_) | Error::Limited(_) | Error::Refused(_)) => "not_sent",
        Err(_) => "unknown",
    }
}
