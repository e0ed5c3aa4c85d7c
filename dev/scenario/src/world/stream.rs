//! Idempotent requests: placement, assembly of the stream, and retries after a broken attempt.

use std::time::Duration;

use pimentotide_control::Command;
use pimentotide_model::{
    ErrorKind, Failure, Incarnation, Ran, RequestId, RequestMeta, Time, UpstreamName, ZoneName,
};
use pimentotide_outcome::{
    Assembly, BrokenStream, Command as Journaled, Crash, Progress, Reply, ResumePlan, Ticket,
    Verdict, Witness, plan_resume,
};
use pimentotide_routing::{Admission, AttemptOutcome, Finished, Placement, Ticket as PlacerTicket};

use super::call::Purpose;
use super::engine::answer_to;
use super::history::CallerResult;
use super::packet::{Packet, Work, WorkAnswer};
use super::{NodeId, SimEvent, World};
use crate::script::{Guard, RequestSpec};

/// Delay before placement is retried.
const PLACEMENT_RETRY_DELAY: Duration = Duration::from_millis(20);
/// Time for which a request without a place is retried.
const PLACEMENT_TIMEOUT: Duration = Duration::from_secs(5);

/// An in-flight idempotent request.
pub(super) struct StreamRequest {
    pub(super) entry: NodeId,
    name: String,
    content: String,
    meta: RequestMeta,
    tried: Vec<UpstreamName>,
    ticket: Option<PlacerTicket>,
    upstream: Option<(UpstreamName, Incarnation)>,
    attempt: u32,
    attempts_left: u32,
    arrived_at: Time,
    sent_at: Time,
    received_at: Time,
    ran: bool,
    verdict: Verdict,
    assembly: Assembly<String>,
    tokens: Vec<String>,
}

pub(super) fn request_id(id: u64) -> RequestId {
    RequestId(u128::from(id))
}

impl World {
    pub(super) fn tick_streams(&mut self, node: NodeId, now: Time) {
        let streams: Vec<u64> = self
            .streams
            .iter()
            .filter(|(_, s)| s.entry == node && s.ticket.is_some())
            .map(|(id, _)| *id)
            .collect();
        for id in streams {
            let Some(stream) = self.streams.get_mut(&id) else {
                continue;
            };
            let timed_out = now.since(stream.received_at) > Self::piece_timeout();
            let broken = matches!(stream.assembly.tick(now), Progress::Broken(_));
            if timed_out || broken {
                self.attempt_failed(id, false);
            }
        }
    }

    pub(super) fn open_stream(
        &mut self,
        id: u64,
        node: NodeId,
        spec: &RequestSpec,
        meta: RequestMeta,
        content: String,
        attempts: u32,
    ) {
        let now = self.local(node);
        let stream = StreamRequest {
            entry: node,
            name: spec.name.clone(),
            content,
            tried: Vec::new(),
            ticket: None,
            upstream: None,
            attempt: 0,
            attempts_left: attempts,
            arrived_at: now,
            sent_at: now,
            received_at: now,
            ran: false,
            verdict: Verdict::Free,
            assembly: Assembly::open(meta.id, 1),
            tokens: Vec::new(),
            meta,
        };
        self.streams.insert(id, stream);
        self.schedule(Duration::ZERO, SimEvent::Stream(id));
    }

    /// Places a request at an upstream, or schedules another try.
    pub(super) fn place_stream(&mut self, id: u64) {
        let Some(stream) = self.streams.get(&id) else {
            return;
        };
        let node = stream.entry;
        let now = self.local(node);
        if now >= stream.meta.deadline {
            return self.fail(id, Failure::new(ErrorKind::DeadlineExceeded, "late"));
        }
        if stream.ticket.is_some() {
            return;
        }
        let (meta, tried) = (stream.meta.clone(), stream.tried.clone());
        let waited = now.since(stream.arrived_at);
        let entry = self
            .entries
            .get_mut(&node)
            .expect("a request ends with its entry");
        match entry.placer.place(&meta, &tried, now, &mut self.rng) {
            Placement::Chosen(decision) => {
                let incarnation = entry
                    .watcher
                    .view
                    .get(&decision.upstream)
                    .map(|a| a.incarnation);
                let stream = self.streams.get_mut(&id).expect("the request is open");
                stream.upstream = Some((decision.upstream, incarnation.unwrap_or_default()));
                stream.ticket = Some(decision.ticket);
                stream.sent_at = now;
                stream.received_at = now;
                self.request_trial(id);
            }
            Placement::Wait(_) if waited < PLACEMENT_TIMEOUT => {
                self.schedule(PLACEMENT_RETRY_DELAY, SimEvent::Stream(id));
            }
            Placement::Wait(_) => self.fail(
                id,
                Failure::new(ErrorKind::Overloaded, "no upstream has free capacity"),
            ),
            Placement::Refused(failure) if waited >= PLACEMENT_TIMEOUT || tried.is_empty() => {
                self.fail(id, failure);
            }
            Placement::Refused(_) => {
                if let Some(stream) = self.streams.get_mut(&id) {
                    stream.tried.clear();
                }
                self.schedule(PLACEMENT_RETRY_DELAY, SimEvent::Stream(id));
            }
        }
    }

    /// Requests a verdict on the content from the log; sends the attempt at once if the script
    /// poisons no content.
    fn request_trial(&mut self, id: u64) {
        let time = self.time;
        if self.poisons.is_empty() {
            return self.send_attempt(id);
        }
        let Some(stream) = self.streams.get(&id) else {
            return;
        };
        let Some((upstream, _)) = stream.upstream.clone() else {
            return;
        };
        let command = Journaled::Trial {
            content: stream.meta.fingerprint,
            ticket: Ticket {
                request: stream.meta.id,
                attempt: stream.attempt + 1,
            },
            upstream,
            allowed: stream
                .meta
                .deadline
                .since(time)
                .min(Duration::from_secs(10)),
        };
        let node = stream.entry;
        self.submit(node, Command::Outcome(command), Purpose::Trial(id), None);
    }

    pub(super) fn trial_answered(&mut self, id: u64, reply: Option<&Reply>) {
        let verdict = match reply {
            Some(Reply::Verdict(verdict)) => *verdict,
            _ => Verdict::Free,
        };
        let Some(stream) = self.streams.get_mut(&id) else {
            return;
        };
        stream.verdict = verdict;
        match verdict {
            Verdict::Free | Verdict::Apart => self.send_attempt(id),
            Verdict::Refused(_) => {
                self.release_ticket(id, AttemptOutcome::Cancelled);
                self.fail(
                    id,
                    Failure::new(ErrorKind::CrashingRequest, "this request crashes engines"),
                );
            }
            Verdict::Wait(pause) => {
                self.release_ticket(id, AttemptOutcome::Cancelled);
                self.schedule(pause, SimEvent::Stream(id));
            }
            Verdict::Occupied => {
                self.release_ticket(id, AttemptOutcome::Cancelled);
                self.schedule(PLACEMENT_RETRY_DELAY, SimEvent::Stream(id));
            }
        }
    }

    fn send_attempt(&mut self, id: u64) {
        let Some(stream) = self.streams.get_mut(&id) else {
            return;
        };
        let node = stream.entry;
        let now = self.hosts[node].clock.local(self.time);
        stream.attempt += 1;
        stream.sent_at = now;
        stream.received_at = now;
        if stream.attempt > 1 {
            stream.assembly.resume(stream.attempt);
        }
        let Some((upstream, _)) = stream.upstream.clone() else {
            return;
        };
        let work = Work {
            request: id,
            attempt: stream.attempt,
            name: stream.name.clone(),
            content: stream.content.clone(),
            from: stream.assembly.delivered(),
            admission: self.admission(id, node),
            claim: None,
        };
        if let Some(to) = self.node(upstream.as_str()) {
            self.send(node, to, Packet::Work(Box::new(work)));
        }
    }

    fn admission(&self, id: u64, node: NodeId) -> Admission {
        self.admission_of(&self.streams[&id].meta, node)
    }

    pub(super) fn admission_of(&self, meta: &RequestMeta, node: NodeId) -> Admission {
        Admission {
            entry: self.instance_name(node),
            request: meta.id,
            service: meta.service.clone(),
            workspace: meta.workspace.clone(),
            priority: meta.priority,
            remaining: meta.deadline.since(self.local(node)),
            revision: self.entries[&node].watcher.watch.revision(),
            credit: None,
        }
    }

    /// Returns the placement ticket of a request with the outcome of the attempt.
    fn release_ticket(&mut self, id: u64, outcome: AttemptOutcome) {
        let Some(stream) = self.streams.get_mut(&id) else {
            return;
        };
        let node = stream.entry;
        let now = self.hosts[node].clock.local(self.time);
        let done = Finished {
            outcome,
            first_token: Some(now.since(stream.sent_at)),
            total: now.since(stream.sent_at),
            tokens: stream.tokens.len() as u32,
            cached: None,
        };
        if let (Some(ticket), Some(entry)) = (stream.ticket.take(), self.entries.get_mut(&node)) {
            entry.placer.finish(ticket, &stream.meta, &done, now);
        }
    }

    pub(super) fn work_answered(
        &mut self,
        from: NodeId,
        id: u64,
        attempt: u32,
        answer: WorkAnswer,
    ) {
        if self.once_requests.contains_key(&id) {
            return self.once_answered(id, attempt, answer);
        }
        let Some(stream) = self.streams.get_mut(&id) else {
            return;
        };
        let expected = stream
            .upstream
            .as_ref()
            .is_some_and(|(u, _)| u.as_str() == self.hosts[from].name);
        if !expected || stream.ticket.is_none() || stream.attempt != attempt {
            return;
        }
        match answer {
            WorkAnswer::Refused(refusal) => {
                let upstream = stream.upstream.take().map(|(u, _)| u);
                stream.tried.extend(upstream);
                let report = Some(refusal.report);
                self.release_ticket(id, AttemptOutcome::Refused(report));
                if self.bypasses(Guard::Refusals) {
                    let failure = Failure::new(refusal.kind, "refused");
                    return self.fail(id, failure);
                }
                self.schedule(PLACEMENT_RETRY_DELAY, SimEvent::Stream(id));
            }
            WorkAnswer::Unsent => {
                let upstream = stream.upstream.take().map(|(u, _)| u);
                stream.tried.extend(upstream);
                self.release_ticket(id, AttemptOutcome::Failed);
                self.schedule(PLACEMENT_RETRY_DELAY, SimEvent::Stream(id));
            }
            WorkAnswer::Piece(piece) => self.piece_received(id, piece),
            WorkAnswer::EngineCrashed(incarnation) => self.engine_crashed(id, incarnation),
            WorkAnswer::Reset | WorkAnswer::NotRun(_) | WorkAnswer::Finished(_) => {
                self.attempt_failed(id, true);
            }
        }
    }

    fn piece_received(&mut self, id: u64, piece: pimentotide_outcome::Piece<String>) {
        let unordered = self.bypasses(Guard::Assembly);
        let stream = self.streams.get_mut(&id).expect("the request is open");
        let now = self.hosts[stream.entry].clock.local(self.time);
        stream.received_at = now;
        stream.ran = true;
        let progress = if unordered {
            append_unordered(stream, piece)
        } else {
            stream.assembly.push(piece, now, &mut stream.tokens)
        };
        match progress {
            Progress::Open => {}
            Progress::Whole => {
                self.release_ticket(id, AttemptOutcome::Good);
                let stream = self.streams.remove(&id).expect("the request is open");
                let expected = answer_to(&stream.content);
                self.history
                    .complete(self.time, &stream.name, &stream.tokens, &expected);
                self.end_trial(&stream);
            }
            Progress::Broken(_) => self.attempt_failed(id, true),
        }
    }

    fn end_trial(&mut self, stream: &StreamRequest) {
        if stream.verdict != Verdict::Apart {
            return;
        }
        let command = Journaled::EndTrial {
            content: stream.meta.fingerprint,
            ticket: Ticket {
                request: stream.meta.id,
                attempt: stream.attempt,
            },
            finished: true,
        };
        self.submit(
            stream.entry,
            Command::Outcome(command),
            Purpose::Crash,
            None,
        );
    }

    /// Reports a crash of the engine with the request as its suspect.
    fn engine_crashed(&mut self, id: u64, incarnation: Incarnation) {
        let stream = &self.streams[&id];
        if let Some((upstream, _)) = stream.upstream.clone() {
            let zone = self
                .node(upstream.as_str())
                .map(|n| self.hosts[n].zone.clone());
            let crash = Crash {
                upstream,
                incarnation,
                zone: zone.map(ZoneName::from),
                witness: Witness::Agent,
                suspects: vec![stream.meta.fingerprint],
            };
            let command = Command::Outcome(Journaled::Crash(crash));
            self.submit(stream.entry, command, Purpose::Crash, None);
        }
        self.attempt_failed(id, true);
    }

    /// Ends a broken attempt and plans the next one or fails the request.
    fn attempt_failed(&mut self, id: u64, answered: bool) {
        self.release_ticket(id, AttemptOutcome::Failed);
        let Some(stream) = self.streams.get_mut(&id) else {
            return;
        };
        let now = self.hosts[stream.entry].clock.local(self.time);
        stream.ran = true;
        stream.attempts_left = stream.attempts_left.saturating_sub(1);
        let upstream = stream.upstream.take().map(|(u, _)| u);
        if !answered || stream.tried.len() > 1 {
            stream.tried.clear();
        }
        stream.tried.extend(upstream);
        let state = BrokenStream {
            idempotent: true,
            delivered: stream.assembly.delivered(),
            resumable: true,
            attempts: stream.attempts_left,
            deadline: stream.meta.deadline,
            exporter: None,
            verdict: Verdict::Free,
        };
        match plan_resume(&state, now) {
            ResumePlan::Continue { .. } | ResumePlan::Restart | ResumePlan::ChooseAgain => {
                self.schedule(PLACEMENT_RETRY_DELAY, SimEvent::Stream(id));
            }
            ResumePlan::Wait(until) => self.schedule(until.since(now), SimEvent::Stream(id)),
            ResumePlan::Fail(failure) => self.fail(id, failure),
        }
    }

    fn fail(&mut self, id: u64, failure: Failure) {
        let Some(stream) = self.streams.remove(&id) else {
            return;
        };
        let failure = if stream.ran && failure.ran == Ran::No {
            failure.with_ran(Ran::Unknown)
        } else {
            failure
        };
        self.answer_caller(&stream.name, CallerResult::Failure(failure));
    }

    /// Drops the requests of a stopped entry; their callers receive no answer.
    pub(super) fn drop_requests(&mut self, node: NodeId) {
        let streams: Vec<u64> = self
            .streams
            .iter()
            .filter(|(_, s)| s.entry == node)
            .map(|(id, _)| *id)
            .collect();
        for id in streams {
            let stream = self.streams.remove(&id).expect("it was listed");
            self.answer_caller(&stream.name, CallerResult::Lost);
        }
        self.drop_once_requests(node);
    }
}

/// Appends pieces in order of arrival, without the checks of the assembly.
fn append_unordered(
    stream: &mut StreamRequest,
    piece: pimentotide_outcome::Piece<String>,
) -> Progress {
    match piece {
        pimentotide_outcome::Piece::Token { token, .. } => {
            stream.tokens.push(token);
            Progress::Open
        }
        pimentotide_outcome::Piece::End { .. } => Progress::Whole,
    }
}
