//! The kinds of faults.

use crate::hosting::{engine, service};
use std::time::Duration;

/// One kind of fault.
#[derive(Clone, Copy, Debug)]
pub(super) enum Trouble {
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

/// All kinds, the more usual ones more than once.
pub(super) const TROUBLES: &[Trouble] = &[
    Trouble::Kill,
    Trouble::Kill,
    Trouble::Terminate,
    Trouble::Terminate,
    Trouble::Terminate,
    Trouble::Pause,
    Trouble::CutFromStore,
    Trouble::CutFromStore,
    Trouble::ResetStoreConnections,
    Trouble::DelayCallers,
    Trouble::ResetCallers,
    Trouble::BadSettings,
    Trouble::StoreDown,
    Trouble::StoreSlow,
    Trouble::StoreLoses,
    Trouble::StoreForgets,
    Trouble::EngineSlow,
    Trouble::EngineCuts,
    Trouble::EngineLateOrders,
    Trouble::EngineDark,
    Trouble::EngineLapses,
    Trouble::EngineLeaves,
    Trouble::ServiceLoses,
    Trouble::ServiceCuts,
    Trouble::ServiceSlow,
    Trouble::ServiceLeaves,
    Trouble::Configure,
];

/// What a plain service does wrong under a fault; none if it is another's.
pub(super) fn service_fault(trouble: Trouble) -> Option<service::Faults> {
    let none = service::Faults::default();
    match trouble {
        Trouble::ServiceLoses => Some(service::Faults {
            lose_every: 3,
            ..none
        }),
        Trouble::ServiceCuts => Some(service::Faults {
            cut_every: 3,
            ..none
        }),
        Trouble::ServiceSlow => Some(service::Faults {
            delay: Duration::from_millis(400),
            ..none
        }),
        _ => None,
    }
}

/// What an engine does wrong under a fault.
pub(super) fn engine_fault(trouble: Trouble) -> engine::Faults {
    let none = engine::Faults::default();
    match trouble {
        Trouble::EngineSlow => engine::Faults {
            slow_factor: 6,
            ..none
        },
        Trouble::EngineCuts => engine::Faults {
            cut_after: Some(3),
            ..none
        },
        _ => engine::Faults {
            late_orders: true,
            ..none
        },
    }
}
