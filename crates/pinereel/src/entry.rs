//! Placeholder: the running daemon.

use crate::settings::Settings;

/// Why an entry ended.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The daemon is not part of this build yet.
    #[error("not built yet")]
    Missing,
}

/// Runs an entry until it is told to stop.
pub fn run(_settings: Settings) -> Result<(), Error> {
    Err(Error::Missing)
}
