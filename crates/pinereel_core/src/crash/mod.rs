//! Requests under which endpoints crash.
//!
//! A request may crash each endpoint that begins to run it, and come again under another id at any
//! instance. So each instance keeps, by what makes it the same request ([`Identity`]), which starts of endpoints
//! crashed while it ran there, and tells the others ([`Report`]). Three of them, and it is refused; before that
//! it runs at one endpoint at a time ([`Register::seat`]). An endpoint takes along all that runs there: a run that
//! comes to its end clears a request, an answer clears an endpoint, and what a convicted request
//! accounts for counts against no other. So that a crash tells who was to blame, those in doubt run one at an endpoint, and
//! one with a last chance runs where nothing else begins ([`Register::reserved`]).

mod attribution;
mod endpoint_start;
mod identity;
mod placement;
mod record;
mod register;
mod status;

pub use endpoint_start::EndpointStart;
pub use identity::{Content, Identity, ParseIdentityError, Parts};
pub use placement::Placement;
pub use record::{Involvement, Report};
pub use register::Register;
pub use status::{Change, ChangeKind, RequestStatus};

use std::time::Duration;

/// Endpoints that may crash under one request before it is refused. The platform bounds what comes after
/// the third; a request that ran beside another one seldom meets a crash three times without one end.
pub const MAX_CRASHES: usize = 3;

/// Endpoints against a request that has one more chance.
pub const ISOLATE_AT_CRASHES: usize = MAX_CRASHES - 1;

/// Endpoints against a request with which it is refused though others may account for some of them: two that
/// always crash together must not hide behind each other.
pub const MAX_SHARED_CRASHES: usize = MAX_CRASHES + 2;

/// How long a request counts after its last crash. Then it may crash three endpoints again, so that it takes
/// at most 0.3 a minute; a caller who has mended it waits so long, or asks an operator.
pub const RECORD_TTL: Duration = Duration::from_secs(600);

/// Runs that come to their end for each crash of a request that is innocent, though it was there often: runs take a
/// tenth of a second, and endpoints seldom crash by themselves more than once in some seconds. A request that crashes
/// every other endpoint has one.
pub const MIN_COMPLETIONS_PER_CRASH: u32 = 4;

/// An answer clears an endpoint only if it was asked for so long after its crash was told here: answers that were
/// on their way at the crash come within some milliseconds.
pub const STALE_ANSWER_GRACE: Duration = Duration::from_millis(100);

/// News of a crash are at all instances after so long, so that those who were in doubt together are told
/// apart: four hops of 5 ms and less on calm links.
pub const PROPAGATION_DELAY: Duration = Duration::from_millis(40);

/// Length of a turn of requests with a last chance. A run of a plain request takes 25 ms to 200 ms and begins in the second
/// quarter: what ran at its endpoint before has ended by then, and the next one finds it without it.
pub const ISOLATION_SLICE: Duration = Duration::from_millis(400);

/// Endpoints of so many are reserved at once for requests with a last chance: the others serve everyone else.
pub const ENDPOINTS_PER_RESERVATION: usize = 3;

/// An endpoint is reserved for a request with a last chance so long after its last crash: one whose caller has given up
/// must not keep it from others.
pub const RESERVATION_TTL: Duration = Duration::from_secs(30);

/// An endpoint that crashes under a request does so soon after the run's begin: a run of a tenth of a second, and the way
/// there. What has run for longer is not suspected of a crash to come.
pub const MAX_SUSPECT_RUN_AGE: Duration = Duration::from_millis(300);

/// Requests that are kept: by the size of its fields one takes about 0.3 kB, all of them 0.3 MB of the 160 MB of
/// the smallest instance.
pub const MAX_RECORDS: usize = 1_024;
