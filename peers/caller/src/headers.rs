//! Headers of the callers' interface.

/// Workspace on whose behalf the request runs.
pub const WORKSPACE_HEADER: &str = "x-workspace";

/// Service that is asked; by default the first that serves the model.
pub const SERVICE_HEADER: &str = "x-service";

/// Version of the model.
pub const VERSION_HEADER: &str = "x-model-version";

/// Adapter of the model.
pub const ADAPTER_HEADER: &str = "x-adapter";

/// Priority, 0 to 255; at most the profile's.
pub const PRIORITY_HEADER: &str = "x-priority";

/// Milliseconds until the answer is of no use; at most the profile's.
pub const DEADLINE_HEADER: &str = "x-deadline-ms";

/// Marks a retry of the same request.
pub const KEY_HEADER: &str = "idempotency-key";

/// Identifier that the deployment gave the request; in every answer.
pub const REQUEST_HEADER: &str = "x-request-id";
