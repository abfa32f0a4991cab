//! What goes up the tree: requests that crash endpoints, which go down as well, and counts of requests.

use super::{Frame, Node, Topic};
use crate::hosted::{
    crashes::{Crashes, Source},
    usage::Usage,
};
use bytes::Bytes;
use pinereel_core::crash::Report;

impl Node {
    /// Tells all neighbours what is news here about requests that crash endpoints. Whoever told it hears it
    /// again, and has nothing to pass on.
    pub(super) async fn send_crash_reports(&self) {
        loop {
            let reports = self.parts.crashes.untold().await;
            if let Some(bytes) = Frame::Crashes(reports).encode() {
                let bytes = Bytes::from(bytes);
                self.broadcast_encoded(&bytes);
                // Nobody hears it if there is no parent.
                let _ = self.to_parent.send(bytes);
            }
            Crashes::gather().await;
        }
    }

    /// All that is known of requests that crash endpoints, for a new link; none if that is nothing.
    pub(super) fn crash_snapshot(&self) -> Option<Frame> {
        let reports = self.parts.crashes.all();
        (!reports.is_empty()).then_some(Frame::Crashes(reports))
    }

    /// A neighbour tells of requests that crash endpoints.
    pub(super) fn on_crash_reports(&self, reports: Vec<Report>) {
        self.parts.crashes.heard(Source::Link, reports);
    }

    /// Tells the parent what is news here about counts of requests; as the root, tells the children its own.
    pub(super) async fn send_usage_reports(&self) {
        let usage = &self.parts.usage;
        loop {
            let mut reports = usage.untold().await;
            let is_root = self.uplink.borrow().reads_store();
            if is_root {
                reports.retain(|report| report.source == self.parts.duties.id());
            }
            let frame = Frame::Usage(reports).encode().map(Bytes::from);
            match frame {
                Some(bytes) if is_root => self.broadcast_encoded(&bytes),
                // Nobody hears it if there is no parent; the next one is told all.
                Some(bytes) => drop(self.to_parent.send(bytes)),
                None => {}
            }
            Usage::gather().await;
        }
    }

    /// What a new parent is told first.
    pub(super) fn initial_frames(&self) -> Vec<Bytes> {
        let usage = self.parts.usage.all();
        let usage = (!usage.is_empty()).then_some(Frame::Usage(usage));
        let frames = self.crash_snapshot().into_iter().chain(usage);
        // What began to be wanted while the link was set up.
        let subscriptions = self.subscriptions().into_iter();
        let subscriptions = subscriptions.filter(|(topic, _)| !Topic::BASE.contains(topic));
        let subscriptions =
            subscriptions.map(|(topic, revision)| Frame::Subscribe { topic, revision });
        let frames = frames.chain(subscriptions);
        frames
            .filter_map(|frame| frame.encode())
            .map(Bytes::from)
            .collect()
    }
}
