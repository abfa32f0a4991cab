//! The policies that are compared, by name.

use pinereel_core::{lot, route};
use std::time::Duration;

/// When a trainer submits its next step's lot.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ahead {
    /// When it needs it.
    None,
    /// When it begins to train on the present one.
    Train,
    /// When it begins to wait for the present one; so many steps ahead.
    Collect(u64),
}

/// Everything that differs between two runs of one scenario and seed.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Policy {
    /// Name in tables.
    pub name: &'static str,
    /// The runners' policy.
    pub lot: lot::Policy,
    /// Routing of live requests.
    pub route: route::Policy,
    /// Look-ahead.
    pub ahead: Ahead,
    /// Whether weights are rolled out in waves instead of on all engines at once.
    pub waves: bool,
    /// Whether entries tell each other of published versions at once, and read an engine more
    /// often while it serves an older one; else both wait for the next regular read.
    pub eager: bool,
    /// Whether live requests avoid the endpoints that the entry's runner finds slow.
    pub shun_slow: bool,
    /// Whether groups that moved to another runner stay there when theirs comes back.
    pub sticky: bool,
    /// Whether the trainers run; without them only live callers load the engines.
    pub bulk: bool,
}

impl Policy {
    /// The plain baseline.
    pub const BASELINE: Self = Self {
        name: "baseline",
        lot: lot::Policy::BASELINE,
        route: route::Policy::BASELINE,
        ahead: Ahead::None,
        waves: false,
        eager: false,
        shun_slow: false,
        sticky: false,
        bulk: true,
    };

    /// All policies, the baseline first.
    pub fn all() -> Vec<Self> {
        let base = Self::BASELINE;
        let lots = lot::Policy::BASELINE;
        let routes = route::Policy::BASELINE;
        let lot = |name, lot| Self { name, lot, ..base };
        let route = |name, route| Self {
            name,
            route,
            ..base
        };
        let full_without = |name, change: fn(&mut Self)| {
            let mut policy = Self {
                name,
                ..Self::full()
            };
            change(&mut policy);
            policy
        };
        vec![
            base,
            lot(
                "long-first",
                lot::Policy {
                    longest_first: true,
                    ..lots
                },
            ),
            lot(
                "duplicates",
                lot::Policy {
                    speculative_attempts: true,
                    speculate_after: Duration::from_millis(200),
                    ..lots
                },
            ),
            lot(
                "resume",
                lot::Policy {
                    resume: true,
                    ..lots
                },
            ),
            lot(
                "early-abort",
                lot::Policy {
                    early_abort: true,
                    ..lots
                },
            ),
            lot(
                "fresh-start",
                lot::Policy {
                    staleness_aware_start: true,
                    ..lots
                },
            ),
            lot(
                "spread",
                lot::Policy {
                    hash_tie_break: true,
                    ..lots
                },
            ),
            lot(
                "fair",
                lot::Policy {
                    fair_share: true,
                    ..lots
                },
            ),
            lot(
                "wanted-first",
                lot::Policy {
                    requested_first: true,
                    prefetch_slots: 2,
                    ..lots
                },
            ),
            lot(
                "avoid-slow",
                lot::Policy {
                    avoid_slow: true,
                    resume: true,
                    ..lots
                },
            ),
            route(
                "affinity",
                route::Policy {
                    affinity: true,
                    ..routes
                },
            ),
            route(
                "two-choices",
                route::Policy {
                    two_choices: true,
                    ..routes
                },
            ),
            route(
                "reports",
                route::Policy {
                    load_reports: true,
                    ..routes
                },
            ),
            route(
                "zone-local",
                route::Policy {
                    zone_local: true,
                    ..routes
                },
            ),
            route(
                "slow-start",
                route::Policy {
                    slow_start: true,
                    ..routes
                },
            ),
            Self {
                name: "waves",
                waves: true,
                ..base
            },
            Self {
                name: "eager",
                eager: true,
                ..base
            },
            Self {
                name: "ahead-train",
                ahead: Ahead::Train,
                ..base
            },
            Self {
                name: "ahead-collect",
                ahead: Ahead::Collect(1),
                ..base
            },
            Self {
                name: "full",
                ..Self::full()
            },
            Self {
                name: "full-dups",
                lot: lot::Policy {
                    speculative_attempts: true,
                    ..lot::Policy::default()
                },
                ..Self::full()
            },
            Self {
                name: "full-no-ahead",
                ahead: Ahead::None,
                ..Self::full()
            },
            Self {
                name: "full-waves",
                waves: true,
                ..Self::full()
            },
            full_without("full-no-shun-slow", |p| p.shun_slow = false),
            full_without("full-no-sticky", |p| p.sticky = false),
            full_without("full-no-avoid-slow", |p| p.lot.avoid_slow = false),
            full_without("full-no-spread", |p| p.lot.hash_tie_break = false),
            full_without("full-no-wanted-first", |p| p.lot.requested_first = false),
            full_without("full-ahead-2", |p| p.ahead = Ahead::Collect(2)),
            full_without("full-ahead-train", |p| p.ahead = Ahead::Train),
            full_without("full-no-ahead-slots", |p| p.lot.prefetch_slots = u32::MAX),
            full_without("full-no-eager", |p| p.eager = false),
            Self {
                name: "live-only",
                bulk: false,
                ..Self::full()
            },
        ]
    }

    /// Everything on that pays.
    fn full() -> Self {
        Self {
            name: "full",
            lot: lot::Policy::default(),
            route: route::Policy::FULL,
            ahead: Ahead::Collect(1),
            waves: false,
            eager: true,
            shun_slow: true,
            sticky: true,
            bulk: true,
        }
    }

    /// The policy of this name.
    pub fn find(name: &str) -> Option<Self> {
        Self::all().into_iter().find(|policy| policy.name == name)
    }
}
