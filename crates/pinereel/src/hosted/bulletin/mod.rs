//! One instance reads what all need, and tells the others.
//!
//! Every call to the object store is priced, a waiting watch as one, and its rates grow more slowly
//! than the fleet. So the holder of one duty follows the configuration, the endpoint list and the
//! leases, and passes each change on over a link to every other instance. An instance whose link
//! breaks or goes silent follows the store itself, from the revision that it knows, until the link
//! is back.
//!
//! Whoever starts looks at the leases once, finds the holder there, and is told all the rest.
//!
//! - [`Board`]: the holder's side.
//! - [`Feed`]: the side of all instances, the holder's own parts included.
//! - [`frame`]: what goes over a link.

mod board;
mod feed;
mod frame;

pub use board::Board;
pub use feed::{Fed, Feed};
pub use frame::{Frame, Topic};

use std::time::Duration;

/// The duty of the instance that reads for all.
pub const DUTY: &str = "bulletin";
/// Pause between two signs of life on a link.
const HEARTBEAT: Duration = Duration::from_millis(400);
/// A link that is silent for so long is given up: three signs of life are missing, well within the
/// two seconds in which a change must be in force.
const SILENCE: Duration = Duration::from_millis(1_200);
