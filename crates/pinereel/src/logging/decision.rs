//! Log lines for decisions such as routing and placement, each with reason, cost and alternatives.

use log::Log;
use serde::Serialize;

/// Log target of decision lines, which sets them apart from ordinary ones.
pub const DECISION_TARGET: &str = "decision";

/// Kind of a decision; its name is the message of the log line and a label in metrics.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum DecisionKind {
    /// Whether a request is admitted, and whether it is queued.
    Admit,
    /// Which endpoint receives a request.
    Route,
    /// Whether a request is retried, and on which endpoint.
    Retry,
    /// Which entry runs a group of a lot.
    Place,
    /// Whether a sample is generated again.
    Redo,
    /// Whether an endpoint is ejected from load balancing.
    Eject,
    /// Which weight version an endpoint is told to load.
    Load,
    /// Who holds a lease.
    Lease,
}

impl DecisionKind {
    /// Name in log lines and metric labels.
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

/// Candidate that was considered and not chosen.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct RunnerUp<'a> {
    /// Name of the candidate.
    pub name: &'a str,
    /// Cost of the candidate, in the unit of the decision; lower is better.
    pub cost: f64,
    /// Why the candidate was not chosen.
    pub reason: &'a str,
}

/// Decision with the fields of its log line.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Decision<'a> {
    /// Name of the entry that decided.
    pub entry: &'a str,
    /// Id of the request, lot or object that the decision is about.
    pub request: &'a str,
    /// Kind of the decision.
    pub kind: DecisionKind,
    /// Name of the chosen candidate; `None` if none was chosen.
    pub chosen: Option<&'a str>,
    /// Cost of the chosen candidate, in the unit of the decision; `None` if it has no cost.
    pub cost: Option<f64>,
    /// Reason for the decision.
    pub reason: &'a str,
    /// Candidates that were considered and not chosen.
    pub runners_up: &'a [RunnerUp<'a>],
    /// Number of the configuration that was in force.
    pub config: u64,
}

impl Decision<'_> {
    /// Logs the decision with the process-wide logger.
    pub fn emit(&self) {
        self.emit_to(log::logger());
    }

    /// Logs the decision with `logger`.
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
