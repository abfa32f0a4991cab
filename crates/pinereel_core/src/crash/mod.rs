//! Detection of requests that crash the endpoints that run them.
//!
//! Such a request may be retried under a new id at any instance. Each instance therefore keeps, by
//! [`Identity`], the endpoint starts that crashed while the request ran there, and exchanges
//! [`Report`]s with the other instances. A request is blocked after [`MAX_CRASHES`] crashes; until
//! then a suspected request runs at one endpoint at a time ([`Register::place`]).
//!
//! A crash also ends every other run at that endpoint, so crashes have to be attributed to
//! requests: a completed run clears its request, an answer clears the endpoint, and a crash
//! explained by a blocked request counts against no other. Suspected requests run one per endpoint,
//! and a request one crash short of the limit runs in isolation, at an endpoint where nothing else
//! starts ([`Register::reserved`]).

mod attribution;
mod endpoint_start;
mod identity;
mod placement;
mod record;
mod register;
mod status;

pub use endpoint_start::EndpointStart;
pub use identity::{Content, Identity, ParseIdentityError, RequestParts};
pub use placement::Placement;
pub use record::{Involvement, Report};
pub use register::Register;
pub use status::{Change, ChangeKind, RequestStatus};

use std::time::Duration;

/// Endpoints that may crash under one request before it is blocked. The platform limits the
/// crashes that one request causes after its third. A request that only ran beside the cause rarely
/// sees three crashes without completing a run.
pub const MAX_CRASHES: usize = 3;

/// Crashes from which on a request runs in isolation: one more blocks it.
pub const ISOLATE_AT_CRASHES: usize = MAX_CRASHES - 1;

/// Crashes that block a request even if other requests may explain some of them. Otherwise two
/// requests that always crash endpoints together would never be told apart, and neither would be
/// blocked.
pub const MAX_SHARED_CRASHES: usize = MAX_CRASHES + 2;

/// Time after its last crash for which a request's record is kept. The request may then crash
/// three more endpoints, which is at most 0.3 crashes a minute. A caller that has fixed the request
/// waits this long or asks an operator.
pub const RECORD_TTL: Duration = Duration::from_secs(600);

/// Completed runs per crash from which on a frequent request is not blocked. Runs take a tenth
/// of a second, and endpoints rarely crash on their own more than once in some seconds. A request
/// that crashes every other endpoint completes one run per crash.
pub const MIN_COMPLETIONS_PER_CRASH: u32 = 4;

/// An answer clears an endpoint only if its request was sent this long after the crash became known
/// here. Answers in flight at the time of the crash arrive within some milliseconds.
pub const STALE_ANSWER_GRACE: Duration = Duration::from_millis(100);

/// Time until a crash is known at all instances, so that requests suspected of the same crash are
/// placed apart: four hops of at most 5 ms each on links without load.
pub const PROPAGATION_DELAY: Duration = Duration::from_millis(40);

/// Length of one time slice of an isolated request. A run of a plain request takes 25 ms to 200 ms
/// and starts in the second quarter of the slice: runs that were at the endpoint before have ended
/// by then, and the run itself ends before the next slice.
pub const ISOLATION_SLICE: Duration = Duration::from_millis(400);

/// At most one in this many endpoints is reserved for isolated requests, and at least one; the
/// others serve all other requests.
pub const ENDPOINTS_PER_RESERVATION: usize = 3;

/// Time after its last crash for which an endpoint is reserved for an isolated request. A request
/// whose caller has given up must not keep an endpoint from others.
pub const RESERVATION_TTL: Duration = Duration::from_secs(30);

/// Most requests with a record. By the size of its fields a record takes about 0.3 kB, so all of
/// them take 0.3 MB of the 160 MB of the smallest instance.
pub const MAX_RECORDS: usize = 1_024;
