//! The event stream of one completion.

use bytes::Bytes;
use futures_util::{Stream, stream};
use pinereel_api::engine::Chunk;
use std::io;
use tokio::sync::mpsc;

/// What a stream is told.
pub(super) enum Event {
    /// One event of the completion.
    Chunk(Chunk),
    /// The connection is to break here.
    Cut,
}

/// Calls its function when dropped.
struct Guard<F: FnOnce()>(Option<F>);

impl<F: FnOnce()> Drop for Guard<F> {
    fn drop(&mut self) {
        if let Some(gone) = self.0.take() {
            gone();
        }
    }
}

/// Where a stream of events stands.
enum Step {
    Open,
    Done,
    Closed,
}

/// The body of a stream. `gone` is called once the reader is gone or has everything.
pub(super) fn body(
    receiver: mpsc::UnboundedReceiver<Event>,
    gone: impl FnOnce() + 'static,
) -> impl Stream<Item = Result<Bytes, io::Error>> {
    let guard = Guard(Some(gone));
    stream::unfold((receiver, guard, Step::Open), |state| async move {
        let (mut receiver, guard, step) = state;
        match step {
            Step::Closed => return None,
            Step::Done if receiver.is_empty() => {
                let done = Bytes::from_static(b"data: [DONE]\n\n");
                return Some((Ok(done), (receiver, guard, Step::Closed)));
            }
            Step::Open | Step::Done => {}
        }
        let Some(Event::Chunk(chunk)) = receiver.recv().await else {
            // What was sent so far goes out first: a pending body lets the listener flush.
            tokio::task::yield_now().await;
            // An error ends the connection without the body's regular end.
            let cut = io::Error::from(io::ErrorKind::ConnectionReset);
            return Some((Err(cut), (receiver, guard, Step::Closed)));
        };
        let next = if chunk.finish.is_some() {
            Step::Done
        } else {
            Step::Open
        };
        let json = serde_json::to_string(&chunk).map_err(io::Error::other);
        let event = json.map(|json| Bytes::from(format!("data: {json}\n\n")));
        Some((event, (receiver, guard, next)))
    })
}
