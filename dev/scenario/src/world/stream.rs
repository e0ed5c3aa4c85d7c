//! Idempotent requests: placement, assembly, and another attempt after a break.

use std::time::Duration;

use pimentotide_control::Command;
use pimentotide_model::{
    ErrorKind, Failure, Incarnation, Ran, RequestId, RequestMeta, Time, UpstreamName, ZoneName,
};
use pimentotide_outcome::{
    Assembly, BrokenStream, Command as Journaled, Crash, Progress, Reply, ResumePlan, Ticket,
    Verdict, Witness, plan_resume,
};
use pimentotide_routing::{
    Admission, AttemptOutcome as Flown, Finished, Placement, Ticket as Booking,
};

use super::call::Purpose;
use super::engine::answer_to;
use super::ledger::Told;
use super::parcel::{Parcel, Work, WorkAnswer};
use super::{Item, NodeId, World};
use crate::script::{Guard, RequestText};

/// Pause before a request that found no room is placed again.
const ROOM_PAUSE: Duration = Duration::from_millis(20);
/// Longest wait for room.
const ROOM_WAIT: Duration = Duration::from_secs(5);

/// An idempotent request on its way.
pub(super) struct Flight {
    pub(super) entry: NodeId,
    name: String,
    content: String,
    meta: RequestMeta,
    tried: Vec<UpstreamName>,
    booking: Option<Booking>,
    upstream: Option<(UpstreamName, Incarnation)>,
    attempt: u32,
    left: u32,
    arrived: Time,
    sent: Time,
    heard: Time,
    ran: bool,
    verdict: Verdict,
    assembly: Assembly<String>,
    tokens: Vec<String>,
}

pub(super) fn request_id(flight: u64) -> RequestId {
    RequestId(u128::from(flight))
}

impl World {
    pub(super) fn tick_flights(&mut self, node: NodeId, now: Time) {
        let flights: Vec<u64> = self
            .flights
            .iter()
            .filter(|(_, f)| f.entry == node && f.booking.is_some())
            .map(|(id, _)| *id)
            .collect();
        for id in flights {
            let Some(flight) = self.flights.get_mut(&id) else {
                continue;
            };
            let late = now.since(flight.heard) > Self::longest_pause();
            let broken = matches!(flight.assembly.tick(now), Progress::Broken(_));
            if late || broken {
                self.broke(id, false);
            }
        }
    }

    pub(super) fn open_flight(
        &mut self,
        id: u64,
        node: NodeId,
        text: &RequestText,
        meta: RequestMeta,
        content: String,
        attempts: u32,
    ) {
        let now = self.local(node);
        let flight = Flight {
            entry: node,
            name: text.name.clone(),
            content,
            tried: Vec::new(),
            booking: None,
            upstream: None,
            attempt: 0,
            left: attempts,
            arrived: now,
            sent: now,
            heard: now,
            ran: false,
            verdict: Verdict::Free,
            assembly: Assembly::open(meta.id, 1),
            tokens: Vec::new(),
            meta,
        };
        self.flights.insert(id, flight);
        self.schedule(Duration::ZERO, Item::Flight(id));
    }

    /// Looks for a place for a request.
    pub(super) fn place_flight(&mut self, id: u64) {
        let Some(flight) = self.flights.get(&id) else {
            return;
        };
        let node = flight.entry;
        let now = self.local(node);
        if now >= flight.meta.deadline {
            return self.fail(id, Failure::new(ErrorKind::DeadlineExceeded, "late"));
        }
        if flight.booking.is_some() {
            return;
        }
        let (meta, tried) = (flight.meta.clone(), flight.tried.clone());
        let waited = now.since(flight.arrived);
        let entry = self
            .entries
            .get_mut(&node)
            .expect("flights end with their entry");
        match entry.placer.place(&meta, &tried, now, &mut self.rng) {
            Placement::Chosen(decision) => {
                let incarnation = entry
                    .holder
                    .view
                    .get(&decision.upstream)
                    .map(|a| a.incarnation);
                let flight = self.flights.get_mut(&id).expect("the flight is there");
                flight.upstream = Some((decision.upstream, incarnation.unwrap_or_default()));
                flight.booking = Some(decision.ticket);
                flight.sent = now;
                flight.heard = now;
                self.try_content(id);
            }
            Placement::Wait(_) if waited < ROOM_WAIT => {
                self.schedule(ROOM_PAUSE, Item::Flight(id));
            }
            Placement::Wait(_) => self.fail(id, Failure::new(ErrorKind::Overloaded, "no room")),
            Placement::Refused(failure) if waited >= ROOM_WAIT || tried.is_empty() => {
                self.fail(id, failure);
            }
            Placement::Refused(_) => {
                if let Some(flight) = self.flights.get_mut(&id) {
                    flight.tried.clear();
                }
                self.schedule(ROOM_PAUSE, Item::Flight(id));
            }
        }
    }

    /// Asks whether the content may run, if there is any that crashes engines.
    fn try_content(&mut self, id: u64) {
        let time = self.time;
        if self.poisons.is_empty() {
            return self.fly(id);
        }
        let Some(flight) = self.flights.get(&id) else {
            return;
        };
        let Some((upstream, _)) = flight.upstream.clone() else {
            return;
        };
        let command = Journaled::Trial {
            content: flight.meta.fingerprint,
            ticket: Ticket {
                request: flight.meta.id,
                attempt: flight.attempt + 1,
            },
            upstream,
            allowed: flight
                .meta
                .deadline
                .since(time)
                .min(Duration::from_secs(10)),
        };
        let node = flight.entry;
        self.submit(node, Command::Outcome(command), Purpose::Trial(id), None);
    }

    pub(super) fn trial_answered(&mut self, id: u64, reply: Option<&Reply>) {
        let verdict = match reply {
            Some(Reply::Verdict(verdict)) => *verdict,
            _ => Verdict::Free,
        };
        let Some(flight) = self.flights.get_mut(&id) else {
            return;
        };
        flight.verdict = verdict;
        match verdict {
            Verdict::Free | Verdict::Apart => self.fly(id),
            Verdict::Refused(_) => {
                self.unbook(id, Flown::Cancelled);
                self.fail(
                    id,
                    Failure::new(ErrorKind::CrashingRequest, "crashes engines"),
                );
            }
            Verdict::Wait(pause) => {
                self.unbook(id, Flown::Cancelled);
                self.schedule(pause, Item::Flight(id));
            }
            Verdict::Occupied => {
                self.unbook(id, Flown::Cancelled);
                self.schedule(ROOM_PAUSE, Item::Flight(id));
            }
        }
    }

    fn fly(&mut self, id: u64) {
        let Some(flight) = self.flights.get_mut(&id) else {
            return;
        };
        let node = flight.entry;
        let now = self.hosts[node].clock.local(self.time);
        flight.attempt += 1;
        flight.sent = now;
        flight.heard = now;
        if flight.attempt > 1 {
            flight.assembly.resume(flight.attempt);
        }
        let Some((upstream, _)) = flight.upstream.clone() else {
            return;
        };
        let work = Work {
            flight: id,
            attempt: flight.attempt,
            name: flight.name.clone(),
            content: flight.content.clone(),
            from: flight.assembly.delivered(),
            admission: self.admission(id, node),
            claim: None,
        };
        if let Some(to) = self.node(upstream.as_str()) {
            self.send(node, to, Parcel::Work(Box::new(work)));
        }
    }

    fn admission(&self, id: u64, node: NodeId) -> Admission {
        self.admission_of(&self.flights[&id].meta, node)
    }

    pub(super) fn admission_of(&self, meta: &RequestMeta, node: NodeId) -> Admission {
        Admission {
            entry: self.instance_name(node),
            request: meta.id,
            service: meta.service.clone(),
            workspace: meta.workspace.clone(),
            priority: meta.priority,
            remaining: meta.deadline.since(self.local(node)),
            revision: self.entries[&node].holder.watch.revision(),
            credit: None,
        }
    }

    /// Gives the booking of a request back.
    fn unbook(&mut self, id: u64, verdict: Flown) {
        let Some(flight) = self.flights.get_mut(&id) else {
            return;
        };
        let node = flight.entry;
        let now = self.hosts[node].clock.local(self.time);
        let done = Finished {
            outcome: verdict,
            first_token: Some(now.since(flight.sent)),
            total: now.since(flight.sent),
            tokens: flight.tokens.len() as u32,
            cached: None,
        };
        if let (Some(booking), Some(entry)) = (flight.booking.take(), self.entries.get_mut(&node)) {
            entry.placer.finish(booking, &flight.meta, &done, now);
        }
    }

    pub(super) fn work_answered(
        &mut self,
        from: NodeId,
        id: u64,
        attempt: u32,
        answer: WorkAnswer,
    ) {
        if self.onces.contains_key(&id) {
            return self.once_answered(id, attempt, answer);
        }
        let Some(flight) = self.flights.get_mut(&id) else {
            return;
        };
        let here = flight
            .upstream
            .as_ref()
            .is_some_and(|(u, _)| u.as_str() == self.hosts[from].name);
        if !here || flight.booking.is_none() || flight.attempt != attempt {
            return;
        }
        match answer {
            WorkAnswer::Refused(refusal) => {
                let upstream = flight.upstream.take().map(|(u, _)| u);
                flight.tried.extend(upstream);
                let report = Some(refusal.report);
                self.unbook(id, Flown::Refused(report));
                if self.bypasses(Guard::Refusals) {
                    let failure = Failure::new(refusal.kind, "refused");
                    return self.fail(id, failure);
                }
                self.schedule(ROOM_PAUSE, Item::Flight(id));
            }
            WorkAnswer::Unsent => {
                let upstream = flight.upstream.take().map(|(u, _)| u);
                flight.tried.extend(upstream);
                self.unbook(id, Flown::Failed);
                self.schedule(ROOM_PAUSE, Item::Flight(id));
            }
            WorkAnswer::Piece(piece) => self.piece(id, piece),
            WorkAnswer::Died(incarnation) => self.died(id, incarnation),
            WorkAnswer::Reset | WorkAnswer::NotRun(_) | WorkAnswer::Finished(_) => {
                self.broke(id, true);
            }
        }
    }

    fn piece(&mut self, id: u64, piece: pimentotide_outcome::Piece<String>) {
        let unordered = self.bypasses(Guard::Assembly);
        let flight = self.flights.get_mut(&id).expect("the flight is there");
        let now = self.hosts[flight.entry].clock.local(self.time);
        flight.heard = now;
        flight.ran = true;
        let progress = if unordered {
            raw(flight, piece)
        } else {
            flight.assembly.push(piece, now, &mut flight.tokens)
        };
        match progress {
            Progress::Open => {}
            Progress::Whole => {
                self.unbook(id, Flown::Good);
                let flight = self.flights.remove(&id).expect("the flight is there");
                let expected = answer_to(&flight.content);
                self.ledger
                    .whole(self.time, &flight.name, &flight.tokens, &expected);
                self.end_trial(&flight);
            }
            Progress::Broken(_) => self.broke(id, true),
        }
    }

    fn end_trial(&mut self, flight: &Flight) {
        if flight.verdict != Verdict::Apart {
            return;
        }
        let command = Journaled::EndTrial {
            content: flight.meta.fingerprint,
            ticket: Ticket {
                request: flight.meta.id,
                attempt: flight.attempt,
            },
            finished: true,
        };
        self.submit(
            flight.entry,
            Command::Outcome(command),
            Purpose::Crash,
            None,
        );
    }

    /// The engine died under a request, which is a suspect from now on.
    fn died(&mut self, id: u64, incarnation: Incarnation) {
        let flight = &self.flights[&id];
        if let Some((upstream, _)) = flight.upstream.clone() {
            let zone = self
                .node(upstream.as_str())
                .map(|n| self.hosts[n].zone.clone());
            let crash = Crash {
                upstream,
                incarnation,
                zone: zone.map(ZoneName::from),
                witness: Witness::Agent,
                suspects: vec![flight.meta.fingerprint],
            };
            let command = Command::Outcome(Journaled::Crash(crash));
            self.submit(flight.entry, command, Purpose::Crash, None);
        }
        self.broke(id, true);
    }

    /// An attempt broke off; decides whether there is another.
    fn broke(&mut self, id: u64, heard: bool) {
        self.unbook(id, Flown::Failed);
        let Some(flight) = self.flights.get_mut(&id) else {
            return;
        };
        let now = self.hosts[flight.entry].clock.local(self.time);
        flight.ran = true;
        flight.left = flight.left.saturating_sub(1);
        let upstream = flight.upstream.take().map(|(u, _)| u);
        if !heard || flight.tried.len() > 1 {
            flight.tried.clear();
        }
        flight.tried.extend(upstream);
        let state = BrokenStream {
            idempotent: true,
            delivered: flight.assembly.delivered(),
            resumable: true,
            attempts: flight.left,
            deadline: flight.meta.deadline,
            exporter: None,
            verdict: Verdict::Free,
        };
        match plan_resume(&state, now) {
            ResumePlan::Continue { .. } | ResumePlan::Restart | ResumePlan::ChooseAgain => {
                self.schedule(ROOM_PAUSE, Item::Flight(id));
            }
            ResumePlan::Wait(until) => self.schedule(until.since(now), Item::Flight(id)),
            ResumePlan::Fail(failure) => self.fail(id, failure),
        }
    }

    fn fail(&mut self, id: u64, failure: Failure) {
        let Some(flight) = self.flights.remove(&id) else {
            return;
        };
        let failure = if flight.ran && failure.ran == Ran::No {
            failure.with_ran(Ran::Unknown)
        } else {
            failure
        };
        self.tell_caller(&flight.name, Told::Failure(failure));
    }

    /// An entry died; its callers hear nothing.
    pub(super) fn drop_requests(&mut self, node: NodeId) {
        let flights: Vec<u64> = self
            .flights
            .iter()
            .filter(|(_, f)| f.entry == node)
            .map(|(id, _)| *id)
            .collect();
        for id in flights {
            let flight = self.flights.remove(&id).expect("it was listed");
            self.tell_caller(&flight.name, Told::Nothing);
        }
        self.drop_onces(node);
    }
}

/// Takes pieces in as they come, to show what the assembly is for.
fn raw(flight: &mut Flight, piece: pimentotide_outcome::Piece<String>) -> Progress {
    match piece {
        pimentotide_outcome::Piece::Token { token, .. } => {
            flight.tokens.push(token);
            Progress::Open
        }
        pimentotide_outcome::Piece::End { .. } => Progress::Whole,
    }
}
