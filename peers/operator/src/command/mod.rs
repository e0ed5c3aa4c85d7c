//! Commands of the operators' command line, executed through the client.

mod render;

use pimentotide_control::Document;
use pimentotide_control::declare::{read_document, write_document};
use pimentotide_control::machine::Record;
use pimentotide_document::Problems;
use pimentotide_model::{
    Declarations, ErrorKind, Failure, GroupName, OrderId, ProfileName, Revision, Service,
};
use serde::Serialize;
use similar::TextDiff;

use crate::client::{Client, ClientError, Exit};
use crate::control::{Cluster, MemberChange};
use crate::message::{
    Accepted, ActionRequest, DocumentText, Listing, OrderRequest, ProblemBody, ProfileSummary,
};
use crate::status::Status;

/// Command of an operator.
#[derive(Clone, Debug, PartialEq)]
pub enum Request {
    /// Applies a document.
    Apply {
        /// YAML text.
        text: String,
        /// Whether declarations missing from the document are removed.
        prune: bool,
    },
    /// Shows what applying a document would change.
    Diff {
        /// YAML text.
        text: String,
        /// Whether declarations missing from the document count as removed.
        prune: bool,
    },
    /// Prints one profile, or the whole document if `None`.
    Get(Option<ProfileName>),
    /// Lists profiles.
    List,
    /// Lists accepted orders.
    History,
    /// Submits an order other than a document.
    Order(ActionRequest),
    /// Lists services.
    Services,
    /// Lists control replicas.
    Replicas,
    /// Adds or removes a control replica.
    Change(MemberChange),
    /// Lists expert-parallel groups.
    Groups,
    /// Shows one expert-parallel group.
    Group(GroupName),
    /// Shows the status of the deployment.
    Status,
}

/// Options common to all commands.
#[derive(Clone, Debug, PartialEq)]
pub struct Envelope {
    /// Identifier of the order.
    pub id: OrderId,
    /// Operator who submits the order.
    pub actor: String,
    /// Required base revision; if `None`, documents use the revision in force.
    pub base: Option<Revision>,
    /// Whether the output is JSON.
    pub json: bool,
}

/// Output and exit status of a command.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Output {
    /// Text for standard output.
    pub text: String,
    /// Text for standard error.
    pub error: String,
    /// Exit status.
    pub exit: Exit,
}

/// Executes a command.
pub async fn execute(client: &Client, envelope: &Envelope, request: Request) -> Output {
    let executor = Executor { client, envelope };
    let outcome = executor.dispatch(request).await;
    outcome.unwrap_or_else(|error| executor.failed(&error))
}

struct Executor<'a> {
    client: &'a Client,
    envelope: &'a Envelope,
}

impl Executor<'_> {
    async fn dispatch(&self, request: Request) -> Result<Output, ClientError> {
        match request {
            Request::Apply { text, prune } => self.apply(text, prune).await,
            Request::Diff { text, prune } => self.diff(&text, prune).await,
            Request::Get(name) => self.document(name).await,
            Request::Order(action) => self.order(action, self.envelope.base).await,
            Request::Change(change) => {
                let cluster = self.client.change(&change).await?;
                Ok(self.show(&cluster, render::cluster))
            }
            Request::Group(name) => self.group(&name).await,
            other => self.list(&other).await,
        }
    }

    async fn list(&self, request: &Request) -> Result<Output, ClientError> {
        let client = self.client;
        match request {
            Request::List => {
                let list: Listing<ProfileSummary> = client.get("/profiles").await?;
                Ok(self.show(&list, render::profiles))
            }
            Request::History => {
                let list: Listing<Record> = client.get("/history").await?;
                Ok(self.show(&list, render::history))
            }
            Request::Services => {
                let list: Listing<Service> = client.get("/services").await?;
                Ok(self.show(&list, render::services))
            }
            Request::Replicas => {
                let cluster: Cluster = client.get("/replicas").await?;
                Ok(self.show(&cluster, render::cluster))
            }
            Request::Groups => {
                let list: Listing<serde_json::Value> = client.get("/groups").await?;
                Ok(self.show(&list, render::groups))
            }
            _ => {
                let status: Status = client.get("/status").await?;
                Ok(self.show(&status, render::status))
            }
        }
    }

    async fn order(
        &self,
        action: ActionRequest,
        base: Option<Revision>,
    ) -> Result<Output, ClientError> {
        let request = OrderRequest {
            id: self.envelope.id.clone(),
            base,
            actor: self.envelope.actor.clone(),
            action,
        };
        let outcome = self.client.order(&request).await;
        if let Err(error @ ClientError::NoAnswer(_)) = &outcome {
            return Ok(self.unknown_outcome(error, &request));
        }
        let accepted = outcome?;
        let mut output = self.show(&accepted, render::accepted);
        output.error = warnings(&accepted);
        Ok(output)
    }

    async fn apply(&self, text: String, prune: bool) -> Result<Output, ClientError> {
        if let Some(base) = self.envelope.base {
            let action = ActionRequest::Apply { text, prune };
            return self.order(action, Some(base)).await;
        }
        let current = self.client.declarations().await?;
        if let Err(problems) = read_document(&text, &current, prune) {
            return Err(invalid(problems));
        }
        let action = ActionRequest::Apply { text, prune };
        self.order(action, Some(current.revision)).await
    }

    async fn diff(&self, text: &str, prune: bool) -> Result<Output, ClientError> {
        let current = self.client.declarations().await?;
        let document = read_document(text, &current, prune).map_err(invalid)?;
        let diff = difference(&current, &document, prune);
        Ok(self.show(&DiffText { diff }, |d| d.diff.clone()))
    }

    async fn document(&self, name: Option<ProfileName>) -> Result<Output, ClientError> {
        let path = match name {
            Some(name) => format!("/profiles/{name}"),
            None => "/document".to_owned(),
        };
        let document: DocumentText = self.client.get(&path).await?;
        Ok(self.show(&document, |d| d.text.clone()))
    }

    async fn group(&self, name: &GroupName) -> Result<Output, ClientError> {
        let list: Listing<serde_json::Value> = self.client.get("/groups").await?;
        let named = |group: &&serde_json::Value| render::name_of(group) == name.as_str();
        let group = list.items.iter().find(named);
        let group = group.ok_or_else(|| {
            let detail = format!("group {:?} does not exist", name.as_str());
            let failure = Failure::new(ErrorKind::NotFound, detail);
            ClientError::Refused(Box::new(ProblemBody::from(failure)))
        })?;
        Ok(self.show(group, render::group))
    }

    fn show<T, F>(&self, value: &T, render: F) -> Output
    where
        T: Serialize,
        F: FnOnce(&T) -> String,
    {
        let text = if self.envelope.json {
            json(value)
        } else {
            render(value)
        };
        Output {
            text,
            error: String::new(),
            exit: Exit::Done,
        }
    }

    fn failed(&self, error: &ClientError) -> Output {
        let text = match error {
            ClientError::Refused(problem) if self.envelope.json => json(problem),
            _ => String::new(),
        };
        Output {
            text,
            error: format!("{error}\n"),
            exit: error.exit(),
        }
    }

    /// Adds how to resend an order whose outcome is unknown.
    fn unknown_outcome(&self, error: &ClientError, request: &OrderRequest) -> Output {
        let mut output = self.failed(error);
        let base = request.base.map(|b| format!(" --base {b}"));
        output.error.push_str(&format!(
            "the order may be in force; resend it with --order {}{}\n",
            request.id,
            base.unwrap_or_default(),
        ));
        output
    }
}

#[derive(Serialize)]
struct DiffText {
    diff: String,
}

/// Returns a unified diff of the canonical documents before and after.
fn difference(current: &Declarations, document: &Document, prune: bool) -> String {
    let mut next = current.clone();
    document.merge_into(&mut next, prune);
    let before = write_document(&Document::of(current));
    let after = write_document(&Document::of(&next));
    if before == after {
        return String::new();
    }
    let diff = TextDiff::from_lines(&before, &after);
    let mut unified = diff.unified_diff();
    unified.header("in force", "document").to_string()
}

fn invalid(problems: Problems) -> ClientError {
    let detail = format!("{} problems; nothing was changed", problems.len());
    let failure = Failure::new(ErrorKind::InvalidDeclaration, detail);
    let body = ProblemBody::from(failure).with_problems(problems.0);
    ClientError::Refused(Box::new(body))
}

fn warnings(accepted: &Accepted) -> String {
    let lines = accepted.warnings.iter();
    lines.map(|w| format!("warning: {w}\n")).collect()
}

fn json<T>(value: &T) -> String
where
    T: Serialize,
{
    let text = serde_json::to_string_pretty(value).unwrap_or_default();
    text + "\n"
}
