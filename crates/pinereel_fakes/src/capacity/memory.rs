//! What memory is measured of.

use super::{control, lots, routing};
use std::any::Any;

/// Things that take memory, by name.
pub fn build(name: &str, count: usize) -> Option<Box<dyn Any>> {
    Some(match name {
        "endpoint_idle" => Box::new(routing::set_of(count)),
        "endpoint_busy" => Box::new(routing::busy_set(count)),
        "sample_held" => Box::new(lots::finished(count)),
        "claim_kept" => Box::new(control::kept(count)),
        _ => return None,
    })
}
