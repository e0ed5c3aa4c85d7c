//! The closed list of error kinds and the table from kind to answer.

use std::time::Duration;

use derive_more::Display;
use serde::{Deserialize, Serialize};

/// Whether the request that failed has run.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Ran {
    /// It did not run, and will not.
    #[display("no")]
    No,
    /// It ran, at least in part.
    #[display("yes")]
    Yes,
    /// It may have run.
    #[display("unknown")]
    Unknown,
}

/// What a kind of error looks like to whoever asked.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ErrorResponse {
    /// HTTP status.
    pub status: u16,
    /// Short title.
    pub title: &'static str,
    /// Whether the request has run, unless the failure says otherwise.
    pub ran: Ran,
    /// Seconds after which asking again may help.
    pub retry: Option<u32>,
}

macro_rules! kinds {
    ($($(#[$doc:meta])* $kind:ident, $name:literal, $status:literal, $ran:ident, $retry:expr, $title:literal;)*) => {
        /// Every kind of error that the system reports.
        #[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash, Serialize, Deserialize)]
        #[serde(rename_all = "snake_case")]
        pub enum ErrorKind {$(
            $(#[$doc])*
            #[display($name)]
            $kind,
        )*}

        impl ErrorKind {
            /// All kinds, in the order of the table.
            pub const ALL: &'static [Self] = &[$(Self::$kind,)*];

            /// Looks up the answer to this kind.
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
    /// No credentials of a member of the deployment.
    Forbidden, "forbidden", 403, No, None, "The sender may not ask for this";
    /// The workspace is not declared or may not use the service.
    UnknownWorkspace, "unknown_workspace", 403, No, None, "The workspace is not known here";
    /// The model is not in service.
    UnknownModel, "unknown_model", 404, No, None, "The model is not in service";
    /// The service, profile, zone, upstream, group or path does not exist.
    NotFound, "not_found", 404, No, None, "There is nothing of this name";
    /// The method is not supported on this path.
    MethodNotAllowed, "method_not_allowed", 405, No, None, "The method is not supported here";
    /// The caller took too long to send its request.
    SlowCaller, "slow_caller", 408, No, Some(1), "The request was not received in time";
    /// The order was made against a revision that is no longer current.
    RevisionConflict, "revision_conflict", 409, No, None, "Another order came first";
    /// The key or order id was used before with other content.
    KeyMismatch, "key_mismatch", 409, No, None, "The key belongs to another request";
    /// A request with this key is still running.
    StillRunning, "still_running", 409, Unknown, Some(1), "The request is still running";
    /// The body is larger than allowed.
    BodyTooLarge, "body_too_large", 413, No, None, "The body is too large";
    /// The declarations are wrong.
    InvalidDeclaration, "invalid_declaration", 422, No, None, "The declarations are not valid";
    /// The request has crashed the upstreams that ran it.
    CrashingRequest, "crashing_request", 422, Yes, Some(600), "The request crashes what runs it";
    /// The workspace or service has used up its share for now.
    Overloaded, "overloaded", 429, No, Some(1), "There is no room for the request now";
    /// The caller went away.
    Cancelled, "cancelled", 499, Unknown, None, "The caller cancelled the request";
    /// A fault of this system.
    Internal, "internal", 500, Unknown, None, "The system failed";
    /// The upstream failed while it ran the request.
    UpstreamFailed, "upstream_failed", 502, Unknown, Some(1), "The upstream failed";
    /// The stream broke off and could not be resumed.
    StreamBroken, "stream_broken", 502, Yes, Some(1), "The answer broke off";
    /// Nobody can tell any more whether the request ran.
    OutcomeUnknown, "outcome_unknown", 502, Unknown, None, "The outcome is not known";
    /// No upstream in service can take the request.
    NoUpstream, "no_upstream", 503, No, Some(2), "No upstream can take the request";
    /// The process is stopping and takes no new work.
    Stopping, "stopping", 503, No, Some(1), "This instance is stopping";
    /// The zone or the upstream is out of service.
    OutOfService, "out_of_service", 503, No, Some(1), "Out of service";
    /// The sender's configuration is older than the receiver's.
    StaleRevision, "stale_revision", 503, No, Some(1), "The sender's configuration is out of date";
    /// The lease on being current has run out.
    NotCurrent, "not_current", 503, No, Some(1), "This instance is cut off from control";
    /// This replica does not lead.
    NotLeader, "not_leader", 503, No, Some(1), "Another replica leads";
    /// No quorum of replicas answers.
    NoQuorum, "no_quorum", 503, Unknown, Some(1), "No quorum of control replicas answers";
    /// The disk cannot take the write.
    DiskFailed, "disk_failed", 507, Unknown, None, "The disk failed";
    /// The deadline passed.
    DeadlineExceeded, "deadline_exceeded", 504, Unknown, None, "The deadline passed";
    /// The order carries an old fencing number.
    Fenced, "fenced", 409, No, None, "The order carries an old fencing number";
}

/// One failure: its kind, whether the request ran, and what exactly happened.
#[derive(Clone, Debug, Display, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[display("{kind}: {detail}")]
pub struct Failure {
    /// Kind of error.
    pub kind: ErrorKind,
    /// Whether the request has run.
    pub ran: Ran,
    /// What exactly happened.
    pub detail: String,
    /// When asking again may help.
    pub retry: Option<Duration>,
}

impl Failure {
    /// Builds a failure with the answer that the table holds for `kind`.
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

    /// Replaces what the table says about having run.
    #[must_use]
    pub fn with_ran(mut self, ran: Ran) -> Self {
        self.ran = ran;
        self
    }

    /// Replaces when asking again may help.
    #[must_use]
    pub fn with_retry(mut self, retry: Duration) -> Self {
        self.retry = Some(retry);
        self
    }
}

impl std::error::Error for Failure {}
