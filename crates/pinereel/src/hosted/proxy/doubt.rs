//! The way of a request under which endpoints have crashed.

use super::{Answer, Course, Outcome, Proxy, RETRY_AFTER, SelectedEndpoint};
use pinereel_core::{
    crash::{Placement, RequestStatus},
    retry::Attempts,
};
use std::time::Duration;
use tokio::time::sleep;

/// Why a request in doubt is refused unsent: its turn is too far off, or no endpoint is open to it.
const IN_DOUBT: &str = "endpoints have crashed under it";

/// What to do with a request that may be sent.
pub(super) enum Next {
    /// Send it there.
    Send(SelectedEndpoint),
    /// It waited for a moment: look again how it stands.
    LookAgain,
    /// No endpoint takes it now: why, and when it should come back.
    Decline(&'static str, Duration),
}

impl Proxy {
    /// The next endpoint of a request in doubt.
    pub(super) async fn in_doubt(&self, course: &Course<'_>, standing: RequestStatus) -> Next {
        if let Some(left) = standing.propagation_wait() {
            sleep(left).await;
            return Next::LookAgain;
        }
        let Course { call, began, .. } = course;
        let endpoints = &self.parts.endpoints;
        let open = endpoints.open(course.service);
        let starts: Vec<_> = open.iter().map(|(_, start)| start.clone()).collect();
        match self.parts.crashes.place(&call.identity(), &starts) {
            Placement::Endpoint(seat) => {
                let key = open.iter().find(|(_, start)| *start == seat);
                let key = key.map(|(key, _)| *key);
                let untried = key.filter(|key| !course.used.contains(key));
                let picked = untried.and_then(|key| endpoints.select(key));
                picked.map_or(Next::Decline(IN_DOUBT, RETRY_AFTER), Next::Send)
            }
            Placement::Wait(wait) if began.elapsed() + wait < call.route.objective => {
                sleep(wait).await;
                Next::LookAgain
            }
            Placement::Wait(wait) => Next::Decline(IN_DOUBT, wait),
            Placement::Unavailable => Next::Decline(IN_DOUBT, RETRY_AFTER),
        }
    }
}

/// How a request ends that must not run any more.
pub(super) fn convicted(attempts: &Attempts<Answer>, forgotten_in: Duration) -> Outcome {
    let why = "endpoints crash under it".into();
    if attempts.may_have_run() {
        return Outcome::Unknown { why, late: false };
    }
    Outcome::NotRun {
        why,
        retry_after: forgotten_in,
    }
}
