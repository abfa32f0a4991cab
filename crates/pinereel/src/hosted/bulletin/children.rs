//! Links to children.

use super::{Bulletin, CHILD_SILENCE, Frame, HEARTBEAT, OPEN};
use bytes::Bytes;
use compact_str::CompactString;
use futures_util::{SinkExt as _, StreamExt as _};
use pinereel_core::tree::{Admission, Key, Peer, Ranks};
use std::{rc::Rc, sync::Arc};
use tokio::{
    net::{TcpListener, TcpStream},
    sync::{Semaphore, mpsc},
    time::{Instant, sleep, sleep_until, timeout},
};
use tokio_tungstenite::{WebSocketStream, accept_async, tungstenite::Message};

/// Frames that may wait for a slow link before it is cut.
const QUEUE: usize = 256;
/// Newcomers that are being greeted at once; one more finds its connection closed and tries again.
/// Instances that start together all come to one.
const GREETED: usize = 64;

type Socket = WebSocketStream<TcpStream>;

impl Bulletin {
    pub(super) async fn accept(self: Rc<Self>, listener: TcpListener) {
        let greeted = Arc::new(Semaphore::new(GREETED));
        loop {
            let Ok((stream, _)) = listener.accept().await else {
                sleep(HEARTBEAT).await;
                continue;
            };
            let Ok(permit) = Arc::clone(&greeted).try_acquire_owned() else {
                continue;
            };
            let bulletin = Rc::clone(&self);
            actix_rt::spawn(async move {
                let greeting = timeout(OPEN, greet(stream)).await;
                drop(permit);
                if let Ok(Some((socket, peer))) = greeting {
                    bulletin.receive(socket, peer).await;
                }
            });
        }
    }

    /// Takes a newcomer as a child, or refers it to others.
    async fn receive(&self, socket: Socket, peer: Peer) {
        let address = peer.address.clone();
        let refused = self.is_leaving() || !self.is_fresh();
        let admission = if refused {
            Admission::Referred(Vec::new())
        } else {
            self.state.borrow_mut().branch.admit(peer)
        };
        match admission {
            Admission::Child(key) => {
                log::info!(child = address.as_str(); "bulletin: child linked");
                let why = self.serve(socket, key).await;
                self.unlinked(key);
                log::info!(child = address.as_str(), why; "bulletin: child lost");
            }
            Admission::Referred(addresses) => refer(socket, addresses).await,
        }
    }

    /// Serves one child: a sign of life and all that is known first, then each frame as it comes.
    async fn serve(&self, mut socket: Socket, key: Key) -> &'static str {
        let (sender, mut frames) = mpsc::channel::<Bytes>(QUEUE);
        // Its place follows with the next sign of life.
        let alive = self.alive(Ranks::default()).map(Frame::Alive);
        // Before the configuration and the list: what must not run is known before anything can.
        let crashes = self.known_crashes();
        for frame in alive.into_iter().chain(crashes).chain(self.known()) {
            // An empty queue takes these few.
            let _ = frame.encode().map(|bytes| sender.try_send(bytes.into()));
        }
        self.linked(key, sender);
        let mut heard_at = Instant::now();
        loop {
            tokio::select! {
                frame = frames.recv() => {
                    let Some(frame) = frame else { return "cut" };
                    if socket.send(Message::Binary(frame)).await.is_err() {
                        return "not sent";
                    }
                }
                () = sleep_until(heard_at + CHILD_SILENCE) => return "silent",
                said = socket.next() => {
                    heard_at = Instant::now();
                    match said {
                        Some(Ok(Message::Binary(bytes))) => self.hear_child(key, &bytes),
                        Some(Ok(_)) => {}
                        Some(Err(_)) | None => return "closed",
                    }
                }
            }
        }
    }

    fn hear_child(&self, key: Key, bytes: &[u8]) {
        match Frame::decode(bytes) {
            Some(Frame::Below(census)) => self.state.borrow_mut().branch.report(key, census),
            Some(Frame::Crashes(reports)) => self.hear_crashes(reports),
            Some(Frame::Usage(reports)) => self.parts.usage.heard(reports),
            _ => {}
        }
    }
}

/// Opens a link from its other end's side; gives who that is.
async fn greet(stream: TcpStream) -> Option<(Socket, Peer)> {
    // Signs of life must not wait for more.
    let _ = stream.set_nodelay(true);
    let mut socket = accept_async(stream).await.ok()?;
    loop {
        match socket.next().await?.ok()? {
            Message::Binary(bytes) => {
                return match Frame::decode(&bytes)? {
                    Frame::Hello(peer) => Some((socket, peer)),
                    _ => None,
                };
            }
            _ => continue,
        }
    }
}

async fn refer(mut socket: Socket, addresses: Vec<CompactString>) {
    if let Some(bytes) = Frame::Refer(addresses).encode() {
        // A newcomer that hears nothing tries again.
        let _ = timeout(OPEN, socket.send(Message::Binary(bytes.into()))).await;
    }
    let _ = timeout(OPEN, socket.close(None)).await;
}
