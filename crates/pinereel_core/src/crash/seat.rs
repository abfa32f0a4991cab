//! Where a request in doubt may run.

use super::{Identity, LAST_CHANCE, RETRY_WINDOW, Register, Start};
use crate::Time;

impl Register {
    /// The endpoint, of those that are `open`, at which a request in doubt may run now; none if it must
    /// wait.
    ///
    /// All instances that know the same choose the same one, so that the request runs at one endpoint at a time.
    /// Requests that are in doubt together go to different ones as far as there are enough, and one that has a last
    /// chance shares its endpoint with no other in doubt: so a crash tells which of them was to blame.
    pub fn seat(&self, now: Time, identity: &Identity, open: &[Start]) -> Option<Start> {
        let mut seats: Vec<_> = open
            .iter()
            .filter(|start| !self.has_crashed(start))
            .collect();
        seats.sort();
        let count = seats.len();
        if count == 0 {
            return None;
        }
        let own = self.doubts(identity);
        let first = self.rank(identity, own) % count;
        let taken = self.last_chances(now, identity, own, count);
        let choices = if own >= LAST_CHANCE { 1 } else { count };
        let mut free = (0..choices).map(|next| (first + next) % count);
        free.find(|seat| !taken.contains(seat))
            .map(|seat| seats[seat].clone())
    }

    /// Place of a request among those with as much against them.
    fn rank(&self, identity: &Identity, doubts: usize) -> usize {
        let before = self.records.range(..identity);
        before
            .filter(|(other, _)| self.doubts(other) == doubts)
            .count()
    }

    /// Seats of requests that have a last chance, and that may just be using it, before this one.
    fn last_chances(&self, now: Time, identity: &Identity, own: usize, count: usize) -> Vec<usize> {
        let recent = self.records.iter().filter(|(other, record)| {
            let lately = now.since(record.crashed_at) < RETRY_WINDOW;
            let first = own < LAST_CHANCE || *other < identity;
            lately && first && *other != identity && self.doubts(other) == LAST_CHANCE
        });
        recent
            .map(|(other, _)| self.rank(other, LAST_CHANCE) % count)
            .collect()
    }
}
