//! Leases for control duties: one holder at a time, with a fencing token.
//!
//! The holder counts its time from before it sent its last write; a taker counts from after it
//! first read that write. So the holder stops first whatever each one's clock reads, provided the
//! clocks run at the same rate within the margin. Whoever is paused between asking
//! [`Candidate::acts`] and acting is caught by the fencing token.

mod candidate;
mod cooldown;
mod message;
mod poll;
mod rank;

pub use candidate::Candidate;
pub use cooldown::{Cooldown, RemainingCooldown};
pub use message::{Action, Event, Lease, Timing};
pub use poll::{PollSchedule, PolledLease};
pub use rank::{Rank, unranked_takeover_delay};
