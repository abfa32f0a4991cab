//! Which statuses end a request.

use actix_http::StatusCode;

/// Whether a status may be that of a final response. HTTP defines the classes from 1xx to 5xx, of which 1xx are
/// interim; the library accepts all numbers from 100 to 999. What comes with another status is no answer.
pub(super) fn is_final(status: StatusCode) -> bool {
    (200..600).contains(&status.as_u16())
}
