//! Handlers for orders and membership changes.

use actix_web::HttpResponse;
use actix_web::web::{Data, Payload};
use pimentotide_control::declare::{locate_faults, parse_document, read_document};
use pimentotide_control::{Action, Command, Order, Response, Verdict};
use pimentotide_document::{Problem, Problems};
use pimentotide_model::{ErrorKind, Failure, OrderId, Revision};

use super::reply::{answer, body, refuse};
use super::warn::warnings;
use crate::control::{Control, MemberChange};
use crate::message::{Accepted, ActionRequest, OrderRequest, ProblemBody};

/// Accepts an order and answers once it is committed.
pub(super) async fn submit<C>(control: Data<C>, payload: Payload) -> HttpResponse
where
    C: Control,
{
    let request = match body::<OrderRequest>(payload).await {
        Ok(request) => request,
        Err(failure) => return refuse(failure),
    };
    match propose(&**control, request).await {
        Ok(accepted) => answer(&accepted),
        Err(problem) => refuse(*problem),
    }
}

/// Changes the membership of the control replicas.
pub(super) async fn change<C>(control: Data<C>, payload: Payload) -> HttpResponse
where
    C: Control,
{
    let request = match body::<MemberChange>(payload).await {
        Ok(request) => request,
        Err(failure) => return refuse(failure),
    };
    log::info!("membership change requested by an operator: {request:?}");
    match control.change(request).await {
        Ok(cluster) => answer(&cluster),
        Err(failure) => refuse(failure),
    }
}

async fn propose<C>(control: &C, request: OrderRequest) -> Result<Accepted, Box<ProblemBody>>
where
    C: Control,
{
    let text = match &request.action {
        ActionRequest::Apply { text, .. } => text.clone(),
        _ => String::new(),
    };
    let order = build_order(control, request)?;
    let id = order.id.clone();
    log::info!("order {id} by {}: {}", order.actor, order.action);
    let warnings = control.read(|_, registry| warnings(&order.action, registry));
    let response = control.propose(Command::Declare(order)).await;
    match response.map_err(boxed_problem)? {
        Response::Declare(verdict) => verdict_result(id, verdict, &text, warnings),
        _ => Err(boxed_problem(Failure::new(
            ErrorKind::Internal,
            "unexpected response from the replicated log",
        ))),
    }
}

/// Builds the replicated order; rejects invalid text before the proposal.
fn build_order<C>(control: &C, request: OrderRequest) -> Result<Order, Box<ProblemBody>>
where
    C: Control,
{
    let action = match request.action {
        ActionRequest::Apply { text, prune } => parse_apply(control, &text, prune)?,
        other => other.into_action().ok_or_else(|| {
            boxed_problem(Failure::new(
                ErrorKind::Internal,
                "the action has no replicated form",
            ))
        })?,
    };
    Ok(Order {
        id: request.id,
        base: request.base,
        actor: request.actor,
        action,
    })
}

/// Parses a document without checking it against the declarations in force.
///
/// The replicated log makes that check, so that a resent order gets its
/// original answer even after later changes.
fn parse_apply<C>(control: &C, text: &str, prune: bool) -> Result<Action, Box<ProblemBody>>
where
    C: Control,
{
    if let Ok(document) = parse_document(text) {
        return Ok(Action::Apply { document, prune });
    }
    let outcome = control.read(|machine, _| read_document(text, machine.declarations(), prune));
    let problems = match outcome {
        Ok(_) => Problems::default(),
        Err(problems) => problems,
    };
    Err(invalid(problems.0))
}

fn verdict_result(
    id: OrderId,
    verdict: Verdict,
    text: &str,
    warnings: Vec<String>,
) -> Result<Accepted, Box<ProblemBody>> {
    match verdict {
        Verdict::Accepted { revision } => {
            log::info!("order {id} is in force at revision {revision}");
            Ok(Accepted {
                id,
                revision,
                warnings,
            })
        }
        Verdict::Invalid { faults } => Err(invalid(locate_faults(text, faults))),
        Verdict::Mismatch { id } => Err(boxed_problem(Failure::new(
            ErrorKind::KeyMismatch,
            format!("order {id} was already submitted with different content"),
        ))),
        Verdict::Conflict {
            base,
            current,
            winner,
        } => {
            let detail = match &winner {
                Some(winner) => format!(
                    "revision {base} was followed by order {} of {}: {}",
                    winner.id, winner.actor, winner.summary
                ),
                None => conflict_detail(base, current),
            };
            let mut problem = boxed_problem(Failure::new(ErrorKind::RevisionConflict, detail));
            problem.current = Some(current);
            problem.winner = winner;
            Err(problem)
        }
    }
}

fn conflict_detail(base: Revision, current: Revision) -> String {
    format!("the order is based on revision {base}; revision {current} is in force")
}

fn invalid(problems: Vec<Problem>) -> Box<ProblemBody> {
    let detail = format!("{} problems; nothing was changed", problems.len());
    let failure = Failure::new(ErrorKind::InvalidDeclaration, detail);
    Box::new(ProblemBody::from(failure).with_problems(problems))
}

fn boxed_problem(failure: Failure) -> Box<ProblemBody> {
    Box::new(ProblemBody::from(failure))
}
