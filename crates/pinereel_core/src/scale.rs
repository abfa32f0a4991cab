//! How many endpoints of a service each availability zone should have.
//!
//! Load pattern: each trainer asks for a step's items at once, and waits for nearly all of them. Where items wait for a slot for longer than most
//! texts take, the step is late while engines could be had. So there are as many more engines as give those items a slot, within
//! the operator's bounds. What is added is of the cheap kind, if there is one: an endpoint that is taken away at short notice costs
//! its texts the time of reading a prompt again.

use crate::Time;
use compact_str::CompactString;
use std::{
    collections::{BTreeMap, VecDeque},
    time::Duration,
};

/// Fewer endpoints are asked for only once so many were enough for so long: a step comes every few seconds, and an endpoint that
/// comes back has to start first.
const SCALE_DOWN_DELAY: Duration = Duration::from_secs(60);
/// Endpoints are added if they are one of so many of the usual ones, or more: each that comes or goes changes which model others serve,
/// and loads each version.
const MIN_SHORTAGE_DIVISOR: u32 = 2;
/// After an order that was declined or lost its zone is asked again after so long.
const RETRY_DELAY: Duration = Duration::from_secs(2);
/// Endpoints that were ordered are listed after their start, and so long after that at the latest.
const MAX_LISTING_DELAY: Duration = Duration::from_secs(3);

/// What the operator allows and says.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Settings {
    /// Most endpoints in a zone, of both kinds together.
    pub max_per_zone: u32,
    /// Time from an order until its endpoints serve.
    pub startup_time: Duration,
    /// Whether there is a cheap kind, which may be taken away at short notice.
    pub use_spot: bool,
}

/// A zone of the service, as the list shows it.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Zone {
    /// What an endpoint costs there, against others.
    pub price: f64,
    /// Endpoints of the usual kind.
    pub regular: u32,
    /// Endpoints of the cheap kind.
    pub spot: u32,
}

/// An order: so many endpoints of one kind in a zone.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Request {
    /// The zone.
    pub zone: CompactString,
    /// Number of endpoints of that kind.
    pub count: u32,
    /// Whether of the cheap kind.
    pub spot: bool,
}

/// What was asked for in a zone.
#[derive(Clone, Copy, Debug)]
struct LastRequest {
    count: u32,
    requested_at: Time,
    /// Not before then, after an order that brought nothing.
    next_request_at: Time,
    /// Whether the last order was declined or lost.
    failed: bool,
}

/// Decides about the orders of one service.
#[derive(Clone, Debug, Default)]
pub struct Autoscaler {
    /// Endpoints of the usual kind that each zone had when this began: only what is added is decided here.
    baseline: BTreeMap<CompactString, u32>,
    last_requests: BTreeMap<CompactString, LastRequest>,
    /// Numbers of endpoints that were lacking lately.
    recent_shortages: VecDeque<(Time, u32)>,
}

impl Autoscaler {
    /// The orders that are due, with `lacking` endpoints more than the usual ones. Each is answered for with [`Sizer::answered`].
    pub fn due_requests(
        &mut self,
        now: Time,
        settings: Settings,
        shortage: u32,
        zones: &BTreeMap<CompactString, Zone>,
    ) -> Vec<Request> {
        for (name, zone) in zones {
            let baseline = self.baseline.entry(name.clone()).or_insert(zone.regular);
            if settings.use_spot {
                // Those that crashed come back; none of them is an added one.
                *baseline = zone.regular.max(*baseline).min(settings.max_per_zone);
            }
        }
        let shortage = self.peak_shortage(now, shortage);
        let baseline_total: u32 = self.baseline.values().sum();
        let is_large_enough = shortage.saturating_mul(MIN_SHORTAGE_DIVISOR) >= baseline_total;
        let shortage = if is_large_enough { shortage } else { 0 };
        let targets = self.distribute(now, settings, shortage, zones);
        let mut requests = Vec::new();
        for (name, zone) in zones {
            let target = targets.get(name).copied().unwrap_or_default();
            if self.is_due(now, settings, name, zone, target) {
                let baseline = self.baseline.get(name).copied().unwrap_or_default();
                requests.push(Request {
                    zone: name.clone(),
                    count: if settings.use_spot {
                        target
                    } else {
                        baseline + target
                    },
                    spot: settings.use_spot,
                });
                self.note_request(now, name, target);
            }
        }
        requests
    }

    /// An order was carried out or not.
    pub fn note_result(&mut self, now: Time, zone: &str, succeeded: bool) {
        if let Some(last) = self.last_requests.get_mut(zone) {
            last.failed = !succeeded;
            if !succeeded {
                last.next_request_at = now + RETRY_DELAY;
            }
        }
    }

    /// The most that was lacking lately: those that were added are why less is lacking now.
    fn peak_shortage(&mut self, now: Time, shortage: u32) -> u32 {
        self.recent_shortages.push_back((now, shortage));
        self.recent_shortages
            .retain(|(at, _)| now.since(*at) <= SCALE_DOWN_DELAY);
        let peak = self
            .recent_shortages
            .iter()
            .map(|(_, shortage)| *shortage)
            .max();
        peak.unwrap_or(shortage)
    }

    fn note_request(&mut self, now: Time, zone: &CompactString, count: u32) {
        let request = LastRequest {
            count,
            requested_at: now,
            next_request_at: now,
            failed: false,
        };
        self.last_requests.insert(zone.clone(), request);
    }

    /// So many more endpoints, spread evenly over the zones; what is left over goes to the cheapest. A zone that has just declined
    /// counts with what it has.
    fn distribute(
        &self,
        now: Time,
        settings: Settings,
        added: u32,
        zones: &BTreeMap<CompactString, Zone>,
    ) -> BTreeMap<CompactString, u32> {
        let mut capacities: Vec<_> = zones
            .iter()
            .map(|(name, zone)| {
                let baseline = self.baseline.get(name).copied().unwrap_or_default();
                let max_added = settings.max_per_zone.saturating_sub(baseline);
                let added = self.added(settings, name, zone);
                let is_backing_off = self
                    .last_requests
                    .get(name)
                    .is_some_and(|last| last.failed && now < last.next_request_at);
                let capacity = if is_backing_off {
                    added.min(max_added)
                } else {
                    max_added
                };
                (zone.price, name.clone(), capacity)
            })
            .collect();
        capacities.sort_by(|a, b| a.0.total_cmp(&b.0).then_with(|| a.1.cmp(&b.1)));
        let mut distributed: BTreeMap<CompactString, u32> = BTreeMap::new();
        let mut left = added;
        while left > 0 {
            let mut placed = false;
            for (_, name, capacity) in &capacities {
                let assigned = distributed.entry(name.clone()).or_default();
                if left > 0 && *assigned < *capacity {
                    *assigned += 1;
                    left -= 1;
                    placed = true;
                }
            }
            if !placed {
                break;
            }
        }
        distributed
    }

    /// Endpoints of a zone that were added here.
    fn added(&self, settings: Settings, name: &str, zone: &Zone) -> u32 {
        match settings.use_spot {
            true => zone.spot,
            false => zone
                .regular
                .saturating_sub(self.baseline.get(name).copied().unwrap_or_default()),
        }
    }

    fn is_due(
        &self,
        now: Time,
        settings: Settings,
        name: &CompactString,
        zone: &Zone,
        target: u32,
    ) -> bool {
        let Some(last) = self.last_requests.get(name) else {
            return target > self.added(settings, name, zone);
        };
        if now < last.next_request_at {
            return false;
        }
        if last.failed || target > last.count {
            return true;
        }
        if target < last.count {
            // It took the part of a zone that had none for a while.
            return now.since(last.requested_at) >= SCALE_DOWN_DELAY;
        }
        // The list answers for what was ordered.
        let has_settled = now.since(last.requested_at) >= settings.startup_time + MAX_LISTING_DELAY;
        has_settled && self.added(settings, name, zone) < target
    }
}
