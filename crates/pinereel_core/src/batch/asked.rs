//! How much work trainers have asked for lately.

use crate::Time;
use std::{collections::VecDeque, time::Duration};

/// What was asked within this time counts: three to four steps of a trainer that asks for one every
/// four seconds.
const WINDOW: Duration = Duration::from_secs(15);

/// The work asked for one model.
#[derive(Clone, Debug, Default)]
pub struct Asked {
    /// When, and how many tokens; oldest first.
    lots: VecDeque<(Time, u64)>,
}

impl Asked {
    /// A lot of about `tokens` was opened.
    pub fn add(&mut self, now: Time, tokens: u64) {
        self.lots.push_back((now, tokens));
        self.lots.retain(|(at, _)| now.since(*at) < WINDOW);
    }

    /// Tokens of a lot, on the mean of those opened lately; 0 if there are none. A step's lot comes
    /// at once, so that its size says more of the slots that it needs than its trainer's pace.
    pub fn mean(&self, now: Time) -> u64 {
        let lately = self.lots.iter().filter(|(at, _)| now.since(*at) < WINDOW);
        let tokens = lately.clone().map(|(_, tokens)| tokens).sum::<u64>();
        tokens
            .checked_div(lately.count() as u64)
            .unwrap_or_default()
    }
}
