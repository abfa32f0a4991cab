//! Data structures whose memory is measured.

use super::{control, lots, routing};
use std::any::Any;

/// Builds the data structure `name` of size `count`, in the unit of that structure; `None` if the
/// name is unknown.
pub fn build(name: &str, count: usize) -> Option<Box<dyn Any>> {
    Some(match name {
        "endpoint_idle" => Box::new(routing::endpoint_set(count)),
        "endpoint_busy" => Box::new(routing::busy_endpoint_set(count)),
        "sample_held" => Box::new(lots::runner_with_finished_samples(count)),
        "claim_kept" => Box::new(control::log_with_claims(count)),
        _ => return None,
    })
}
