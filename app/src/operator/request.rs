//! Conversion of command-line arguments to requests.

use std::io::Read;

use pimentotide_control::Scope;
use pimentotide_document::MAX_DOCUMENT_BYTES;
use pimentotide_model::{AdminState, GroupName, ProfileName, Service, ServiceKind};
use pimentotide_operator::MemberChange;
use pimentotide_operator::command::Request;
use pimentotide_operator::message::ActionRequest;

use super::arguments::{Arguments, UsageError};

/// Keyword that selects all groups.
const ALL: &str = "all";

/// Builds the request of a subcommand.
pub(super) fn read(subcommand: &str, arguments: &mut Arguments) -> Result<Request, UsageError> {
    if subcommand == "status" {
        return Ok(Request::Status);
    }
    let verb = arguments.word("a command")?;
    match (subcommand, verb.as_str()) {
        ("profile", "apply") => Ok(Request::Apply {
            text: document(arguments)?,
            prune: arguments.prune(),
        }),
        ("profile", "diff") => Ok(Request::Diff {
            text: document(arguments)?,
            prune: arguments.prune(),
        }),
        ("profile", "get") => Ok(Request::Get(
            arguments.optional_word().map(ProfileName::from),
        )),
        ("profile", "list") => Ok(Request::List),
        ("profile", "history") => Ok(Request::History),
        ("service", "list") => Ok(Request::Services),
        ("service", "set") => Ok(Request::Order(set_service(arguments)?)),
        ("service", "remove") => {
            let name = arguments.name("a service")?;
            Ok(Request::Order(ActionRequest::RemoveService(name)))
        }
        ("zone", verb) => Ok(Request::Order(ActionRequest::Zone {
            standing: standing(verb)?,
            zone: arguments.name("a zone")?,
        })),
        ("upstream", verb) => Ok(Request::Order(upstream(verb, arguments)?)),
        ("replica", verb) => replica(verb, arguments),
        ("group", verb) => group(verb, arguments),
        _ => Err(unknown_command(&verb)),
    }
}

fn set_service(arguments: &mut Arguments) -> Result<ActionRequest, UsageError> {
    let kind = match arguments.kind().as_deref() {
        None | Some("model") => ServiceKind::Model,
        Some("plain") => ServiceKind::Plain,
        Some(other) => {
            let message = format!("--kind: expected model or plain, found {other:?}");
            return Err(UsageError(message));
        }
    };
    Ok(ActionRequest::SetService(Service {
        name: arguments.name("a service")?,
        kind,
        profile: arguments.profile()?,
    }))
}

fn upstream(verb: &str, arguments: &mut Arguments) -> Result<ActionRequest, UsageError> {
    let standing = match verb {
        "set" => None,
        verb => Some(standing(verb)?),
    };
    let fenced = arguments.fenced();
    if standing.is_none() && fenced.is_none() {
        return Err(UsageError("missing --fenced".to_owned()));
    }
    Ok(ActionRequest::Upstream {
        upstream: arguments.name("an upstream")?,
        standing,
        fenced,
    })
}

fn replica(verb: &str, arguments: &mut Arguments) -> Result<Request, UsageError> {
    match verb {
        "list" => Ok(Request::Replicas),
        "add" => Ok(Request::Change(MemberChange::Add {
            name: arguments.name("a replica")?,
            address: arguments.address()?,
        })),
        "remove" => Ok(Request::Change(MemberChange::Remove {
            name: arguments.name("a replica")?,
        })),
        other => Err(unknown_command(other)),
    }
}

fn group(verb: &str, arguments: &mut Arguments) -> Result<Request, UsageError> {
    match verb {
        "list" => Ok(Request::Groups),
        "show" => Ok(Request::Group(arguments.name("a group")?)),
        "pause" => Ok(Request::Order(ActionRequest::Pause(scope(arguments)?))),
        "resume" => Ok(Request::Order(ActionRequest::Resume(scope(arguments)?))),
        other => Err(unknown_command(other)),
    }
}

fn scope(arguments: &mut Arguments) -> Result<Scope, UsageError> {
    let name: GroupName = arguments.name("a group, or all")?;
    if name.as_str() == ALL {
        return Ok(Scope::All);
    }
    Ok(Scope::Group(name))
}

fn standing(verb: &str) -> Result<AdminState, UsageError> {
    match verb {
        "in" => Ok(AdminState::In),
        "out" => Ok(AdminState::Out),
        other => Err(unknown_command(other)),
    }
}

/// Reads a document from a file, or from standard input if the file is `-`.
fn document(arguments: &mut Arguments) -> Result<String, UsageError> {
    let path = arguments.word("a file")?;
    let limit = MAX_DOCUMENT_BYTES as u64 + 1;
    let mut text = String::new();
    let outcome = if path == "-" {
        std::io::stdin()
            .lock()
            .take(limit)
            .read_to_string(&mut text)
    } else {
        let file = std::fs::File::open(&path);
        file.and_then(|file| file.take(limit).read_to_string(&mut text))
    };
    let read = outcome.map_err(|e| UsageError(format!("{path}: {e}")))?;
    if read > MAX_DOCUMENT_BYTES {
        let message = format!("{path}: expected at most {MAX_DOCUMENT_BYTES} bytes");
        return Err(UsageError(message));
    }
    Ok(text)
}

fn unknown_command(verb: &str) -> UsageError {
    UsageError(format!("unknown command {verb:?}"))
}
