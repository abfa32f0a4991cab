//! Store calls of children, which this instance sends to the store or through its own parent.

use super::{Frame, MAX_ANSWER_BYTES, Node, StoreCall, StoreOutcome};
use crate::{
    hosted::store::{Call, Store},
    objects::{Access, Error, Purpose},
};
use actix_http::{Method, StatusCode};
use bytes::Bytes;
use percent_encoding::percent_decode_str;
use pinereel_core::tree::MAX_STORE_CALL_HOPS;
use pinereel_port::store::Request;
use std::{sync::Arc, time::Duration};
use tokio::sync::{OwnedSemaphorePermit, Semaphore, mpsc, watch};

/// Most concurrent calls of one child, watches included.
const MAX_CALLS_PER_CHILD: usize = 32;
/// Most concurrent calls of all children, watches included. With a third of 32 children rejected by the
/// store, each has about ten.
pub(super) const MAX_CALLS_OF_CHILDREN: usize = 128;
/// Largest body of a frame with an answer, in bytes. Slow links carry 7.5 MB a second, so that a
/// heartbeat waits 9 ms for it.
const ANSWER_PART_BYTES: usize = 64 << 10;
/// Most frames with answers that are queued for a child. Further ones wait, so that other frames are
/// sent between them.
pub(super) const ANSWER_QUEUE_FRAMES: usize = 2;

/// The calls of one child. When it is dropped, as its link ends, the calls in progress are dropped too.
pub(super) struct ChildCalls {
    permits: Arc<Semaphore>,
    ended: watch::Sender<()>,
    /// Queue of encoded frames with answers for the child.
    answers: mpsc::Sender<Bytes>,
}

impl ChildCalls {
    /// No calls yet; answers are sent to `answers`.
    pub(super) fn new(answers: mpsc::Sender<Bytes>) -> Self {
        Self {
            permits: Arc::new(Semaphore::new(MAX_CALLS_PER_CHILD)),
            ended: watch::channel(()).0,
            answers,
        }
    }
}

impl Node {
    /// Handles a store call of a child: sends it on in a task of its own, or refuses it as not sent.
    pub(super) fn on_store_call(&self, call: StoreCall, calls: &ChildCalls) {
        let (id, hops) = (call.id, call.hops);
        let answers = calls.answers.clone();
        let metrics = self.deps.metrics.clone();
        let count = move |outcome| {
            metrics.count(&metrics.relayed_store_calls, &["child", outcome]);
        };
        let object_kinds = self.deps.adapter.object_kinds;
        let forbidden = [object_kinds.config, object_kinds.endpoints];
        let accepted = decode_call(&call, self.deps.max_watch_time).and_then(|forwarded| {
            if forbidden.iter().any(|kind| names_kind(&call.path, kind)) {
                return Err("object kind");
            }
            let permits = self.acquire_call_permits(calls);
            Ok((forwarded, permits.ok_or("too many calls at once")?))
        });
        let (forwarded, permits) = match accepted {
            Ok(accepted) => accepted,
            Err(why) => {
                log::warn!(
                    purpose = call.purpose.as_str(),
                    access = call.access.as_str(),
                    hops,
                    why;
                    "broadcast tree: store call of a child refused"
                );
                count("not_sent");
                actix_rt::spawn(send_answer(answers, id, StoreOutcome::NotSent));
                return;
            }
        };
        let store = self.deps.store.clone();
        let mut ended = calls.ended.subscribe();
        actix_rt::spawn(async move {
            let outcome = tokio::select! {
                outcome = forward(&store, forwarded) => outcome,
                _ = ended.changed() => return,
            };
            count(outcome.as_str());
            send_answer(answers, id, outcome).await;
            // Held until the answer is sent, as it bounds the answers in memory.
            drop(permits);
        });
    }

    /// Permits of the child and of all children together; `None` if either bound is reached.
    fn acquire_call_permits(&self, calls: &ChildCalls) -> Option<[OwnedSemaphorePermit; 2]> {
        let own = Arc::clone(&calls.permits).try_acquire_owned().ok()?;
        let all = Arc::clone(&self.child_calls).try_acquire_owned().ok()?;
        Some([own, all])
    }
}

/// Checks and decodes a call of a child.
///
/// # Errors
/// Why it must not be sent to the store.
fn decode_call(call: &StoreCall, max_wait: Duration) -> Result<Call, &'static str> {
    let purpose = Purpose::from_label(&call.purpose).filter(|purpose| purpose.may_be_relayed());
    let method = Method::from_bytes(call.method.as_bytes());
    if !(1..=MAX_STORE_CALL_HOPS).contains(&call.hops) {
        return Err("number of hops");
    }
    Ok(Call {
        purpose: purpose.ok_or("purpose")?,
        access: Access::from_label(&call.access).ok_or("access")?,
        request: Request {
            method: method.map_err(|_| "method")?,
            path: call.path.clone(),
            body: call.body.clone(),
        },
        wait: call.wait.min(max_wait),
        hops: call.hops,
    })
}

/// Whether a path may lead to objects of `kind`, whatever purpose the call states. Encoded delimiters count as
/// delimiters, since the store may decode a path before it splits it; a fragment is not sent.
fn names_kind(path: &str, kind: &str) -> bool {
    let path = path.split(['?', '#']).next().unwrap_or_default();
    let path: Vec<u8> = percent_decode_str(path).collect();
    let mut segments = path.split(|byte| b"/?#".contains(byte));
    segments.any(|segment| segment == kind.as_bytes())
}

async fn forward(store: &Store, call: Call) -> StoreOutcome {
    let is_write = call.access == Access::Write;
    match store.forward(call).await {
        Ok((status, body)) if body.len() <= MAX_ANSWER_BYTES => StoreOutcome::Answered {
            status: status.as_u16(),
            body,
        },
        Ok((StatusCode::SERVICE_UNAVAILABLE | StatusCode::TOO_MANY_REQUESTS, _)) => {
            StoreOutcome::NotSent
        }
        Err(Error::NotSent(_) | Error::Limited(_) | Error::Invalid(_) | Error::Refused(_)) => {
            StoreOutcome::NotSent
        }
        Ok(_) if !is_write => StoreOutcome::NotSent,
        Ok(_) | Err(_) => StoreOutcome::Unknown,
    }
}

/// Queues an answer for the child, in parts. Ends early if the link ends.
async fn send_answer(answers: mpsc::Sender<Bytes>, id: u64, mut outcome: StoreOutcome) {
    if let StoreOutcome::Answered { body, .. } = &mut outcome {
        while body.len() > ANSWER_PART_BYTES {
            let part = body.split_to(ANSWER_PART_BYTES);
            if !send_frame(&answers, &Frame::StoreAnswerPart { id, body: part }).await {
                return;
            }
        }
    }
    send_frame(&answers, &Frame::StoreAnswer { id, outcome }).await;
}

/// Queues a frame; returns whether the link is still open.
async fn send_frame(answers: &mpsc::Sender<Bytes>, frame: &Frame) -> bool {
    match frame.encode() {
        Some(bytes) => answers.send(bytes.into()).await.is_ok(),
        // The child's call ends as unknown after its timeout.
        None => false,
    }
}
