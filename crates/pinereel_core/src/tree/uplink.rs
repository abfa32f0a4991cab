//! The side of a child: how old its news are, and whom it turns to when they are too old.

use super::{FOLLOWED, Heartbeat, READING, RankRange, STALE};
use crate::Time;
use compact_str::CompactString;
use std::time::Duration;

/// What an instance that reads the store itself knows of that.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Own {
    /// Time since the store last answered; none if it never did.
    pub age: Option<Duration>,
    /// For how long it has answered all calls.
    pub store_uptime: Duration,
    /// Whether it has answered a call lately, also if not all is read yet.
    pub answers: bool,
}

/// Where the news of one instance come from.
#[derive(Clone, Debug)]
pub struct Uplink {
    own: CompactString,
    /// The parent's last sign of life, and when it came; none while there is no parent, as at a root.
    heard: Option<(Heartbeat, Time)>,
    /// Whom to turn to, as last heard: the root, then its standbys.
    ways: Vec<CompactString>,
    /// Whether this instance reads the store for those below it.
    leads: bool,
    /// Since when the news here are not fresh, as far as was observed.
    stale_since: Option<Time>,
    /// Whether the news here were ever fresh.
    had_news: bool,
}

impl Uplink {
    /// No parent yet; `own` is the address of this instance.
    pub const fn new(own: CompactString) -> Self {
        Self {
            own,
            heard: None,
            ways: Vec::new(),
            leads: false,
            stale_since: None,
            had_news: false,
        }
    }

    /// The parent lives. Says whether this instance may stay with it: not if it is above the parent.
    pub fn heard(&mut self, now: Time, heartbeat: Heartbeat) -> bool {
        if heartbeat.ancestors.contains(&self.own) {
            return false;
        }
        let root = heartbeat.ancestors.first().cloned();
        self.ways = root.into_iter().chain(heartbeat.standbys.clone()).collect();
        self.heard = Some((heartbeat, now));
        true
    }

    /// A root that leaves turns to its standbys: one of them stands in.
    pub fn turn_to(&mut self, standbys: Vec<CompactString>) {
        self.ways = standbys;
    }

    /// The parent is gone.
    pub fn lost(&mut self) {
        self.heard = None;
    }

    /// This instance reads the store itself from now on, or no longer.
    pub fn lead(&mut self, leads: bool) {
        self.leads = leads;
        if leads {
            self.lost();
        }
    }

    /// Whether this instance reads the store for those below it.
    pub const fn leads(&self) -> bool {
        self.leads
    }

    /// Levels above this instance; 0 at a root.
    pub fn level(&self) -> u32 {
        self.heard
            .as_ref()
            .map_or(0, |(heartbeat, _)| heartbeat.level())
    }

    /// Age of the news here; none if there are none.
    pub fn age(&self, now: Time, own: Own) -> Option<Duration> {
        match &self.heard {
            Some((heartbeat, at)) => heartbeat.age.map(|age| age + now.since(*at)),
            None if self.leads => own.age,
            None => None,
        }
    }

    /// Whether the news are fresh enough to take children and to stay with the parent.
    pub fn is_fresh(&self, now: Time, own: Own) -> bool {
        let bound = self
            .heard
            .as_ref()
            .map_or(STALE, |(heartbeat, _)| heartbeat.max_age());
        self.age(now, own).is_some_and(|age| age < bound)
    }

    /// Notes whether the news are fresh; to be called several times a second.
    pub fn observe(&mut self, now: Time, own: Own) {
        if self.is_fresh(now, own) {
            self.stale_since = None;
            self.had_news = true;
        } else {
            self.stale_since.get_or_insert(now);
        }
    }

    /// How much longer a child with stale news stays with its parent before it looks for fresher ones; zero if it
    /// should look now. `spare` is what the bound on a leave allows beyond the usual age of news.
    ///
    /// Load pattern: the root of hundreds of instances is lost or cut off. Those right below it look for its
    /// successor, and all others stay with them, so that it gets a few links and not one from every instance.
    pub fn patience(&self, now: Time, spare: Duration) -> Duration {
        let Some((heartbeat, _)) = &self.heard else {
            return Duration::ZERO;
        };
        let limit = match heartbeat.age {
            // Without any news so far, nothing grows old meanwhile.
            None if heartbeat.reads_store && !self.had_news => READING,
            None => spare,
            Some(_) if heartbeat.level() > 1 => spare.max(FOLLOWED),
            Some(_) => Duration::ZERO,
        };
        limit.saturating_sub(self.stale_for(now))
    }

    /// Whether children may be taken, and kept, although the news are not fresh: they soon will be.
    pub fn is_recovering(&self, now: Time, own: Own, spare: Duration) -> bool {
        let limit = match &self.heard {
            // Those below a parent with old news would wait as long again.
            Some((heartbeat, _)) if heartbeat.age.is_some() => Duration::ZERO,
            Some(_) => return !self.patience(now, spare).is_zero(),
            None if self.leads => return own.age.is_none() && own.answers,
            None => spare,
        };
        self.stale_for(now) < limit
    }

    fn stale_for(&self, now: Time) -> Duration {
        self.stale_since
            .map_or(Duration::ZERO, |since| now.since(since))
    }

    /// Whether this instance stands in for the root if no other deputy does.
    pub fn is_standby(&self) -> bool {
        self.ways.iter().skip(1).any(|way| *way == self.own)
    }

    /// Whether no other deputy stands in before this one.
    pub fn is_first_standby(&self) -> bool {
        self.ways.get(1).is_some_and(|way| *way == self.own)
    }

    /// Whom to turn to for news: the holder of the duty, then the root and the standbys before this
    /// instance itself, as last heard. So two standbys never wait for each other. A parent whose news are
    /// too old is no target.
    pub fn targets(&self, holder: Option<CompactString>) -> Vec<CompactString> {
        let parent = self
            .heard
            .as_ref()
            .and_then(|(heartbeat, _)| heartbeat.ancestors.last());
        let before = self.ways.iter().take_while(|way| **way != self.own);
        let mut targets: Vec<CompactString> = Vec::new();
        for target in holder.into_iter().chain(before.cloned()) {
            if target != self.own && Some(&target) != parent && !targets.contains(&target) {
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
        own: Own,
        ranks: RankRange,
        standbys: Vec<CompactString>,
    ) -> Heartbeat {
        let age = self.age(now, own);
        match &self.heard {
            Some((heartbeat, _)) => {
                let mut heartbeat = heartbeat.clone();
                heartbeat.ancestors.push(self.own.clone());
                Heartbeat {
                    age,
                    ranks,
                    ..heartbeat
                }
            }
            None => Heartbeat {
                ancestors: vec![self.own.clone()],
                standbys,
                age,
                reads_store: self.leads && own.answers,
                store_uptime: own.store_uptime,
                ranks,
            },
        }
    }

    /// The places of this instance and of all below it, out of what the parent told; none while the parent has no news.
    pub fn ranks(&self) -> Option<RankRange> {
        let heartbeat = self.heard.as_ref().map(|(heartbeat, _)| heartbeat);
        heartbeat
            .filter(|heartbeat| heartbeat.age.is_some())
            .map(|heartbeat| heartbeat.ranks)
    }
}
