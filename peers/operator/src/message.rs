//! Bodies of requests and answers between the client and the server.

use std::time::Duration;

use pimentotide_control::machine::Record;
use pimentotide_control::{Action, Scope};
use pimentotide_document::Problem;
use pimentotide_model::{
    AdminState, Declarations, ErrorKind, Failure, ModelName, OrderId, ProfileName, Ran, Revision,
    Service, ServiceName, UpstreamName, ZoneName,
};
use serde::{Deserialize, Serialize};

/// Body of a request that submits an order.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct OrderRequest {
    /// Identifier, unchanged when the order is resent.
    pub id: OrderId,
    /// Revision that the order is based on; `None` accepts the current one.
    #[serde(default)]
    pub base: Option<Revision>,
    /// Operator who submits the order.
    pub actor: String,
    /// Requested change.
    pub action: ActionRequest,
}

/// Requested change; documents are sent as text.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum ActionRequest {
    /// Applies a document.
    Apply {
        /// YAML text.
        text: String,
        /// Whether declarations missing from the document are removed.
        #[serde(default)]
        prune: bool,
    },
    /// Puts a zone in or out of service.
    Zone {
        /// Name of the zone.
        zone: ZoneName,
        /// Whether the zone accepts new work.
        standing: AdminState,
    },
    /// Puts an upstream in or out of service, or sets whether it checks fencing tokens.
    Upstream {
        /// Name of the upstream.
        upstream: UpstreamName,
        /// Whether the upstream accepts new work; unchanged if `None`.
        #[serde(default)]
        standing: Option<AdminState>,
        /// Whether its engine rejects outdated fencing tokens; unchanged if `None`.
        #[serde(default)]
        fenced: Option<bool>,
    },
    /// Adds or replaces a service.
    SetService(Service),
    /// Removes a service.
    RemoveService(ServiceName),
    /// Pauses rebalancing.
    Pause(Scope),
    /// Resumes rebalancing.
    Resume(Scope),
}

impl ActionRequest {
    /// Converts the request into its replicated form; `None` for [`Self::Apply`],
    /// whose document has to be parsed first.
    pub fn into_action(self) -> Option<Action> {
        Some(match self {
            Self::Apply { .. } => return None,
            Self::Zone { zone, standing } => Action::Zone { zone, standing },
            Self::Upstream {
                upstream,
                standing,
                fenced,
            } => Action::Upstream {
                upstream,
                standing,
                fenced,
            },
            Self::SetService(service) => Action::SetService(service),
            Self::RemoveService(name) => Action::RemoveService(name),
            Self::Pause(scope) => Action::Pause(scope),
            Self::Resume(scope) => Action::Resume(scope),
        })
    }
}

/// Answer to an order that is committed and synced on a quorum.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Accepted {
    /// Identifier of the order.
    pub id: OrderId,
    /// Revision that the order created.
    pub revision: Revision,
    /// Hints at probable mistakes in the order, such as unannounced names.
    pub warnings: Vec<String>,
}

/// Entry in the list of profiles.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ProfileSummary {
    /// Name of the profile.
    pub name: ProfileName,
    /// Model that serves the profile.
    pub model: Option<ModelName>,
    /// Services that use the profile.
    pub services: Vec<ServiceName>,
}

/// List of elements as of one revision.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Listing<T> {
    /// Revision in force.
    pub revision: Revision,
    /// Listed elements.
    pub items: Vec<T>,
}

/// Declaration document as of one revision.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DocumentText {
    /// Revision in force.
    pub revision: Revision,
    /// Canonical YAML.
    pub text: String,
}

/// Answer with the declarations in force.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct CurrentDeclarations {
    /// All declarations, with their revision.
    pub declarations: Declarations,
}

/// One error in a document.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ProblemLine {
    /// Path of the key, such as `profiles.drafting.priority`.
    pub path: String,
    /// Line in the document, from 1; `None` if unknown.
    pub line: Option<usize>,
    /// Description of the error and of the expected value.
    pub message: String,
}

impl From<Problem> for ProblemLine {
    fn from(problem: Problem) -> Self {
        Self {
            path: problem.path,
            line: problem.line,
            message: problem.message,
        }
    }
}

impl From<ProblemLine> for Problem {
    fn from(line: ProblemLine) -> Self {
        Self {
            path: line.path,
            line: line.line,
            message: line.message,
        }
    }
}

/// Body of every refusal, `application/problem+json`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ProblemBody {
    /// Kind of error.
    pub kind: ErrorKind,
    /// Short title of the kind.
    pub title: String,
    /// HTTP status.
    pub status: u16,
    /// Description of this occurrence.
    pub detail: String,
    /// Whether the request was executed.
    pub ran: Ran,
    /// Time after which a retry may succeed, in milliseconds.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub retry_ms: Option<u64>,
    /// Errors in the document or order.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub problems: Vec<ProblemLine>,
    /// Revision in force, on a conflict.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub current: Option<Revision>,
    /// Order that was accepted first, on a conflict.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub winner: Option<Record>,
}

impl From<Failure> for ProblemBody {
    fn from(failure: Failure) -> Self {
        let answer = failure.kind.response();
        Self {
            kind: failure.kind,
            title: answer.title.to_owned(),
            status: answer.status,
            detail: failure.detail,
            ran: failure.ran,
            retry_ms: failure.retry.map(millis),
            problems: Vec::new(),
            current: None,
            winner: None,
        }
    }
}

impl ProblemBody {
    /// Adds the errors found in the document or order.
    #[must_use]
    pub fn with_problems<I>(mut self, problems: I) -> Self
    where
        I: IntoIterator<Item = Problem>,
    {
        self.problems = problems.into_iter().map(ProblemLine::from).collect();
        self
    }
}

fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
