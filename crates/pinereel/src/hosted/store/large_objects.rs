//! Bounds on objects, which other writers may add to any kind, of up to a megabyte each.

use crate::objects::Purpose;

/// Maximum memory of a decoded entry of the endpoint list, version or retirement request, in bytes.
const MAX_ENTRY_BYTES: usize = 128 << 10;
/// Maximum memory of a decoded lease, in bytes. The crash reports, of the same kind, take 40 kB of text.
const MAX_LEASE_BYTES: usize = 2 << 20;
/// Maximum memory of any other decoded object, in bytes.
const MAX_OBJECT_BYTES: usize = 64 << 20;

/// The maximum memory of a decoded object that is read for `purpose`, in bytes. The contents of a larger one are not
/// decoded, so that it is rejected like any other invalid one.
pub(super) const fn max_object_bytes(purpose: Purpose) -> usize {
    match purpose {
        Purpose::Instances | Purpose::Retirements | Purpose::Weights => MAX_ENTRY_BYTES,
        Purpose::Leases => MAX_LEASE_BYTES,
        _ => MAX_OBJECT_BYTES,
    }
}

/// Logs the number of objects that were too large.
pub(super) fn log_oversized(purpose: Purpose, kind: &str, count: usize) {
    if count > 0 {
        let max = max_object_bytes(purpose);
        log::error!(kind, count, max; "object store: objects too large, contents ignored");
    }
}
