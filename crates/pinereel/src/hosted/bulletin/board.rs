//! The holder's side: follows the store and tells all who are linked.

use super::{DUTY, Frame, HEARTBEAT, Topic};
use crate::{
    hosted::{
        duty::{self, Duties, Standing},
        follow::{Manner, Update, follow},
        store::Store,
    },
    objects::Purpose,
};
use bytes::Bytes;
use compact_str::CompactString;
use futures_util::{SinkExt as _, StreamExt as _};
use pinereel_core::lease::Place;
use pinereel_port::{Adapter, store::Object};
use std::{
    cell::{Cell, RefCell},
    collections::BTreeMap,
    rc::Rc,
    time::Duration,
};
use tokio::{
    net::{TcpListener, TcpStream},
    sync::mpsc,
    time::sleep,
};
use tokio_tungstenite::{accept_async, tungstenite::Message};

/// Most instances that are told; one more follows the store itself. Each costs a send a change.
const SUBSCRIBERS: usize = 128;
/// Frames that may wait for a slow link before it is cut.
const QUEUE: usize = 256;
/// Pause after changes of the endpoint list, for those that come together.
const GATHER: Duration = Duration::from_millis(80);
/// Pause between two lists of the leases: those of a holder that died are found by it.
const LEASES: Duration = Duration::from_millis(700);
/// A sign of life is sent only if the store answered within this time: the lease of this duty alone
/// is renewed more often.
const CONTACT: Duration = Duration::from_millis(1_000);

/// What the holder of the duty knows and whom it tells.
pub struct Board {
    store: Store,
    adapter: Adapter,
    duties: Rc<Duties>,
    watch: Duration,
    state: RefCell<State>,
    next: Cell<u64>,
}

#[derive(Default)]
struct State {
    topics: BTreeMap<Topic, Known>,
    links: BTreeMap<u64, Link>,
}

/// One instance that is told.
struct Link {
    frames: mpsc::Sender<Bytes>,
    /// Whether it should rather hold duties than others.
    preferred: bool,
}

/// The objects of a topic.
#[derive(Default)]
struct Known {
    revision: u64,
    objects: BTreeMap<CompactString, Object>,
}

impl Board {
    /// Takes part in the duty, and serves links at `listener` while it holds it.
    pub fn start(
        store: &Store,
        adapter: Adapter,
        duties: &Rc<Duties>,
        watch: Duration,
        listener: TcpListener,
    ) {
        let board = Rc::new(Self {
            store: store.clone(),
            adapter,
            duties: Rc::clone(duties),
            watch,
            state: RefCell::default(),
            next: Cell::new(0),
        });
        let accepting = Rc::clone(&board);
        actix_rt::spawn(async move { accepting.accept(listener).await });
        actix_rt::spawn(async move { board.serve().await });
    }

    /// Follows the store whenever this instance holds the duty.
    async fn serve(self: Rc<Self>) {
        let (board, duties) = (&self, Rc::clone(&self.duties));
        let work = async || board.work().await;
        let goes_on = || {
            // Whoever is linked finds the next holder.
            board.state.replace(State::default());
            true
        };
        duties
            .whenever_held(&DUTY.into(), Standing::is_lost, work, goes_on)
            .await;
    }

    async fn work(&self) {
        let places = self.adapter.places;
        let config = self.follow(Topic::Config, Purpose::Config, places.config);
        let endpoints = self.follow(Topic::Endpoints, Purpose::Instances, places.endpoints);
        tokio::select! {
            () = config => {}
            () = endpoints => {}
            () = self.follow_leases() => {}
            () = self.beat() => {}
        }
    }

    async fn follow(&self, topic: Topic, purpose: Purpose, kind: &str) {
        let gather = match topic {
            Topic::Endpoints => GATHER,
            Topic::Config | Topic::Leases => Duration::ZERO,
        };
        let manner = || Manner {
            wait: self.watch,
            gather,
        };
        let take = |update, revision| self.take(topic, update, revision);
        follow(&self.store, purpose, kind, manner, None, take).await;
    }

    async fn follow_leases(&self) {
        loop {
            match self.store.list(Purpose::Leases, duty::KIND, None).await {
                Ok((objects, revision)) => {
                    self.take(Topic::Leases, Update::All(objects), revision);
                }
                Err(error) => log::debug!(error:% = error; "leases not listed"),
            }
            sleep(LEASES).await;
        }
    }

    /// Tells all that this instance lives and reaches the store.
    async fn beat(&self) {
        loop {
            if self.store.answered_within(CONTACT) {
                self.tell_alive();
            }
            sleep(HEARTBEAT).await;
        }
    }

    fn take(&self, topic: Topic, update: Update, revision: u64) {
        let calm = self.store.calm();
        let frame = {
            let mut state = self.state.borrow_mut();
            let known = state.topics.entry(topic).or_default();
            known.revision = revision;
            match update {
                Update::All(objects) => {
                    let named = objects.iter().map(|o| (o.name.clone(), o.clone()));
                    known.objects = named.collect();
                    Frame::All {
                        topic,
                        revision,
                        objects,
                        calm,
                    }
                }
                Update::Changes(changes) => {
                    for change in &changes {
                        let object = change.object.clone();
                        if change.deleted {
                            known.objects.remove(&object.name);
                        } else {
                            known.objects.insert(object.name.clone(), object);
                        }
                    }
                    Frame::Changes {
                        topic,
                        revision,
                        changes,
                        calm,
                    }
                }
            }
        };
        self.tell(&frame);
    }

    /// Sends a frame to all links; one that cannot take it is cut.
    fn tell(&self, frame: &Frame) {
        let Some(bytes) = frame.encode().map(Bytes::from) else {
            return;
        };
        let mut state = self.state.borrow_mut();
        state
            .links
            .retain(|_, link| link.frames.try_send(bytes.clone()).is_ok());
    }

    /// Tells each link its place among all.
    fn tell_alive(&self) {
        let mut state = self.state.borrow_mut();
        let of = count(state.links.values());
        let preferred = count(state.links.values().filter(|link| link.preferred));
        let (mut next_preferred, mut next) = (0, preferred);
        state.links.retain(|_, link| {
            let next = if link.preferred {
                &mut next_preferred
            } else {
                &mut next
            };
            let number = *next;
            *next += 1;
            let place = Place {
                number,
                preferred,
                of,
            };
            let bytes = Frame::Alive { place }.encode();
            bytes.is_some_and(|bytes| link.frames.try_send(bytes.into()).is_ok())
        });
    }

    async fn accept(self: Rc<Self>, listener: TcpListener) {
        loop {
            let Ok((stream, _)) = listener.accept().await else {
                sleep(HEARTBEAT).await;
                continue;
            };
            let full = self.state.borrow().links.len() >= SUBSCRIBERS;
            if full || self.duties.acts(DUTY).is_none() {
                continue;
            }
            let board = Rc::clone(&self);
            actix_rt::spawn(async move { board.link(stream).await });
        }
    }

    /// Serves one link: all that is known first, then each frame as it comes.
    async fn link(&self, stream: TcpStream) {
        // Signs of life must not wait for more.
        let _ = stream.set_nodelay(true);
        let Ok(mut socket) = accept_async(stream).await else {
            return;
        };
        let (sender, mut frames) = mpsc::channel::<Bytes>(QUEUE);
        let number = self.next.get();
        self.next.set(number + 1);
        for frame in self.known() {
            // An empty queue takes these few.
            let _ = frame.encode().map(|bytes| sender.try_send(bytes.into()));
        }
        let link = Link {
            frames: sender,
            preferred: false,
        };
        self.state.borrow_mut().links.insert(number, link);
        loop {
            tokio::select! {
                frame = frames.recv() => {
                    // The duty is lost, or the queue was full.
                    let Some(frame) = frame else { break };
                    if socket.send(Message::Binary(frame)).await.is_err() {
                        break;
                    }
                }
                said = socket.next() => {
                    match said {
                        Some(Ok(Message::Binary(bytes))) => self.hear(number, &bytes),
                        Some(Ok(_)) => {}
                        Some(Err(_)) | None => break,
                    }
                }
            }
        }
        self.state.borrow_mut().links.remove(&number);
    }

    /// Takes in what a linked instance says.
    fn hear(&self, number: u64, bytes: &[u8]) {
        let mut state = self.state.borrow_mut();
        if let (Some(Frame::Hello { preferred }), Some(link)) =
            (Frame::decode(bytes), state.links.get_mut(&number))
        {
            link.preferred = preferred;
        }
    }

    fn known(&self) -> Vec<Frame> {
        let calm = self.store.calm();
        let state = self.state.borrow();
        let topics = state.topics.iter();
        let frames = topics.map(|(topic, known)| Frame::All {
            topic: *topic,
            revision: known.revision,
            objects: known.objects.values().cloned().collect(),
            calm,
        });
        frames.collect()
    }
}

fn count<'a>(links: impl Iterator<Item = &'a Link>) -> u32 {
    u32::try_from(links.count()).unwrap_or(u32::MAX)
}
