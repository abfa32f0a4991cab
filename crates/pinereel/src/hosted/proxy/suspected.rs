//! The way of a request under which endpoints have crashed.

use super::{Answer, Outcome, Proxy, RETRY_AFTER, RequestState, SelectedEndpoint};
use pinereel_core::{
    crash::{Placement, RequestStatus},
    retry::Attempts,
};
use std::time::Duration;
use tokio::time::sleep;

/// Why a request in doubt is refused unsent: its turn is too far off, or no endpoint is open to it.
const NO_ENDPOINT_FOR_SUSPECTED: &str = "endpoints have crashed under it";

/// What to do with a request that may be sent.
pub(super) enum Selection {
    /// Send it there.
    Endpoint(SelectedEndpoint),
    /// It waited for a moment: look again how it stands.
    Recheck,
    /// No endpoint takes it now: why, and when it should come back.
    Unavailable(&'static str, Duration),
}

impl Proxy {
    /// The next endpoint of a request in doubt.
    pub(super) async fn select_for_suspected(
        &self,
        state: &RequestState<'_>,
        status: RequestStatus,
    ) -> Selection {
        if let Some(left) = status.propagation_wait() {
            sleep(left).await;
            return Selection::Recheck;
        }
        let RequestState {
            request,
            started_at,
            ..
        } = state;
        let endpoints = &self.parts.endpoints;
        let open = endpoints.open(state.service);
        let starts: Vec<_> = open.iter().map(|(_, start)| start.clone()).collect();
        match self.parts.crashes.place(&request.identity(), &starts) {
            Placement::Endpoint(seat) => {
                let key = open.iter().find(|(_, start)| *start == seat);
                let key = key.map(|(key, _)| *key);
                let untried = key.filter(|key| !state.used_endpoints.contains(key));
                let selected = untried.and_then(|key| endpoints.select(key));
                selected.map_or(
                    Selection::Unavailable(NO_ENDPOINT_FOR_SUSPECTED, RETRY_AFTER),
                    Selection::Endpoint,
                )
            }
            Placement::Wait(wait) if started_at.elapsed() + wait < request.route.objective => {
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

/// How a request ends that must not run any more.
pub(super) fn blocked_outcome(attempts: &Attempts<Answer>, forgotten_in: Duration) -> Outcome {
    let reason = "endpoints crash under it".into();
    if attempts.may_have_run() {
        return Outcome::Unknown {
            reason,
            timed_out: false,
        };
    }
    Outcome::NotRun {
        reason,
        retry_after: forgotten_in,
    }
}
