//! The child's side of a link: how old the data of this instance are, and which parents it tries when
//! they are too old.

use super::{
    Heartbeat, MAX_AGE, MAX_ROOT_LOADING_TIME, MIN_STALE_GRACE, RankRange, StoreCallParent,
};
use crate::Time;
use compact_str::CompactString;
use std::time::Duration;

/// How long an instance that the store did not answer as the root keeps probing often once it has a
/// parent. No heartbeat can tell it of the end of an outage: it has had none that said that the outage
/// began.
const FORMER_ROOT_PROBE_TIME: Duration = Duration::from_secs(1);

/// What this instance knows about the store from its own calls.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct StoreStatus {
    /// Time since the store last answered; `None` until all data have been read.
    pub age: Option<Duration>,
    /// For how long the store has answered all calls.
    pub store_uptime: Duration,
    /// Whether the store has answered a call lately, also if not all data have been read yet.
    pub is_answering: bool,
    /// Whether the last call failed or is late.
    pub is_unreachable: bool,
}

/// Where one instance gets its data from: a parent, or the store itself.
#[derive(Clone, Debug)]
pub struct Uplink {
    own_address: CompactString,
    /// The last heartbeat of the parent and when it arrived; `None` without a parent, as at a root.
    last_heartbeat: Option<(Heartbeat, Time)>,
    /// Addresses to try for a parent, from the last heartbeat: the root, then its standbys.
    parent_candidates: Vec<CompactString>,
    /// Whether this instance reads the store itself and so is a root.
    reads_store: bool,
    /// When the data of this instance were first observed to be stale; `None` while they are fresh.
    stale_since: Option<Time>,
    /// Whether the data of this instance have ever been fresh.
    was_fresh: bool,
    /// Whether a heartbeat has said that the store does not answer the root, and none has said since that
    /// it does. Kept when the parent changes: at the end of an outage, the first instance that reads the
    /// store again takes over children of others.
    root_lacks_answers: bool,
    /// When the store last did not answer this instance as a root.
    unanswered_as_root_at: Option<Time>,
}

impl Uplink {
    /// An uplink without a parent. `own_address` is the address of this instance.
    pub const fn new(own_address: CompactString) -> Self {
        Self {
            own_address,
            last_heartbeat: None,
            parent_candidates: Vec::new(),
            reads_store: false,
            stale_since: None,
            was_fresh: false,
            root_lacks_answers: false,
            unanswered_as_root_at: None,
        }
    }

    /// Handles a heartbeat of the parent. Returns whether this instance may stay with it: not if it is
    /// itself an ancestor of the parent.
    pub fn on_heartbeat(&mut self, now: Time, heartbeat: Heartbeat) -> bool {
        if heartbeat.ancestors.contains(&self.own_address) {
            return false;
        }
        let root = heartbeat.ancestors.first().cloned();
        // A root without answers from the store loses its children, and names the few that are left as
        // its standbys: they would have nobody else to try.
        let root_lacks_answers = heartbeat.store_answers == Some(false);
        if !root_lacks_answers || self.parent_candidates.is_empty() {
            self.parent_candidates = root.into_iter().chain(heartbeat.standbys.clone()).collect();
        }
        self.root_lacks_answers |= root_lacks_answers;
        self.last_heartbeat = Some((heartbeat, now));
        true
    }

    /// Replaces the addresses to try for a parent. A root that shuts down, or that has lost its duty since
    /// the store does not answer it, calls it with its standbys, one of which takes over.
    pub fn set_parent_candidates(&mut self, standbys: Vec<CompactString>) {
        self.parent_candidates = standbys;
    }

    /// Whether the parent has appointed this instance to read the store for it.
    pub fn is_backup_reader(&self) -> bool {
        let heartbeat = self.last_heartbeat.as_ref().map(|(heartbeat, _)| heartbeat);
        heartbeat.is_some_and(|heartbeat| heartbeat.backup_readers.contains(&self.own_address))
    }

    /// Records that the link to the parent has ended.
    pub fn on_parent_lost(&mut self) {
        self.last_heartbeat = None;
    }

    /// Whether the store answers the topmost instance of the tree, as this instance knows it: from the
    /// last heartbeat, or from its own calls if it is a root. `None` if it does not know.
    pub fn store_answers(&self, status: StoreStatus) -> Option<bool> {
        match &self.last_heartbeat {
            Some((heartbeat, _)) => heartbeat.store_answers,
            None => self.reads_store.then_some(!status.is_unreachable),
        }
    }

    /// Whether this instance sends heartbeats although it has no data, since they say that the store does
    /// not answer the root, or that this has just ended. The caller sends a heartbeat before it calls
    /// [`Uplink::take_outage_end`].
    pub fn reports_outage(&self, status: StoreStatus) -> bool {
        match self.store_answers(status) {
            Some(answers) => !answers || self.root_lacks_answers,
            None => false,
        }
    }

    /// Returns whether the last heartbeat ends an outage of the whole store: the store answers the root,
    /// and did not according to an earlier heartbeat. Returns `true` once for each outage. An instance
    /// that only the store rejects gets no such heartbeat, and finds the end by its own probes.
    pub fn take_outage_end(&mut self) -> bool {
        let answers = self
            .last_heartbeat
            .as_ref()
            .and_then(|(heartbeat, _)| heartbeat.store_answers);
        answers == Some(true) && std::mem::take(&mut self.root_lacks_answers)
    }

    /// Whether this instance need not probe an unavailable store several times a second: it has a parent,
    /// and either its data do not wait for the store, or the root and its standbys probe for it and the
    /// heartbeats say when the store answers.
    ///
    /// In an outage of 7 s, 55 instances that all probed 7 times a second sent 1,840 probes. With 1,000
    /// instances, all but the root and its [`MAX_STANDBYS`](super::MAX_STANDBYS) standbys send one a
    /// second, against lost heartbeats.
    pub fn probes_rarely(&self, now: Time, status: StoreStatus) -> bool {
        let Some((heartbeat, _)) = &self.last_heartbeat else {
            return false;
        };
        let is_former_root = self
            .unanswered_as_root_at
            .is_some_and(|at| now.since(at) < FORMER_ROOT_PROBE_TIME);
        if is_former_root && status.is_unreachable {
            return false;
        }
        let root_probes = heartbeat.store_answers == Some(false) && !self.is_standby();
        self.is_fresh(now, status) || root_probes
    }

    /// Sets whether this instance reads the store itself. If so, it detaches from its parent.
    pub fn set_reads_store(&mut self, reads_store: bool) {
        self.reads_store = reads_store;
        if reads_store {
            self.on_parent_lost();
        }
    }

    /// Whether this instance reads the store itself and so is a root.
    pub const fn reads_store(&self) -> bool {
        self.reads_store
    }

    /// Number of levels above this instance; 0 at a root.
    pub fn level(&self) -> u32 {
        self.last_heartbeat
            .as_ref()
            .map_or(0, |(heartbeat, _)| heartbeat.level())
    }

    /// Age of the data of this instance; `None` if there are none.
    pub fn age(&self, now: Time, status: StoreStatus) -> Option<Duration> {
        match &self.last_heartbeat {
            Some((heartbeat, at)) => heartbeat.age.map(|age| age.saturating_add(now.since(*at))),
            None if self.reads_store => status.age,
            None => None,
        }
    }

    /// Whether the data are fresh enough to accept children and to stay with the parent.
    pub fn is_fresh(&self, now: Time, status: StoreStatus) -> bool {
        let max_age = self
            .last_heartbeat
            .as_ref()
            .map_or(MAX_AGE, |(heartbeat, _)| heartbeat.max_age());
        self.age(now, status).is_some_and(|age| age < max_age)
    }

    /// Records whether the data are fresh, and whether the store answers a root. Must be called several
    /// times a second.
    pub fn observe(&mut self, now: Time, status: StoreStatus) {
        if self.reads_store && status.is_unreachable {
            self.unanswered_as_root_at = Some(now);
        }
        if self.is_fresh(now, status) {
            self.stale_since = None;
            self.was_fresh = true;
        } else {
            self.stale_since.get_or_insert(now);
        }
    }

    /// How much longer an instance with stale data stays with its parent before it looks for another one;
    /// zero if it should look now. `slack` is the time that the bound on the removal of an endpoint leaves
    /// beyond the usual age of the data.
    ///
    /// If the root of hundreds of instances fails or is cut off, only its children look for its successor
    /// and all others stay with them. So the successor gets a few links, not one from each instance.
    pub fn remaining_grace(&self, now: Time, slack: Duration) -> Duration {
        let Some((heartbeat, _)) = &self.last_heartbeat else {
            return Duration::ZERO;
        };
        let limit = match heartbeat.age {
            // There have been no data so far, so none become stale meanwhile.
            None if heartbeat.reads_store && !self.was_fresh => MAX_ROOT_LOADING_TIME,
            None => slack,
            Some(_) if heartbeat.level() > 1 => slack.max(MIN_STALE_GRACE),
            Some(_) => Duration::ZERO,
        };
        limit.saturating_sub(self.stale_for(now))
    }

    /// Whether children may be accepted and kept although the data are stale, since they are expected to
    /// be fresh soon.
    pub fn is_recovering(&self, now: Time, status: StoreStatus, slack: Duration) -> bool {
        let limit = match &self.last_heartbeat {
            // With a limit here as well, the wait of the children would add to that of their parent.
            Some((heartbeat, _)) if heartbeat.age.is_some() => Duration::ZERO,
            Some(_) => return !self.remaining_grace(now, slack).is_zero(),
            None if self.reads_store => return status.age.is_none() && status.is_answering,
            None => slack,
        };
        self.stale_for(now) < limit
    }

    fn stale_for(&self, now: Time) -> Duration {
        self.stale_since
            .map_or(Duration::ZERO, |since| now.since(since))
    }

    /// Whether this instance is one of the standbys of the root.
    pub fn is_standby(&self) -> bool {
        self.parent_candidates
            .iter()
            .skip(1)
            .any(|candidate| *candidate == self.own_address)
    }

    /// Whether this instance is the first standby of the root.
    pub fn is_first_standby(&self) -> bool {
        self.parent_candidates
            .get(1)
            .is_some_and(|candidate| *candidate == self.own_address)
    }

    /// Addresses to try for a parent, in this order: `holder`, which holds the duty to read the store, then
    /// from the last heartbeat the root and the standbys before this instance, so that two standbys never
    /// wait for each other. The current parent is left out: its data are too old.
    pub fn link_targets(&self, holder: Option<CompactString>) -> Vec<CompactString> {
        let parent = self
            .last_heartbeat
            .as_ref()
            .and_then(|(heartbeat, _)| heartbeat.ancestors.last());
        let before = self
            .parent_candidates
            .iter()
            .take_while(|candidate| **candidate != self.own_address);
        let mut targets: Vec<CompactString> = Vec::new();
        for target in holder.into_iter().chain(before.cloned()) {
            if target != self.own_address && Some(&target) != parent && !targets.contains(&target) {
                targets.push(target);
            }
        }
        targets
    }

    /// The parent as a way to the store; `None` without a parent.
    pub fn store_call_parent(&self, now: Time) -> Option<StoreCallParent> {
        let (heartbeat, at) = self.last_heartbeat.as_ref()?;
        Some(StoreCallParent {
            takes_calls: heartbeat.store_calls,
            age: heartbeat.age.map(|age| age.saturating_add(now.since(*at))),
            max_age: heartbeat.max_age(),
        })
    }

    /// The heartbeat for the children. The caller fills in `ranks` for each child and `store_calls`, which
    /// holds for one instance only. `standbys` is used at a root only.
    pub fn heartbeat(
        &self,
        now: Time,
        status: StoreStatus,
        ranks: RankRange,
        standbys: Vec<CompactString>,
    ) -> Heartbeat {
        let age = self.age(now, status);
        match &self.last_heartbeat {
            Some((heartbeat, _)) => {
                let mut heartbeat = heartbeat.clone();
                heartbeat.ancestors.push(self.own_address.clone());
                Heartbeat {
                    age,
                    ranks,
                    store_calls: false,
                    // Each instance appoints its own children.
                    backup_readers: Vec::new(),
                    ..heartbeat
                }
            }
            None => Heartbeat {
                ancestors: vec![self.own_address.clone()],
                standbys,
                age,
                reads_store: self.reads_store && status.is_answering,
                store_uptime: status.store_uptime,
                ranks,
                store_calls: false,
                store_answers: self.store_answers(status),
                backup_readers: Vec::new(),
            },
        }
    }

    /// The ranks of this instance and all below it, from the last heartbeat; `None` while the parent has
    /// no data.
    pub fn ranks(&self) -> Option<RankRange> {
        let heartbeat = self.last_heartbeat.as_ref().map(|(heartbeat, _)| heartbeat);
        heartbeat
            .filter(|heartbeat| heartbeat.age.is_some())
            .map(|heartbeat| heartbeat.ranks)
    }
}
