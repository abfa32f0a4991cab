//! Recent demand of a model's lots, over a sliding window.
//!
//! The instance that runs a model's lots records each of them here and publishes the result, by
//! which endpoints are scaled and assigned.

use crate::Time;
use std::{collections::VecDeque, time::Duration};

/// Age at which a record no longer counts. Covers three to four steps of a trainer that submits one
/// lot every four seconds.
const WINDOW_LENGTH: Duration = Duration::from_secs(15);

/// Demand of one model's lots within the window; all zero if there were none.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LotDemand {
    /// Mean number of output tokens of a lot, by its length hints.
    pub tokens: u64,
    /// Mean number of items of a lot that were still queued at the check after it was opened.
    pub unplaced_items: u64,
    /// Number of items of the largest lot.
    pub items: u64,
}

/// Sliding window over the lots of one model.
#[derive(Clone, Debug, Default)]
pub struct DemandWindow {
    /// Time at which each lot was opened, and its estimated tokens; oldest first.
    lot_tokens: VecDeque<(Time, u64)>,
    /// Time at which each lot was opened, and its number of items.
    lot_items: VecDeque<(Time, u64)>,
    /// Time at which each lot was checked, and its number of items that were still queued.
    unplaced: VecDeque<(Time, u64)>,
}

impl DemandWindow {
    /// Records a lot of `items` items and an estimated `tokens` output tokens when it is opened.
    pub fn record_lot(&mut self, now: Time, items: u64, tokens: u64) {
        push(&mut self.lot_items, now, items);
        push(&mut self.lot_tokens, now, tokens);
    }

    /// Records that `items` items of a lot were still queued when it was checked.
    pub fn record_unplaced(&mut self, now: Time, items: u64) {
        push(&mut self.unplaced, now, items);
    }

    /// Demand within the window before `now`. A trainer submits all items of a step together, so the
    /// size of a lot predicts the slots that it needs better than the rate of its trainer does.
    pub fn demand(&self, now: Time) -> LotDemand {
        LotDemand {
            tokens: mean(&self.lot_tokens, now),
            unplaced_items: mean(&self.unplaced, now),
            items: largest(&self.lot_items, now),
        }
    }
}

fn push(samples: &mut VecDeque<(Time, u64)>, now: Time, value: u64) {
    samples.push_back((now, value));
    samples.retain(|(at, _)| now.since(*at) < WINDOW_LENGTH);
}

fn recent(samples: &VecDeque<(Time, u64)>, now: Time) -> impl Iterator<Item = u64> + Clone {
    let recent = samples
        .iter()
        .filter(move |(at, _)| now.since(*at) < WINDOW_LENGTH);
    recent.map(|(_, value)| *value)
}

fn mean(samples: &VecDeque<(Time, u64)>, now: Time) -> u64 {
    let recent = recent(samples, now);
    let sum = recent.clone().sum::<u64>();
    sum.checked_div(recent.count() as u64).unwrap_or_default()
}

fn largest(samples: &VecDeque<(Time, u64)>, now: Time) -> u64 {
    recent(samples, now).max().unwrap_or_default()
}
