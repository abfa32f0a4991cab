//! Links to children: the handshake, admission or referral, and the frames in both directions.

use super::{
    CHILD_TIMEOUT, Frame, HEARTBEAT_INTERVAL, Hello, LINK_OPEN_TIMEOUT, Node, Topic, link_config,
    store_calls::{ANSWER_QUEUE_FRAMES, ChildCalls},
    topics::ChildLink,
};
use bytes::Bytes;
use compact_str::CompactString;
use futures_util::{SinkExt as _, StreamExt as _};
use pinereel_core::tree::{Admission, ChildKey, RankRange};
use std::{collections::BTreeMap, rc::Rc, sync::Arc};
use tokio::{
    net::{TcpListener, TcpStream},
    sync::{Semaphore, mpsc},
    time::{Instant, sleep, sleep_until, timeout},
};
use tokio_tungstenite::{WebSocketStream, accept_async_with_config, tungstenite::Message};

/// Most frames queued for a child. The link of a child that is too slow for this queue is dropped.
const CHILD_QUEUE_FRAMES: usize = 256;
/// Most handshakes at the same time; further connections are closed, and the newcomers retry. Instances
/// that start together all connect to the same one.
const MAX_CONCURRENT_HANDSHAKES: usize = 64;

type Socket = WebSocketStream<TcpStream>;

/// What a connection begins with.
enum Opening {
    /// An instance that looks for a parent.
    Newcomer(Box<Socket>, Hello),
    /// The address of a root.
    Introduction(CompactString),
}

impl Node {
    /// Accepts connections of newcomers, and serves each in a task of its own.
    pub(super) async fn accept_links(self: Rc<Self>, listener: &TcpListener) {
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
                match handshake {
                    Ok(Some(Opening::Newcomer(socket, hello))) => node.admit(*socket, hello).await,
                    Ok(Some(Opening::Introduction(root))) => node.on_introduction(root),
                    Ok(None) | Err(_) => {}
                }
            });
        }
    }

    /// Accepts a newcomer as a child, refers it to other instances, or tells it when to retry. It is also
    /// accepted before there are data if they are expected, so that it need not connect again.
    async fn admit(&self, socket: Socket, hello: Hello) {
        let Hello { peer, topics } = hello;
        let address = peer.address.clone();
        if self.is_shutting_down() {
            return reject(socket, &Frame::Referral(Vec::new())).await;
        }
        if !self.is_fresh() && !self.is_recovering() {
            // The root that this instance cannot find either may have introduced itself.
            let root = self.seeds.borrow().introduced_root(self.now()).cloned();
            if let Some(root) = root.filter(|root| *root != address) {
                return reject(socket, &Frame::Referral(vec![root])).await;
            }
            let wait = self.state.borrow_mut().retry_pacer.retry_after(self.now());
            return reject(socket, &Frame::RetryAfter(wait)).await;
        }
        let admission = self.state.borrow_mut().children.admit(peer);
        match admission {
            Admission::Child(key) => {
                log::info!(child = address.as_str(); "broadcast tree: child linked");
                let reason = self.serve_child(socket, key, topics).await;
                self.remove_child(key);
                log::info!(child = address.as_str(), why = reason; "broadcast tree: child lost");
            }
            Admission::Referred(addresses) => reject(socket, &Frame::Referral(addresses)).await,
        }
    }

    /// Serves one child until the link ends, and returns the reason. `topics` are its subscriptions with the
    /// revision that it has of each. It is first sent a heartbeat, the crash reports and the changes that it
    /// has missed.
    async fn serve_child(
        &self,
        socket: Socket,
        key: ChildKey,
        topics: BTreeMap<Topic, u64>,
    ) -> &'static str {
        let (sender, mut frames) = mpsc::channel::<Bytes>(CHILD_QUEUE_FRAMES);
        // Its ranks follow with the next heartbeat.
        let heartbeat = self.heartbeat(RankRange::default()).map(Frame::Heartbeat);
        // Sent before the configuration and the endpoint list, so that the child knows which requests must
        // not run before it can run any.
        let crashes = self.crash_snapshot();
        for frame in heartbeat.into_iter().chain(crashes) {
            // These few frames always fit into the empty queue.
            let _ = frame.encode().map(|bytes| sender.try_send(bytes.into()));
        }
        let (answer_sender, mut answers) = mpsc::channel::<Bytes>(ANSWER_QUEUE_FRAMES);
        let calls = ChildCalls::new(answer_sender);
        let topics = topics.into_iter();
        let topics = topics.map(|(topic, revision)| (topic, Some(revision)));
        let link = ChildLink {
            frames: sender,
            topics: topics.collect(),
        };
        self.add_child(key, link);
        let (mut sink, mut stream) = socket.split();
        let write = async {
            loop {
                let frame = tokio::select! {
                    frame = frames.recv() => frame,
                    Some(answer) = answers.recv() => Some(answer),
                };
                let Some(frame) = frame else { return "cut" };
                if sink.send(Message::Binary(frame)).await.is_err() {
                    return "not sent";
                }
            }
        };
        let read = async {
            let mut last_received = Instant::now();
            loop {
                let message = tokio::select! {
                    () = sleep_until(last_received + CHILD_TIMEOUT) => return "silent",
                    message = stream.next() => message,
                };
                last_received = Instant::now();
                match message {
                    Some(Ok(Message::Binary(bytes))) => self.on_child_frame(key, &bytes, &calls),
                    Some(Ok(_)) => {}
                    Some(Err(_)) | None => return "closed",
                }
            }
        };
        tokio::select! {
            reason = write => reason,
            reason = read => reason,
        }
    }

    fn on_child_frame(&self, key: ChildKey, bytes: &[u8], calls: &ChildCalls) {
        match Frame::decode(bytes) {
            Some(Frame::SubtreeSize(size)) => self.state.borrow_mut().children.set_size(key, size),
            Some(Frame::Subscribe { topic, revision }) => self.on_subscribe(key, topic, revision),
            Some(Frame::Crashes(reports)) => self.on_crash_reports(reports),
            Some(Frame::Usage(reports)) => self.deps.usage.merge(reports),
            Some(Frame::StoreCall(call)) => self.on_store_call(call, calls),
            Some(Frame::Backup {
                topic,
                since,
                update,
            }) => self.on_backup(key, topic, since, update),
            Some(Frame::BackupAge(age)) => self.on_backup_age(key, age),
            _ => {}
        }
    }
}

/// Completes the handshake of a newcomer and receives its [`Hello`].
async fn accept_hello(stream: TcpStream) -> Option<Opening> {
    // A heartbeat must not be held back until there is more to send.
    let _ = stream.set_nodelay(true);
    let mut socket = accept_async_with_config(stream, Some(link_config()))
        .await
        .ok()?;
    loop {
        match socket.next().await?.ok()? {
            Message::Binary(bytes) => {
                return match Frame::decode(&bytes)? {
                    Frame::Hello(hello) => Some(Opening::Newcomer(Box::new(socket), hello)),
                    Frame::Introduction(root) => Some(Opening::Introduction(root)),
                    _ => None,
                };
            }
            _ => continue,
        }
    }
}

/// Sends a newcomer the referral or the retry time, and closes the connection.
async fn reject(mut socket: Socket, rejection: &Frame) {
    if let Some(bytes) = rejection.encode() {
        // A newcomer that receives no answer retries.
        let _ = timeout(
            LINK_OPEN_TIMEOUT,
            socket.send(Message::Binary(bytes.into())),
        )
        .await;
    }
    let _ = timeout(LINK_OPEN_TIMEOUT, socket.close(None)).await;
}
