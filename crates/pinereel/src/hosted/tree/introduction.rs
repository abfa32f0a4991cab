//! Introductions of a root to the seeds, so that instances which the store does not answer find it.

use super::{Frame, LINK_OPEN_TIMEOUT, Node, parent_search::open_link};
use compact_str::CompactString;
use futures_util::{SinkExt as _, future::join_all};
use pinereel_core::tree::{INTRODUCTION_INTERVAL, LATE_CALL_TIME};
use tokio::time::{sleep, timeout};
use tokio_tungstenite::tungstenite::Message;

impl Node {
    /// Introduces this instance to the seeds while it is a root with fresh data. Never ends.
    pub(super) async fn introduce_root(&self) {
        loop {
            if self.uplink.borrow().reads_store() && self.is_fresh() {
                let seeds = {
                    let state = self.state.borrow();
                    let children = state.children.addresses();
                    self.seeds.borrow().to_introduce(children)
                };
                let introductions = seeds.iter().map(|seed| self.introduce_to(seed));
                join_all(introductions.map(|sent| timeout(LINK_OPEN_TIMEOUT, sent))).await;
            }
            sleep(INTRODUCTION_INTERVAL).await;
        }
    }

    /// Sends an introduction. A seed that is not reached gets the next one.
    async fn introduce_to(&self, seed: &CompactString) -> Option<()> {
        let introduction = Frame::Introduction(self.deps.peer.address.clone()).encode()?;
        let mut socket = open_link(seed).await?;
        let message = Message::Binary(introduction.into());
        socket.send(message).await.ok()?;
        socket.close(None).await.ok()
    }

    /// Handles the introduction of a root.
    pub(super) fn on_introduction(&self, root: CompactString) {
        log::debug!(address = root.as_str(); "broadcast tree: a root has introduced itself");
        let mut seeds = self.seeds.borrow_mut();
        seeds.on_introduction(self.now(), root);
        self.introduced.notify_waiters();
    }

    /// Addresses to try for a parent, in this order. The seeds are tried only while the store does not answer
    /// this instance: it names the root otherwise.
    pub(super) fn search_targets(&self) -> Vec<CompactString> {
        let mut targets = self.link_targets();
        if self.deps.store.lacks_answers(LATE_CALL_TIME) {
            for seed in self.seeds.borrow().targets(self.now()) {
                if !targets.contains(seed) {
                    targets.push(seed.clone());
                }
            }
        }
        targets
    }
}
