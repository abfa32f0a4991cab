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
const SHRINK_AFTER: Duration = Duration::from_secs(60);
/// Endpoints are added if they are one of so many of the usual ones, or more: each that comes or goes changes which model others serve,
/// and loads each version.
const WORTH_AN_ORDER: u32 = 2;
/// After an order that was declined or lost its zone is asked again after so long.
const RETRY: Duration = Duration::from_secs(2);
/// Endpoints that were ordered are listed after their start, and so long after that at the latest.
const LISTED: Duration = Duration::from_secs(3);

/// What the operator allows and says.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Terms {
    /// Most endpoints in a zone, of both kinds together.
    pub most: u32,
    /// Time from an order until its endpoints serve.
    pub start: Duration,
    /// Whether there is a cheap kind, which may be taken away at short notice.
    pub spot: bool,
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
pub struct Order {
    /// The zone.
    pub zone: CompactString,
    /// Number of endpoints of that kind.
    pub count: u32,
    /// Whether of the cheap kind.
    pub spot: bool,
}

/// What was asked for in a zone.
#[derive(Clone, Copy, Debug)]
struct Asked {
    count: u32,
    at: Time,
    /// Not before then, after an order that brought nothing.
    not_before: Time,
    /// Whether the last order was declined or lost.
    failed: bool,
}

/// Decides about the orders of one service.
#[derive(Clone, Debug, Default)]
pub struct Sizer {
    /// Endpoints of the usual kind that each zone had when this began: only what is added is decided here.
    base: BTreeMap<CompactString, u32>,
    asked: BTreeMap<CompactString, Asked>,
    /// Numbers of endpoints that were lacking lately.
    lacking: VecDeque<(Time, u32)>,
}

impl Sizer {
    /// The orders that are due, with `lacking` endpoints more than the usual ones. Each is answered for with [`Sizer::answered`].
    pub fn due(
        &mut self,
        now: Time,
        terms: Terms,
        lacking: u32,
        zones: &BTreeMap<CompactString, Zone>,
    ) -> Vec<Order> {
        for (name, zone) in zones {
            let base = self.base.entry(name.clone()).or_insert(zone.regular);
            if terms.spot {
                // Those that crashed come back; none of them is an added one.
                *base = zone.regular.max(*base).min(terms.most);
            }
        }
        let lacking = self.note_lacking(now, lacking);
        let usual: u32 = self.base.values().sum();
        let is_worth_it = lacking.saturating_mul(WORTH_AN_ORDER) >= usual;
        let lacking = if is_worth_it { lacking } else { 0 };
        let extra = self.spread(now, terms, lacking, zones);
        let mut orders = Vec::new();
        for (name, zone) in zones {
            let target = extra.get(name).copied().unwrap_or_default();
            if self.is_due(now, terms, name, zone, target) {
                let base = self.base.get(name).copied().unwrap_or_default();
                orders.push(Order {
                    zone: name.clone(),
                    count: if terms.spot { target } else { base + target },
                    spot: terms.spot,
                });
                self.note_asked(now, name, target);
            }
        }
        orders
    }

    /// An order was carried out or not.
    pub fn answered(&mut self, now: Time, zone: &str, done: bool) {
        if let Some(asked) = self.asked.get_mut(zone) {
            asked.failed = !done;
            if !done {
                asked.not_before = now + RETRY;
            }
        }
    }

    /// The most that was lacking lately: those that were added are why less is lacking now.
    fn note_lacking(&mut self, now: Time, lacking: u32) -> u32 {
        self.lacking.push_back((now, lacking));
        self.lacking
            .retain(|(at, _)| now.since(*at) <= SHRINK_AFTER);
        let most = self.lacking.iter().map(|(_, lacking)| *lacking).max();
        most.unwrap_or(lacking)
    }

    fn note_asked(&mut self, now: Time, zone: &CompactString, count: u32) {
        let asked = Asked {
            count,
            at: now,
            not_before: now,
            failed: false,
        };
        self.asked.insert(zone.clone(), asked);
    }

    /// So many more endpoints, spread evenly over the zones; what is left over goes to the cheapest. A zone that has just declined
    /// counts with what it has.
    fn spread(
        &self,
        now: Time,
        terms: Terms,
        extra: u32,
        zones: &BTreeMap<CompactString, Zone>,
    ) -> BTreeMap<CompactString, u32> {
        let mut rooms: Vec<_> = zones
            .iter()
            .map(|(name, zone)| {
                let base = self.base.get(name).copied().unwrap_or_default();
                let most = terms.most.saturating_sub(base);
                let added = self.added(terms, name, zone);
                let declines = self
                    .asked
                    .get(name)
                    .is_some_and(|a| a.failed && now < a.not_before);
                let room = if declines { added.min(most) } else { most };
                (zone.price, name.clone(), room)
            })
            .collect();
        rooms.sort_by(|a, b| a.0.total_cmp(&b.0).then_with(|| a.1.cmp(&b.1)));
        let mut spread: BTreeMap<CompactString, u32> = BTreeMap::new();
        let mut left = extra;
        while left > 0 {
            let mut gave = false;
            for (_, name, room) in &rooms {
                let has = spread.entry(name.clone()).or_default();
                if left > 0 && *has < *room {
                    *has += 1;
                    left -= 1;
                    gave = true;
                }
            }
            if !gave {
                break;
            }
        }
        spread
    }

    /// Endpoints of a zone that were added here.
    fn added(&self, terms: Terms, name: &str, zone: &Zone) -> u32 {
        match terms.spot {
            true => zone.spot,
            false => zone
                .regular
                .saturating_sub(self.base.get(name).copied().unwrap_or_default()),
        }
    }

    fn is_due(
        &self,
        now: Time,
        terms: Terms,
        name: &CompactString,
        zone: &Zone,
        target: u32,
    ) -> bool {
        let Some(asked) = self.asked.get(name) else {
            return target > self.added(terms, name, zone);
        };
        if now < asked.not_before {
            return false;
        }
        if asked.failed || target > asked.count {
            return true;
        }
        if target < asked.count {
            // It took the part of a zone that had none for a while.
            return now.since(asked.at) >= SHRINK_AFTER;
        }
        // The list answers for what was ordered.
        let settled = now.since(asked.at) >= terms.start + LISTED;
        settled && self.added(terms, name, zone) < target
    }
}
