//! Reading of the store for a root that it does not answer: the root appoints a few children, which read the
//! store beside it and send it the data. A reader that is not answered either appoints children of its own.

use super::{Frame, HEARTBEAT_INTERVAL, Node, Topic, topics::Publication};
use bytes::Bytes;
use compact_str::CompactString;
use pinereel_core::tree::{
    ChildKey, LATE_CALL_TIME, LATE_READER_CALL_TIME, MAX_READER_GROUPS, MAX_READER_LEVEL,
    MAX_ROOT_GROUPS,
};
use std::time::Duration;
use tokio::{sync::watch, time::sleep};

/// Time between two checks of a root whether the store answers it.
const ANSWER_CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// Time between two checks of an appointed reader whether it has read all data.
const FIRST_READ_CHECK_INTERVAL: Duration = Duration::from_millis(20);

impl Node {
    /// Appoints children to read the store while it does not answer this instance, if that is the root or an
    /// appointed reader itself. Never ends.
    pub(super) async fn appoint_backup_readers(&self) {
        loop {
            self.update_backup_readers();
            let interval = match self.is_reading() {
                true => ANSWER_CHECK_INTERVAL,
                false => HEARTBEAT_INTERVAL,
            };
            sleep(interval).await;
        }
    }

    /// Whether this instance reads the store, as a root or for its parent.
    fn is_reading(&self) -> bool {
        self.uplink.borrow().reads_store() || *self.is_backup.borrow()
    }

    /// Updates the appointments. The children learn of a change at once.
    fn update_backup_readers(&self) {
        let max_groups = self.max_reader_groups();
        let lacks_answers = max_groups > 0;
        let children = match lacks_answers {
            true => self.backup_candidates(),
            false => Vec::new(),
        };
        let changed = {
            let mut backups = self.backups.borrow_mut();
            backups.step(self.now(), max_groups, &children)
        };
        let began_or_ended = self.lacked_answers.replace(lacks_answers) != lacks_answers;
        if changed {
            let backups = self.backups.borrow();
            log::info!(readers:serde = backups.appointed(), lacks_answers; "broadcast tree: readers of the store for this instance changed");
        }
        if changed || began_or_ended {
            self.send_heartbeat();
        }
    }

    /// How many groups of children may be asked to read the store now; 0 if it answers this instance, or if
    /// this instance need not read it.
    fn max_reader_groups(&self) -> usize {
        let (uplink, store) = (self.uplink.borrow(), &self.deps.store);
        if uplink.reads_store() {
            return match store.lacks_answers(LATE_CALL_TIME) {
                true => MAX_ROOT_GROUPS,
                false => 0,
            };
        }
        let may_appoint = *self.is_backup.borrow() && uplink.level() <= MAX_READER_LEVEL;
        match may_appoint && store.lacks_answers(LATE_READER_CALL_TIME) {
            true => MAX_READER_GROUPS,
            false => 0,
        }
    }

    /// Addresses of the children that may read the store: the standbys, then all others.
    fn backup_candidates(&self) -> Vec<CompactString> {
        let state = self.state.borrow();
        let mut candidates = state.children.standbys(&self.deps.peer.zone);
        let others = state.children.addresses();
        let others: Vec<_> = others.filter(|child| !candidates.contains(child)).collect();
        candidates.extend(others);
        candidates
    }

    /// Reads the store while the parent has appointed this instance. Never ends.
    pub(super) async fn read_as_backup(&self) {
        let mut appointed = self.is_backup.subscribe();
        loop {
            until(&mut appointed, true).await;
            log::info!("broadcast tree: reading the store for the parent");
            self.state.borrow_mut().listed.clear();
            tokio::select! {
                () = self.read_store() => {}
                () = self.report_backup_age() => {}
                () = until(&mut appointed, false) => {}
            }
            self.has_backup_data.set(false);
            // The parent sends no changes of these.
            self.drop_unsubscribed();
            log::info!("broadcast tree: no longer reading the store for the parent");
        }
    }

    /// Reports to the parent how old the data are that this instance has sent it, once it has all of them.
    async fn report_backup_age(&self) {
        loop {
            let Some(age) = self.store_status().age else {
                sleep(FIRST_READ_CHECK_INTERVAL).await;
                continue;
            };
            self.send_to_parent(&Frame::BackupAge(age));
            sleep(HEARTBEAT_INTERVAL).await;
        }
    }

    /// Records whether the parent has appointed this instance, as of the last heartbeat.
    pub(super) fn observe_appointment(&self) {
        let appointed = self.uplink.borrow().is_backup_reader();
        let observe = |current: &mut bool| std::mem::replace(current, appointed) != appointed;
        self.is_backup.send_if_modified(observe);
    }

    /// Whether data of the store reach this instance over two ways: it reads them and receives them from a
    /// parent, or from children.
    pub(super) fn has_other_source(&self) -> bool {
        *self.is_backup.borrow() || self.has_backup_data.get()
    }

    /// Sends the parent what was read for it; `frame` is the encoded publication, and `since` the revision at
    /// which it begins.
    pub(super) fn send_backup(&self, topic: Topic, since: u64, frame: &Bytes) {
        if *self.is_backup.borrow() {
            let update = frame.clone();
            self.send_to_parent(&Frame::Backup {
                topic,
                since,
                update,
            });
        }
    }

    /// Sends the parent all objects of a topic, as it lacks some of the changes before the last ones.
    pub(super) fn resend_backup(&self, topic: Topic) {
        let store_uptime = self.deps.store.uptime();
        let snapshot = {
            let state = self.state.borrow();
            let cache = state.caches.get(&topic);
            cache.and_then(|cache| cache.encode_snapshot(topic, store_uptime))
        };
        if let Some(snapshot) = snapshot {
            self.send_backup(topic, 0, &snapshot);
        }
    }

    /// Handles what a child has read for this instance. Nothing is accepted from a child that is not appointed.
    pub(super) fn on_backup(&self, child: ChildKey, topic: Topic, since: u64, update: Bytes) {
        let is_appointed = self.child_address(child).is_some_and(|address| {
            self.is_reading() && self.backups.borrow().is_appointed(&address)
        });
        let frame = is_appointed.then(|| Frame::decode(&update)).flatten();
        let Some((publication, header)) = frame.and_then(Publication::from_frame) else {
            return;
        };
        let known_revision = self.state.borrow().revision(topic);
        if publication.topic != topic || header.revision < known_revision {
            return;
        }
        if !publication.full && since != known_revision {
            if header.revision > known_revision {
                self.request_resend(child, topic);
            }
            return;
        }
        self.has_backup_data.set(true);
        let is_other = |(_, requested): &(ChildKey, Topic)| *requested != topic;
        self.state.borrow_mut().resend_requested.retain(is_other);
        self.send_backup(topic, since, &update);
        if !publication.full && publication.objects.is_empty() {
            self.set_revision(topic, header.revision);
            return;
        }
        self.apply(publication, header, update, Some(child));
    }

    /// Requests all objects of a topic from an appointed child.
    fn request_resend(&self, child: ChildKey, topic: Topic) {
        let mut state = self.state.borrow_mut();
        let is_new = state.resend_requested.insert((child, topic));
        let request = Frame::Subscribe { topic, revision: 0 };
        if is_new
            && let Some(bytes) = request.encode()
            && let Some(link) = state.child_links.get(&child)
        {
            // If its queue is full, the link is dropped with the next heartbeat.
            let _ = link.frames.try_send(bytes.into());
        }
    }

    /// Handles the report of a child on the age of the data that it has sent.
    pub(super) fn on_backup_age(&self, child: ChildKey, age: Duration) {
        let is_complete = {
            let requested = &self.state.borrow().resend_requested;
            !requested.iter().any(|(requested, _)| *requested == child)
        };
        let address = self.child_address(child).filter(|_| is_complete);
        let Some(address) = address else { return };
        let is_first = self.backups.borrow().age(self.now()).is_none();
        let accepted = self
            .backups
            .borrow_mut()
            .on_report(self.now(), &address, age);
        if accepted && is_first {
            log::info!(reader = address.as_str(), age_ms = age.as_millis() as u64; "broadcast tree: a child delivers the data of the store");
            self.update_backup_readers();
            self.catch_up_children();
        }
    }

    fn child_address(&self, child: ChildKey) -> Option<CompactString> {
        self.state.borrow().children.address(child).cloned()
    }
}

/// Waits until the watched value is `expected`.
async fn until(watched: &mut watch::Receiver<bool>, expected: bool) {
    if watched.wait_for(|value| *value == expected).await.is_err() {
        std::future::pending::<()>().await;
    }
}
