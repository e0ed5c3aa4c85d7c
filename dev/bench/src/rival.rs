//! Two baseline protocols for switching maps, run under the same faults.
//!
//! In the two-phase switch the coordinator proposes a step when the ranks arm: a
//! rank that reaches this step waits until it receives the decision. In the
//! barrier switch a rank waits from arming until it receives the decision.
//! Weights are loaded before either switch begins.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};
use std::time::Duration;

use pimentotide_model::Time;

use crate::group::{ELECTION, PROPOSAL, Process, RANKS, RESTART, STEP, TICK};
use crate::network::{Fault, Network};

/// Time to load the weights after a restart, for rank 0; rank n takes n + 1 times as long.
const RELOAD_TIME: Duration = Duration::from_millis(150);

/// Steps between the newest known step and the proposed switch step.
const STEP_LEAD: u64 = 8;

/// Baseline protocol for a switch.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Protocol {
    TwoPhase,
    Barrier,
}

#[derive(Clone, Copy, Debug)]
enum Message {
    Arm(u64),
    Armed(u16, u64),
    Refused(u64),
    Decided(u64),
    Acknowledged(u16),
    Query(u16),
    KeepMap,
}

#[derive(Clone, Copy, Debug)]
enum Event {
    Deliver(Process, Message),
    Tick(Process, u64),
    StepDone(u64),
    Restart(Process),
    Ready(u16, u64),
}

/// Last instruction that a rank received.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Instruction {
    /// None received since the rank started.
    Unknown,
    /// Run under the old map.
    KeepMap,
    /// Wait before the step of this number.
    Armed(u64),
    /// Run under the new map from this step on.
    Decided(u64),
}

struct Rank {
    alive: bool,
    ready: bool,
    start: u64,
    step: u64,
    running: bool,
    instruction: Instruction,
}

/// Group that switches by one of the two protocols.
pub(crate) struct BaselineGroup {
    protocol: Protocol,
    now: Time,
    queue: BinaryHeap<Reverse<(Time, u64)>>,
    events: BTreeMap<u64, Event>,
    next: u64,
    network: Network,
    /// Step at which each rank armed; `None` while the control process is down.
    control: Option<BTreeMap<u16, u64>>,
    acknowledged: BTreeSet<u16>,
    control_start: u64,
    /// Step proposed for the switch.
    proposed: Option<u64>,
    decided: Option<u64>,
    ranks: Vec<Rank>,
    started: BTreeSet<u16>,
    last_step: Time,
    /// Longest time between two steps that all ranks finished.
    pub(crate) longest_gap: Duration,
}

impl BaselineGroup {
    pub(crate) fn new(protocol: Protocol, network: Network) -> Self {
        let rank = || Rank {
            alive: true,
            ready: true,
            start: 0,
            step: 0,
            running: false,
            instruction: Instruction::KeepMap,
        };
        let mut group = Self {
            protocol,
            now: Time::ZERO,
            queue: BinaryHeap::new(),
            events: BTreeMap::new(),
            next: 0,
            network,
            control: Some(BTreeMap::new()),
            acknowledged: BTreeSet::new(),
            control_start: 0,
            proposed: None,
            decided: None,
            ranks: (0..RANKS).map(|_| rank()).collect(),
            started: BTreeSet::new(),
            last_step: Time::ZERO,
            longest_gap: Duration::ZERO,
        };
        group.after(PROPOSAL, Event::Tick(Process::Control, 0));
        group.start_ranks();
        group
    }

    pub(crate) fn run(&mut self, end: Time) {
        while let Some(Reverse((at, id))) = self.queue.pop() {
            if at > end {
                self.queue.push(Reverse((at, id)));
                break;
            }
            self.now = at;
            let event = self.events.remove(&id).expect("event queued");
            self.handle(event);
        }
        self.now = end;
        self.longest_gap = self.longest_gap.max(end.since(self.last_step));
    }

    pub(crate) fn count(&self) -> u64 {
        self.network.count()
    }

    pub(crate) fn heal(&mut self) {
        self.network.heal();
    }

    fn after(&mut self, delay: Duration, event: Event) {
        self.next += 1;
        self.queue.push(Reverse((self.now + delay, self.next)));
        self.events.insert(self.next, event);
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Deliver(to, message) => self.deliver(to, message),
            Event::Tick(process, start) => self.tick(process, start),
            Event::StepDone(step) => self.step_done(step),
            Event::Restart(process) => self.restart(process),
            Event::Ready(rank, start) => {
                let state = &mut self.ranks[usize::from(rank)];
                state.ready = state.start == start && state.alive;
                self.start_ranks();
            }
        }
    }

    fn alive(&self, process: Process) -> bool {
        match process {
            Process::Control => self.control.is_some(),
            Process::Rank(rank) => self.ranks[usize::from(rank)].alive,
            _ => false,
        }
    }

    fn kill(&mut self, process: Process) {
        if !self.alive(process) {
            return;
        }
        match process {
            Process::Control => {
                self.control = None;
                self.after(ELECTION, Event::Restart(process));
            }
            Process::Rank(rank) => {
                let rank = &mut self.ranks[usize::from(rank)];
                rank.alive = false;
                rank.ready = false;
                rank.running = false;
                rank.instruction = Instruction::Unknown;
                self.after(RESTART, Event::Restart(process));
            }
            _ => {}
        }
    }

    fn restart(&mut self, process: Process) {
        match process {
            Process::Control => {
                self.control = Some(BTreeMap::new());
                self.acknowledged.clear();
                // The log holds no decision: the proposed step is dropped and proposed anew.
                self.proposed = None;
                self.control_start += 1;
                self.after(Duration::ZERO, Event::Tick(process, self.control_start));
            }
            Process::Rank(number) => {
                let rank = &mut self.ranks[usize::from(number)];
                rank.alive = true;
                rank.start += 1;
                let start = rank.start;
                self.started.remove(&number);
                self.after(
                    RELOAD_TIME * u32::from(number + 1),
                    Event::Ready(number, start),
                );
                self.after(Duration::ZERO, Event::Tick(process, start));
            }
            _ => {}
        }
    }

    fn send(&mut self, from: Process, to: Process, message: Message) {
        if !self.alive(from) {
            return;
        }
        let transmission = self.network.transmit(from, to);
        for delay in transmission.delays {
            self.after(delay, Event::Deliver(to, message));
        }
        match transmission.fault {
            Some(Fault::KillSender) => self.kill(from),
            Some(Fault::KillReceiver) => self.kill(to),
            Some(Fault::KillControl) => self.kill(Process::Control),
            Some(Fault::KillLeader) => self.kill(Process::Rank(0)),
            _ => {}
        }
    }

    fn tick(&mut self, process: Process, start: u64) {
        if !self.alive(process) {
            return;
        }
        match process {
            Process::Control if start == self.control_start => self.tick_control(),
            Process::Rank(rank) if start == self.ranks[usize::from(rank)].start => {
                if self.ranks[usize::from(rank)].instruction == Instruction::Unknown {
                    self.send(process, Process::Control, Message::Query(rank));
                }
            }
            _ => return,
        }
        self.after(TICK, Event::Tick(process, start));
    }

    fn tick_control(&mut self) {
        let steps = self.ranks.iter().map(|r| r.step).max().unwrap_or(0);
        let lead = if self.protocol == Protocol::TwoPhase {
            STEP_LEAD
        } else {
            0
        };
        let proposed = *self.proposed.get_or_insert(steps + lead);
        for rank in 0..RANKS {
            let armed = self.control.as_ref().is_some_and(|a| a.contains_key(&rank));
            match self.decided {
                Some(step) if !self.acknowledged.contains(&rank) => {
                    self.send(
                        Process::Control,
                        Process::Rank(rank),
                        Message::Decided(step),
                    );
                }
                None if !armed => {
                    self.send(
                        Process::Control,
                        Process::Rank(rank),
                        Message::Arm(proposed),
                    );
                }
                _ => {}
            }
        }
    }

    fn deliver(&mut self, to: Process, message: Message) {
        if !self.alive(to) {
            return;
        }
        match to {
            Process::Control => self.deliver_control(message),
            Process::Rank(rank) => self.deliver_rank(rank, message),
            _ => {}
        }
        self.start_ranks();
    }

    fn deliver_control(&mut self, message: Message) {
        match message {
            Message::Armed(rank, step) => {
                let Some(armed) = &mut self.control else {
                    return;
                };
                armed.insert(rank, step);
                if armed.len() == usize::from(RANKS) && self.decided.is_none() {
                    let newest = armed.values().max().copied().unwrap_or(0);
                    let proposed = self.proposed.unwrap_or(0);
                    let barrier = self.protocol == Protocol::Barrier;
                    self.decided = Some(if barrier { newest + 1 } else { proposed });
                    self.tick_control();
                }
            }
            Message::Refused(step) if self.proposed == Some(step) && self.decided.is_none() => {
                self.proposed = None;
                self.control = Some(BTreeMap::new());
            }
            Message::Acknowledged(rank) => {
                self.acknowledged.insert(rank);
            }
            Message::Query(rank) => {
                let reply = self.decided.map_or(Message::KeepMap, Message::Decided);
                if self.decided.is_none() {
                    self.control.iter_mut().for_each(|a| {
                        a.remove(&rank);
                    });
                }
                self.send(Process::Control, Process::Rank(rank), reply);
            }
            _ => {}
        }
    }

    fn deliver_rank(&mut self, number: u16, message: Message) {
        let process = Process::Rank(number);
        let rank = &mut self.ranks[usize::from(number)];
        let reply = match (message, rank.instruction) {
            (Message::Arm(_), Instruction::Decided(_) | Instruction::Unknown) => None,
            (Message::Arm(proposed), _)
                if self.protocol == Protocol::TwoPhase && rank.step >= proposed =>
            {
                Some(Message::Refused(proposed))
            }
            (Message::Arm(proposed), _) => {
                rank.instruction = Instruction::Armed(proposed);
                Some(Message::Armed(number, rank.step))
            }
            (Message::Decided(step), _) => {
                rank.instruction = Instruction::Decided(step);
                Some(Message::Acknowledged(number))
            }
            (Message::KeepMap, Instruction::Unknown) => {
                rank.instruction = Instruction::KeepMap;
                None
            }
            _ => None,
        };
        if let Some(reply) = reply {
            self.send(process, Process::Control, reply);
        }
    }

    /// Starts the next step on all ranks that are ready and may run it.
    fn start_ranks(&mut self) {
        let step = self.ranks.iter().map(|r| r.step).max().unwrap_or(0);
        let step = if self.started.is_empty() {
            step + 1
        } else {
            step
        };
        for (number, rank) in (0..).zip(&mut self.ranks) {
            let may_run = match rank.instruction {
                Instruction::Unknown => false,
                Instruction::KeepMap | Instruction::Decided(_) => true,
                Instruction::Armed(proposed) => {
                    self.protocol == Protocol::TwoPhase && step < proposed
                }
            };
            if rank.alive && rank.ready && !rank.running && may_run {
                rank.step = step;
                rank.running = true;
                self.started.insert(number);
                if self.started.len() == usize::from(RANKS) {
                    self.after(STEP, Event::StepDone(step));
                    return;
                }
            }
        }
    }

    fn step_done(&mut self, _step: u64) {
        if self.started.len() < usize::from(RANKS) || self.ranks.iter().any(|r| !r.alive) {
            return;
        }
        self.longest_gap = self.longest_gap.max(self.now.since(self.last_step));
        self.last_step = self.now;
        self.started.clear();
        self.ranks.iter_mut().for_each(|r| r.running = false);
        self.start_ranks();
    }
}
