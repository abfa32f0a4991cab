//! Classification of calls by purpose and by kind of access.

/// Purpose of a call, by which calls are counted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Purpose {
    /// Configuration and patches to it.
    Config,
    /// Membership objects.
    Members,
    /// The platform's instance list.
    Instances,
    /// Newest published weights.
    Weights,
    /// Leases for control duties.
    Leases,
    /// Idempotency claims.
    Claims,
    /// Lots and their results.
    Lots,
    /// Requests to drain an instance before it is retired.
    Retirements,
    /// Request totals of each workspace.
    Usage,
}

impl Purpose {
    /// Whether the call has a caller that gives up soon: a trainer resubmits its lot for a few
    /// seconds only.
    pub const fn is_urgent(self, access: Access) -> bool {
        matches!((self, access), (Self::Lots, Access::Write))
    }

    /// Whether a call for this purpose may be sent through other instances. The configuration holds
    /// keys and must not; the broadcast tree delivers it and the instance list anyway.
    pub const fn may_be_relayed(self) -> bool {
        matches!(
            self,
            Self::Lots | Self::Leases | Self::Weights | Self::Usage | Self::Retirements
        )
    }

    /// The purpose with a label; `None` if there is none.
    pub fn from_label(label: &str) -> Option<Self> {
        let all = [
            Self::Config,
            Self::Members,
            Self::Instances,
            Self::Weights,
            Self::Leases,
            Self::Claims,
            Self::Lots,
            Self::Retirements,
            Self::Usage,
        ];
        all.into_iter().find(|purpose| purpose.as_str() == label)
    }

    /// Label of the purpose in metrics and logs.
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

/// Kind of access of a call, by which the store's rate limits and prices differ.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Access {
    /// Linearizable read or list.
    Read,
    /// Possibly stale read that checks whether the API has recovered. It is sent even while the
    /// breaker is open: its caller limits its rate.
    Probe,
    /// Long poll for changes.
    Watch,
    /// Any write.
    Write,
}

impl Access {
    /// The kind of access with a label; `None` if there is none.
    pub fn from_label(label: &str) -> Option<Self> {
        let all = [Self::Read, Self::Probe, Self::Watch, Self::Write];
        all.into_iter().find(|access| access.as_str() == label)
    }

    /// Label of the access in metrics and logs.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Read => "read",
            Self::Probe => "probe",
            Self::Watch => "watch",
            Self::Write => "write",
        }
    }
}
