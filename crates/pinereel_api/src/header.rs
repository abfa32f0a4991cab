//! Names of the HTTP headers that callers, endpoints and entries exchange. All lower case.

/// Milliseconds from receipt until the answer is of no use to the caller.
pub const DEADLINE_MS: &str = "x-deadline-ms";
/// Priority of a live request: `live` (default) or `bulk`.
pub const PRIORITY: &str = "x-priority";
/// Idempotency key of a request that may be sent more than once.
pub const IDEMPOTENCY_KEY: &str = "idempotency-key";
/// `true` on the recorded answer that a repeated request gets.
pub const IDEMPOTENT_REPLAY: &str = "idempotent-replay";
/// Id that the entry gives to a request; also in every decision line about it.
pub const REQUEST_ID: &str = "x-request-id";
/// Whether a refused or failed request ran: `not-run` or `unknown`.
pub const RAN: &str = "x-ran";
/// Number of the configuration that a request was served under.
pub const CONFIG_NUMBER: &str = "x-config-number";
/// Name of the endpoint that answered.
pub const ENDPOINT: &str = "x-endpoint";
/// An endpoint's incarnation, on each of its answers.
pub const INCARNATION: &str = "x-incarnation";
/// Set by an endpoint that refuses a request before running it (for example while it leaves).
pub const REFUSED: &str = "x-refused";
/// Bearer token for the operators' listener, and shared secret for peer links.
pub const AUTHORIZATION: &str = "authorization";
