//! One link: a reader and a writer over a websocket, with calls matched to their replies.

use futures_util::{Sink, SinkExt as _, Stream, StreamExt as _};
use pinereel_api::wire::{self, Frame, Hello, MAX_FRAME, PROTOCOL, Reply};
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

/// A link without a frame for so long is closed.
pub const HEARTBEAT_TIMEOUT: Duration = Duration::from_secs(3);

/// Longest wait for one frame to leave; a peer that does not read loses its link.
const SEND_TIMEOUT: Duration = Duration::from_secs(3);

/// What one entry asks of another.
pub type Call = wire::Call;

/// A websocket between entries.
pub(super) type Socket = WebSocketStream<TcpStream>;

/// Why a call got no reply.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// There is no link to that entry: nothing was sent.
    #[error("no link")]
    NoLink,
    /// The link's send_queue is at its capacity: nothing was sent.
    #[error("queue full")]
    QueueFull,
    /// The call does not fit a frame: nothing was sent.
    #[error("call too large")]
    TooLarge,
    /// No reply in time: it may have been carried out.
    #[error("timeout")]
    Timeout,
    /// The link closed before the reply: it may have been carried out.
    #[error("link closed")]
    Closed,
}

/// The sending half of a link.
#[derive(Clone)]
pub(super) struct Link {
    /// Who is at the other end.
    pub hello: Hello,
    /// Encoded frames to send.
    send_queue: mpsc::Sender<Vec<u8>>,
    /// Calls that wait for a reply.
    pending: Rc<RefCell<BTreeMap<u64, oneshot::Sender<Reply>>>>,
    /// Id of the next call.
    next_call_id: Rc<Cell<u64>>,
}

impl Link {
    /// A link to `hello`'s sender, and the frames that it queues.
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

    /// Queues a frame.
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
        // Also removes the entry when the caller gives up and drops this future.
        let _guard = PendingGuard { link: self, id };
        self.send(&Frame::Call { id, body })?;
        match timeout(wait, reply).await {
            Ok(Ok(reply)) => Ok(reply),
            Ok(Err(_)) => Err(Error::Closed),
            Err(_) => Err(Error::Timeout),
        }
    }

    /// Hands a reply to the call that waits for it; a late one is dropped.
    pub fn complete_call(&self, id: u64, body: Reply) {
        if let Some(waiting) = self.pending.borrow_mut().remove(&id) {
            let _ = waiting.send(body);
        }
    }

    /// Fails all waiting calls.
    pub fn fail_pending(&self) {
        self.pending.borrow_mut().clear();
    }

    /// Whether both are the same link.
    pub fn is_same(&self, other: &Self) -> bool {
        Rc::ptr_eq(&self.pending, &other.pending)
    }
}

/// Removes a call from the waiting ones when it ends.
struct PendingGuard<'a> {
    link: &'a Link,
    id: u64,
}

impl Drop for PendingGuard<'_> {
    fn drop(&mut self) {
        self.link.pending.borrow_mut().remove(&self.id);
    }
}

/// Bounds of a websocket between entries.
pub(super) fn socket_config() -> WebSocketConfig {
    WebSocketConfig::default()
        .max_message_size(Some(MAX_FRAME))
        .max_frame_size(Some(MAX_FRAME))
}

/// Sends one encoded frame; false if the link is to be closed.
pub(super) async fn write_frame(socket: &mut (impl Sink<Message> + Unpin), bytes: Vec<u8>) -> bool {
    let sent = timeout(SEND_TIMEOUT, socket.send(Message::Binary(bytes.into()))).await;
    matches!(sent, Ok(Ok(())))
}

/// Why no further frame comes over a link.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum LinkEnd {
    /// It is silent or closed.
    Gone,
    /// What came breaks the protocol.
    Malformed,
}

/// Reads one frame.
///
/// # Errors
/// The link is to be closed.
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
            _ => return Err(LinkEnd::Gone),
        };
        match message {
            Message::Binary(bytes) => {
                let frame = Frame::decode(&bytes).map_err(|_| LinkEnd::Malformed)?;
                return Ok((frame, bytes.len()));
            }
            Message::Text(_) => return Err(LinkEnd::Malformed),
            Message::Close(_) => return Err(LinkEnd::Gone),
            // Pings and pongs are the library's affair.
            _ => {}
        }
    }
}

/// Exchanges `Hello`s on a new socket.
pub(super) async fn exchange_hello(socket: &mut Socket, own: Hello) -> Result<Hello, LinkEnd> {
    let bytes = Frame::Hello(own).encode().map_err(|_| LinkEnd::Gone)?;
    if !write_frame(socket, bytes).await {
        return Err(LinkEnd::Gone);
    }
    match read_frame(socket).await? {
        (Frame::Hello(hello), _) if hello.protocol == PROTOCOL => Ok(hello),
        _ => Err(LinkEnd::Malformed),
    }
}
