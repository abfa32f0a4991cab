//! How much work trainers have asked for lately.

use crate::Time;
use std::{collections::VecDeque, time::Duration};

/// What was asked within this time counts: three to four steps of a trainer that asks for one every
/// four seconds.
const WINDOW_LENGTH: Duration = Duration::from_secs(15);

/// What a model's lots need.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LotDemand {
    /// Tokens of a lot, as far as its trainer can tell.
    pub tokens: u64,
    /// Items of a lot that found no slot in time.
    pub unplaced_items: u64,
    /// Items of the largest lot.
    pub items: u64,
}

/// The work asked for one model.
#[derive(Clone, Debug, Default)]
pub struct DemandWindow {
    /// When a lot was opened, and its tokens; oldest first.
    lot_tokens: VecDeque<(Time, u64)>,
    /// When a lot was opened, and its items.
    lot_items: VecDeque<(Time, u64)>,
    /// When it was looked at again, and its items that had found no slot.
    unplaced: VecDeque<(Time, u64)>,
}

impl DemandWindow {
    /// A lot of so many `items` and about `tokens` was opened.
    pub fn record_lot(&mut self, now: Time, items: u64, tokens: u64) {
        push(&mut self.lot_items, now, items);
        push(&mut self.lot_tokens, now, tokens);
    }

    /// So many items of a lot found no slot in time.
    pub fn record_unplaced(&mut self, now: Time, items: u64) {
        push(&mut self.unplaced, now, items);
    }

    /// What a lot needs, by those opened lately; nothing if there are none. A step's lot comes
    /// at once, so that its size says more of the slots that it needs than its trainer's pace.
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
