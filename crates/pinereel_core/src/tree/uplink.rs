//! The side of a child: how old its news are, and whom it turns to when they are too old.

use super::{Heartbeat, MAX_AGE, MAX_ROOT_LOADING_TIME, MIN_STALE_GRACE, RankRange};
use crate::Time;
use compact_str::CompactString;
use std::time::Duration;

/// What an instance that reads the store itself knows of that.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct StoreStatus {
    /// Time since the store last answered; none if it never did.
    pub age: Option<Duration>,
    /// For how long it has answered all calls.
    pub store_uptime: Duration,
    /// Whether it has answered a call lately, also if not all is read yet.
    pub is_answering: bool,
}

/// Where the news of one instance come from.
#[derive(Clone, Debug)]
pub struct Uplink {
    own_address: CompactString,
    /// The parent's last sign of life, and when it came; none while there is no parent, as at a root.
    last_heartbeat: Option<(Heartbeat, Time)>,
    /// Whom to turn to, as last heard: the root, then its standbys.
    parent_candidates: Vec<CompactString>,
    /// Whether this instance reads the store for those below it.
    reads_store: bool,
    /// Since when the news here are not fresh, as far as was observed.
    stale_since: Option<Time>,
    /// Whether the news here were ever fresh.
    was_fresh: bool,
}

impl Uplink {
    /// No parent yet; `own` is the address of this instance.
    pub const fn new(own_address: CompactString) -> Self {
        Self {
            own_address,
            last_heartbeat: None,
            parent_candidates: Vec::new(),
            reads_store: false,
            stale_since: None,
            was_fresh: false,
        }
    }

    /// The parent lives. Says whether this instance may stay with it: not if it is above the parent.
    pub fn on_heartbeat(&mut self, now: Time, heartbeat: Heartbeat) -> bool {
        if heartbeat.ancestors.contains(&self.own_address) {
            return false;
        }
        let root = heartbeat.ancestors.first().cloned();
        self.parent_candidates = root.into_iter().chain(heartbeat.standbys.clone()).collect();
        self.last_heartbeat = Some((heartbeat, now));
        true
    }

    /// A root that leaves turns to its standbys: one of them stands in.
    pub fn set_parent_candidates(&mut self, standbys: Vec<CompactString>) {
        self.parent_candidates = standbys;
    }

    /// The parent is gone.
    pub fn on_parent_lost(&mut self) {
        self.last_heartbeat = None;
    }

    /// This instance reads the store itself from now on, or no longer.
    pub fn set_reads_store(&mut self, reads_store: bool) {
        self.reads_store = reads_store;
        if reads_store {
            self.on_parent_lost();
        }
    }

    /// Whether this instance reads the store for those below it.
    pub const fn reads_store(&self) -> bool {
        self.reads_store
    }

    /// Levels above this instance; 0 at a root.
    pub fn level(&self) -> u32 {
        self.last_heartbeat
            .as_ref()
            .map_or(0, |(heartbeat, _)| heartbeat.level())
    }

    /// Age of the news here; none if there are none.
    pub fn age(&self, now: Time, status: StoreStatus) -> Option<Duration> {
        match &self.last_heartbeat {
            Some((heartbeat, at)) => heartbeat.age.map(|age| age + now.since(*at)),
            None if self.reads_store => status.age,
            None => None,
        }
    }

    /// Whether the news are fresh enough to take children and to stay with the parent.
    pub fn is_fresh(&self, now: Time, status: StoreStatus) -> bool {
        let max_age = self
            .last_heartbeat
            .as_ref()
            .map_or(MAX_AGE, |(heartbeat, _)| heartbeat.max_age());
        self.age(now, status).is_some_and(|age| age < max_age)
    }

    /// Notes whether the news are fresh; to be called several times a second.
    pub fn observe(&mut self, now: Time, status: StoreStatus) {
        if self.is_fresh(now, status) {
            self.stale_since = None;
            self.was_fresh = true;
        } else {
            self.stale_since.get_or_insert(now);
        }
    }

    /// How much longer a child with stale news stays with its parent before it looks for fresher ones; zero if it
    /// should look now. `slack` is what the bound on a leave allows beyond the usual age of news.
    ///
    /// Load pattern: the root of hundreds of instances is lost or cut off. Those right below it look for its
    /// successor, and all others stay with them, so that it gets a few links and not one from every instance.
    pub fn remaining_grace(&self, now: Time, slack: Duration) -> Duration {
        let Some((heartbeat, _)) = &self.last_heartbeat else {
            return Duration::ZERO;
        };
        let limit = match heartbeat.age {
            // Without any news so far, nothing grows old meanwhile.
            None if heartbeat.reads_store && !self.was_fresh => MAX_ROOT_LOADING_TIME,
            None => slack,
            Some(_) if heartbeat.level() > 1 => slack.max(MIN_STALE_GRACE),
            Some(_) => Duration::ZERO,
        };
        limit.saturating_sub(self.stale_for(now))
    }

    /// Whether children may be taken, and kept, although the news are not fresh: they soon will be.
    pub fn is_recovering(&self, now: Time, status: StoreStatus, slack: Duration) -> bool {
        let limit = match &self.last_heartbeat {
            // Those below a parent with old news would wait as long again.
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

    /// Whether this instance stands in for the root if no other deputy does.
    pub fn is_standby(&self) -> bool {
        self.parent_candidates
            .iter()
            .skip(1)
            .any(|candidate| *candidate == self.own_address)
    }

    /// Whether no other deputy stands in before this one.
    pub fn is_first_standby(&self) -> bool {
        self.parent_candidates
            .get(1)
            .is_some_and(|candidate| *candidate == self.own_address)
    }

    /// Whom to turn to for news: the holder of the duty, then the root and the standbys before this
    /// instance itself, as last heard. So two standbys never wait for each other. A parent whose news are
    /// too old is no target.
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

    /// What to tell the children, with places that are to be filled in for each. `standbys` counts at a
    /// root.
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
            },
        }
    }

    /// The places of this instance and of all below it, out of what the parent told; none while the parent has no news.
    pub fn ranks(&self) -> Option<RankRange> {
        let heartbeat = self.last_heartbeat.as_ref().map(|(heartbeat, _)| heartbeat);
        heartbeat
            .filter(|heartbeat| heartbeat.age.is_some())
            .map(|heartbeat| heartbeat.ranks)
    }
}
