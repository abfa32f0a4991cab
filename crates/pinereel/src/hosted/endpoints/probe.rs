//! Probes of ejected endpoints, so that those that could not be reached are used again soon after their link
//! has recovered.

use super::Endpoints;
use compact_str::CompactString;
use futures_util::future::join_all;
use pinereel_core::endpoint::{Event, Key};
use tokio::time::sleep;

/// Most concurrent probes; further ones follow.
const MAX_CONCURRENT_PROBES: usize = 32;

impl Endpoints {
    /// Probes ejected endpoints when that is due. Never ends.
    pub(super) async fn probe_ejected(&self) {
        loop {
            let next_at = self.set.borrow().next_probe_at();
            match next_at {
                None => self.ejected.notified().await,
                Some(at) => {
                    let wait = at.since(self.deps.clock.now());
                    tokio::select! {
                        () = sleep(wait) => {}
                        // Its probe may be due sooner.
                        () = self.ejected.notified() => continue,
                    }
                }
            }
            join_all(self.due_probes().into_iter().map(|due| self.probe(due))).await;
        }
    }

    fn due_probes(&self) -> Vec<(Key, CompactString)> {
        let set = self.set.borrow();
        let due = set.due_probes(self.deps.clock.now());
        let due = due.map(|(key, endpoint)| (key, endpoint.address.clone()));
        due.take(MAX_CONCURRENT_PROBES).collect()
    }

    async fn probe(&self, (key, address): (Key, CompactString)) {
        let reached = match address.parse() {
            Ok(address) => self.deps.pool.reaches(address).await,
            Err(_) => false,
        };
        let metrics = &self.deps.metrics;
        let outcome = if reached { "reached" } else { "unreachable" };
        metrics.count(&metrics.endpoint_probes, &[outcome]);
        self.apply_event(Event::Probed { key, reached });
    }
}
