//! HTTP headers of the callers' interface.

/// Workspace to which the request belongs.
pub const WORKSPACE_HEADER: &str = "x-workspace";

/// Requested service; by default the first that serves the model.
pub const SERVICE_HEADER: &str = "x-service";

/// Requested version of the model.
pub const VERSION_HEADER: &str = "x-model-version";

/// Requested adapter of the model.
pub const ADAPTER_HEADER: &str = "x-adapter";

/// Priority, 0 to 255; capped at the profile's.
pub const PRIORITY_HEADER: &str = "x-priority";

/// Time until the deadline, in milliseconds; capped at the profile's.
pub const DEADLINE_HEADER: &str = "x-deadline-ms";

/// Idempotency key, equal for all retries of a request.
pub const KEY_HEADER: &str = "idempotency-key";

/// Identifier assigned to the request on arrival; present in every answer.
pub const REQUEST_HEADER: &str = "x-request-id";
