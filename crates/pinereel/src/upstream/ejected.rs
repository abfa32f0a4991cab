//! Probes of ejected endpoints, so that those that could not be reached are used again soon after their link
//! has recovered.

use compact_str::CompactString;
use futures_util::future::join_all;
use pinereel_core::{
    Time,
    endpoint::{Event, Set},
};
use std::cell::RefCell;
use tokio::{sync::Notify, time::sleep};

/// Most concurrent probes; further ones follow.
const MAX_CONCURRENT_PROBES: usize = 32;

/// Probes the ejected endpoints of `set` when that is due, and passes each result to `apply`. `ejected` is
/// notified when an endpoint is ejected; `reaches` opens a connection to an address. Never ends.
pub async fn probe_ejected(
    set: &RefCell<Set>,
    ejected: &Notify,
    now: impl Fn() -> Time,
    reaches: impl AsyncFn(CompactString) -> bool,
    apply: impl Fn(Event),
) {
    loop {
        let next_at = set.borrow().next_probe_at();
        match next_at {
            None => ejected.notified().await,
            Some(at) => tokio::select! {
                () = sleep(at.since(now())) => {}
                // Its probe may be due sooner.
                () = ejected.notified() => continue,
            },
        }
        let due: Vec<_> = {
            let set = set.borrow();
            let due = set.due_probes(now()).take(MAX_CONCURRENT_PROBES);
            due.map(|(key, endpoint)| (key, endpoint.address.clone()))
                .collect()
        };
        let probes = due.into_iter().map(async |(key, address)| {
            let reached = reaches(address).await;
            apply(Event::Probed { key, reached });
        });
        join_all(probes).await;
    }
}
