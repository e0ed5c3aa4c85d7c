//! Agents: gate, claim ledger, announcements and load reports of an upstream.

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
use pimentotide_routing::{
    Completed, Gate, GatePolicy, GateSettings, Outcome as GateOutcome, Permit,
};

use super::engine::{PIECES, Run, answer_to};
use super::packet::{Packet, Work, WorkAnswer};
use super::watcher::Watcher;
use super::{NodeId, SimEvent, World};
use crate::script::Guard;

/// Time from the crash of an agent to its restart.
const AGENT_RESTART_DELAY: Duration = Duration::from_millis(300);
/// Interval of load reports to every entry.
const LOAD_REPORT_INTERVAL: Duration = Duration::from_millis(100);

/// A request passed to the engine and not yet answered.
struct Running {
    permit: Option<Permit>,
    claim: Option<ClaimRef>,
    started_at: Time,
    first_token_at: Option<Time>,
}

/// State of a running agent.
pub(super) struct Agent {
    pub(super) watcher: Watcher,
    gate: Gate,
    ledger: AgentLedger,
    epoch: LedgerEpoch,
    announcer: Announcer,
    announcement: Announcement,
    running: BTreeMap<u64, Running>,
    next_heartbeat: Time,
    next_report: Time,
    engine_generation: u64,
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
        let epoch = LedgerEpoch(self.next_id());
        let incarnation = announcement.incarnation;
        let replicas = self.disks.len();
        let agent = Agent {
            watcher: Watcher::new(replicas, node, now),
            gate: Gate::open(settings, now),
            ledger: AgentLedger::open(epoch, incarnation, LedgerLimits::default()),
            epoch,
            announcer: Announcer::new(announcement.clone(), replicas, now),
            engine_generation: self.engines[&node].generation,
            announcement,
            running: BTreeMap::new(),
            next_heartbeat: now,
            next_report: now,
            revision: Revision(0),
        };
        self.agents.insert(node, agent);
    }

    fn announcement(&self, node: NodeId) -> Announcement {
        let spec = &self.engines[&node].spec;
        let kind = self.services[&spec.service].kind;
        let service = ServiceName::from(spec.service.as_str());
        let model = (
            ModelName::from(spec.service.as_str()),
            VersionName::from("1"),
        );
        Announcement {
            upstream: UpstreamName::from(spec.name.as_str()),
            incarnation: Incarnation(self.time.as_micros() + 1),
            zone: ZoneName::from(spec.zone.as_str()),
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
            capacity: spec.capacity,
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
        self.check_engine(node);
        self.tick_watcher(node);
        let now = self.local(node);
        let unleased = self.bypasses(Guard::Currency);
        let agent = self.agents.get_mut(&node).expect("the agent runs");
        let expiry = if unleased {
            Time::MAX
        } else {
            agent.watcher.watch.expiry()
        };
        agent.gate.renew(expiry);
        let _ = agent.gate.tick(now);
        let report = agent.gate.report();
        let (epoch, revision) = (agent.epoch, agent.watcher.watch.revision());
        agent
            .announcer
            .set_status(revision, Fence(0), report.warmth);
        if now >= agent.next_report {
            agent.next_report = now + LOAD_REPORT_INTERVAL;
            for entry in 0..self.instances {
                self.send(node, entry, Packet::Load(report, epoch));
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
        if now < agent.next_heartbeat {
            return;
        }
        agent.next_heartbeat = now + HEARTBEAT_INTERVAL;
        let rank = agent.announcer.rank();
        let reports: Vec<_> = (0..replicas.len())
            .map(|r| agent.announcer.report(r))
            .collect();
        for (to, report) in replicas.into_iter().zip(reports) {
            self.send(node, to, Packet::Report(rank, Box::new(report)));
        }
    }

    pub(super) fn report_answered(
        &mut self,
        from: NodeId,
        node: NodeId,
        rank: (Incarnation, u64),
        answer: ReportAnswer,
    ) {
        let now = self.local(node);
        let replica = self.disks.keys().position(|n| *n == from);
        if let (Some(agent), Some(replica)) = (self.agents.get_mut(&node), replica) {
            agent.announcer.receive(replica, rank, answer, now);
        }
    }

    /// Starts a new incarnation if the engine has restarted.
    fn check_engine(&mut self, node: NodeId) {
        let now = self.local(node);
        let generation = self.engines[&node].generation;
        let incarnation = Incarnation(self.time.as_micros() + 1);
        let agent = self.agents.get_mut(&node).expect("the agent runs");
        if agent.engine_generation == generation {
            return;
        }
        agent.engine_generation = generation;
        agent.announcement.incarnation = incarnation;
        agent.gate.restart(incarnation, now);
        agent.ledger.upstream_crashed(now);
        agent.ledger.upstream_started(incarnation);
        agent
            .announcer
            .set_announcement(agent.announcement.clone(), now);
        agent.next_heartbeat = now;
    }

    /// Crashes an agent; its engine continues to run the requests that it has.
    pub(super) fn kill_agent(&mut self, node: NodeId) {
        self.agents.remove(&node);
        let runs = self.engines.get(&node).map(|e| e.runs.clone());
        for (number, run) in runs.unwrap_or_default() {
            self.answer_run(node, &run, WorkAnswer::Reset);
            let engine = self.engines.get_mut(&node).expect("the engine was listed");
            if let Some(run) = engine.runs.get_mut(&number) {
                run.connected = false;
            }
        }
        let generation = self.hosts[node].generation;
        self.schedule(AGENT_RESTART_DELAY, SimEvent::Agent(node, generation));
    }

    pub(super) fn restart_agent(&mut self, node: NodeId, generation: u64) {
        if self.hosts[node].up && self.hosts[node].generation == generation {
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
            agent.next_heartbeat = now;
        }
    }

    /// Applies the gate policy of a newer configuration.
    pub(super) fn update_agent_policy(&mut self, node: NodeId) {
        let now = self.local(node);
        let unleased = self.bypasses(Guard::Currency);
        let Some(agent) = self.agents.get_mut(&node) else {
            return;
        };
        let Some(declarations) = agent.watcher.watch.declarations() else {
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

    /// Claims, admits and starts a received request, or answers why it does not run.
    pub(super) fn work_received(&mut self, from: NodeId, node: NodeId, work: Work) {
        let now = self.local(node);
        self.check_engine_if_running(node);
        let claims = !self.bypasses(Guard::Claims);
        let ungated = self.bypasses(Guard::Gate);
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
                    Packet::Answer(work.request, work.attempt, answer),
                );
            }
        }
        let permit = match agent.gate.admit(&work.admission, now) {
            Ok(permit) => Some(permit),
            Err(_) if ungated => None,
            Err(refusal) => {
                let mut answer = WorkAnswer::Refused(Box::new(refusal));
                if let Some((held, _)) = &work.claim {
                    agent.ledger.finish(held.claim, Conclusion::Refused, now);
                    answer = WorkAnswer::NotRun(NotRun::Refused);
                }
                return self.send(
                    node,
                    from,
                    Packet::Answer(work.request, work.attempt, answer),
                );
            }
        };
        let running = Running {
            permit,
            claim: work.claim.as_ref().map(|(held, _)| held.clone()),
            started_at: now,
            first_token_at: None,
        };
        let run = Run {
            request: work.request,
            attempt: work.attempt,
            name: work.name,
            content: work.content,
            position: work.from,
            entry: from,
            once: work.claim.is_some(),
            connected: true,
        };
        let misreports = self.bypasses(Guard::Refusals);
        let number = self.engine_run(node, run.clone());
        let agent = self.agents.get_mut(&node).expect("the agent runs");
        agent.running.insert(number, running);
        if misreports {
            let report = agent.gate.report();
            let kind = ErrorKind::Overloaded;
            let refusal = Box::new(pimentotide_routing::Refusal { kind, report });
            self.answer_run(node, &run, WorkAnswer::Refused(refusal));
        }
    }

    fn check_engine_if_running(&mut self, node: NodeId) {
        if self.agents.contains_key(&node) {
            self.check_engine(node);
        }
    }

    /// Sends a piece that the engine produced; completes the request after the last one.
    pub(super) fn piece_produced(
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
            if running.first_token_at.is_none() {
                running.first_token_at = Some(now);
                if let Some(permit) = &running.permit {
                    agent.gate.first_token(permit, now);
                }
            }
            if ended {
                let running = agent.running.remove(&number).expect("the request runs");
                let first = running.first_token_at.map(|f| f.since(running.started_at));
                if let Some(claim) = running.claim {
                    let end = Conclusion::Finished(outcome_of(&run.content));
                    agent.ledger.finish(claim.claim, end, now);
                }
                complete(
                    &mut agent.gate,
                    running.permit,
                    GateOutcome::Good,
                    first,
                    now,
                );
            }
        }
        if run.once {
            if ended {
                let answer = WorkAnswer::Finished(outcome_of(&run.content));
                self.answer_run(node, run, answer);
            }
            return;
        }
        if position < PIECES {
            self.answer_piece(node, run, position);
        }
        if ended {
            let request = super::stream::request_id(run.request);
            let end = Piece::End {
                request,
                attempt: run.attempt,
                total: PIECES,
            };
            self.answer_run(node, run, WorkAnswer::Piece(end));
        }
    }

    fn answer_piece(&mut self, node: NodeId, run: &Run, position: u64) {
        let piece = Piece::Token {
            request: super::stream::request_id(run.request),
            attempt: run.attempt,
            position,
            token: answer_to(&run.content)[position as usize].clone(),
        };
        self.answer_run(node, run, WorkAnswer::Piece(piece));
    }

    /// Fails the requests that ran at an engine when it crashed.
    pub(super) fn runs_failed(&mut self, node: NodeId, runs: BTreeMap<u64, Run>) {
        let now = self.local(node);
        for (number, run) in runs {
            let mut answer = WorkAnswer::Reset;
            if let Some(agent) = self.agents.get_mut(&node)
                && let Some(running) = agent.running.remove(&number)
            {
                answer = WorkAnswer::EngineCrashed(agent.announcer.incarnation());
                if let Some(claim) = running.claim {
                    agent.ledger.finish(claim.claim, Conclusion::Died, now);
                }
                complete(
                    &mut agent.gate,
                    running.permit,
                    GateOutcome::Failed,
                    None,
                    now,
                );
            }
            if !self.hosts[node].up {
                answer = WorkAnswer::Reset;
            }
            self.answer_run(node, &run, answer);
        }
    }

    pub(super) fn inquiry_received(
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
            self.send(node, from, Packet::Found(once, stage, finding));
        }
    }
}

fn complete(
    gate: &mut Gate,
    permit: Option<Permit>,
    outcome: GateOutcome,
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

/// Complete answer to a request that runs at most once.
pub(super) fn outcome_of(content: &str) -> Arc<Outcome> {
    Arc::new(Outcome {
        status: 201,
        headers: Vec::new(),
        body: Body::Whole(Blob(Bytes::from(answer_to(content).join(" ")))),
    })
}
