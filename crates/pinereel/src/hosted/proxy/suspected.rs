//! Routing of suspected requests: those under which endpoints have crashed.
//!
//! Such a request runs at one endpoint at a time, which `CrashTracker::place` chooses in the same
//! way at every instance.

use super::{Answer, Outcome, Proxy, RETRY_AFTER, RequestState, SelectedEndpoint};
use pinereel_core::{
    crash::{Placement, RequestStatus},
    retry::Attempts,
};
use std::time::Duration;
use tokio::time::sleep;

/// Refusal reason of a suspected request that was not sent: its time slice is too far off, or no
/// endpoint may take it.
const NO_ENDPOINT_FOR_SUSPECTED: &str = "endpoints have crashed under it";

/// Result of the endpoint selection for the next attempt.
pub(super) enum Selection {
    /// Send the request to this endpoint.
    Endpoint(SelectedEndpoint),
    /// Time has passed: check the request's status again.
    Recheck,
    /// No endpoint may take it now: the reason, and the delay after which to retry.
    Unavailable(&'static str, Duration),
}

impl Proxy {
    /// Selects the endpoint for a suspected request. Waits while the last crash is still being
    /// announced to other instances, and for the request's time slice if that begins within the
    /// latency objective.
    pub(super) async fn select_for_suspected(
        &self,
        state: &RequestState<'_>,
        status: RequestStatus,
    ) -> Selection {
        if let Some(remaining) = status.propagation_wait() {
            sleep(remaining).await;
            return Selection::Recheck;
        }
        let RequestState {
            request, started, ..
        } = state;
        let endpoints = &self.deps.endpoints;
        let open = endpoints.open_endpoints(state.service);
        let starts: Vec<_> = open.iter().map(|(_, start)| start.clone()).collect();
        match self.deps.crashes.place(&request.identity(), &starts) {
            Placement::Endpoint(chosen) => {
                let key = open.iter().find(|(_, start)| *start == chosen);
                let key = key.map(|(key, _)| *key);
                let untried = key.filter(|key| !state.used_endpoints.contains(key));
                let selected = untried.and_then(|key| endpoints.select(key));
                selected.map_or(
                    Selection::Unavailable(NO_ENDPOINT_FOR_SUSPECTED, RETRY_AFTER),
                    Selection::Endpoint,
                )
            }
            Placement::Wait(wait) if started.elapsed() + wait < request.route.latency_objective => {
                sleep(wait).await;
                Selection::Recheck
            }
            Placement::Wait(wait) => Selection::Unavailable(NO_ENDPOINT_FOR_SUSPECTED, wait),
            Placement::Unavailable => {
                Selection::Unavailable(NO_ENDPOINT_FOR_SUSPECTED, RETRY_AFTER)
            }
        }
    }
}

/// Outcome of a blocked request. If none of its attempts may have run, the caller may retry when
/// the record has expired, in `expires_in`.
pub(super) fn blocked_outcome(attempts: &Attempts<Answer>, expires_in: Duration) -> Outcome {
    let reason = "endpoints crash under it".into();
    if attempts.may_have_run() {
        return Outcome::Unknown {
            reason,
            timed_out: false,
        };
    }
    Outcome::NotRun {
        reason,
        retry_after: expires_in,
    }
}
