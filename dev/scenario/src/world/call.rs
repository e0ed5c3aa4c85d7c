//! Proposals to the control replicas, retried until they are answered or time out.

use std::time::Duration;

use pimentotide_control::{Action, Command, Order, Response, Verdict};
use pimentotide_model::{AdminState, OrderId, Revision, Time, UpstreamName, ZoneName};
use pimentotide_outcome::Reply;

use super::packet::{Packet, Proposed};
use super::{NodeId, OUTSIDE, SimEvent, World};
use crate::script::OrderSpec;

/// Time to wait for one replica before the next is tried.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Delay before a rejected proposal is sent to another replica.
const RETRY_DELAY: Duration = Duration::from_millis(50);
/// Time after which a claim or an expert command counts as unconfirmed.
const CLAIM_TIMEOUT: Duration = Duration::from_secs(3);
/// Time after which any other proposal is no longer retried.
const CALL_TIMEOUT: Duration = Duration::from_secs(60);

/// Originator of a proposal, which receives the response.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum Purpose {
    Services,
    Order(String),
    Claim(u64),
    Trial(u64),
    Crash,
    Experts(NodeId),
}

/// A pending proposal.
pub(super) struct Call {
    from: NodeId,
    command: Command,
    purpose: Purpose,
    position: usize,
    attempt: u32,
    deadline: Time,
}

/// An order of an operator and its latest verdict.
#[derive(Clone)]
pub(super) struct OrderState {
    order: Order,
    pub(super) verdict: Option<Verdict>,
    unanswered: bool,
}

impl World {
    pub(super) fn submit(
        &mut self,
        from: NodeId,
        command: Command,
        purpose: Purpose,
        first: Option<NodeId>,
    ) {
        let id = self.next_id();
        let claim = matches!(purpose, Purpose::Claim(_) | Purpose::Experts(_));
        let call = Call {
            from,
            command,
            purpose,
            position: self
                .disks
                .keys()
                .position(|n| *n == first.unwrap_or(from))
                .unwrap_or(0),
            attempt: 0,
            deadline: self.time + if claim { CLAIM_TIMEOUT } else { CALL_TIMEOUT },
        };
        self.calls.insert(id, call);
        self.send_call(id);
    }

    fn send_call(&mut self, id: u64) {
        let time = self.time;
        let replicas: Vec<NodeId> = self.disks.keys().copied().collect();
        let Some(call) = self.calls.get_mut(&id) else {
            return;
        };
        if time >= call.deadline {
            return self.conclude(id, None);
        }
        call.attempt += 1;
        let to = replicas[call.position % replicas.len()];
        let (from, attempt) = (call.from, call.attempt);
        let command = Box::new(call.command.clone());
        self.send(from, to, Packet::Propose(id, command));
        self.schedule(ANSWER_TIMEOUT, SimEvent::Call(id, attempt));
    }

    pub(super) fn call_timed_out(&mut self, id: u64, attempt: u32) {
        let Some(call) = self.calls.get_mut(&id) else {
            return;
        };
        if call.attempt != attempt {
            return;
        }
        call.position += 1;
        self.send_call(id);
    }

    pub(super) fn call_answered(&mut self, to: NodeId, id: u64, result: Proposed) {
        let Some(call) = self.calls.get_mut(&id) else {
            return;
        };
        if call.from != to {
            return;
        }
        if let Proposed::Rejected(Some(leader)) = result {
            // `call_timed_out` advances by one position before it sends.
            let found = self.disks.keys().position(|n| *n == leader);
            call.position = found.map_or(call.position, |p| p + self.disks.len() - 1);
        }
        match result {
            Proposed::Applied(response) => self.conclude(id, Some(response)),
            Proposed::Rejected(_) | Proposed::Unknown => {
                call.attempt += 1;
                let attempt = call.attempt;
                self.schedule(RETRY_DELAY, SimEvent::Call(id, attempt));
            }
        }
    }

    fn conclude(&mut self, id: u64, response: Option<Response>) {
        let Some(call) = self.calls.remove(&id) else {
            return;
        };
        if call.from != OUTSIDE && !self.hosts[call.from].up {
            return;
        }
        let reply: Option<Reply> = match &response {
            Some(Response::Outcome(reply)) => Some(reply.clone()),
            _ => None,
        };
        match (call.purpose, response) {
            (Purpose::Experts(node), Some(Response::Experts(reply))) => {
                self.rank_replied(node, reply);
            }
            (Purpose::Order(order), Some(Response::Declare(verdict))) => {
                self.order_answered(&order, verdict);
            }
            (Purpose::Order(order), _) => self.note(&format!("order {order}: no answer")),
            (Purpose::Claim(once), _) => self.once_committed(once, reply),
            (Purpose::Trial(stream), _) => self.trial_answered(stream, reply.as_ref()),
            (Purpose::Services | Purpose::Crash | Purpose::Experts(_), _) => {}
        }
    }

    pub(super) fn order(&mut self, spec: &OrderSpec) -> Result<(), String> {
        let standing = if spec.standing == "out" {
            AdminState::Out
        } else {
            AdminState::In
        };
        let action = if spec.kind == "zone" {
            Action::Zone {
                zone: ZoneName::from(spec.target.as_str()),
                standing,
            }
        } else {
            Action::Upstream {
                upstream: UpstreamName::from(spec.target.as_str()),
                standing: Some(standing),
                fenced: None,
            }
        };
        let order = Order {
            id: OrderId::from(spec.id.as_str()),
            base: spec.base.map(Revision),
            actor: "operator".to_owned(),
            action,
        };
        let state = OrderState {
            order,
            verdict: None,
            unanswered: spec.unanswered,
        };
        self.orders.insert(spec.id.clone(), state);
        self.resend(&spec.id, spec.via.as_deref())
    }

    pub(super) fn resend(&mut self, id: &str, via: Option<&str>) -> Result<(), String> {
        let first = match via {
            Some(name) => Some(
                self.node(name)
                    .ok_or(format!("no node is called {name:?}"))?,
            ),
            None => None,
        };
        let order = self.orders[id].order.clone();
        let purpose = Purpose::Order(id.to_owned());
        self.submit(OUTSIDE, Command::Declare(order), purpose, first);
        Ok(())
    }

    /// Submits `count` orders at once, each of which changes the configuration.
    pub(super) fn flood(&mut self, count: u32) {
        let zone = ZoneName::from("flooded");
        for number in 0..count {
            let standing = if number.is_multiple_of(2) {
                AdminState::Out
            } else {
                AdminState::In
            };
            let id = format!("flood-{}-{number}", self.time.as_millis());
            let order = Order {
                id: OrderId::from(id),
                base: None,
                actor: "operator".to_owned(),
                action: Action::Zone {
                    zone: zone.clone(),
                    standing,
                },
            };
            self.submit(OUTSIDE, Command::Declare(order), Purpose::Services, None);
        }
    }

    fn order_answered(&mut self, id: &str, verdict: Verdict) {
        let Some(state) = self.orders.get_mut(id) else {
            return;
        };
        if std::mem::take(&mut state.unanswered) {
            return self.note(&format!("order {id}: the answer is lost"));
        }
        let text = verdict_text(&verdict);
        state.verdict = Some(verdict);
        self.note(&format!("order {id}: {text}"));
    }
}

/// Formats a verdict in the words that scripts expect.
pub(super) fn verdict_text(verdict: &Verdict) -> String {
    match verdict {
        Verdict::Accepted { revision } => format!("accepted as revision {revision}"),
        Verdict::Conflict { base, current, .. } => {
            format!("conflict: based on revision {base}, current revision is {current}")
        }
        Verdict::Mismatch { .. } => "mismatch".to_owned(),
        Verdict::Invalid { .. } => "invalid".to_owned(),
    }
}
