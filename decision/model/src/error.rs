//! The closed set of error kinds and the HTTP response of each kind.

use std::time::Duration;

use derive_more::Display;
use serde::{Deserialize, Serialize};

/// Whether a failed request was executed.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Ran {
    /// The request did not run and will not run.
    #[display("no")]
    No,
    /// The request ran, at least in part.
    #[display("yes")]
    Yes,
    /// The request may have run.
    #[display("unknown")]
    Unknown,
}

/// HTTP response for a kind of error.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ErrorResponse {
    /// HTTP status code.
    pub status: u16,
    /// Title of the problem document (RFC 9457).
    pub title: &'static str,
    /// Whether the request ran, unless the failure overrides it.
    pub ran: Ran,
    /// Delay in seconds before a retry; `None` if no retry is suggested.
    pub retry: Option<u32>,
}

macro_rules! kinds {
    ($($(#[$doc:meta])* $kind:ident, $name:literal, $status:literal, $ran:ident, $retry:expr, $title:literal;)*) => {
        /// Kinds of error that the deployment reports.
        #[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash, Serialize, Deserialize)]
        #[serde(rename_all = "snake_case")]
        pub enum ErrorKind {$(
            $(#[$doc])*
            #[display($name)]
            $kind,
        )*}

        impl ErrorKind {
            /// All kinds in order of declaration.
            pub const ALL: &'static [Self] = &[$(Self::$kind,)*];

            /// Returns the HTTP response for this kind.
            pub const fn response(self) -> ErrorResponse {
                match self {$(
                    Self::$kind => ErrorResponse {
                        status: $status,
                        title: $title,
                        ran: Ran::$ran,
                        retry: $retry,
                    },
                )*}
            }
        }
    };
}

kinds! {
    /// Malformed body, header or path.
    InvalidRequest, "invalid_request", 400, No, None, "The request is malformed";
    /// The sender presented no credentials of a member of the deployment.
    Forbidden, "forbidden", 403, No, None, "The sender may not ask for this";
    /// The workspace is not declared or may not use the service.
    UnknownWorkspace, "unknown_workspace", 403, No, None, "The workspace is not known here";
    /// The model is not in service.
    UnknownModel, "unknown_model", 404, No, None, "The model is not in service";
    /// The service, profile, zone, upstream, group or path does not exist.
    NotFound, "not_found", 404, No, None, "There is nothing of this name";
    /// The method is not supported on this path.
    MethodNotAllowed, "method_not_allowed", 405, No, None, "The method is not supported here";
    /// The caller did not send its request within the timeout.
    SlowCaller, "slow_caller", 408, No, Some(1), "The request was not received in time";
    /// The order is based on a revision that is no longer current.
    RevisionConflict, "revision_conflict", 409, No, None, "Another order came first";
    /// The idempotency key or order identifier was already used with other content.
    KeyMismatch, "key_mismatch", 409, No, None, "The key belongs to another request";
    /// A request with this idempotency key is still running.
    StillRunning, "still_running", 409, Unknown, Some(1), "The request is still running";
    /// The body exceeds the size limit.
    BodyTooLarge, "body_too_large", 413, No, None, "The body is too large";
    /// The declarations fail validation.
    InvalidDeclaration, "invalid_declaration", 422, No, None, "The declarations are not valid";
    /// The request crashed the upstreams that ran it.
    CrashingRequest, "crashing_request", 422, Yes, Some(600), "The request crashes what runs it";
    /// The queue, every usable upstream or the workspace's share is full.
    Overloaded, "overloaded", 429, No, Some(1), "There is no room for the request now";
    /// The caller cancelled the request or disconnected.
    Cancelled, "cancelled", 499, Unknown, None, "The caller cancelled the request";
    /// An internal fault of this software.
    Internal, "internal", 500, Unknown, None, "The system failed";
    /// The upstream failed while it ran the request.
    UpstreamFailed, "upstream_failed", 502, Unknown, Some(1), "The upstream failed";
    /// The response stream was interrupted and could not be resumed.
    StreamBroken, "stream_broken", 502, Yes, Some(1), "The answer broke off";
    /// It can no longer be determined whether the request ran.
    OutcomeUnknown, "outcome_unknown", 502, Unknown, None, "The outcome is not known";
    /// No upstream in service can accept the request.
    NoUpstream, "no_upstream", 503, No, Some(2), "No upstream can take the request";
    /// The process is shutting down and accepts no new work.
    Stopping, "stopping", 503, No, Some(1), "This instance is stopping";
    /// The zone or the upstream is out of service.
    OutOfService, "out_of_service", 503, No, Some(1), "Out of service";
    /// The sender's configuration is older than the receiver's.
    StaleRevision, "stale_revision", 503, No, Some(1), "The sender's configuration is out of date";
    /// The lease has expired, no configuration was received yet or control is unreachable.
    NotCurrent, "not_current", 503, No, Some(1), "This instance is cut off from control";
    /// This replica is not the leader.
    NotLeader, "not_leader", 503, No, Some(1), "Another replica leads";
    /// No quorum of control replicas responds.
    NoQuorum, "no_quorum", 503, Unknown, Some(1), "No quorum of control replicas answers";
    /// A write to disk failed.
    DiskFailed, "disk_failed", 507, Unknown, None, "The disk failed";
    /// The deadline of the request has passed.
    DeadlineExceeded, "deadline_exceeded", 504, Unknown, None, "The deadline passed";
    /// The order carries an outdated fencing token.
    Fenced, "fenced", 409, No, None, "The order carries an old fencing number";
}

/// A failed request: kind of error, whether it ran, and the cause.
#[derive(Clone, Debug, Display, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[display("{kind}: {detail}")]
pub struct Failure {
    /// Kind of error.
    pub kind: ErrorKind,
    /// Whether the request ran.
    pub ran: Ran,
    /// Cause in plain text.
    pub detail: String,
    /// Delay before a retry; `None` if no retry is suggested.
    pub retry: Option<Duration>,
}

impl Failure {
    /// Builds a failure with the default `ran` and `retry` of `kind`.
    pub fn new<D>(kind: ErrorKind, detail: D) -> Self
    where
        D: Into<String>,
    {
        let response = kind.response();
        Self {
            kind,
            ran: response.ran,
            detail: detail.into(),
            retry: response.retry.map(|s| Duration::from_secs(u64::from(s))),
        }
    }

    /// Overrides whether the request ran.
    #[must_use]
    pub fn with_ran(mut self, ran: Ran) -> Self {
        self.ran = ran;
        self
    }

    /// Overrides the delay before a retry.
    #[must_use]
    pub fn with_retry(mut self, retry: Duration) -> Self {
        self.retry = Some(retry);
        self
    }
}

impl std::error::Error for Failure {}
