//! The slots of an engine and the runs that occupy them.

use super::EngineKey;
use std::rc::Rc;

/// Counts the runs on one engine.
#[derive(Debug, Default)]
pub(super) struct Slots(Rc<()>);

/// A run on an engine; occupies a slot until it is dropped.
#[derive(Debug)]
#[must_use = "dropping it frees the slot"]
pub struct Run {
    engine: EngineKey,
    _slot: Rc<()>,
}

impl Slots {
    /// Occupies a slot of `engine`.
    pub(super) fn occupy(&self, engine: EngineKey) -> Run {
        Run {
            engine,
            _slot: Rc::clone(&self.0),
        }
    }

    /// Number of runs that exist.
    pub(super) fn occupied(&self) -> u32 {
        let runs = Rc::strong_count(&self.0) - 1;
        u32::try_from(runs).unwrap_or(u32::MAX)
    }
}

impl Run {
    /// The engine that it runs on.
    pub const fn engine(&self) -> EngineKey {
        self.engine
    }
}
