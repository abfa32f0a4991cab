//! A line for each routing and placement decision.

use log::Log;
use serde::Serialize;

/// Target of decision lines, to tell them from ordinary ones.
pub const DECISION_TARGET: &str = "decision";

/// What was decided.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum DecisionKind {
    /// Whether a request is taken, and if it waits.
    Admit,
    /// Which endpoint a request goes to.
    Route,
    /// Whether, and to which endpoint, a request is sent again.
    Retry,
    /// Which entry runs a group of a lot.
    Place,
    /// Whether a sample is made again.
    Redo,
    /// Whether an endpoint may receive work.
    Eject,
    /// Which version an endpoint is told to load.
    Load,
    /// Who holds a lease.
    Lease,
}

impl DecisionKind {
    /// The name in logs and metrics.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Admit => "admit",
            Self::Route => "route",
            Self::Retry => "retry",
            Self::Place => "place",
            Self::Redo => "redo",
            Self::Eject => "eject",
            Self::Load => "load",
            Self::Lease => "lease",
        }
    }
}

/// One that was considered and not chosen.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct RunnerUp<'a> {
    /// Its name.
    pub name: &'a str,
    /// Its cost, in the unit of the decision; the lower the better.
    pub cost: f64,
    /// Why it was not chosen.
    pub reason: &'a str,
}

/// One decision, as it is logged.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Decision<'a> {
    /// Name of the entry that decided.
    pub entry: &'a str,
    /// Id of the request, lot or object that the decision is about.
    pub request: &'a str,
    /// What was decided.
    pub kind: DecisionKind,
    /// The one chosen; absent if none was.
    pub chosen: Option<&'a str>,
    /// Cost of the one chosen, in the unit of the decision; absent where there is none.
    pub cost: Option<f64>,
    /// Why.
    pub reason: &'a str,
    /// Those considered and not chosen.
    pub runners_up: &'a [RunnerUp<'a>],
    /// Number of the configuration that it was decided under.
    pub config: u64,
}

impl Decision<'_> {
    /// Logs the decision.
    pub fn emit(&self) {
        self.emit_to(log::logger());
    }

    /// Logs the decision by `logger`.
    pub fn emit_to(&self, logger: &dyn Log) {
        log::info!(
            logger: logger,
            target: DECISION_TARGET,
            entry = self.entry,
            request = self.request,
            chosen:serde = self.chosen,
            cost:serde = self.cost,
            reason = self.reason,
            runners_up:serde = self.runners_up,
            config = self.config;
            "{}", self.kind.as_str()
        );
    }
}
