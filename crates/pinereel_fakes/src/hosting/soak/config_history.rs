//! The configurations that the store has confirmed, and whether answers of instances agree with them.
//!
//! An answer agrees with some versions of the configuration: those that allow the service that ran the
//! request, or, if it was refused with status 404, those without a route for it.

use std::{
    collections::BTreeMap,
    fmt,
    ops::{AddAssign, RangeInclusive},
    time::Duration,
};
use tokio::time::Instant;

/// Longest time between the confirmation of a change and its effect at instances in touch.
pub(super) const MAX_APPLY_TIME: Duration = Duration::from_secs(2);
/// Time after an answer during which an older version may still decide on requests of the same process.
const MAX_ROLLBACK_TIME: Duration = Duration::from_millis(250);
/// Fewest requests on added routes of which a share is served.
const MIN_REQUESTS: u64 = 20;
/// Requests on added routes are served at least as often as those on the first routes, divided by this.
const MIN_SHARE_DIVISOR: u64 = 4;

/// A configuration that the store has confirmed.
#[derive(Clone, Debug)]
pub(super) struct Version {
    pub(super) number: u64,
    pub(super) confirmed_at: Instant,
    /// The service of each route.
    pub(super) services: BTreeMap<String, String>,
}

/// A process of an instance: the index of the instance, and the id of the process.
pub(super) type Incarnation = (usize, u32);

/// An answer to a request on a route, or the lack of one.
#[derive(Clone, Debug)]
pub(super) struct Observation {
    pub(super) incarnation: Incarnation,
    pub(super) route: String,
    pub(super) sent_at: Instant,
    pub(super) answered_at: Instant,
    pub(super) answer: Answer,
    /// Whether the instance was in touch until the answer.
    pub(super) in_touch: bool,
    pub(super) kind: RouteKind,
}

/// Which requests are compared with each other.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum RouteKind {
    /// A route of all versions.
    First,
    /// A route that a change has added.
    Added,
    /// A route that a change has dropped.
    Dropped,
    /// The route that the last change has added, whether it must be served yet or not.
    Newest,
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum Answer {
    /// A success, and the service that ran the request last.
    Served(String),
    /// Status 404.
    NoRoute,
    /// Any other answer, or none.
    Other,
}

/// Requests of an instance in touch, and how many of them were served.
#[derive(Clone, Copy, Debug, Default)]
struct Share {
    requests: u64,
    served: u64,
}

/// All confirmed versions, and what is known of each process.
#[derive(Default)]
pub(super) struct History {
    /// By increasing number.
    versions: Vec<Version>,
    /// The lowest version that the answers of a process allow, with the time of the answer; the newest last.
    evidence: BTreeMap<Incarnation, Vec<(Instant, u64)>>,
    /// By instance, on the first routes and on added ones.
    shares: BTreeMap<usize, [Share; 2]>,
    judged_count: u64,
    /// Longest time from a confirmation to a request that an instance in touch has answered without the change.
    max_lag: Duration,
}

impl History {
    /// Adds a version, which is newer than all others.
    pub(super) fn confirm(&mut self, version: Version) {
        self.versions.push(version);
    }

    pub(super) fn newest(&self) -> Option<&Version> {
        self.versions.last()
    }

    /// The newest version that must be in force at `now`.
    pub(super) fn newest_due(&self, now: Instant) -> Option<&Version> {
        let mut newest_first = self.versions.iter().rev();
        newest_first.find(|version| now >= version.confirmed_at + MAX_APPLY_TIME)
    }

    /// The newest route that every version since the one that must be in force at `now` has.
    pub(super) fn newest_route_due(&self, now: Instant) -> Option<&str> {
        let due = self.newest_due(now)?;
        let newest = self.newest()?;
        let is_kept = |route: &&String| newest.services.contains_key(*route);
        let added = due.services.keys().filter(is_kept);
        let number = |route: &&String| route.strip_prefix("added-")?.parse::<u64>().ok();
        added.max_by_key(number).map(String::as_str)
    }

    /// The route that the version that must be in force at `now` has dropped.
    pub(super) fn dropped_route_due(&self, now: Instant) -> Option<&str> {
        let due = self.newest_due(now)?.number;
        let before = self.versions.iter().rev().find(|v| v.number < due)?;
        let since: Vec<_> = self.versions.iter().filter(|v| v.number >= due).collect();
        let is_dropped = |route: &&String| since.iter().all(|v| !v.services.contains_key(*route));
        before.services.keys().find(is_dropped).map(String::as_str)
    }

    /// The lowest and the highest version with which an answer agrees, of those that existed; `None` if it agrees
    /// with none.
    fn agreeing(&self, seen: &Observation) -> Option<RangeInclusive<u64>> {
        let existed = |version: &&Version| version.confirmed_at <= seen.answered_at;
        let agrees = |version: &&Version| match (&seen.answer, version.services.get(&seen.route)) {
            (Answer::Served(by), Some(service)) => by == service,
            (Answer::NoRoute, service) => service.is_none(),
            (Answer::Served(_), None) => false,
            (Answer::Other, _) => true,
        };
        let existing = self.versions.iter().filter(existed);
        let mut agreeing = existing.filter(agrees).map(|v| v.number);
        let lowest = agreeing.next()?;
        Some(lowest..=agreeing.next_back().unwrap_or(lowest))
    }

    /// Judges an answer, and returns how it breaks the guarantees.
    pub(super) fn judge(&mut self, seen: &Observation) -> Option<String> {
        self.judged_count += u64::from(seen.in_touch);
        let share = match seen.kind {
            RouteKind::First => Some(0),
            RouteKind::Added => Some(1),
            RouteKind::Dropped | RouteKind::Newest => None,
        };
        if let Some(share) = share.filter(|_| seen.in_touch) {
            self.shares.entry(seen.incarnation.0).or_default()[share] += &seen.answer;
        }
        if seen.answer == Answer::Other {
            return None;
        }
        let agreeing = self.agreeing(seen);
        let Some(agreeing) = agreeing else {
            return Some("as no version allows".into());
        };
        let due = self.newest_due(seen.sent_at).map_or(0, |v| v.number);
        let known = self.known_version(seen.incarnation, seen.sent_at);
        let evidence = self.evidence.entry(seen.incarnation).or_default();
        evidence.push((seen.answered_at, *agreeing.start()));
        let newest = *agreeing.end();
        let missing = self.versions.iter().find(|v| v.number > newest);
        if let Some(missing) = missing.filter(|_| seen.in_touch) {
            let lag = seen.sent_at.saturating_duration_since(missing.confirmed_at);
            self.max_lag = self.max_lag.max(lag);
        }
        if newest < known {
            return Some(format!(
                "as versions up to {newest} allow, but the process has answered by version {known} before"
            ));
        }
        let is_late = seen.in_touch && newest < due;
        is_late.then(|| format!("as versions up to {newest} allow, but {due} must be in force"))
    }

    /// The version that a process must have at `now` by its own earlier answers.
    fn known_version(&self, incarnation: Incarnation, now: Instant) -> u64 {
        let evidence = self.evidence.get(&incarnation).into_iter().flatten();
        let earlier = evidence.filter(|(at, _)| *at + MAX_ROLLBACK_TIME < now);
        earlier.map(|(_, version)| *version).max().unwrap_or(0)
    }

    /// The instances that serve requests on added routes less than a quarter as often as those on the first
    /// routes.
    pub(super) fn underserved(&self) -> impl Iterator<Item = String> {
        let is_underserved = |[first, added]: &[Share; 2]| {
            added.requests >= MIN_REQUESTS
                && added.served * first.requests * MIN_SHARE_DIVISOR < first.served * added.requests
        };
        let underserved = self.shares.iter().filter(move |(_, s)| is_underserved(s));
        underserved.map(|(index, [first, added])| {
            format!("instance {index} served {added} on added routes, {first} on the first ones")
        })
    }

    /// What was judged, in one line.
    pub(super) fn summary(&self) -> String {
        let (versions, judged) = (self.versions.len(), self.judged_count);
        let (mut first, mut added) = (Share::default(), Share::default());
        for share in self.shares.values() {
            first = first + share[0];
            added = added + share[1];
        }
        format!(
            "{versions} configurations, {judged} answers judged, served {first} on first routes, {added} on added ones, in force after up to {} ms",
            self.max_lag.as_millis()
        )
    }
}

impl AddAssign<&Answer> for Share {
    fn add_assign(&mut self, answer: &Answer) {
        self.requests += 1;
        self.served += u64::from(matches!(answer, Answer::Served(_)));
    }
}

impl std::ops::Add for Share {
    type Output = Self;

    fn add(self, other: Self) -> Self {
        Self {
            requests: self.requests + other.requests,
            served: self.served + other.served,
        }
    }
}

impl fmt::Display for Share {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} of {}", self.served, self.requests)
    }
}
