//! Links to children.

use super::{
    CHILD_TIMEOUT, Frame, HEARTBEAT_INTERVAL, Hello, LINK_OPEN_TIMEOUT, Node, Topic, link_config,
    topics::ChildLink,
};
use bytes::Bytes;
use futures_util::{SinkExt as _, StreamExt as _};
use pinereel_core::tree::{Admission, ChildKey, RankRange};
use std::{collections::BTreeMap, rc::Rc, sync::Arc};
use tokio::{
    net::{TcpListener, TcpStream},
    sync::{Semaphore, mpsc},
    time::{Instant, sleep, sleep_until, timeout},
};
use tokio_tungstenite::{WebSocketStream, accept_async_with_config, tungstenite::Message};

/// Frames that may wait for a slow link before it is cut.
const CHILD_QUEUE_FRAMES: usize = 256;
/// Newcomers that are being handshakes at once; one more finds its connection closed and tries again.
/// Instances that start together all come to one.
const MAX_CONCURRENT_HANDSHAKES: usize = 64;

type Socket = WebSocketStream<TcpStream>;

impl Node {
    pub(super) async fn accept_links(self: Rc<Self>, listener: TcpListener) {
        let handshakes = Arc::new(Semaphore::new(MAX_CONCURRENT_HANDSHAKES));
        loop {
            let Ok((stream, _)) = listener.accept().await else {
                sleep(HEARTBEAT_INTERVAL).await;
                continue;
            };
            let Ok(permit) = Arc::clone(&handshakes).try_acquire_owned() else {
                continue;
            };
            let node = Rc::clone(&self);
            actix_rt::spawn(async move {
                let handshake = timeout(LINK_OPEN_TIMEOUT, accept_hello(stream)).await;
                drop(permit);
                if let Ok(Some((socket, hello))) = handshake {
                    node.admit(socket, hello).await;
                }
            });
        }
    }

    /// Takes a newcomer as a child, or refers it to others. One that comes before there is anything to tell is kept:
    /// it need not come again.
    async fn admit(&self, socket: Socket, hello: Hello) {
        let Hello { peer, topics } = hello;
        let address = peer.address.clone();
        if self.is_shutting_down() {
            return reject(socket, &Frame::Referral(Vec::new())).await;
        }
        if !self.is_fresh() && !self.is_recovering() {
            let wait = self.state.borrow_mut().retry_pacer.retry_after(self.now());
            return reject(socket, &Frame::RetryAfter(wait)).await;
        }
        let admission = self.state.borrow_mut().children.admit(peer);
        match admission {
            Admission::Child(key) => {
                log::info!(child = address.as_str(); "bulletin: child linked");
                let why = self.serve_child(socket, key, topics).await;
                self.remove_child(key);
                log::info!(child = address.as_str(), why; "bulletin: child lost");
            }
            Admission::Referred(addresses) => reject(socket, &Frame::Referral(addresses)).await,
        }
    }

    /// Serves one child, which knows `topics` as of a revision each: a heartbeat and what it has missed first, then each
    /// frame as it comes.
    async fn serve_child(
        &self,
        mut socket: Socket,
        key: ChildKey,
        topics: BTreeMap<Topic, u64>,
    ) -> &'static str {
        let (sender, mut frames) = mpsc::channel::<Bytes>(CHILD_QUEUE_FRAMES);
        // Its place follows with the next sign of life.
        let heartbeat = self.heartbeat(RankRange::default()).map(Frame::Heartbeat);
        // Before the configuration and the list: what must not run is known before anything can.
        let crashes = self.crash_snapshot();
        for frame in heartbeat.into_iter().chain(crashes) {
            // An empty queue takes these few.
            let _ = frame.encode().map(|bytes| sender.try_send(bytes.into()));
        }
        let topics = topics.into_iter();
        let topics = topics.map(|(topic, revision)| (topic, Some(revision)));
        let link = ChildLink {
            frames: sender,
            topics: topics.collect(),
        };
        self.add_child(key, link);
        let mut last_received = Instant::now();
        loop {
            tokio::select! {
                frame = frames.recv() => {
                    let Some(frame) = frame else { return "cut" };
                    if socket.send(Message::Binary(frame)).await.is_err() {
                        return "not sent";
                    }
                }
                () = sleep_until(last_received + CHILD_TIMEOUT) => return "silent",
                message = socket.next() => {
                    last_received = Instant::now();
                    match message {
                        Some(Ok(Message::Binary(bytes))) => self.on_child_frame(key, &bytes),
                        Some(Ok(_)) => {}
                        Some(Err(_)) | None => return "closed",
                    }
                }
            }
        }
    }

    fn on_child_frame(&self, key: ChildKey, bytes: &[u8]) {
        match Frame::decode(bytes) {
            Some(Frame::SubtreeSize(size)) => self.state.borrow_mut().children.set_size(key, size),
            Some(Frame::Subscribe { topic, revision }) => self.on_subscribe(key, topic, revision),
            Some(Frame::Crashes(reports)) => self.on_crash_reports(reports),
            Some(Frame::Usage(reports)) => self.parts.usage.heard(reports),
            _ => {}
        }
    }
}

/// Opens a link from its other end's side; gives who that is.
async fn accept_hello(stream: TcpStream) -> Option<(Socket, Hello)> {
    // Signs of life must not wait for more.
    let _ = stream.set_nodelay(true);
    let mut socket = accept_async_with_config(stream, Some(link_config()))
        .await
        .ok()?;
    loop {
        match socket.next().await?.ok()? {
            Message::Binary(bytes) => {
                return match Frame::decode(&bytes)? {
                    Frame::Hello(hello) => Some((socket, hello)),
                    _ => None,
                };
            }
            _ => continue,
        }
    }
}

/// Tells a newcomer where, or when, to try instead.
async fn reject(mut socket: Socket, answer: &Frame) {
    if let Some(bytes) = answer.encode() {
        // A newcomer that hears nothing tries again.
        let _ = timeout(
            LINK_OPEN_TIMEOUT,
            socket.send(Message::Binary(bytes.into())),
        )
        .await;
    }
    let _ = timeout(LINK_OPEN_TIMEOUT, socket.close(None)).await;
}
