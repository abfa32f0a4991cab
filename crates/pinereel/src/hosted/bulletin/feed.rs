//! The side of all instances: a link to the holder, and what comes over it.

use super::{DUTY, Frame, SILENCE, Topic};
use crate::hosted::{duty::Duties, follow::Update};
use futures_util::{SinkExt as _, StreamExt as _};
use pinereel_core::lease::Place;
use std::{
    cell::{Cell, RefCell},
    collections::BTreeMap,
    rc::Rc,
    time::Duration,
};
use tokio::{
    net::TcpStream,
    sync::broadcast,
    time::{sleep, timeout},
};
use tokio_tungstenite::{MaybeTlsStream, WebSocketStream, connect_async, tungstenite::Message};

/// Pause before the next try after a link ended or could not be opened.
const RETRY: Duration = Duration::from_millis(250);
/// Longest wait for a link to open.
const OPEN: Duration = Duration::from_millis(800);
/// Updates that may wait for a part of this process; one that lags further follows the store again.
const QUEUE: usize = 64;

/// What a part of this process hears.
#[derive(Clone, Debug)]
pub enum Fed {
    /// What the holder told, as of a revision.
    Told(Rc<Update>, u64),
    /// The place of this instance among all that are linked; told to those who hear of leases.
    Place(Place),
    /// The link is gone.
    Lost,
}

/// What comes over the link, by topic.
pub struct Feed {
    topics: RefCell<BTreeMap<Topic, broadcast::Sender<Fed>>>,
    /// For how long the store had answered the holder when it last told something.
    calm: Cell<Duration>,
}

impl Default for Feed {
    fn default() -> Self {
        let topics = [Topic::Config, Topic::Endpoints, Topic::Leases];
        let topics = topics.map(|topic| (topic, broadcast::channel(QUEUE).0));
        Self {
            topics: RefCell::new(topics.into()),
            calm: Cell::default(),
        }
    }
}

impl Feed {
    /// Links this process to the holder from now on, whoever that is.
    pub fn start(self: &Rc<Self>, duties: &Rc<Duties>) {
        let (feed, duties) = (Rc::clone(self), Rc::clone(duties));
        actix_rt::spawn(async move { feed.run(&duties).await });
    }

    /// Hears what is told of a topic.
    pub fn hear(&self, topic: Topic) -> broadcast::Receiver<Fed> {
        let topics = self.topics.borrow();
        topics[&topic].subscribe()
    }

    /// For how long the store had answered all calls of the holder when it last told something; zero
    /// if that is not known, or the link is lost.
    pub fn calm(&self) -> Duration {
        self.calm.get()
    }

    async fn run(&self, duties: &Duties) {
        let mut looks = duties.looks();
        loop {
            looks.mark_unchanged();
            if let Some(address) = duties.address(DUTY) {
                let url = format!("ws://{address}/");
                if let Ok(Ok((socket, _))) = timeout(OPEN, connect_async(url)).await {
                    log::info!(address = address.as_str(); "bulletin: linked");
                    self.read(socket, duties.is_preferred()).await;
                    log::info!(address = address.as_str(); "bulletin: link lost");
                }
                // Also if it did not open: nothing is to be expected from a holder that is gone.
                self.tell_all(&Fed::Lost);
            }
            // The first look tells where the holder is.
            tokio::select! {
                () = sleep(RETRY) => {}
                _ = looks.changed() => {}
            }
        }
    }

    async fn read(&self, mut socket: WebSocketStream<MaybeTlsStream<TcpStream>>, preferred: bool) {
        let hello = Frame::Hello { preferred }.encode().unwrap_or_default();
        if let Err(error) = socket.send(Message::Binary(hello.into())).await {
            log::info!(error:% = error; "bulletin: link broke at its start");
            return;
        }
        while let Ok(Some(Ok(message))) = timeout(SILENCE, socket.next()).await {
            let Message::Binary(bytes) = message else {
                continue;
            };
            match Frame::decode(&bytes) {
                Some(Frame::All {
                    topic,
                    revision,
                    objects,
                    calm,
                }) => {
                    self.calm.set(calm);
                    self.tell(topic, Update::All(objects), revision);
                }
                Some(Frame::Changes {
                    topic,
                    revision,
                    changes,
                    calm,
                }) => {
                    self.calm.set(calm);
                    self.tell(topic, Update::Changes(changes), revision);
                }
                Some(Frame::Alive { place }) => self.send(Topic::Leases, Fed::Place(place)),
                Some(Frame::Hello { .. }) => {}
                None => return,
            }
        }
    }

    fn tell(&self, topic: Topic, update: Update, revision: u64) {
        self.send(topic, Fed::Told(Rc::new(update), revision));
    }

    fn send(&self, topic: Topic, fed: Fed) {
        let topics = self.topics.borrow();
        // Nobody hears it if that part has not started yet; it asks the store itself.
        let _ = topics[&topic].send(fed);
    }

    fn tell_all(&self, fed: &Fed) {
        self.calm.set(Duration::ZERO);
        for sender in self.topics.borrow().values() {
            let _ = sender.send(fed.clone());
        }
    }
}
