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
    pub(super) async fn run(self: Rc<Self>) {
        let mut standing = self.parts.duties.join(&ROOT_DUTY.into());
        let mut found = None;
        loop {
            let leads = standing.borrow_and_update().grant.is_some();
            if leads && !self.is_leaving() {
                let mut leaving = self.leaving.subscribe();
                let end = async {
                    tokio::select! {
                        () = has_lost(&mut standing) => {}
                        _ = leaving.wait_for(|leaving| *leaving) => {}
                    }
                };
                self.lead(end).await;
                continue;
            }
            let link = match found.take() {
                Some(link) => Some(link),
                None => self.find(&mut standing).await,
            };
            let Some(link) = link else { continue };
            match self.stay(link, &mut standing).await {
                LinkEnd::ParentLost | LinkEnd::DutyAcquired => {}
                LinkEnd::FresherParent(link) => found = Some(*link),
                LinkEnd::StoreAnswers => found = self.go_on_alone(&mut standing).await,
            }
        }
    }

    /// Finds a parent; reads the store meanwhile if others wait for its news. None if this instance has
    /// the duty.
    async fn find(&self, standing: &mut watch::Receiver<Standing>) -> Option<ParentLink> {
        tokio::select! {
            found = timeout(PARENT_SEARCH_TIMEOUT, self.search_patiently()) => match found {
                Ok(Some(link)) => return Some(link),
                // Nobody else stands in before this one.
                Ok(None) => return self.stand_in(standing).await,
                Err(_) => {}
            },
            () = self.has_taken(standing) => return None,
        }
        self.go_on_alone(standing).await
    }

    /// Reads the store if others wait for its news, and goes without news else, until there is a parent
    /// again; none if this instance has the duty.
    async fn go_on_alone(&self, standing: &mut watch::Receiver<Standing>) -> Option<ParentLink> {
        let has_children = !self.state.borrow().branch.is_empty();
        let is_needed = has_children || self.uplink.borrow().is_standby();
        if is_needed && !self.is_leaving() {
            return self.stand_in(standing).await;
        }
        self.parts.feed.publish_lost();
        tokio::select! {
            link = self.search(Requirement::Any) => Some(link),
            () = self.has_taken(standing) => None,
        }
    }

    /// Looks for a parent; none if this instance is the first to stand in for a root that is gone.
    async fn search_patiently(&self) -> Option<ParentLink> {
        if self.uplink.borrow().is_first_standby() && !self.is_leaving() {
            return self.search_once().await;
        }
        Some(self.search(Requirement::Any).await)
    }

    /// Reads the store for those below until there is a parent again; none if this instance has the duty.
    async fn stand_in(&self, standing: &mut watch::Receiver<Standing>) -> Option<ParentLink> {
        log::info!("bulletin: standing in");
        let end = async {
            tokio::select! {
                link = self.search(Requirement::Fresh) => Some(link),
                () = self.has_taken(standing) => None,
            }
        };
        self.lead(end).await
    }

    /// Reads the store for all until `end`.
    async fn lead<T>(&self, end: impl Future<Output = T>) -> T {
        self.begin_to_read();
        let ended = tokio::select! {
            ended = end => ended,
            () = self.read_store() => unreachable!("the store is followed for good"),
        };
        self.uplink.borrow_mut().set_reads_store(false);
        ended
    }

    /// Hears a parent's news as long as they are fresh.
    async fn stay(
        &self,
        mut link: ParentLink,
        standing: &mut watch::Receiver<Standing>,
    ) -> LinkEnd {
        let address = link.address.clone();
        if !self
            .uplink
            .borrow_mut()
            .on_heartbeat(self.now(), link.alive)
        {
            return LinkEnd::ParentLost;
        }
        let level = self.uplink.borrow().level();
        log::info!(address = address.as_str(), level; "bulletin: linked");
        let mut told = SubtreeSize::default();
        let mut better = OptionFuture::from(None);
        let mut is_stale = false;
        let mut heard_at = Instant::now();
        let mut told_at = heard_at;
        let mut up = self.up.subscribe();
        self.forget_unsubscribed();
        let mut first = self.first_news();
        let why = loop {
            let mut sent = true;
            for bytes in first.drain(..) {
                sent &= link.socket.send(Message::Binary(bytes)).await.is_ok();
            }
            if !sent {
                break LinkEnd::ParentLost;
            }
            tokio::select! {
                message = link.socket.next() => {
                    let goes_on = message.is_some_and(|message| message.is_ok_and(|message| self.hear_parent(message)));
                    if !goes_on {
                        break LinkEnd::ParentLost;
                    }
                    heard_at = Instant::now();
                    let census = self.census();
                    if census != told || told_at.elapsed() >= SUBTREE_SIZE_INTERVAL {
                        (told, told_at) = (census, heard_at);
                        let below = Frame::SubtreeSize(census).encode().unwrap_or_default();
                        if link.socket.send(Message::Binary(below.into())).await.is_err() {
                            break LinkEnd::ParentLost;
                        }
                    }
                }
                bytes = up.recv() => match bytes {
                    Ok(bytes) => if link.socket.send(Message::Binary(bytes)).await.is_err() {
                        break LinkEnd::ParentLost;
                    },
                    // What was missed is told with all the rest.
                    Err(_) => first = self.first_news(),
                },
                () = sleep(PARENT_CHECK_INTERVAL) => if heard_at.elapsed() > PARENT_TIMEOUT {
                    break LinkEnd::ParentLost;
                },
                Some(left) = &mut better => break left,
                () = self.has_taken(standing) => break LinkEnd::DutyAcquired,
            }
            let is_fresh = self.is_fresh();
            self.parts.feed.set_has_parent(is_fresh);
            if is_fresh {
                better = OptionFuture::from(None);
                is_stale = false;
                self.resume();
                continue;
            }
            let patience = self.patience();
            if !patience.is_zero() {
                self.parts.feed.publish_expected(patience);
                continue;
            }
            if !is_stale {
                is_stale = true;
                better = OptionFuture::from(Some(self.search_better().boxed_local()));
            }
        };
        self.parts.feed.set_has_parent(false);
        self.uplink.borrow_mut().on_parent_lost();
        let why_text = why.as_str();
        log::info!(address = address.as_str(), why = why_text; "bulletin: link lost");
        why
    }

    /// Looks for fresher news than the parent's. While the store answers nobody there are none, and a
    /// parent with old ones is kept: it will have the first new ones.
    async fn search_better(&self) -> LinkEnd {
        // Those further down are helped by the parent's own search.
        let is_below_root = self.uplink.borrow().level() == 1;
        tokio::select! {
            link = self.search(Requirement::Fresh), if is_below_root => LinkEnd::FresherParent(Box::new(link)),
            () = self.until_answered() => LinkEnd::StoreAnswers,
        }
    }

    /// Waits until the store answers this instance itself; deputies look first, in their order.
    async fn until_answered(&self) {
        let (is_first, is_deputy, is_below_root) = {
            let uplink = self.uplink.borrow();
            let is_below_root = uplink.level() == 1;
            (
                uplink.is_first_standby(),
                uplink.is_standby(),
                is_below_root,
            )
        };
        // Those further down have waited already.
        if !is_first && is_below_root {
            sleep(PARENT_SEARCH_TIMEOUT).await;
        }
        let pause = if is_deputy {
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

    /// Waits until this instance has the duty; for good if it is leaving.
    async fn has_taken(&self, standing: &mut watch::Receiver<Standing>) {
        let taken = standing.wait_for(|s| s.grant.is_some()).await.is_ok();
        if !taken || self.is_leaving() {
            // The process is ending.
            std::future::pending::<()>().await;
        }
    }

    fn census(&self) -> SubtreeSize {
        let state = self.state.borrow();
        state.branch.subtree_size(self.parts.peer.preferred)
    }

    /// Takes in what the parent says; says whether to stay with it.
    fn hear_parent(&self, message: Message) -> bool {
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
                let whole = true;
                let publication = Publication {
                    topic,
                    whole,
                    objects,
                };
                self.hear(
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
                    whole: false,
                    objects: changes,
                };
                self.hear(
                    publication,
                    Header {
                        revision,
                        store_uptime,
                    },
                    bytes,
                );
            }
            Some(Frame::Heartbeat(alive)) => {
                let metrics = &self.parts.metrics;
                if let Some(age) = alive.age {
                    metrics.observe(&metrics.ages, "news", age);
                }
                self.parts.feed.set_store_uptime(alive.store_uptime);
                if !self.uplink.borrow_mut().on_heartbeat(self.now(), alive) {
                    return false;
                }
                self.tell_alive();
            }
            Some(Frame::Crashes(reports)) => self.hear_crashes(reports),
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
async fn has_lost(standing: &mut watch::Receiver<Standing>) {
    if standing.wait_for(Standing::is_lost).await.is_err() {
        std::future::pending::<()>().await;
    }
}
