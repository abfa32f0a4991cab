//! Order in which waiting scorings start.

use crate::Time;

/// Urgency of a waiting scoring; the lowest rank starts first.
///
/// The order of the fields is the order of comparison.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Rank {
    /// Whether the trainer has all the groups that it waits for, so that nobody waits for this
    /// scoring.
    pub step_satisfied: bool,
    /// When the lot was opened. All steps have the same time to their due time, so the oldest lot is
    /// due first.
    pub opened_at: Time,
    /// Number of items of its group that have no result yet, this one included. A group counts for
    /// the trainer only once all its items have results.
    pub unfinished_in_group: usize,
}

/// Position of the scoring that starts next; `None` if none waits. `ranks` are in the order of
/// arrival. On equal ranks, and if the order is not in force because no endpoint reports its load,
/// the first one that arrived starts.
pub fn next(ranks: impl IntoIterator<Item = Rank>, ordered: bool) -> Option<usize> {
    let mut ranks = ranks.into_iter().enumerate();
    if !ordered {
        return ranks.next().map(|(position, _)| position);
    }
    // `min_by_key` returns the first of several minima.
    ranks
        .min_by_key(|(_, rank)| *rank)
        .map(|(position, _)| position)
}
