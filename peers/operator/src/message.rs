//! Bodies of requests and answers.

use std::time::Duration;

use pimentotide_control::machine::Record;
use pimentotide_control::{Action, Scope};
use pimentotide_document::Problem;
use pimentotide_model::{
    AdminState, Declarations, ErrorKind, Failure, ModelName, OrderId, ProfileName, Ran, Revision,
    Service, ServiceName, UpstreamName, ZoneName,
};
use serde::{Deserialize, Serialize};

/// Order as an operator sends it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct OrderRequest {
    /// Identifier, the same when the order is resent.
    pub id: OrderId,
    /// Revision that the operator had in view; none takes whatever is current.
    #[serde(default)]
    pub base: Option<Revision>,
    /// Who gives it.
    pub actor: String,
    /// What it changes.
    pub action: ActionRequest,
}

/// Action as an operator sends it; documents travel as text.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum ActionRequest {
    /// Applies a document.
    Apply {
        /// YAML text.
        text: String,
        /// Whether what the document does not name is removed.
        #[serde(default)]
        prune: bool,
    },
    /// Takes a zone in or out of service.
    Zone {
        /// Zone.
        zone: ZoneName,
        /// Whether it takes new work.
        standing: AdminState,
    },
    /// Takes an upstream in or out of service, or says whether it checks fencing numbers.
    Upstream {
        /// Upstream.
        upstream: UpstreamName,
        /// Whether it takes new work; unchanged if none.
        #[serde(default)]
        standing: Option<AdminState>,
        /// Whether its engine refuses old fencing numbers; unchanged if none.
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
    /// Turns every action but a document into its replicated form.
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

/// Answer to an accepted order: committed and synced on a quorum.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Accepted {
    /// Identifier of the order.
    pub id: OrderId,
    /// Revision that it made.
    pub revision: Revision,
    /// What the operator may have overlooked.
    pub warnings: Vec<String>,
}

/// Profile in a list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ProfileSummary {
    /// Name of the profile.
    pub name: ProfileName,
    /// Model that serves it.
    pub model: Option<ModelName>,
    /// Services that run under it.
    pub services: Vec<ServiceName>,
}

/// List at one revision.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Listing<T> {
    /// Revision in force.
    pub revision: Revision,
    /// Elements.
    pub items: Vec<T>,
}

/// Document at one revision.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DocumentText {
    /// Revision in force.
    pub revision: Revision,
    /// Canonical YAML.
    pub text: String,
}

/// Declarations in force.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct InForce {
    /// All of them.
    pub declarations: Declarations,
}

/// One thing that is wrong with a document.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ProblemLine {
    /// Path of the key.
    pub path: String,
    /// Line in the document, from 1, where known.
    pub line: Option<usize>,
    /// What is wrong and what would be right.
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
    /// What exactly happened.
    pub detail: String,
    /// Whether the request has run.
    pub ran: Ran,
    /// When asking again may help, milliseconds.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub retry_ms: Option<u64>,
    /// What is wrong with the document or order.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub problems: Vec<ProblemLine>,
    /// Revision in force, on a conflict.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub current: Option<Revision>,
    /// Order that came first, on a conflict.
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
    /// Adds what is wrong with the document or order.
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
