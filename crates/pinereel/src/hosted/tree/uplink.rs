//! Where this instance gets its news from: a parent, or the store itself.

use super::{
    Frame, Node, ROOT_DUTY, SUBTREE_SIZE_INTERVAL,
    parent_search::{ParentLink, Requirement},
    topics::{Header, Publication},
};
use crate::hosted::duty::Standing;
use futures_util::{FutureExt as _, SinkExt as _, StreamExt as _, future::OptionFuture};
use pinereel_core::tree::SubtreeSize;
use pinereel_port::store::Freshness;
use std::{rc::Rc, time::Duration};
use tokio::{
    sync::watch,
    time::{Instant, sleep, timeout},
};
use tokio_tungstenite::tungstenite::Message;

/// So long after its parent's loss an instance looks for another one before it reads the store itself
/// or goes without news: a few tries.
const PARENT_SEARCH_TIMEOUT: Duration = Duration::from_millis(500);
/// A parent that says nothing for so long is gone: four signs of life are missing.
const PARENT_TIMEOUT: Duration = Duration::from_millis(1_200);
/// Pause between two looks at the age of the news.
const PARENT_CHECK_INTERVAL: Duration = Duration::from_millis(200);
/// Pause between two looks of a deputy whether the store answers it while the root hears nothing.
const STANDBY_PROBE_INTERVAL: Duration = Duration::from_millis(150);
/// The same for the others: in an outage for all, 165 of them would look 7 times a second each.
const PROBE_INTERVAL: Duration = Duration::from_millis(1_000);

/// Why a link to a parent ended.
enum LinkEnd {
    /// The parent is gone, or must not be followed.
    ParentLost,
    /// This instance has the duty.
    DutyAcquired,
    /// Another parent has fresher news.
    FresherParent(Box<ParentLink>),
    /// The store answers this instance, and the root has heard nothing of it for too long.
    StoreAnswers,
}

impl Node {
    pub(super) async fn run_uplink(self: Rc<Self>) {
        let mut standing = self.parts.duties.join(&ROOT_DUTY.into());
        let mut next = None;
        loop {
            let is_root = standing.borrow_and_update().grant.is_some();
            if is_root && !self.is_shutting_down() {
                let mut shutting_down = self.shutting_down.subscribe();
                let end = async {
                    tokio::select! {
                        () = until_duty_lost(&mut standing) => {}
                        _ = shutting_down.wait_for(|shutting_down| *shutting_down) => {}
                    }
                };
                self.read_store_until(end).await;
                continue;
            }
            let link = match next.take() {
                Some(link) => Some(link),
                None => self.find_parent(&mut standing).await,
            };
            let Some(link) = link else { continue };
            match self.follow_parent(link, &mut standing).await {
                LinkEnd::ParentLost | LinkEnd::DutyAcquired => {}
                LinkEnd::FresherParent(link) => next = Some(*link),
                LinkEnd::StoreAnswers => next = self.run_without_parent(&mut standing).await,
            }
        }
    }

    /// Finds a parent; reads the store meanwhile if others wait for its news. None if this instance has
    /// the duty.
    async fn find_parent(&self, standing: &mut watch::Receiver<Standing>) -> Option<ParentLink> {
        tokio::select! {
            found = timeout(PARENT_SEARCH_TIMEOUT, self.search_or_take_over()) => match found {
                Ok(Some(link)) => return Some(link),
                // Nobody else stands in before this one.
                Ok(None) => return self.replace_root(standing).await,
                Err(_) => {}
            },
            () = self.until_duty_acquired(standing) => return None,
        }
        self.run_without_parent(standing).await
    }

    /// Reads the store if others wait for its news, and goes without news else, until there is a parent
    /// again; none if this instance has the duty.
    async fn run_without_parent(
        &self,
        standing: &mut watch::Receiver<Standing>,
    ) -> Option<ParentLink> {
        let has_children = !self.state.borrow().children.is_empty();
        let is_needed = has_children || self.uplink.borrow().is_standby();
        if is_needed && !self.is_shutting_down() {
            return self.replace_root(standing).await;
        }
        self.parts.feed.publish_lost();
        tokio::select! {
            link = self.search(Requirement::Any) => Some(link),
            () = self.until_duty_acquired(standing) => None,
        }
    }

    /// Looks for a parent; none if this instance is the first to stand in for a root that is gone.
    async fn search_or_take_over(&self) -> Option<ParentLink> {
        if self.uplink.borrow().is_first_standby() && !self.is_shutting_down() {
            return self.search_one_round().await;
        }
        Some(self.search(Requirement::Any).await)
    }

    /// Reads the store for those below until there is a parent again; none if this instance has the duty.
    async fn replace_root(&self, standing: &mut watch::Receiver<Standing>) -> Option<ParentLink> {
        log::info!("bulletin: standing in");
        let end = async {
            tokio::select! {
                link = self.search(Requirement::Fresh) => Some(link),
                () = self.until_duty_acquired(standing) => None,
            }
        };
        self.read_store_until(end).await
    }

    /// Reads the store for all until `end`.
    async fn read_store_until<T>(&self, end: impl Future<Output = T>) -> T {
        self.start_reading();
        let ended = tokio::select! {
            ended = end => ended,
            () = self.read_store() => unreachable!("the store is followed for good"),
        };
        self.uplink.borrow_mut().set_reads_store(false);
        ended
    }

    /// Hears a parent's news as long as they are fresh.
    async fn follow_parent(
        &self,
        mut link: ParentLink,
        standing: &mut watch::Receiver<Standing>,
    ) -> LinkEnd {
        let address = link.address.clone();
        if !self
            .uplink
            .borrow_mut()
            .on_heartbeat(self.now(), link.heartbeat)
        {
            return LinkEnd::ParentLost;
        }
        let level = self.uplink.borrow().level();
        log::info!(address = address.as_str(), level; "bulletin: linked");
        let mut reported_size = SubtreeSize::default();
        let mut fresher_source = OptionFuture::from(None);
        let mut is_stale = false;
        let mut last_received = Instant::now();
        let mut reported_at = last_received;
        let mut to_parent = self.to_parent.subscribe();
        self.drop_unsubscribed();
        let mut pending = self.initial_frames();
        let end = loop {
            let mut sent = true;
            for bytes in pending.drain(..) {
                sent &= link.socket.send(Message::Binary(bytes)).await.is_ok();
            }
            if !sent {
                break LinkEnd::ParentLost;
            }
            tokio::select! {
                message = link.socket.next() => {
                    let stays_linked = message.is_some_and(|message| message.is_ok_and(|message| self.on_parent_message(message)));
                    if !stays_linked {
                        break LinkEnd::ParentLost;
                    }
                    last_received = Instant::now();
                    let size = self.subtree_size();
                    if size != reported_size || reported_at.elapsed() >= SUBTREE_SIZE_INTERVAL {
                        (reported_size, reported_at) = (size, last_received);
                        let frame = Frame::SubtreeSize(size).encode().unwrap_or_default();
                        if link.socket.send(Message::Binary(frame.into())).await.is_err() {
                            break LinkEnd::ParentLost;
                        }
                    }
                }
                bytes = to_parent.recv() => match bytes {
                    Ok(bytes) => if link.socket.send(Message::Binary(bytes)).await.is_err() {
                        break LinkEnd::ParentLost;
                    },
                    // What was missed is told with all the rest.
                    Err(_) => pending = self.initial_frames(),
                },
                () = sleep(PARENT_CHECK_INTERVAL) => if last_received.elapsed() > PARENT_TIMEOUT {
                    break LinkEnd::ParentLost;
                },
                Some(end) = &mut fresher_source => break end,
                () = self.until_duty_acquired(standing) => break LinkEnd::DutyAcquired,
            }
            let is_fresh = self.is_fresh();
            self.parts.feed.set_has_parent(is_fresh);
            if is_fresh {
                fresher_source = OptionFuture::from(None);
                is_stale = false;
                self.publish_missing();
                continue;
            }
            let grace = self.remaining_grace();
            if !grace.is_zero() {
                self.parts.feed.publish_expected(grace);
                continue;
            }
            if !is_stale {
                is_stale = true;
                fresher_source =
                    OptionFuture::from(Some(self.search_fresher_source().boxed_local()));
            }
        };
        self.parts.feed.set_has_parent(false);
        self.uplink.borrow_mut().on_parent_lost();
        let reason_text = end.as_str();
        log::info!(address = address.as_str(), why = reason_text; "bulletin: link lost");
        end
    }

    /// Looks for fresher news than the parent's. While the store answers nobody there are none, and a
    /// parent with old ones is kept: it will have the first new ones.
    async fn search_fresher_source(&self) -> LinkEnd {
        // Those further down are helped by the parent's own search.
        let is_below_root = self.uplink.borrow().level() == 1;
        tokio::select! {
            link = self.search(Requirement::Fresh), if is_below_root => LinkEnd::FresherParent(Box::new(link)),
            () = self.until_store_answers() => LinkEnd::StoreAnswers,
        }
    }

    /// Waits until the store answers this instance itself; deputies look first, in their order.
    async fn until_store_answers(&self) {
        let (is_first_standby, is_standby, is_below_root) = {
            let uplink = self.uplink.borrow();
            let is_below_root = uplink.level() == 1;
            (
                uplink.is_first_standby(),
                uplink.is_standby(),
                is_below_root,
            )
        };
        // Those further down have waited already.
        if !is_first_standby && is_below_root {
            sleep(PARENT_SEARCH_TIMEOUT).await;
        }
        let pause = if is_standby {
            STANDBY_PROBE_INTERVAL
        } else {
            PROBE_INTERVAL
        };
        let places = self.parts.adapter.places;
        let (kind, name) = (places.config, places.config_name);
        while !self.parts.store.probe(kind, name, Freshness::Stale).await {
            sleep(pause).await;
        }
    }

    /// Waits until this instance has the duty; for good if it is shutting_down.
    async fn until_duty_acquired(&self, standing: &mut watch::Receiver<Standing>) {
        let acquired = standing.wait_for(|s| s.grant.is_some()).await.is_ok();
        if !acquired || self.is_shutting_down() {
            // The process is ending.
            std::future::pending::<()>().await;
        }
    }

    fn subtree_size(&self) -> SubtreeSize {
        let state = self.state.borrow();
        state.children.subtree_size(self.parts.peer.preferred)
    }

    /// Takes in what the parent says; says whether to stay with it.
    fn on_parent_message(&self, message: Message) -> bool {
        let Message::Binary(bytes) = message else {
            return true;
        };
        match Frame::decode(&bytes) {
            Some(Frame::Snapshot {
                topic,
                revision,
                objects,
                store_uptime,
            }) => {
                let full = true;
                let publication = Publication {
                    topic,
                    full,
                    objects,
                };
                self.on_publication(
                    publication,
                    Header {
                        revision,
                        store_uptime,
                    },
                    bytes,
                );
            }
            Some(Frame::Changes {
                topic,
                revision,
                changes,
                store_uptime,
            }) => {
                let publication = Publication {
                    topic,
                    full: false,
                    objects: changes,
                };
                self.on_publication(
                    publication,
                    Header {
                        revision,
                        store_uptime,
                    },
                    bytes,
                );
            }
            Some(Frame::Heartbeat(heartbeat)) => {
                let metrics = &self.parts.metrics;
                if let Some(age) = heartbeat.age {
                    metrics.observe(&metrics.ages, "news", age);
                }
                self.parts.feed.set_store_uptime(heartbeat.store_uptime);
                if !self.uplink.borrow_mut().on_heartbeat(self.now(), heartbeat) {
                    return false;
                }
                self.send_heartbeat();
            }
            Some(Frame::Crashes(reports)) => self.on_crash_reports(reports),
            Some(Frame::Usage(reports)) => self.parts.usage.heard(reports),
            Some(Frame::Referral(_) | Frame::RetryAfter(_)) | None => return false,
            Some(Frame::Hello(_) | Frame::SubtreeSize(_) | Frame::Subscribe { .. }) => {}
        }
        true
    }
}

impl LinkEnd {
    const fn as_str(&self) -> &'static str {
        match self {
            Self::ParentLost => "lost",
            Self::DutyAcquired => "leads itself",
            Self::FresherParent(_) => "another has fresher news",
            Self::StoreAnswers => "its news are old, and the store answers",
        }
    }
}

/// Waits until this instance does not have the duty any more.
async fn until_duty_lost(standing: &mut watch::Receiver<Standing>) {
    if standing.wait_for(Standing::is_lost).await.is_err() {
        std::future::pending::<()>().await;
    }
}
