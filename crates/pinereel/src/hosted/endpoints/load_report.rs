//! The load that endpoints report with their answers.

use super::Endpoints;
use compact_str::CompactString;
use pinereel_core::{
    crash::EndpointStart,
    endpoint::{Event, Key, LoadReport},
};
use pinereel_port::headers::Load;
use std::{cell::RefCell, collections::BTreeMap};

/// Endpoints that have sent an invalid slowdown, by id, with the incarnation that did. Each start of
/// an endpoint is logged once, since it repeats the same figure with each answer.
#[derive(Debug, Default)]
pub(super) struct MalformedSlowdowns(RefCell<BTreeMap<CompactString, u64>>);

impl Endpoints {
    /// Records the load that an endpoint reported with an answer.
    pub fn record_load(&self, key: Key, load: Load) {
        let report = LoadReport {
            at: self.deps.clock.now(),
            running: load.running,
            waiting: load.waiting,
            version: None,
            loading: None,
            leaving: false,
        };
        let incarnation = self.set.borrow().get(key).map(|e| e.incarnation);
        if let Some(incarnation) = incarnation {
            self.apply_event(Event::Reported {
                key,
                incarnation,
                report,
            });
            self.apply_event(Event::SlowdownReported {
                key,
                percent: load.slowdown_percent,
            });
        }
    }

    /// Logs that the slowdown that an endpoint reported was ignored; once for each start of an
    /// endpoint.
    pub fn log_malformed_slowdown(&self, start: &EndpointStart) {
        let mut logged = self.malformed_slowdowns.0.borrow_mut();
        if logged.get(&start.endpoint) == Some(&start.incarnation) {
            return;
        }
        let entries = self.entries.borrow();
        logged.retain(|id, _| entries.contains_key(id));
        logged.insert(start.endpoint.clone(), start.incarnation);
        let (endpoint, incarnation) = (start.endpoint.as_str(), start.incarnation);
        log::warn!(endpoint, incarnation; "endpoint reports an invalid slowdown, ignored");
        let metrics = &self.deps.metrics;
        metrics.count(&metrics.endpoint_entries, &["invalid_slowdown"]);
    }
}
