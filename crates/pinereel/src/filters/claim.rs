//! Claims the idempotency key of a request.
