//! One link to a peer: sends and receives frames over a websocket and matches replies to calls.

use futures_util::{Sink, SinkExt as _, Stream, StreamExt as _};
use pinereel_api::wire::{self, Frame, Hello, MAX_FRAME_BYTES, PROTOCOL, Reply};
use std::{
    cell::{Cell, RefCell},
    collections::BTreeMap,
    rc::Rc,
    time::Duration,
};
use tokio::{
    net::TcpStream,
    sync::{mpsc, oneshot},
    time::timeout,
};
use tokio_tungstenite::{
    WebSocketStream,
    tungstenite::{Error as SocketError, Message, protocol::WebSocketConfig},
};

/// Maximum time without a frame from the peer; then the link is closed.
pub const HEARTBEAT_TIMEOUT: Duration = Duration::from_secs(3);

/// Maximum time to send one frame; the link to a peer that does not read is closed.
const SEND_TIMEOUT: Duration = Duration::from_secs(3);

/// Call from one entry to another.
pub type Call = wire::Call;

/// Websocket between two entries.
pub(super) type Socket = WebSocketStream<TcpStream>;

/// Why a call has no reply.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// There is no link to that entry: nothing was sent.
    #[error("no link")]
    NoLink,
    /// The link's send queue is full: nothing was sent.
    #[error("queue full")]
    QueueFull,
    /// The call is larger than a frame may be: nothing was sent.
    #[error("call too large")]
    TooLarge,
    /// No reply in time: the call may have been executed.
    #[error("timeout")]
    Timeout,
    /// The link closed before the reply: the call may have been executed.
    #[error("link closed")]
    Closed,
}

/// Sending half of a link. Clones share the send queue and the pending calls.
#[derive(Clone)]
pub(super) struct Link {
    /// The peer's `Hello`.
    pub hello: Hello,
    /// Encoded frames to be sent.
    send_queue: mpsc::Sender<Vec<u8>>,
    /// Calls without a reply, by call id.
    pending: Rc<RefCell<BTreeMap<u64, oneshot::Sender<Reply>>>>,
    /// Id of the next call.
    next_call_id: Rc<Cell<u64>>,
}

impl Link {
    /// Creates a link to the sender of `hello`, and the receiver of its send queue, which holds at
    /// most `capacity` frames.
    pub fn new(hello: Hello, capacity: usize) -> (Self, mpsc::Receiver<Vec<u8>>) {
        let (send_queue, frames) = mpsc::channel(capacity);
        let link = Self {
            hello,
            send_queue,
            pending: Rc::default(),
            next_call_id: Rc::default(),
        };
        (link, frames)
    }

    /// Appends a frame to the send queue.
    pub fn send(&self, frame: &Frame) -> Result<(), Error> {
        let bytes = frame.encode().map_err(|e| {
            log::error!("frame to {} not sent: {e}", self.hello.name);
            Error::TooLarge
        })?;
        self.send_queue
            .try_send(bytes)
            .map_err(|_| Error::QueueFull)
    }

    /// Sends a call and waits for its reply.
    pub async fn call(&self, body: Call, wait: Duration) -> Result<Reply, Error> {
        let id = self.next_call_id.get();
        self.next_call_id.set(id + 1);
        let (sender, reply) = oneshot::channel();
        self.pending.borrow_mut().insert(id, sender);
        // Also removes the pending call if the caller drops this future.
        let _guard = PendingGuard { link: self, id };
        self.send(&Frame::Call { id, body })?;
        match timeout(wait, reply).await {
            Ok(Ok(reply)) => Ok(reply),
            Ok(Err(_)) => Err(Error::Closed),
            Err(_) => Err(Error::Timeout),
        }
    }

    /// Delivers a reply to its pending call; a late reply is dropped.
    pub fn complete_call(&self, id: u64, body: Reply) {
        if let Some(waiting) = self.pending.borrow_mut().remove(&id) {
            let _ = waiting.send(body);
        }
    }

    /// Fails all pending calls with [`Error::Closed`].
    pub fn fail_pending(&self) {
        self.pending.borrow_mut().clear();
    }

    /// Whether both are clones of the same link.
    pub fn is_same(&self, other: &Self) -> bool {
        Rc::ptr_eq(&self.pending, &other.pending)
    }
}

/// Removes a call from the pending ones when it ends.
struct PendingGuard<'a> {
    link: &'a Link,
    id: u64,
}

impl Drop for PendingGuard<'_> {
    fn drop(&mut self) {
        self.link.pending.borrow_mut().remove(&self.id);
    }
}

/// Size limits of a websocket between entries.
pub(super) fn socket_config() -> WebSocketConfig {
    WebSocketConfig::default()
        .max_message_size(Some(MAX_FRAME_BYTES))
        .max_frame_size(Some(MAX_FRAME_BYTES))
}

/// Sends one encoded frame; returns false if the link must be closed.
pub(super) async fn write_frame(socket: &mut (impl Sink<Message> + Unpin), bytes: Vec<u8>) -> bool {
    let sent = timeout(SEND_TIMEOUT, socket.send(Message::Binary(bytes.into()))).await;
    matches!(sent, Ok(Ok(())))
}

/// Why a link ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum LinkEnd {
    /// The peer closed the link, or sent no frame within [`HEARTBEAT_TIMEOUT`].
    Disconnected,
    /// The peer violated the protocol.
    Malformed,
}

/// Reads one frame.
///
/// # Errors
/// The link must be closed.
pub(super) async fn read_frame(
    socket: &mut (impl Stream<Item = Result<Message, SocketError>> + Unpin),
) -> Result<(Frame, usize), LinkEnd> {
    loop {
        let next = timeout(HEARTBEAT_TIMEOUT, socket.next()).await;
        let message = match next {
            Ok(Some(Ok(message))) => message,
            Ok(Some(Err(SocketError::Capacity(_) | SocketError::Utf8(_)))) => {
                return Err(LinkEnd::Malformed);
            }
            _ => return Err(LinkEnd::Disconnected),
        };
        match message {
            Message::Binary(bytes) => {
                let frame = Frame::decode(&bytes).map_err(|_| LinkEnd::Malformed)?;
                return Ok((frame, bytes.len()));
            }
            Message::Text(_) => return Err(LinkEnd::Malformed),
            Message::Close(_) => return Err(LinkEnd::Disconnected),
            // The library handles pings and pongs.
            _ => {}
        }
    }
}

/// Sends the own `Hello` on a new socket and receives the peer's.
///
/// # Errors
/// The link must be closed; also if the peer has another protocol version.
pub(super) async fn exchange_hello(socket: &mut Socket, own: Hello) -> Result<Hello, LinkEnd> {
    let bytes = Frame::Hello(own)
        .encode()
        .map_err(|_| LinkEnd::Disconnected)?;
    if !write_frame(socket, bytes).await {
        return Err(LinkEnd::Disconnected);
    }
    match read_frame(socket).await? {
        (Frame::Hello(hello), _) if hello.protocol == PROTOCOL => Ok(hello),
        _ => Err(LinkEnd::Malformed),
    }
}
