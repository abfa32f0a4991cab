//! What a call is for, and what it does.

/// What a call is for; calls are counted by it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Purpose {
    /// Configuration and patches.
    Config,
    /// Membership objects.
    Members,
    /// The platform's instance list.
    Instances,
    /// Newest weights.
    Weights,
    /// Leases.
    Leases,
    /// Idempotency claims.
    Claims,
    /// Lots and their results.
    Lots,
    /// Requests to empty an instance.
    Retirements,
    /// Sums of the requests of each workspace.
    Usage,
}

impl Purpose {
    /// Whether such a call has a caller that gives up soon: a trainer offers its lot for some
    /// seconds only.
    pub const fn is_urgent(self, access: Access) -> bool {
        matches!((self, access), (Self::Lots, Access::Write))
    }

    /// The purpose as a label.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Config => "config",
            Self::Members => "members",
            Self::Instances => "instances",
            Self::Weights => "weights",
            Self::Leases => "leases",
            Self::Claims => "claims",
            Self::Lots => "lots",
            Self::Retirements => "retirements",
            Self::Usage => "usage",
        }
    }
}

/// What a call does; the store's rates and prices differ by it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Access {
    /// A linearizable read or list.
    Read,
    /// A read that may be somewhat old, which looks whether the API is back. It goes out while the
    /// breaker is open, too: whoever makes it paces it.
    Probe,
    /// A waiting call.
    Watch,
    /// Any write.
    Write,
}

impl Access {
    /// The access as a label.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Read => "read",
            Self::Probe => "probe",
            Self::Watch => "watch",
            Self::Write => "write",
        }
    }
}
