//! Autoscaling: decides how many endpoints of a service each availability zone should have.
//!
//! Each trainer requests the items of a step together and waits for nearly all of them. If items
//! wait for a slot longer than most texts take, the step is late although more engines are
//! available. So the [`Autoscaler`] adds as many endpoints as give those items a slot, within the
//! operator's limits. Spot endpoints are preferred: the loss of one at short notice only costs the
//! time to process the prompts of its texts again.

use crate::Time;
use compact_str::CompactString;
use std::{
    collections::{BTreeMap, VecDeque},
    time::Duration,
};

/// Time for which a lower number of endpoints must suffice before it is requested. A step comes
/// every few seconds, and a new endpoint has to start first.
const SCALE_DOWN_DELAY: Duration = Duration::from_secs(60);
/// Endpoints are added only if the shortage is at least the baseline divided by this. Each endpoint
/// that joins or leaves changes which model others serve, and has to load each version.
const MIN_SHORTAGE_DIVISOR: u32 = 2;
/// Delay before the next request to a zone whose last request was declined or lost.
const RETRY_DELAY: Duration = Duration::from_secs(2);
/// Maximum time from the start of a requested endpoint until it is listed.
const MAX_LISTING_DELAY: Duration = Duration::from_secs(3);

/// The operator's limits and the properties of the service.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Settings {
    /// Maximum number of endpoints in a zone, regular and spot together.
    pub max_per_zone: u32,
    /// Time from a request until its endpoints serve.
    pub startup_time: Duration,
    /// Whether to request spot endpoints, which are cheaper and may be reclaimed at short notice.
    pub use_spot: bool,
}

/// An availability zone of the service, as the endpoint list shows it.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Zone {
    /// Price of an endpoint, relative to other zones.
    pub price: f64,
    /// Number of regular endpoints.
    pub regular: u32,
    /// Number of spot endpoints.
    pub spot: u32,
}

/// Request for a total number of endpoints of one kind in a zone.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Request {
    /// Name of the availability zone.
    pub zone: CompactString,
    /// Requested total of endpoints of that kind in the zone.
    pub count: u32,
    /// Whether spot endpoints are requested, instead of regular ones.
    pub spot: bool,
}

/// The last request for a zone.
#[derive(Clone, Copy, Debug)]
struct LastRequest {
    count: u32,
    requested_at: Time,
    /// No further request before this time, after one that failed.
    next_request_at: Time,
    /// Whether the request was declined or lost.
    failed: bool,
}

/// Decides which endpoints to request for one service.
#[derive(Clone, Debug, Default)]
pub struct Autoscaler {
    /// Number of regular endpoints of each zone at the start. Only additions to it are decided
    /// here.
    baseline: BTreeMap<CompactString, u32>,
    last_requests: BTreeMap<CompactString, LastRequest>,
    /// Shortages during the last [`SCALE_DOWN_DELAY`], with their times.
    recent_shortages: VecDeque<(Time, u32)>,
}

impl Autoscaler {
    /// Returns the requests that are due when `shortage` endpoints beyond the baseline are needed.
    /// The caller reports the result of each with [`Autoscaler::note_result`].
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
                // Regular endpoints that crashed are restarted and are not additions.
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

    /// Records whether the last request for a zone was carried out.
    pub fn note_result(&mut self, now: Time, zone: &str, succeeded: bool) {
        if let Some(last) = self.last_requests.get_mut(zone) {
            last.failed = !succeeded;
            if !succeeded {
                last.next_request_at = now + RETRY_DELAY;
            }
        }
    }

    /// Highest recent shortage, since the endpoints that were added reduce the present one.
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

    /// Distributes `additional` endpoints evenly over the zones, the remainder to the cheapest
    /// ones. A zone whose last request failed recently gets no more than it has.
    fn distribute(
        &self,
        now: Time,
        settings: Settings,
        additional: u32,
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
        let mut remaining = additional;
        while remaining > 0 {
            let mut placed = false;
            for (_, name, capacity) in &capacities {
                let assigned = distributed.entry(name.clone()).or_default();
                if remaining > 0 && *assigned < *capacity {
                    *assigned += 1;
                    remaining -= 1;
                    placed = true;
                }
            }
            if !placed {
                break;
            }
        }
        distributed
    }

    /// Number of endpoints of a zone beyond the baseline.
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
            // The zone may have taken the share of a zone that had no capacity for a while.
            return now.since(last.requested_at) >= SCALE_DOWN_DELAY;
        }
        // Requests again if the list does not show the requested endpoints in time.
        let has_settled = now.since(last.requested_at) >= settings.startup_time + MAX_LISTING_DELAY;
        has_settled && self.added(settings, name, zone) < target
    }
}
