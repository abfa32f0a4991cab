//! All links of one entry: opens and accepts them, and dispatches calls and summaries.

use super::link::{self, Call, Error, Link, LinkEnd, Socket};
use crate::settings::Secret;
use compact_str::CompactString;
use futures_util::{
    StreamExt as _,
    future::LocalBoxFuture,
    stream::{SplitSink, SplitStream},
};
use pinereel_api::{
    header::AUTHORIZATION,
    problem::Code,
    wire::{Frame, Hello, PROTOCOL, Reply, Summary},
};
use std::{
    cell::{Cell, RefCell},
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    rc::Rc,
    sync::Arc,
    time::Duration,
};
use tokio::{
    net::{TcpListener, TcpStream},
    sync::{Semaphore, mpsc, watch},
    time::{sleep, timeout},
};
use tokio_tungstenite::{
    accept_hdr_async_with_config, client_async_with_config,
    tungstenite::{
        Message,
        client::IntoClientRequest as _,
        handshake::server::{ErrorResponse, Request, Response},
        http::{HeaderValue, StatusCode},
    },
};

/// Maximum time to open or accept a link, handshakes included.
const OPEN_TIMEOUT: Duration = Duration::from_secs(2);
/// Delay before the next attempt to open a link, or to accept a link after an error.
const LINK_RETRY_DELAY: Duration = Duration::from_millis(300);
/// Path of a persistent link.
const LINK_PATH: &str = "/peer";
/// Path of a connection for a single call.
const SINGLE_CALL_PATH: &str = "/call";
/// Maximum number of accepted connections in their handshakes; further ones are closed immediately.
const MAX_HANDSHAKES: usize = 256;
/// Maximum number of calls from one peer that are executed concurrently; further ones are refused.
const MAX_PEER_CALLS: usize = 256;

/// This entry, as it identifies itself to its peers.
#[derive(Clone, Debug)]
pub struct LocalEntry {
    /// Name of this entry.
    pub name: CompactString,
    /// Changes with each start of the process.
    pub incarnation: u64,
    /// Availability zone of this entry.
    pub zone: CompactString,
    /// The secret shared by all entries.
    pub secret: Secret,
    /// Maximum number of queued frames per peer.
    pub queue_capacity: usize,
}

/// Another entry to which a link is kept.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Peer {
    /// Name of the entry.
    pub name: CompactString,
    /// `IP:PORT` of its peer listener.
    pub address: CompactString,
}

/// Executes a call from the peer of the given name.
pub type CallHandler = Rc<dyn Fn(CompactString, Call) -> LocalBoxFuture<'static, Reply>>;

/// Receives the summaries of all peers.
pub type SummaryObserver = Rc<dyn Fn(&Hello, Summary)>;

/// Traffic over all links in one direction.
#[derive(Clone, Copy, Debug, Default)]
struct Traffic {
    bytes: u64,
    frames: u64,
}

fn count_frame(traffic: &Cell<Traffic>, size: usize) {
    let Traffic { bytes, frames } = traffic.get();
    traffic.set(Traffic {
        bytes: bytes + size as u64,
        frames: frames + 1,
    });
}

/// Receives the problem code of each link that was refused, or closed for a protocol violation.
type RefusalObserver = Rc<dyn Fn(Code)>;

/// Links of this entry, by the peer's name. Clones share them.
#[derive(Clone)]
pub struct Mesh {
    local: Rc<LocalEntry>,
    links: Rc<RefCell<BTreeMap<CompactString, Link>>>,
    peers: Rc<RefCell<BTreeMap<CompactString, CompactString>>>,
    dialing: Rc<RefCell<BTreeSet<CompactString>>>,
    call_handler: Rc<RefCell<Option<CallHandler>>>,
    summary_observer: Rc<RefCell<Option<SummaryObserver>>>,
    refusal_observer: Rc<RefCell<Option<RefusalObserver>>>,
    sent: Rc<Cell<Traffic>>,
    received: Rc<Cell<Traffic>>,
    /// Set to true when the mesh is closed.
    closed: watch::Sender<bool>,
}

impl Mesh {
    /// Creates a mesh without links.
    pub fn new(local: LocalEntry) -> Self {
        Self {
            local: Rc::new(local),
            links: Rc::default(),
            peers: Rc::default(),
            dialing: Rc::default(),
            call_handler: Rc::default(),
            summary_observer: Rc::default(),
            refusal_observer: Rc::default(),
            sent: Rc::default(),
            received: Rc::default(),
            closed: watch::channel(false).0,
        }
    }

    /// Sets the handler of calls and the observer of summaries. Until then, calls are refused.
    pub fn set_handlers(&self, handler: CallHandler, observer: SummaryObserver) {
        self.call_handler.replace(Some(handler));
        self.summary_observer.replace(Some(observer));
    }

    /// Sets the observer of links that are refused, or closed for a protocol violation.
    pub fn set_refusal_observer(&self, observer: impl Fn(Code) + 'static) {
        self.refusal_observer.replace(Some(Rc::new(observer)));
    }

    fn report_refusal(&self, code: Code) {
        let observer = self.refusal_observer.borrow().clone();
        if let Some(observer) = observer {
            observer(code);
        }
    }

    /// Accepts links on `listener` until the mesh is closed.
    pub fn listen(&self, listener: TcpListener) {
        let mesh = self.clone();
        let handshakes = Arc::new(Semaphore::new(MAX_HANDSHAKES));
        actix_rt::spawn(async move {
            loop {
                let accepted = tokio::select! {
                    // A peer that connected to a closed mesh would take the connection for a link, and
                    // lose the calls that it sends over it.
                    biased;
                    () = mesh.until_closed() => return,
                    accepted = listener.accept() => accepted,
                };
                let Ok((stream, _)) = accepted else {
                    sleep(LINK_RETRY_DELAY).await;
                    continue;
                };
                let Ok(permit) = Arc::clone(&handshakes).try_acquire_owned() else {
                    mesh.report_refusal(Code::Overloaded);
                    continue;
                };
                let mesh = mesh.clone();
                actix_rt::spawn(async move {
                    let opened = tokio::select! {
                        biased;
                        () = mesh.until_closed() => return,
                        opened = timeout(OPEN_TIMEOUT, mesh.accept(stream)) => opened,
                    };
                    drop(permit);
                    match opened {
                        Ok(Ok((socket, hello, once))) => mesh.run_link(socket, hello, once).await,
                        Ok(Err(code)) => mesh.report_refusal(code),
                        Err(_) => mesh.report_refusal(Code::SlowSender),
                    }
                });
            }
        });
    }

    /// Replaces the peers to which links are kept. Existing links to other entries are not closed.
    pub fn set_peers(&self, peers: impl IntoIterator<Item = Peer>) {
        let own = &self.local.name;
        let peers: BTreeMap<_, _> = peers
            .into_iter()
            .filter(|peer| peer.name != *own)
            .map(|peer| (peer.name, peer.address))
            .collect();
        let to_dial: Vec<_> = peers.keys().filter(|name| own < *name).cloned().collect();
        self.peers.replace(peers);
        for name in to_dial {
            if self.dialing.borrow_mut().insert(name.clone()) {
                actix_rt::spawn(self.clone().keep_linked(name));
            }
        }
    }

    /// Names of the peers with an open link.
    pub fn linked_peers(&self) -> Vec<CompactString> {
        self.links.borrow().keys().cloned().collect()
    }

    /// Whether there is an open link to the entry `name`.
    pub fn is_linked(&self, name: &str) -> bool {
        self.links.borrow().contains_key(name)
    }

    /// Sends a call over the link to the entry `name` and waits for the reply.
    pub async fn call(&self, name: &str, body: Call, wait: Duration) -> Result<Reply, Error> {
        let link = self.links.borrow().get(name).cloned();
        link.ok_or(Error::NoLink)?.call(body, wait).await
    }

    /// Sends a call over a new connection that is used for this call only, without a link.
    pub async fn call_once(&self, peer: &Peer, body: Call, wait: Duration) -> Result<Reply, Error> {
        if self.is_closed() {
            return Err(Error::NoLink);
        }
        let call = async {
            let opened = self.connect(&peer.address, SINGLE_CALL_PATH).await;
            let (mut socket, hello) = opened.ok_or(Error::NoLink)?;
            if hello.name != peer.name {
                return Err(Error::NoLink);
            }
            let frame = Frame::Call { id: 0, body };
            let bytes = frame.encode().map_err(|_| Error::TooLarge)?;
            if !link::write_frame(&mut socket, bytes).await {
                return Err(Error::Closed);
            }
            match link::read_frame(&mut socket).await {
                Ok((Frame::Reply { body, .. }, _)) => Ok(body),
                _ => Err(Error::Closed),
            }
        };
        timeout(wait, call).await.unwrap_or(Err(Error::Timeout))
    }

    /// Sends each linked peer the summary that `summary` builds for it.
    pub fn send_summaries(&self, summary: impl Fn(&Hello) -> Summary) {
        for link in self.links.borrow().values() {
            // If the send queue is full, the peer gets the next summary instead.
            let _ = link.send(&Frame::Summary(summary(&link.hello)));
        }
    }

    /// Bytes sent and received in frames since the start.
    pub fn byte_counts(&self) -> (u64, u64) {
        (self.sent.get().bytes, self.received.get().bytes)
    }

    /// Frames sent and received since the start.
    pub fn frame_counts(&self) -> (u64, u64) {
        (self.sent.get().frames, self.received.get().frames)
    }

    /// Closes all links and opens no more.
    pub fn close(&self) {
        self.closed.send_replace(true);
        self.peers.borrow_mut().clear();
        for link in self.links.borrow().values() {
            link.fail_pending();
        }
        self.links.borrow_mut().clear();
    }

    fn is_closed(&self) -> bool {
        *self.closed.borrow()
    }

    async fn until_closed(&self) {
        // `self` holds the sender, so the wait ends only with the value.
        let _ = self.closed.subscribe().wait_for(|closed| *closed).await;
    }

    /// Opens a link to `name`, again after each end, until `name` is no longer among the peers.
    async fn keep_linked(self, name: CompactString) {
        loop {
            let Some(address) = self.peers.borrow().get(&name).cloned() else {
                break;
            };
            if !self.is_linked(&name)
                && let Ok(Some((socket, hello))) =
                    timeout(OPEN_TIMEOUT, self.connect(&address, LINK_PATH)).await
                && hello.name == name
            {
                self.run_link(socket, hello, false).await;
            }
            sleep(LINK_RETRY_DELAY).await;
        }
        self.dialing.borrow_mut().remove(&name);
    }

    async fn connect(&self, address: &str, path: &str) -> Option<(Socket, Hello)> {
        let address: SocketAddr = address.parse().ok()?;
        let stream = TcpStream::connect(address).await.ok()?;
        stream.set_nodelay(true).ok()?;
        let mut request = format!("ws://{address}{path}").into_client_request().ok()?;
        let secret = HeaderValue::from_str(self.local.secret.reveal()).ok()?;
        request.headers_mut().insert(AUTHORIZATION, secret);
        let config = Some(link::socket_config());
        let (mut socket, _) = client_async_with_config(request, stream, config)
            .await
            .ok()?;
        let hello = link::exchange_hello(&mut socket, self.hello()).await.ok()?;
        Some((socket, hello))
    }

    /// Accepts a connection; the last value says whether it is for a single call.
    ///
    /// # Errors
    /// The connection is refused; the code is counted.
    async fn accept(&self, stream: TcpStream) -> Result<(Socket, Hello, bool), Code> {
        // An error here only delays frames.
        let _ = stream.set_nodelay(true);
        let unauthorized = Rc::new(Cell::new(false));
        let rejected = Rc::clone(&unauthorized);
        let single_call = Rc::new(Cell::new(false));
        let seen_single_call = Rc::clone(&single_call);
        let secret = self.local.secret.clone();
        let config = Some(link::socket_config());
        // The library defines the error type, and thus its size.
        #[allow(clippy::result_large_err)]
        let check =
            move |request: &Request, response: Response| -> Result<Response, ErrorResponse> {
                seen_single_call.set(request.uri().path() == SINGLE_CALL_PATH);
                let given = request
                    .headers()
                    .get(AUTHORIZATION)
                    .map(HeaderValue::as_bytes);
                if given.is_some_and(|given| secret.matches("", given)) {
                    return Ok(response);
                }
                rejected.set(true);
                let mut refusal = ErrorResponse::new(None);
                *refusal.status_mut() = StatusCode::UNAUTHORIZED;
                Err(refusal)
            };
        let mut socket = accept_hdr_async_with_config(stream, check, config)
            .await
            .map_err(|_| match unauthorized.get() {
                true => Code::Unauthorized,
                false => Code::BadRequest,
            })?;
        let hello = link::exchange_hello(&mut socket, self.hello()).await;
        let hello = hello.map_err(|ended| match ended {
            LinkEnd::Disconnected => Code::SlowSender,
            LinkEnd::Malformed => Code::BadRequest,
        })?;
        Ok((socket, hello, single_call.get()))
    }

    /// Runs a link until it ends. A connection for a single call is not used for calls of this entry.
    async fn run_link(&self, socket: Socket, hello: Hello, single_call: bool) {
        if self.is_closed() {
            return;
        }
        let name = hello.name.clone();
        let (link, frames) = Link::new(hello, self.local.queue_capacity);
        if !single_call
            && let Some(old) = self.links.borrow_mut().insert(name.clone(), link.clone())
        {
            old.fail_pending();
        }
        let (mut sink, mut stream) = socket.split();
        tokio::select! {
            () = self.until_closed() => {}
            () = self.write_all(&mut sink, frames) => {}
            ended = self.read_all(&mut stream, &link) => if ended == LinkEnd::Malformed {
                self.report_refusal(Code::BadRequest);
            },
        }
        link.fail_pending();
        let mut links = self.links.borrow_mut();
        if links
            .get(&name)
            .is_some_and(|current| current.is_same(&link))
        {
            links.remove(&name);
        }
    }

    async fn write_all(
        &self,
        sink: &mut SplitSink<Socket, Message>,
        mut frames: mpsc::Receiver<Vec<u8>>,
    ) {
        while let Some(bytes) = frames.recv().await {
            let size = bytes.len();
            if !link::write_frame(sink, bytes).await {
                return;
            }
            count_frame(&self.sent, size);
        }
    }

    async fn read_all(&self, stream: &mut SplitStream<Socket>, link: &Link) -> LinkEnd {
        let call_permits = Arc::new(Semaphore::new(MAX_PEER_CALLS));
        loop {
            let (frame, size) = match link::read_frame(stream).await {
                Ok(read) => read,
                Err(ended) => return ended,
            };
            count_frame(&self.received, size);
            match frame {
                Frame::Hello(_) => return LinkEnd::Malformed,
                Frame::Summary(summary) => {
                    let observer = self.summary_observer.borrow().clone();
                    if let Some(observer) = observer {
                        observer(&link.hello, summary);
                    }
                }
                Frame::Reply { id, body } => link.complete_call(id, body),
                Frame::Call { id, body } => self.handle_call(link, &call_permits, id, body),
            }
        }
    }

    /// Executes a call in a task of its own; refuses it immediately if [`MAX_PEER_CALLS`] are
    /// running.
    fn handle_call(&self, link: &Link, call_permits: &Arc<Semaphore>, id: u64, body: Call) {
        let Ok(permit) = Arc::clone(call_permits).try_acquire_owned() else {
            send_reply(link, id, Reply::Refused("busy".into()));
            return;
        };
        let handler = self.call_handler.borrow().clone();
        let Some(handler) = handler else {
            send_reply(link, id, Reply::Refused("starting".into()));
            return;
        };
        let answer = handler(link.hello.name.clone(), body);
        let link = link.clone();
        actix_rt::spawn(async move {
            send_reply(&link, id, answer.await);
            drop(permit);
        });
    }

    fn hello(&self) -> Hello {
        Hello {
            protocol: PROTOCOL,
            name: self.local.name.clone(),
            incarnation: self.local.incarnation,
            zone: self.local.zone.clone(),
        }
    }
}

/// Sends a reply. A reply that does not fit is dropped, and the peer's call times out.
fn send_reply(link: &Link, id: u64, body: Reply) {
    if let Err(e) = link.send(&Frame::Reply { id, body }) {
        log::warn!("reply to {} not sent: {e}", link.hello.name);
    }
}
