//! What goes up the tree: requests that crash endpoints, which go down as well, and counts of requests.

use super::{Bulletin, Frame, Topic};
use crate::hosted::{
    crashes::{CrashTracker, Source},
    usage::Usage,
};
use bytes::Bytes;
use pinereel_core::crash::Report;

impl Bulletin {
    /// Tells all neighbours what is news here about requests that crash endpoints. Whoever told it hears it
    /// again, and has nothing to pass on.
    pub(super) async fn tell_crashes(&self) {
        loop {
            let reports = self.parts.crashes.next_pending().await;
            if let Some(bytes) = Frame::Crashes(reports).encode() {
                let bytes = Bytes::from(bytes);
                self.send(&bytes);
                // Nobody hears it if there is no parent.
                let _ = self.up.send(bytes);
            }
            CrashTracker::delay_next_message().await;
        }
    }

    /// All that is known of requests that crash endpoints, for a new link; none if that is nothing.
    pub(super) fn known_crashes(&self) -> Option<Frame> {
        let reports = self.parts.crashes.reports();
        (!reports.is_empty()).then_some(Frame::Crashes(reports))
    }

    /// A neighbour tells of requests that crash endpoints.
    pub(super) fn hear_crashes(&self, reports: Vec<Report>) {
        self.parts.crashes.merge(Source::Peer, reports);
    }

    /// Tells the parent what is news here about counts of requests; as the root, tells the children its own.
    pub(super) async fn tell_usage(&self) {
        let usage = &self.parts.usage;
        loop {
            let mut reports = usage.untold().await;
            let leads = self.uplink.borrow().reads_store();
            if leads {
                reports.retain(|report| report.source == self.parts.duties.id());
            }
            let frame = Frame::Usage(reports).encode().map(Bytes::from);
            match frame {
                Some(bytes) if leads => self.send(&bytes),
                // Nobody hears it if there is no parent; the next one is told all.
                Some(bytes) => drop(self.up.send(bytes)),
                None => {}
            }
            Usage::gather().await;
        }
    }

    /// What a new parent is told first.
    pub(super) fn first_news(&self) -> Vec<Bytes> {
        let usage = self.parts.usage.all();
        let usage = (!usage.is_empty()).then_some(Frame::Usage(usage));
        let frames = self.known_crashes().into_iter().chain(usage);
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
