//! Response body of a streamed completion, as server-sent events.

use bytes::Bytes;
use futures_util::{Stream, stream};
use pinereel_api::engine::Chunk;
use std::io;
use tokio::sync::mpsc;

/// Message to the stream of a completion.
pub(super) enum Event {
    /// The next chunk of the completion.
    Chunk(Chunk),
    /// Break the connection.
    Cut,
}

/// Calls a function when dropped.
struct OnDrop<F: FnOnce()>(Option<F>);

impl<F: FnOnce()> Drop for OnDrop<F> {
    fn drop(&mut self) {
        if let Some(callback) = self.0.take() {
            callback();
        }
    }
}

/// Progress of a stream.
enum Progress {
    /// More chunks are expected.
    Open,
    /// The last chunk was sent. Only a duplicate of it, a cut or `[DONE]` may follow.
    Finished,
    /// Nothing more is sent.
    Closed,
}

/// Response body with the events of `receiver`. Calls `on_close` when the body is dropped, whether
/// it was sent completely or not.
pub(super) fn body(
    receiver: mpsc::UnboundedReceiver<Event>,
    on_close: impl FnOnce() + 'static,
) -> impl Stream<Item = Result<Bytes, io::Error>> {
    let guard = OnDrop(Some(on_close));
    stream::unfold((receiver, guard, Progress::Open), |state| async move {
        let (mut receiver, guard, progress) = state;
        match progress {
            Progress::Closed => return None,
            Progress::Finished if receiver.is_empty() => {
                let done = Bytes::from_static(b"data: [DONE]\n\n");
                return Some((Ok(done), (receiver, guard, Progress::Closed)));
            }
            Progress::Open | Progress::Finished => {}
        }
        let Some(Event::Chunk(chunk)) = receiver.recv().await else {
            // Yields once, because the server flushes the events sent so far while the body is
            // pending.
            tokio::task::yield_now().await;
            // An error closes the connection without the last chunk of the chunked encoding.
            let error = io::Error::from(io::ErrorKind::ConnectionReset);
            return Some((Err(error), (receiver, guard, Progress::Closed)));
        };
        let next = if chunk.finish.is_some() {
            Progress::Finished
        } else {
            Progress::Open
        };
        let json = serde_json::to_string(&chunk).map_err(io::Error::other);
        let event = json.map(|json| Bytes::from(format!("data: {json}\n\n")));
        Some((event, (receiver, guard, next)))
    })
}
