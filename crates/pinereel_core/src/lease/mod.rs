//! Leases for control duties: at most one holder at a time, with a fencing token.
//!
//! A duty is a control task that one instance at a time performs for all. Each candidate runs a
//! [`Candidate`] state machine, which reads and conditionally writes one [`Lease`] object per duty.
//! Ask [`Candidate::fencing_token`] right before each action.
//!
//! The holder counts its time from before it sent its last write, a successor from after it first
//! read that write. So the holder stops first whatever the two clocks show, provided that they run at
//! the same rate within [`Timing::clock_margin`]. The fencing token covers a holder that is paused
//! between the check and the action.

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
