//! The kinds of faults that the soak test injects.

use crate::hosting::{engine, service};
use std::time::Duration;

/// A kind of fault. The log of a failed seed contains the names of the variants.
#[derive(Clone, Copy, Debug)]
pub(super) enum FaultKind {
    /// Kills the process of an instance with SIGKILL, and starts it again after the fault's length.
    Kill,
    /// Shuts an instance down gracefully with SIGTERM, and starts it again after its exit.
    Terminate,
    /// Stops the process of an instance with SIGSTOP, and continues it after the fault's length.
    Pause,
    /// Drops all bytes between an instance and the store, or only those of the store's answers.
    CutFromStore,
    /// Resets the connections of an instance to the store.
    ResetStoreConnections,
    /// Delays the bytes between callers and an instance.
    DelayCallers,
    /// Resets the connections of callers to an instance.
    ResetCallers,
    /// Makes the settings file of an instance invalid.
    BadSettings,
    /// Makes the store answer all calls with status 503.
    StoreDown,
    /// Makes the store delay all calls.
    StoreSlow,
    /// Makes the store leave some writes unanswered.
    StoreLoses,
    /// Makes the store discard its history of changes.
    StoreForgets,
    /// Makes an engine take longer for each event.
    EngineSlow,
    /// Makes an engine abort each stream after some events.
    EngineCuts,
    /// Makes an engine carry out orders late and answer them later still.
    EngineLateOrders,
    /// Drops all bytes between the instances and an engine.
    EngineDark,
    /// Removes the entry of a running engine from the store for up to 1.5 s.
    EngineLapses,
    /// Adds an engine, and makes an old one announce that it leaves.
    EngineLeaves,
    /// Makes an endpoint of a plain service send every third answer far too late.
    ServiceLoses,
    /// Makes an endpoint of a plain service cut every third answer in half.
    ServiceCuts,
    /// Makes an endpoint of a plain service delay every answer.
    ServiceSlow,
    /// Adds an endpoint of a plain service, and makes an old one announce that it leaves.
    ServiceLeaves,
    /// Writes a configuration with other API keys, another timeout and a random service for the
    /// live route.
    Configure,
}

/// The kinds from which faults are drawn; the more frequent ones are listed more than once.
pub(super) const WEIGHTED_FAULT_KINDS: &[FaultKind] = &[
    FaultKind::Kill,
    FaultKind::Kill,
    FaultKind::Terminate,
    FaultKind::Terminate,
    FaultKind::Terminate,
    FaultKind::Pause,
    FaultKind::CutFromStore,
    FaultKind::CutFromStore,
    FaultKind::ResetStoreConnections,
    FaultKind::DelayCallers,
    FaultKind::ResetCallers,
    FaultKind::BadSettings,
    FaultKind::StoreDown,
    FaultKind::StoreSlow,
    FaultKind::StoreLoses,
    FaultKind::StoreForgets,
    FaultKind::EngineSlow,
    FaultKind::EngineCuts,
    FaultKind::EngineLateOrders,
    FaultKind::EngineDark,
    FaultKind::EngineLapses,
    FaultKind::EngineLeaves,
    FaultKind::ServiceLoses,
    FaultKind::ServiceCuts,
    FaultKind::ServiceSlow,
    FaultKind::ServiceLeaves,
    FaultKind::Configure,
];

/// Returns the faults that `kind` sets at an endpoint of a plain service; `None` if it sets
/// none there.
pub(super) fn service_faults(kind: FaultKind) -> Option<service::Faults> {
    let no_faults = service::Faults::default();
    match kind {
        FaultKind::ServiceLoses => Some(service::Faults {
            lose_every: 3,
            ..no_faults
        }),
        FaultKind::ServiceCuts => Some(service::Faults {
            cut_every: 3,
            ..no_faults
        }),
        FaultKind::ServiceSlow => Some(service::Faults {
            delay: Duration::from_millis(400),
            ..no_faults
        }),
        _ => None,
    }
}

/// Returns the faults that `kind` sets at an engine.
pub(super) fn engine_faults(kind: FaultKind) -> engine::Faults {
    let no_faults = engine::Faults::default();
    match kind {
        FaultKind::EngineSlow => engine::Faults {
            slow_factor: 6,
            ..no_faults
        },
        FaultKind::EngineCuts => engine::Faults {
            cut_after: Some(3),
            ..no_faults
        },
        _ => engine::Faults {
            late_orders: true,
            ..no_faults
        },
    }
}
