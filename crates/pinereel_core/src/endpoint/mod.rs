//! Endpoint state as seen by one entry, a proxy process that admits and routes requests.
//!
//! A [`Set`] holds the entry's bounded subset of the fleet (see [`subset`]). [`Set::step`] takes
//! events and returns the changes for the log. Each incarnation of an endpoint has its own [`Key`],
//! so a late event of an old incarnation cannot affect the new one.

mod event;
mod index;
mod reachability;
mod set;
pub mod speed;
mod state;
pub mod subset;

pub use event::{AttemptEnd, Change, ChangeKind, Event, LeavingSource, Listing};
pub use index::ServiceIndex;
pub use set::Set;
pub use state::{Endpoint, LoadReport, State};

slotmap::new_key_type! {
    /// Key of one incarnation of an endpoint in a [`Set`].
    pub struct Key;
}
