//! Budgets for extra attempts: retries and hedges may add only a share to the work.

use crate::Time;

/// What fills a [`Bucket`], and how much it holds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Settings {
    /// Extra attempts for each success (0.1 allows one in ten).
    pub tokens_per_success: f64,
    /// Extra attempts a second that are always allowed, so that quiet times can retry too.
    pub tokens_per_second: f64,
    /// Most extra attempts saved up.
    pub burst: f64,
}

impl Settings {
    /// For retries after a failure that is known not to have run, or may run twice.
    pub const RETRY: Self = Self {
        tokens_per_success: 0.1,
        tokens_per_second: 1.0,
        burst: 20.0,
    };

    /// For duplicates of a slow request; tighter, since the first attempt still runs.
    pub const HEDGE: Self = Self {
        tokens_per_success: 0.02,
        tokens_per_second: 0.2,
        burst: 5.0,
    };
}

/// A token bucket of extra attempts.
///
/// Over any time it grants at most `burst + share x successes + min_rate x seconds`.
#[derive(Clone, Debug)]
pub struct Bucket {
    settings: Settings,
    tokens: f64,
    refilled_at: Time,
}

impl Bucket {
    /// A full bucket.
    pub const fn new(settings: Settings, now: Time) -> Self {
        Self {
            settings,
            tokens: settings.burst,
            refilled_at: now,
        }
    }

    /// A request got its whole answer.
    pub fn note_success(&mut self, now: Time) {
        self.refill(now);
        self.add(self.settings.tokens_per_success);
    }

    /// Takes one extra attempt; false if the budget is used up.
    pub fn try_take(&mut self, now: Time) -> bool {
        self.refill(now);
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }

    /// Extra attempts saved up.
    pub const fn tokens(&self) -> f64 {
        self.tokens
    }

    fn refill(&mut self, now: Time) {
        let elapsed = now.since(self.refilled_at).as_secs_f64();
        self.refilled_at = self.refilled_at.max(now);
        self.add(elapsed * self.settings.tokens_per_second);
    }

    fn add(&mut self, tokens: f64) {
        self.tokens = (self.tokens + tokens).min(self.settings.burst);
    }
}
