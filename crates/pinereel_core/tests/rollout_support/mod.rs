//! Helpers of the tests that share engines out to models.

use compact_str::format_compact;
use pinereel_core::rollout::Demand;

/// Demands of models that want `tokens` each, and have no items.
pub fn demands(tokens: &[u64]) -> Vec<Demand> {
    let demand = |(n, tokens): (usize, &u64)| Demand {
        model: format_compact!("model-{n}"),
        tokens: *tokens,
        items: 0,
        short: 0,
    };
    tokens.iter().enumerate().map(demand).collect()
}
