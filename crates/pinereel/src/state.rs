//! What filters and controllers share on the one thread of an entry.

use crate::{
    controllers::{
        claims::Claims, config::Config, crashes::Crashes, drain::Drain, endpoints::Endpoints,
        leases::Leases, lots::Lots, members::Members, queues::Queues, rollout::Rollout,
    },
    logging::{Decision, DecisionKind},
    metrics::Metrics,
    objects, peer,
    settings::Settings,
    upstream,
};
use compact_str::{CompactString, format_compact};
use pinereel_core::Time;
use std::{cell::Cell, rc::Rc};
use tokio::time::Instant;

/// The runtime's clock as the core's time. Tests pause and advance the runtime's clock.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    start: Instant,
}

impl Default for Clock {
    fn default() -> Self {
        Self::new()
    }
}

impl Clock {
    /// A clock that starts now.
    pub fn new() -> Self {
        Self {
            start: Instant::now(),
        }
    }

    /// Time since the start.
    pub fn now(&self) -> Time {
        Time::ZERO + self.start.elapsed()
    }
}

/// Everything that one entry's filters and controllers share.
pub struct Shared {
    /// What the process was told.
    pub settings: Settings,
    /// Changes with each start of the process.
    pub incarnation: u64,
    /// The runtime's clock.
    pub clock: Clock,
    /// What is measured.
    pub metrics: Metrics,
    /// The platform's object API.
    pub objects: objects::Client,
    /// HTTP towards endpoints.
    pub http: upstream::Client,
    /// Links to the other entries.
    pub mesh: peer::Mesh,
    /// The configuration in force here.
    pub config: Config,
    /// The entries.
    pub members: Members,
    /// The endpoints that this entry routes to.
    pub endpoints: Endpoints,
    /// Requests under which endpoints crash.
    pub crashes: Crashes,
    /// Lots: those submitted here, and the groups that run here.
    pub lots: Lots,
    /// Requests that wait for an endpoint.
    pub queues: Queues,
    /// Leases that this entry holds or looks after.
    pub leases: Leases,
    /// Weight rollouts.
    pub rollout: Rollout,
    /// Logs of idempotency claims that are open here.
    pub claims: Claims,
    /// The graceful stop.
    pub drain: Drain,
    /// Number of the next request.
    pub(crate) next: Cell<u64>,
}

impl Shared {
    /// Name of this entry.
    pub fn name(&self) -> &CompactString {
        &self.settings.entry.name
    }

    /// Availability zone of this entry.
    pub fn zone(&self) -> &CompactString {
        &self.settings.entry.zone
    }

    /// The time now.
    pub fn now(&self) -> Time {
        self.clock.now()
    }

    /// A request id that no other request of any entry has.
    pub fn request_id(&self) -> CompactString {
        let number = self.next.get();
        self.next.set(number + 1);
        format_compact!("{}-{:x}-{number}", self.name(), self.incarnation)
    }

    /// Logs a decision that has no cost to compare, and counts it.
    pub fn decide(&self, what: DecisionKind, request: &str, chosen: Option<&str>, reason: &str) {
        self.metrics.decide(what);
        if !self.settings.log.decisions {
            return;
        }
        Decision {
            entry: self.name(),
            request,
            kind: what,
            chosen,
            cost: None,
            reason,
            runners_up: &[],
            config: self.config.number(),
        }
        .emit();
    }
}

/// Spawns `task` on this thread; it ends with the entry.
pub fn spawn(shared: &Rc<Shared>, task: impl AsyncFnOnce(Rc<Shared>) + 'static) {
    let shared = Rc::clone(shared);
    actix_rt::spawn(async move { task(shared).await });
}
