//! The named combinations of policies that the experiment compares, and their baseline.

use pinereel_core::{lot, route};
use std::time::Duration;

/// When a trainer submits the lots of later steps.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Lookahead {
    /// Each lot when its step begins.
    None,
    /// The next step's lot when the trainer begins to train on the samples of the present step.
    Train,
    /// The lots of this many further steps when the trainer begins to collect the samples of the
    /// present step.
    Collect(u64),
}

/// A combination of policies for trainers, entries and the rollout.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Policy {
    /// Name on the command line and in tables.
    pub name: &'static str,
    /// Scheduling policy of the runners.
    pub lot: lot::Policy,
    /// Routing policy for live requests.
    pub route: route::Policy,
    /// When trainers submit lots ahead.
    pub lookahead: Lookahead,
    /// Whether weights are rolled out in waves instead of to all engines at once.
    pub rollout_in_waves: bool,
    /// Whether entries notify each other of a published version at once, and poll an engine more
    /// often while it serves an older one. Otherwise they learn both at their usual intervals.
    pub eager_propagation: bool,
    /// Whether live requests avoid the endpoints that the entry's runner considers slow.
    pub live_avoids_slow: bool,
    /// Whether groups that were moved to another runner stay there when the first runner is
    /// reachable again.
    pub sticky_groups: bool,
    /// Whether the trainers submit lots. Otherwise the engines have only the load of the live
    /// callers, and the trainers publish at their usual interval.
    pub run_trainers: bool,
}

impl Policy {
    /// The baseline: each policy is off, and the trainers run.
    pub const BASELINE: Self = Self {
        name: "baseline",
        lot: lot::Policy::BASELINE,
        route: route::Policy::BASELINE,
        lookahead: Lookahead::None,
        rollout_in_waves: false,
        eager_propagation: false,
        live_avoids_slow: false,
        sticky_groups: false,
        run_trainers: true,
    };

    /// Returns all policies, the baseline first.
    pub fn all() -> Vec<Self> {
        let baseline = Self::BASELINE;
        let lot_baseline = lot::Policy::BASELINE;
        let route_baseline = route::Policy::BASELINE;
        let with_lot = |name, lot| Self {
            name,
            lot,
            ..baseline
        };
        let with_route = |name, route| Self {
            name,
            route,
            ..baseline
        };
        let full_with = |name, change: fn(&mut Self)| {
            let mut policy = Self {
                name,
                ..Self::full()
            };
            change(&mut policy);
            policy
        };
        vec![
            baseline,
            with_lot(
                "long-first",
                lot::Policy {
                    longest_first: true,
                    ..lot_baseline
                },
            ),
            with_lot(
                "duplicates",
                lot::Policy {
                    speculative_attempts: true,
                    speculate_after: Duration::from_millis(200),
                    ..lot_baseline
                },
            ),
            with_lot(
                "resume",
                lot::Policy {
                    resume: true,
                    ..lot_baseline
                },
            ),
            with_lot(
                "early-abort",
                lot::Policy {
                    early_abort: true,
                    ..lot_baseline
                },
            ),
            with_lot(
                "fresh-start",
                lot::Policy {
                    staleness_aware_start: true,
                    ..lot_baseline
                },
            ),
            with_lot(
                "spread",
                lot::Policy {
                    hash_tie_break: true,
                    ..lot_baseline
                },
            ),
            with_lot(
                "fair",
                lot::Policy {
                    fair_share: true,
                    ..lot_baseline
                },
            ),
            with_lot(
                "wanted-first",
                lot::Policy {
                    requested_first: true,
                    prefetch_slots: 2,
                    ..lot_baseline
                },
            ),
            with_lot(
                "avoid-slow",
                lot::Policy {
                    avoid_slow: true,
                    resume: true,
                    ..lot_baseline
                },
            ),
            with_route(
                "affinity",
                route::Policy {
                    affinity: true,
                    ..route_baseline
                },
            ),
            with_route(
                "two-choices",
                route::Policy {
                    two_choices: true,
                    ..route_baseline
                },
            ),
            with_route(
                "reports",
                route::Policy {
                    load_reports: true,
                    ..route_baseline
                },
            ),
            with_route(
                "zone-local",
                route::Policy {
                    zone_local: true,
                    ..route_baseline
                },
            ),
            with_route(
                "slow-start",
                route::Policy {
                    slow_start: true,
                    ..route_baseline
                },
            ),
            Self {
                name: "waves",
                rollout_in_waves: true,
                ..baseline
            },
            Self {
                name: "eager",
                eager_propagation: true,
                ..baseline
            },
            Self {
                name: "ahead-train",
                lookahead: Lookahead::Train,
                ..baseline
            },
            Self {
                name: "ahead-collect",
                lookahead: Lookahead::Collect(1),
                ..baseline
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
                lookahead: Lookahead::None,
                ..Self::full()
            },
            Self {
                name: "full-waves",
                rollout_in_waves: true,
                ..Self::full()
            },
            full_with("full-no-shun-slow", |p| p.live_avoids_slow = false),
            full_with("full-no-sticky", |p| p.sticky_groups = false),
            full_with("full-no-avoid-slow", |p| p.lot.avoid_slow = false),
            full_with("full-no-spread", |p| p.lot.hash_tie_break = false),
            full_with("full-no-wanted-first", |p| p.lot.requested_first = false),
            full_with("full-ahead-2", |p| p.lookahead = Lookahead::Collect(2)),
            full_with("full-ahead-train", |p| p.lookahead = Lookahead::Train),
            full_with("full-no-ahead-slots", |p| p.lot.prefetch_slots = u32::MAX),
            full_with("full-no-eager", |p| p.eager_propagation = false),
            Self {
                name: "live-only",
                run_trainers: false,
                ..Self::full()
            },
        ]
    }

    /// Combines all policies that are worth their cost; rollout in waves and speculative attempts
    /// stay off.
    fn full() -> Self {
        Self {
            name: "full",
            lot: lot::Policy::default(),
            route: route::Policy::FULL,
            lookahead: Lookahead::Collect(1),
            rollout_in_waves: false,
            eager_propagation: true,
            live_avoids_slow: true,
            sticky_groups: true,
            run_trainers: true,
        }
    }

    /// Returns the policy with this name.
    pub fn find(name: &str) -> Option<Self> {
        Self::all().into_iter().find(|policy| policy.name == name)
    }
}
