//! News of requests that crash endpoints, which go up and down the tree.

use super::{Bulletin, Frame};
use crate::hosted::crashes::{Crashes, Source};
use bytes::Bytes;
use pinereel_core::crash::Report;

impl Bulletin {
    /// Tells all neighbours what is news here about requests that crash endpoints. Whoever told it hears it
    /// again, and has nothing to pass on.
    pub(super) async fn tell_crashes(&self) {
        loop {
            let reports = self.parts.crashes.untold().await;
            if let Some(bytes) = Frame::Crashes(reports).encode() {
                let bytes = Bytes::from(bytes);
                self.send(&bytes);
                // Nobody hears it if there is no parent.
                let _ = self.up.send(bytes);
            }
            Crashes::gather().await;
        }
    }

    /// All that is known of requests that crash endpoints, for a new link; none if that is nothing.
    pub(super) fn known_crashes(&self) -> Option<Frame> {
        let reports = self.parts.crashes.all();
        (!reports.is_empty()).then_some(Frame::Crashes(reports))
    }

    /// A neighbour tells of requests that crash endpoints.
    pub(super) fn hear_crashes(&self, reports: Vec<Report>) {
        self.parts.crashes.heard(Source::Link, reports);
    }
}
