//! Names of the HTTP headers between callers, entries and endpoints, in lower case.

/// Deadline of a request, in milliseconds from its receipt.
pub const DEADLINE_MS: &str = "x-deadline-ms";
/// Priority of a live request: `live` (default) or `bulk`.
pub const PRIORITY: &str = "x-priority";
/// Idempotency key of a request that may be sent more than once.
pub const IDEMPOTENCY_KEY: &str = "idempotency-key";
/// `true` on a stored response that is replayed for a repeated request.
pub const IDEMPOTENT_REPLAY: &str = "idempotent-replay";
/// Id that the entry assigns to a request; also in every decision that is logged about it.
pub const REQUEST_ID: &str = "x-request-id";
/// Whether a refused or failed request ran: `not-run` or `unknown`.
pub const RAN: &str = "x-ran";
/// Number of the configuration under which a request was served.
pub const CONFIG_NUMBER: &str = "x-config-number";
/// Name of the endpoint that answered.
pub const ENDPOINT: &str = "x-endpoint";
/// Incarnation of an endpoint, on each of its responses.
pub const INCARNATION: &str = "x-incarnation";
/// Reason for which an endpoint refused a request before running it (for example `leaving`).
pub const REFUSED: &str = "x-refused";
/// Bearer token for the operators' listener, and shared secret for peer links.
pub const AUTHORIZATION: &str = "authorization";
