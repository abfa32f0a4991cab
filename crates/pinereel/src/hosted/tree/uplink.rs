//! The loop that keeps this instance supplied with data: from a parent, or from the store if it is the root
//! or replaces it.

use super::{
    Frame, Node, ROOT_DUTY, SUBTREE_SIZE_INTERVAL,
    parent_search::{ParentLink, Requirement},
    topics::Publication,
};
use crate::hosted::duty::Status;
use bytes::Bytes;
use futures_util::{
    FutureExt as _, Sink, SinkExt as _, Stream, StreamExt as _, future::OptionFuture,
};
use pinereel_core::tree::{LATE_CALL_TIME, SubtreeSize};
use std::{rc::Rc, time::Duration};
use tokio::{
    sync::{broadcast, mpsc, watch},
    time::{Instant, sleep, timeout},
};
use tokio_tungstenite::tungstenite::{self, Message};

/// How long an instance that has lost its parent searches for another one before it reads the store itself
/// or has no data. Enough for a few attempts.
const PARENT_SEARCH_TIMEOUT: Duration = Duration::from_millis(500);
/// Longest silence of a parent before the link is dropped: four missing heartbeats.
const PARENT_TIMEOUT: Duration = Duration::from_millis(1_200);
/// Time between two checks of the parent's silence and the age of the data.
const PARENT_CHECK_INTERVAL: Duration = Duration::from_millis(200);
/// Time between two probes with which a standby checks whether the store answers it while it does not
/// answer the root.
const STANDBY_PROBE_INTERVAL: Duration = Duration::from_millis(150);
/// Time between two probes of all other instances. At the rate of the standbys, each of 165 instances
/// would send 7 probes a second during an outage of the store.
const PROBE_INTERVAL: Duration = Duration::from_millis(1_000);
/// Time for which an instance that gets an answer from the store waits until the root gets one as well, if
/// it is no standby. Longer than the interval between the root's probes: at the end of an outage, up to 30
/// of 55 instances left their parents within this time and read the store themselves.
const ROOT_PROBE_GRACE: Duration = Duration::from_millis(200);

/// Why a link to a parent ended.
enum LinkEnd {
    /// The link failed, the parent referred this instance elsewhere, or the link would close a loop.
    ParentLost,
    /// This instance has acquired the root duty.
    DutyAcquired,
    /// Another parent has fresher data.
    FresherParent(Box<ParentLink>),
    /// The store answers this instance, while it has not answered the root for too long.
    StoreAnswers,
}

impl Node {
    /// Reads the store while this instance holds the root duty, and follows a parent otherwise. Never ends.
    pub(super) async fn run_uplink(self: Rc<Self>) {
        let mut status = self.deps.duties.register_candidate(&ROOT_DUTY.into());
        let mut next_link = None;
        loop {
            let is_root = status.borrow_and_update().lease.is_some();
            if is_root && !self.is_shutting_down() {
                let mut shutting_down = self.shutting_down.subscribe();
                let end = async {
                    tokio::select! {
                        () = until_duty_lost(&mut status) => {}
                        _ = shutting_down.wait_for(|shutting_down| *shutting_down) => {}
                    }
                };
                self.read_store_until(end).await;
                if self.is_shutting_down() {
                    continue;
                }
                if self.deps.store.lacks_answers(LATE_CALL_TIME) {
                    // It cannot read who takes over.
                    self.follow_standbys();
                    // Children that read the store for this instance go on until it has a parent.
                    next_link = self.replace_root(&mut status).await;
                } else {
                    // A process that renews its lease late may have stalled and missed updates. Searching for a
                    // parent takes longer than requests wait for them.
                    self.deps.feed.publish_lost();
                }
                continue;
            }
            let link = match next_link.take() {
                Some(link) => Some(link),
                None => self.find_parent(&mut status).await,
            };
            let Some(link) = link else { continue };
            match self.follow_parent(link, &mut status).await {
                LinkEnd::ParentLost | LinkEnd::DutyAcquired => {}
                LinkEnd::FresherParent(link) => next_link = Some(*link),
                LinkEnd::StoreAnswers => next_link = self.run_without_parent(&mut status).await,
            }
        }
    }

    /// Makes this instance one without a parent that does not read the store.
    pub(super) fn reset_uplink(&self) {
        self.uplink.borrow_mut().set_reads_store(false);
        self.on_parent_lost();
        self.deps.feed.publish_lost();
    }

    fn on_parent_lost(&self) {
        self.deps.feed.set_parent(None);
        self.deps.store.close_parent_link();
        self.deps.feed.set_probes_rarely(false);
        self.uplink.borrow_mut().on_parent_lost();
        self.observe_appointment();
    }

    /// Finds a parent, and reads the store meanwhile if other instances need its data. `None` once this
    /// instance has the root duty.
    async fn find_parent(&self, status: &mut watch::Receiver<Status>) -> Option<ParentLink> {
        tokio::select! {
            found = timeout(PARENT_SEARCH_TIMEOUT, self.search_or_take_over()) => match found {
                Ok(Some(link)) => return Some(link),
                // No other standby precedes this one.
                Ok(None) => return self.replace_root(status).await,
                Err(_) => {}
            },
            () = self.until_duty_acquired(status) => return None,
        }
        self.run_without_parent(status).await
    }

    /// Reads the store if other instances need its data, and has no data otherwise, until a parent is
    /// found. `None` once this instance has the root duty.
    async fn run_without_parent(&self, status: &mut watch::Receiver<Status>) -> Option<ParentLink> {
        let has_children = !self.state.borrow().children.is_empty();
        let is_needed = has_children || self.uplink.borrow().is_standby();
        if is_needed && !self.is_shutting_down() {
            return self.replace_root(status).await;
        }
        self.deps.feed.publish_lost();
        tokio::select! {
            link = self.search(Requirement::Any) => Some(link),
            () = self.until_duty_acquired(status) => None,
        }
    }

    /// Searches for a parent. The first standby searches for one round only; `None` if it must replace the
    /// root.
    async fn search_or_take_over(&self) -> Option<ParentLink> {
        if self.uplink.borrow().is_first_standby() && !self.is_shutting_down() {
            return self.search_one_round().await;
        }
        Some(self.search(Requirement::Any).await)
    }

    /// Reads the store in place of the root until a parent with fresh data is found. `None` once this instance
    /// has the root duty.
    async fn replace_root(&self, status: &mut watch::Receiver<Status>) -> Option<ParentLink> {
        log::info!("broadcast tree: reading the store in place of the root");
        let end = async {
            tokio::select! {
                link = self.search(Requirement::Fresh) => Some(link),
                () = self.until_duty_acquired(status) => None,
            }
        };
        self.read_store_until(end).await
    }

    /// Makes this instance a root, which reads the store until `end`.
    async fn read_store_until<T>(&self, end: impl Future<Output = T>) -> T {
        self.start_reading();
        let ended = tokio::select! {
            ended = end => ended,
            () = self.read_store() => unreachable!("read_store never ends"),
        };
        self.uplink.borrow_mut().set_reads_store(false);
        ended
    }

    /// Receives the data of a parent until the link ends or a fresher source is found.
    async fn follow_parent(
        &self,
        link: ParentLink,
        status: &mut watch::Receiver<Status>,
    ) -> LinkEnd {
        let address = link.address.clone();
        if !self
            .uplink
            .borrow_mut()
            .on_heartbeat(self.now(), link.heartbeat)
        {
            return LinkEnd::ParentLost;
        }
        self.deps.feed.set_parent(Some(address.clone()));
        self.observe_data_age();
        self.observe_outage_end();
        let level = self.uplink.borrow().level();
        log::info!(address = address.as_str(), level; "broadcast tree: linked to a parent");
        let to_parent = self.to_parent.subscribe();
        let store_calls = self.deps.store.open_parent_link();
        self.drop_unsubscribed();
        let (sink, stream) = link.socket.split();
        // Both directions proceed independently: two instances that send each other more than the buffers
        // hold, and do not receive meanwhile, would wait for each other until the link is dropped.
        let end = tokio::select! {
            end = self.write_to_parent(sink, to_parent, store_calls) => end,
            end = self.read_from_parent(stream, status) => end,
            () = self.read_as_backup() => LinkEnd::ParentLost,
        };
        self.on_parent_lost();
        let reason_text = end.as_str();
        log::info!(address = address.as_str(), why = reason_text; "broadcast tree: link to the parent lost");
        end
    }

    /// Sends the initial frames, reports, the size of the subtree and store calls to the parent until the
    /// link fails.
    async fn write_to_parent(
        &self,
        mut sink: impl Sink<Message> + Unpin,
        mut to_parent: broadcast::Receiver<Bytes>,
        mut store_calls: mpsc::Receiver<Bytes>,
    ) -> LinkEnd {
        let mut pending = self.initial_frames();
        let mut reported = (SubtreeSize::default(), Instant::now());
        loop {
            let (size, (reported_size, reported_at)) = (self.subtree_size(), reported);
            if size != reported_size || reported_at.elapsed() >= SUBTREE_SIZE_INTERVAL {
                reported = (size, Instant::now());
                pending.extend(Frame::SubtreeSize(size).encode().map(Bytes::from));
            }
            for bytes in pending.drain(..) {
                if sink.send(Message::Binary(bytes)).await.is_err() {
                    return LinkEnd::ParentLost;
                }
            }
            tokio::select! {
                bytes = to_parent.recv() => match bytes {
                    Ok(bytes) => pending.push(bytes),
                    // The initial frames contain what was lost from the queue.
                    Err(_) => pending = self.initial_frames(),
                },
                Some(bytes) = store_calls.recv() => pending.push(bytes),
                () = sleep(PARENT_CHECK_INTERVAL) => {}
            }
        }
    }

    /// Handles what the parent sends, until the link ends or a fresher source is found.
    async fn read_from_parent(
        &self,
        mut stream: impl Stream<Item = Result<Message, tungstenite::Error>> + Unpin,
        status: &mut watch::Receiver<Status>,
    ) -> LinkEnd {
        let mut fresher_source = OptionFuture::from(None);
        let mut is_stale = false;
        let mut last_received = Instant::now();
        loop {
            tokio::select! {
                message = stream.next() => {
                    let stays_linked = message.is_some_and(|message| message.is_ok_and(|message| self.on_parent_message(message)));
                    if !stays_linked {
                        return LinkEnd::ParentLost;
                    }
                    last_received = Instant::now();
                }
                () = sleep(PARENT_CHECK_INTERVAL) => if last_received.elapsed() > PARENT_TIMEOUT {
                    return LinkEnd::ParentLost;
                },
                Some(end) = &mut fresher_source => return end,
                () = self.until_duty_acquired(status) => return LinkEnd::DutyAcquired,
            }
            let is_fresh = self.is_fresh();
            let parent = self.uplink.borrow().store_call_parent(self.now());
            self.deps.store.observe_parent(parent);
            let status = self.store_status();
            let probes_rarely = self.uplink.borrow().probes_rarely(self.now(), status);
            self.deps.feed.set_probes_rarely(probes_rarely);
            if is_fresh {
                fresher_source = OptionFuture::from(None);
                is_stale = false;
                self.publish_missing();
                continue;
            }
            let grace = self.remaining_grace();
            if !grace.is_zero() {
                self.deps.feed.publish_expected(grace);
                continue;
            }
            if !is_stale {
                is_stale = true;
                fresher_source =
                    OptionFuture::from(Some(self.search_fresher_source().boxed_local()));
            }
        }
    }

    /// Searches for fresher data than the parent's. While the store answers no instance there are none, and
    /// the parent is kept: it will have the next data first.
    async fn search_fresher_source(&self) -> LinkEnd {
        // On lower levels, the search of the instances above suffices.
        let is_below_root = self.uplink.borrow().level() == 1;
        tokio::select! {
            link = self.search(Requirement::Fresh), if is_below_root => LinkEnd::FresherParent(Box::new(link)),
            () = self.until_store_answers() => LinkEnd::StoreAnswers,
        }
    }

    /// Probes the store until it answers this instance. The first standby begins immediately, all others on the
    /// first level after a delay; standbys probe more often.
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
        // On lower levels, the grace for stale data has passed already.
        if !is_first_standby && is_below_root {
            sleep(PARENT_SEARCH_TIMEOUT).await;
        }
        let pause = if is_standby {
            STANDBY_PROBE_INTERVAL
        } else {
            PROBE_INTERVAL
        };
        let object_kinds = self.deps.adapter.object_kinds;
        let (kind, name) = (object_kinds.config, object_kinds.config_object_name);
        let store = &self.deps.store;
        let root_gets_answers = || {
            let status = self.store_status();
            self.uplink.borrow().store_answers(status)
        };
        loop {
            store.until_answered(kind, name, pause).await;
            if !is_standby && root_gets_answers() == Some(false) {
                sleep(ROOT_PROBE_GRACE).await;
            }
            if root_gets_answers() != Some(true) {
                return;
            }
            // The root has just found the end of the outage, and its data come first.
            sleep(PARENT_SEARCH_TIMEOUT).await;
        }
    }

    /// Waits until this instance has the root duty; forever if it is shutting down.
    async fn until_duty_acquired(&self, status: &mut watch::Receiver<Status>) {
        let acquired = status.wait_for(|s| s.lease.is_some()).await.is_ok();
        if !acquired || self.is_shutting_down() {
            // The process is ending.
            std::future::pending::<()>().await;
        }
    }

    /// Ends the outage of the store here if the last heartbeat says that it is over.
    fn observe_outage_end(&self) {
        if self.uplink.borrow_mut().take_outage_end() && self.deps.store.end_outage() {
            let metrics = &self.deps.metrics;
            metrics.count(&metrics.reported_recoveries, &[]);
        }
    }

    /// Size of the subtree of this instance, for the parent.
    fn subtree_size(&self) -> SubtreeSize {
        let state = self.state.borrow();
        state.children.subtree_size(self.deps.peer.preferred)
    }

    /// Handles a message of the parent. Returns whether to keep the link.
    fn on_parent_message(&self, message: Message) -> bool {
        let Message::Binary(bytes) = message else {
            return true;
        };
        match Frame::decode(&bytes) {
            Some(frame @ (Frame::Snapshot { .. } | Frame::Changes { .. })) => {
                if let Some((publication, header)) = Publication::from_frame(frame) {
                    self.on_publication(publication, header, bytes);
                }
            }
            Some(Frame::Heartbeat(heartbeat)) => {
                let metrics = &self.deps.metrics;
                if let Some(age) = heartbeat.age {
                    metrics.observe(&metrics.input_ages, "news", age);
                }
                self.deps.feed.set_store_uptime(heartbeat.store_uptime);
                if !self.uplink.borrow_mut().on_heartbeat(self.now(), heartbeat) {
                    return false;
                }
                self.observe_appointment();
                // The instances below this one wait for it as well.
                self.send_heartbeat();
                self.observe_outage_end();
            }
            Some(Frame::Crashes(reports)) => self.on_crash_reports(reports),
            Some(Frame::Usage(reports)) => self.deps.usage.merge(reports),
            Some(Frame::StoreAnswerPart { id, body }) => {
                self.deps.store.on_parent_answer_part(id, body);
            }
            Some(Frame::StoreAnswer { id, outcome }) => {
                self.deps.store.on_parent_answer(id, outcome);
            }
            Some(Frame::Subscribe { topic, .. }) => self.resend_backup(topic),
            Some(Frame::Referral(_) | Frame::RetryAfter(_)) | None => return false,
            Some(
                Frame::Hello(_)
                | Frame::SubtreeSize(_)
                | Frame::Backup { .. }
                | Frame::BackupAge(_)
                | Frame::Introduction(_)
                | Frame::StoreCall(_),
            ) => {}
        }
        true
    }
}

impl LinkEnd {
    const fn as_str(&self) -> &'static str {
        match self {
            Self::ParentLost => "lost",
            Self::DutyAcquired => "this instance acquired the root duty",
            Self::FresherParent(_) => "another parent has fresher data",
            Self::StoreAnswers => "its data are stale, and the store answers",
        }
    }
}

/// Waits until this instance has lost the root duty.
async fn until_duty_lost(status: &mut watch::Receiver<Status>) {
    if status.wait_for(Status::is_not_held).await.is_err() {
        std::future::pending::<()>().await;
    }
}
