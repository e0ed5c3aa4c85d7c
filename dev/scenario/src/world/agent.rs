//! Agents: gate, memory of claims, announcements and reports beside an engine.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use pimentotide_control::directory::{Announcer, HEARTBEAT_INTERVAL, ReportAnswer};
use pimentotide_model::{
    Announcement, Declarations, ErrorKind, Fence, Incarnation, ModelName, Revision, ServiceKind,
    ServiceName, Time, UpstreamName, VersionName, ZoneName,
};
use pimentotide_outcome::{
    AgentLedger, Begin, Blob, Body, ClaimRef, Conclusion, LedgerEpoch, LedgerLimits, NotRun,
    Outcome, Piece, Place,
};
use pimentotide_routing::{Completed, Gate, GatePolicy, GateSettings, Outcome as Ended, Permit};

use super::engine::{PIECES, Run, answer_to};
use super::holder::Holder;
use super::parcel::{Parcel, Work, WorkAnswer};
use super::{Item, NodeId, World};
use crate::script::Guard;

/// Time after which an agent that died runs again.
const RESTART: Duration = Duration::from_millis(300);
/// Pause between load reports.
const REPORT: Duration = Duration::from_millis(100);

/// A request that the agent has handed to its engine.
struct Running {
    permit: Option<Permit>,
    claim: Option<ClaimRef>,
    since: Time,
    first: Option<Time>,
}

/// The process beside an engine.
pub(super) struct Agent {
    pub(super) holder: Holder,
    gate: Gate,
    ledger: AgentLedger,
    epoch: LedgerEpoch,
    announcer: Announcer,
    announcement: Announcement,
    running: BTreeMap<u64, Running>,
    beat: Time,
    report: Time,
    engine: u64,
    revision: Revision,
}

impl World {
    pub(super) fn start_agent(&mut self, node: NodeId) {
        let now = self.local(node);
        let announcement = self.announcement(node);
        let settings = GateSettings {
            incarnation: announcement.incarnation,
            capacity: announcement.capacity,
            policy: GatePolicy::of(&Declarations::default(), &announcement),
        };
        let epoch = LedgerEpoch(self.fresh());
        let incarnation = announcement.incarnation;
        let replicas = self.disks.len();
        let agent = Agent {
            holder: Holder::new(replicas, node, now),
            gate: Gate::open(settings, now),
            ledger: AgentLedger::open(epoch, incarnation, LedgerLimits::default()),
            epoch,
            announcer: Announcer::new(announcement.clone(), replicas, now),
            engine: self.engines[&node].start,
            announcement,
            running: BTreeMap::new(),
            beat: now,
            report: now,
            revision: Revision(0),
        };
        self.agents.insert(node, agent);
    }

    fn announcement(&self, node: NodeId) -> Announcement {
        let text = &self.engines[&node].text;
        let kind = self.services[&text.service].kind;
        let service = ServiceName::from(text.service.as_str());
        let model = (
            ModelName::from(text.service.as_str()),
            VersionName::from("1"),
        );
        Announcement {
            upstream: UpstreamName::from(text.name.as_str()),
            incarnation: Incarnation(self.time.as_micros() + 1),
            zone: ZoneName::from(text.zone.as_str()),
            address: Self::address(node).to_string(),
            kind,
            services: if kind == ServiceKind::Plain {
                vec![service]
            } else {
                Vec::new()
            },
            models: if kind == ServiceKind::Model {
                vec![model]
            } else {
                Vec::new()
            },
            adapters: Vec::new(),
            capacity: text.capacity,
            group: None,
            leaving: false,
            revision: Revision(0),
            fence: Fence(0),
        }
    }

    pub(super) fn tick_agent(&mut self, node: NodeId) {
        if !self.agents.contains_key(&node) {
            return;
        }
        self.look_at_engine(node);
        self.tick_holder(node);
        let now = self.local(node);
        let unleased = self.bypasses(Guard::Currency);
        let agent = self.agents.get_mut(&node).expect("the agent runs");
        let expiry = if unleased {
            Time::MAX
        } else {
            agent.holder.watch.expiry()
        };
        agent.gate.renew(expiry);
        let _ = agent.gate.tick(now);
        let report = agent.gate.report();
        let (epoch, revision) = (agent.epoch, agent.holder.watch.revision());
        agent
            .announcer
            .set_status(revision, Fence(0), report.warmth);
        if now >= agent.report {
            agent.report = now + REPORT;
            for entry in 0..self.instances {
                self.send(node, entry, Parcel::Load(report, epoch));
            }
        }
        self.announce(node, now);
        let drained = self.hosts[node].stopping && self.agents[&node].gate.is_drained();
        if drained || self.hosts[node].stopping && self.bypasses(Guard::Drain) {
            self.exit(node);
        }
    }

    fn announce(&mut self, node: NodeId, now: Time) {
        let replicas: Vec<NodeId> = self.disks.keys().copied().collect();
        let agent = self.agents.get_mut(&node).expect("the agent runs");
        if now < agent.beat {
            return;
        }
        agent.beat = now + HEARTBEAT_INTERVAL;
        let rank = agent.announcer.rank();
        let reports: Vec<_> = (0..replicas.len())
            .map(|r| agent.announcer.report(r))
            .collect();
        for (to, report) in replicas.into_iter().zip(reports) {
            self.send(node, to, Parcel::Report(rank, Box::new(report)));
        }
    }

    pub(super) fn heard(
        &mut self,
        from: NodeId,
        node: NodeId,
        rank: (Incarnation, u64),
        heard: ReportAnswer,
    ) {
        let now = self.local(node);
        let replica = self.disks.keys().position(|n| *n == from);
        if let (Some(agent), Some(replica)) = (self.agents.get_mut(&node), replica) {
            agent.announcer.receive(replica, rank, heard, now);
        }
    }

    /// Notices that the engine has started anew.
    fn look_at_engine(&mut self, node: NodeId) {
        let now = self.local(node);
        let start = self.engines[&node].start;
        let incarnation = Incarnation(self.time.as_micros() + 1);
        let agent = self.agents.get_mut(&node).expect("the agent runs");
        if agent.engine == start {
            return;
        }
        agent.engine = start;
        agent.announcement.incarnation = incarnation;
        agent.gate.restart(incarnation, now);
        agent.ledger.upstream_crashed(now);
        agent.ledger.upstream_started(incarnation);
        agent
            .announcer
            .set_announcement(agent.announcement.clone(), now);
        agent.beat = now;
    }

    /// The agent dies; its engine goes on with what it runs.
    pub(super) fn kill_agent(&mut self, node: NodeId) {
        self.agents.remove(&node);
        let runs = self.engines.get(&node).map(|e| e.runs.clone());
        for (number, run) in runs.unwrap_or_default() {
            self.answer_flight(node, &run, WorkAnswer::Reset);
            let engine = self.engines.get_mut(&node).expect("it runs");
            if let Some(run) = engine.runs.get_mut(&number) {
                run.connected = false;
            }
        }
        let life = self.hosts[node].life;
        self.schedule(RESTART, Item::Agent(node, life));
    }

    pub(super) fn agent_back(&mut self, node: NodeId, life: u64) {
        if self.hosts[node].up && self.hosts[node].life == life {
            self.start_agent(node);
        }
    }

    pub(super) fn leave(&mut self, node: NodeId) {
        if self.bypasses(Guard::Leaving) {
            return;
        }
        let now = self.local(node);
        if let Some(agent) = self.agents.get_mut(&node) {
            agent.gate.drain();
            agent.announcement.leaving = true;
            agent
                .announcer
                .set_announcement(agent.announcement.clone(), now);
            agent.beat = now;
        }
    }

    /// Puts the policy of a newer configuration in force.
    pub(super) fn agent_news(&mut self, node: NodeId) {
        let now = self.local(node);
        let unleased = self.bypasses(Guard::Currency);
        let Some(agent) = self.agents.get_mut(&node) else {
            return;
        };
        let Some(declarations) = agent.holder.watch.declarations() else {
            return;
        };
        if unleased && agent.revision > Revision(0) {
            return;
        }
        agent.revision = declarations.revision;
        let policy = GatePolicy::of(declarations, &agent.announcement);
        let capacity = agent.announcement.capacity;
        let _ = agent.gate.set_policy(policy, capacity, now);
    }

    /// A request arrives to be run.
    pub(super) fn work(&mut self, from: NodeId, node: NodeId, work: Work) {
        let now = self.local(node);
        self.look_at_engine_if_up(node);
        let claims = !self.bypasses(Guard::Claims);
        let open = self.bypasses(Guard::Gate);
        let Some(agent) = self.agents.get_mut(&node) else {
            return;
        };
        if let Some((held, place)) = work.claim.as_ref().filter(|_| claims) {
            let early = match agent.ledger.begin(held.claim, place, now) {
                Begin::Run => None,
                Begin::NotRun(reason) => Some(WorkAnswer::NotRun(reason)),
                Begin::Finished(outcome) => Some(WorkAnswer::Finished(outcome)),
                Begin::Running | Begin::Lost => Some(WorkAnswer::Reset),
            };
            if let Some(answer) = early {
                return self.send(
                    node,
                    from,
                    Parcel::Answer(work.flight, work.attempt, answer),
                );
            }
        }
        let permit = match agent.gate.admit(&work.admission, now) {
            Ok(permit) => Some(permit),
            Err(_) if open => None,
            Err(refusal) => {
                let mut answer = WorkAnswer::Refused(Box::new(refusal));
                if let Some((held, _)) = &work.claim {
                    agent.ledger.finish(held.claim, Conclusion::Refused, now);
                    answer = WorkAnswer::NotRun(NotRun::Refused);
                }
                return self.send(
                    node,
                    from,
                    Parcel::Answer(work.flight, work.attempt, answer),
                );
            }
        };
        let running = Running {
            permit,
            claim: work.claim.as_ref().map(|(held, _)| held.clone()),
            since: now,
            first: None,
        };
        let run = Run {
            flight: work.flight,
            attempt: work.attempt,
            name: work.name,
            content: work.content,
            position: work.from,
            entry: from,
            once: work.claim.is_some(),
            connected: true,
        };
        let lies = self.bypasses(Guard::Refusals);
        let number = self.engine_run(node, run.clone());
        let agent = self.agents.get_mut(&node).expect("the agent runs");
        agent.running.insert(number, running);
        if lies {
            let report = agent.gate.report();
            let kind = ErrorKind::Overloaded;
            let refusal = Box::new(pimentotide_routing::Refusal { kind, report });
            self.answer_flight(node, &run, WorkAnswer::Refused(refusal));
        }
    }

    fn look_at_engine_if_up(&mut self, node: NodeId) {
        if self.agents.contains_key(&node) {
            self.look_at_engine(node);
        }
    }

    /// The engine has made a piece of an answer.
    pub(super) fn made(
        &mut self,
        node: NodeId,
        number: u64,
        run: &Run,
        position: u64,
        ended: bool,
    ) {
        let now = self.local(node);
        if let Some(agent) = self.agents.get_mut(&node)
            && let Some(running) = agent.running.get_mut(&number)
        {
            if running.first.is_none() {
                running.first = Some(now);
                if let Some(permit) = &running.permit {
                    agent.gate.first_token(permit, now);
                }
            }
            if ended {
                let running = agent.running.remove(&number).expect("it runs");
                let first = running.first.map(|f| f.since(running.since));
                if let Some(claim) = running.claim {
                    let end = Conclusion::Finished(outcome_of(&run.content));
                    agent.ledger.finish(claim.claim, end, now);
                }
                complete(&mut agent.gate, running.permit, Ended::Good, first, now);
            }
        }
        if run.once {
            if ended {
                let answer = WorkAnswer::Finished(outcome_of(&run.content));
                self.answer_flight(node, run, answer);
            }
            return;
        }
        if position < PIECES {
            self.answer_piece(node, run, position);
        }
        if ended {
            let request = super::flight::request_id(run.flight);
            let end = Piece::End {
                request,
                attempt: run.attempt,
                total: PIECES,
            };
            self.answer_flight(node, run, WorkAnswer::Piece(end));
        }
    }

    fn answer_piece(&mut self, node: NodeId, run: &Run, position: u64) {
        let piece = Piece::Token {
            request: super::flight::request_id(run.flight),
            attempt: run.attempt,
            position,
            token: answer_to(&run.content)[position as usize].clone(),
        };
        self.answer_flight(node, run, WorkAnswer::Piece(piece));
    }

    /// The engine died with these requests.
    pub(super) fn runs_died(&mut self, node: NodeId, runs: BTreeMap<u64, Run>) {
        let now = self.local(node);
        for (number, run) in runs {
            let mut answer = WorkAnswer::Reset;
            if let Some(agent) = self.agents.get_mut(&node)
                && let Some(running) = agent.running.remove(&number)
            {
                answer = WorkAnswer::Died(agent.announcer.incarnation());
                if let Some(claim) = running.claim {
                    agent.ledger.finish(claim.claim, Conclusion::Died, now);
                }
                complete(&mut agent.gate, running.permit, Ended::Failed, None, now);
            }
            if !self.hosts[node].up {
                answer = WorkAnswer::Reset;
            }
            self.answer_flight(node, &run, answer);
        }
    }

    pub(super) fn inquired(
        &mut self,
        from: NodeId,
        node: NodeId,
        (once, stage): (u64, u64),
        held: &ClaimRef,
        place: &Place,
    ) {
        let now = self.local(node);
        if let Some(agent) = self.agents.get_mut(&node) {
            let finding = agent.ledger.inquire(held.claim, place, now);
            self.send(node, from, Parcel::Found(once, stage, finding));
        }
    }
}

fn complete(
    gate: &mut Gate,
    permit: Option<Permit>,
    outcome: Ended,
    first: Option<Duration>,
    now: Time,
) {
    if let Some(permit) = permit {
        let done = Completed {
            outcome,
            first_token: first,
            token_gap: None,
        };
        let _ = gate.complete(permit, done, now);
    }
}

/// Whole answer of a request that runs once.
pub(super) fn outcome_of(content: &str) -> Arc<Outcome> {
    Arc::new(Outcome {
        status: 201,
        headers: Vec::new(),
        body: Body::Whole(Blob(Bytes::from(answer_to(content).join(" ")))),
    })
}
