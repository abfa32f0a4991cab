//! Endpoints as one entry sees them: state, load and what is known of each.
//!
//! A [`Set`] holds the entry's own bounded subset of the fleet (see [`subset`]). Events go in by
//! [`Set::step`], what changed comes out as values for the log. Every incarnation of an endpoint
//! has its own [`Key`], so a late event of an old incarnation can't touch the new one.

mod event;
mod index;
mod set;
mod state;
pub mod subset;

pub use event::{AttemptEnd, Change, ChangeKind, Event, LeavingSource, Listing};
pub use index::ServiceIndex;
pub use set::Set;
pub use state::{Endpoint, LoadReport, State};

slotmap::new_key_type! {
    /// One incarnation of one endpoint in a [`Set`].
    pub struct Key;
}
