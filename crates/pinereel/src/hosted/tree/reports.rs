//! Reports that instances exchange over the tree: crash reports, in both directions, and usage reports
//! (counts of requests), up the tree.

use super::{Frame, Node, Topic};
use crate::hosted::{
    crashes::{CrashTracker, Source},
    usage::Meter,
};
use bytes::Bytes;
use pinereel_core::crash::Report;

impl Node {
    /// Sends new crash reports to the parent and all children. The sender of a report receives
    /// it again, but does not forward what it has already.
    pub(super) async fn send_crash_reports(&self) {
        loop {
            let reports = self.deps.crashes.next_pending().await;
            if let Some(bytes) = Frame::Crashes(reports).encode() {
                let bytes = Bytes::from(bytes);
                self.broadcast_encoded(&bytes);
                // Dropped if there is no parent.
                let _ = self.to_parent.send(bytes);
            }
            CrashTracker::delay_next_message().await;
        }
    }

    /// All crash reports, for a new link; `None` if there are none.
    pub(super) fn crash_snapshot(&self) -> Option<Frame> {
        let reports = self.deps.crashes.reports();
        (!reports.is_empty()).then_some(Frame::Crashes(reports))
    }

    /// Handles crash reports of the parent or a child.
    pub(super) fn on_crash_reports(&self, reports: Vec<Report>) {
        self.deps.crashes.merge(Source::Peer, reports);
    }

    /// Sends new usage reports to the parent. A root sends its own to the children instead.
    pub(super) async fn send_usage_reports(&self) {
        let usage = &self.deps.usage;
        loop {
            let mut reports = usage.next_unsent().await;
            let is_root = self.uplink.borrow().reads_store();
            if is_root {
                reports.retain(|report| report.source == self.deps.duties.id());
            }
            let frame = Frame::Usage(reports).encode().map(Bytes::from);
            match frame {
                Some(bytes) if is_root => self.broadcast_encoded(&bytes),
                // Dropped if there is no parent; a new one receives all reports.
                Some(bytes) => drop(self.to_parent.send(bytes)),
                None => {}
            }
            Meter::wait_between_sends().await;
        }
    }

    /// What a new parent is sent first: all reports, and the subscriptions.
    pub(super) fn initial_frames(&self) -> Vec<Bytes> {
        let usage = self.deps.usage.all_reports();
        let usage = (!usage.is_empty()).then_some(Frame::Usage(usage));
        let frames = self.crash_snapshot().into_iter().chain(usage);
        // Includes subscriptions that were made while the link was set up.
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
