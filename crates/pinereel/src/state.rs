//! State that filters and controllers share on the single thread of an entry.

use crate::{
    controllers::{
        claims::Claims, config::Config, crashes::Crashes, drain::Drain, endpoints::Endpoints,
        leases::Leases, lots::Lots, members::Members, queues::Queues, rollout::Rollout,
    },
    logging::{Decision, DecisionKind},
    metrics::Metrics,
    objects, peer,
    scheduling_delay::SchedulingDelay,
    settings::Settings,
    upstream,
};
use compact_str::{CompactString, format_compact};
use pinereel_core::Time;
use std::{cell::Cell, rc::Rc};
use tokio::time::Instant;

/// Monotonic clock of the runtime, in the core's time type. Tests pause and advance it.
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
    /// Creates a clock that starts now.
    pub fn new() -> Self {
        Self {
            start: Instant::now(),
        }
    }

    /// Current time, counted from the clock's start.
    pub fn now(&self) -> Time {
        Time::ZERO + self.start.elapsed()
    }
}

/// State that the filters and controllers of one entry share.
pub struct Shared {
    /// Settings of the process.
    pub settings: Settings,
    /// Changes with each start of the process.
    pub incarnation: u64,
    /// Source of the current time.
    pub clock: Clock,
    /// How late the tasks of this process run.
    pub scheduling_delay: Rc<SchedulingDelay>,
    /// Prometheus metrics.
    pub metrics: Metrics,
    /// Client of the platform's object API.
    pub objects: objects::Client,
    /// HTTP client for endpoints.
    pub http: upstream::Client,
    /// Links to the other entries.
    pub mesh: peer::Mesh,
    /// Configuration in force on this entry.
    pub config: Config,
    /// Membership: the known entries.
    pub members: Members,
    /// Endpoints to which this entry routes.
    pub endpoints: Endpoints,
    /// Reports of requests that crash endpoints.
    pub crashes: Crashes,
    /// Lots submitted to this entry, and groups of lots that run here.
    pub lots: Lots,
    /// Queues of requests that wait for admission.
    pub queues: Queues,
    /// Leases that this entry holds or tries to acquire.
    pub leases: Leases,
    /// Rollouts of new weights to engines.
    pub rollout: Rollout,
    /// Logs of idempotency claims that this entry owns.
    pub claims: Claims,
    /// Graceful shutdown.
    pub drain: Drain,
    /// Number for the id of the next request.
    pub(crate) next_request_number: Cell<u64>,
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

    /// Current time.
    pub fn now(&self) -> Time {
        self.clock.now()
    }

    /// Creates a request id that is unique among all entries.
    pub fn request_id(&self) -> CompactString {
        let number = self.next_request_number.get();
        self.next_request_number.set(number + 1);
        format_compact!("{}-{:x}-{number}", self.name(), self.incarnation)
    }

    /// Logs and counts a decision without costs of alternatives.
    pub fn log_decision(
        &self,
        kind: DecisionKind,
        request: &str,
        chosen: Option<&str>,
        reason: &str,
    ) {
        self.metrics.count_decision(kind);
        if !self.settings.log.decisions {
            return;
        }
        Decision {
            entry: self.name(),
            request,
            kind,
            chosen,
            cost: None,
            reason,
            runners_up: &[],
            config: self.config.number(),
        }
        .emit();
    }
}

/// Spawns `task` on the current thread; it is cancelled when the entry's runtime stops.
pub fn spawn(shared: &Rc<Shared>, task: impl AsyncFnOnce(Rc<Shared>) + 'static) {
    let shared = Rc::clone(shared);
    actix_rt::spawn(async move { task(shared).await });
}
