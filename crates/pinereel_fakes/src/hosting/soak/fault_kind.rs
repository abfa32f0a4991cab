//! The kinds of faults that the soak test injects.

use crate::hosting::{engine, service};
use std::time::Duration;

/// A kind of fault. The log of a failed seed contains the names of the variants.
#[derive(Clone, Copy, Debug)]
pub(super) enum FaultKind {
    Kill,
    Terminate,
    Pause,
    CutFromStore,
    ResetStoreConnections,
    DelayCallers,
    ResetCallers,
    BadSettings,
    StoreDown,
    StoreSlow,
    StoreLoses,
    StoreForgets,
    EngineSlow,
    EngineCuts,
    EngineLateOrders,
    EngineDark,
    EngineLapses,
    EngineLeaves,
    ServiceLoses,
    ServiceCuts,
    ServiceSlow,
    ServiceLeaves,
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
