//! Two other ways to switch maps, as baselines under the same faults.
//!
//! In the two-phase switch a step is named when the ranks arm: a rank that
//! reaches the step holds it until it hears the decision. In the barrier
//! switch a rank holds from the moment that it arms until it hears the fire.
//! Weights are in place before either begins.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};
use std::time::Duration;

use pimentotide_model::Time;

use crate::group::{ELECTION, PROPOSAL, Process, RANKS, RESTART, STEP, TICK};
use crate::network::{Fault, Network};

/// Time that the first rank takes to load its weights after a restart; others take longer.
const RELOAD: Duration = Duration::from_millis(150);

/// Steps between the newest known step and the named one.
const LEAD: u64 = 8;

/// Way of switching.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Way {
    TwoPhase,
    Barrier,
}

#[derive(Clone, Copy, Debug)]
enum Note {
    Arm(u64),
    Armed(u16, u64),
    Refused(u64),
    Decided(u64),
    Heard(u16),
    Ask(u16),
    Plain,
}

#[derive(Clone, Copy, Debug)]
enum Event {
    Deliver(Process, Note),
    Tick(Process, u64),
    StepDone(u64),
    Restart(Process),
    Ready(u16, u64),
}

/// What a rank has been told.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Told {
    /// Nothing since its start.
    Nothing,
    /// Run under the old map.
    Plain,
    /// Hold the step of this number.
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
    told: Told,
}

/// Group that switches in one of the two ways.
pub(crate) struct Rival {
    way: Way,
    now: Time,
    queue: BinaryHeap<Reverse<(Time, u64)>>,
    events: BTreeMap<u64, Event>,
    next: u64,
    network: Network,
    control: Option<BTreeMap<u16, u64>>,
    heard: BTreeSet<u16>,
    control_start: u64,
    named: Option<u64>,
    decided: Option<u64>,
    ranks: Vec<Rank>,
    started: BTreeSet<u16>,
    last_step: Time,
    pub(crate) longest: Duration,
}

impl Rival {
    pub(crate) fn new(way: Way, network: Network) -> Self {
        let rank = || Rank {
            alive: true,
            ready: true,
            start: 0,
            step: 0,
            running: false,
            told: Told::Plain,
        };
        let mut rival = Self {
            way,
            now: Time::ZERO,
            queue: BinaryHeap::new(),
            events: BTreeMap::new(),
            next: 0,
            network,
            control: Some(BTreeMap::new()),
            heard: BTreeSet::new(),
            control_start: 0,
            named: None,
            decided: None,
            ranks: (0..RANKS).map(|_| rank()).collect(),
            started: BTreeSet::new(),
            last_step: Time::ZERO,
            longest: Duration::ZERO,
        };
        rival.after(PROPOSAL, Event::Tick(Process::Control, 0));
        rival.start_ranks();
        rival
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
        self.longest = self.longest.max(end.since(self.last_step));
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
            Event::Deliver(to, note) => self.deliver(to, note),
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
                rank.told = Told::Nothing;
                self.after(RESTART, Event::Restart(process));
            }
            _ => {}
        }
    }

    fn restart(&mut self, process: Process) {
        match process {
            Process::Control => {
                self.control = Some(BTreeMap::new());
                self.heard.clear();
                // The log holds no decision: the armed step is given up and named anew.
                self.named = None;
                self.control_start += 1;
                self.after(Duration::ZERO, Event::Tick(process, self.control_start));
            }
            Process::Rank(number) => {
                let rank = &mut self.ranks[usize::from(number)];
                rank.alive = true;
                rank.start += 1;
                let start = rank.start;
                self.started.remove(&number);
                self.after(RELOAD * u32::from(number + 1), Event::Ready(number, start));
                self.after(Duration::ZERO, Event::Tick(process, start));
            }
            _ => {}
        }
    }

    fn send(&mut self, from: Process, to: Process, note: Note) {
        if !self.alive(from) {
            return;
        }
        let transmission = self.network.transmit(from, to);
        for delay in transmission.delays {
            self.after(delay, Event::Deliver(to, note));
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
                if self.ranks[usize::from(rank)].told == Told::Nothing {
                    self.send(process, Process::Control, Note::Ask(rank));
                }
            }
            _ => return,
        }
        self.after(TICK, Event::Tick(process, start));
    }

    fn tick_control(&mut self) {
        let steps = self.ranks.iter().map(|r| r.step).max().unwrap_or(0);
        let lead = if self.way == Way::TwoPhase { LEAD } else { 0 };
        let named = *self.named.get_or_insert(steps + lead);
        for rank in 0..RANKS {
            let armed = self.control.as_ref().is_some_and(|a| a.contains_key(&rank));
            match self.decided {
                Some(step) if !self.heard.contains(&rank) => {
                    self.send(Process::Control, Process::Rank(rank), Note::Decided(step));
                }
                None if !armed => {
                    self.send(Process::Control, Process::Rank(rank), Note::Arm(named));
                }
                _ => {}
            }
        }
    }

    fn deliver(&mut self, to: Process, note: Note) {
        if !self.alive(to) {
            return;
        }
        match to {
            Process::Control => self.deliver_control(note),
            Process::Rank(rank) => self.deliver_rank(rank, note),
            _ => {}
        }
        self.start_ranks();
    }

    fn deliver_control(&mut self, note: Note) {
        match note {
            Note::Armed(rank, step) => {
                let Some(armed) = &mut self.control else {
                    return;
                };
                armed.insert(rank, step);
                if armed.len() == usize::from(RANKS) && self.decided.is_none() {
                    let newest = armed.values().max().copied().unwrap_or(0);
                    let named = self.named.unwrap_or(0);
                    let barrier = self.way == Way::Barrier;
                    self.decided = Some(if barrier { newest + 1 } else { named });
                    self.tick_control();
                }
            }
            Note::Refused(named) if self.named == Some(named) && self.decided.is_none() => {
                self.named = None;
                self.control = Some(BTreeMap::new());
            }
            Note::Heard(rank) => {
                self.heard.insert(rank);
            }
            Note::Ask(rank) => {
                let note = self.decided.map_or(Note::Plain, Note::Decided);
                if self.decided.is_none() {
                    self.control.iter_mut().for_each(|a| {
                        a.remove(&rank);
                    });
                }
                self.send(Process::Control, Process::Rank(rank), note);
            }
            _ => {}
        }
    }

    fn deliver_rank(&mut self, number: u16, note: Note) {
        let process = Process::Rank(number);
        let rank = &mut self.ranks[usize::from(number)];
        let answer = match (note, rank.told) {
            (Note::Arm(_), Told::Decided(_) | Told::Nothing) => None,
            (Note::Arm(named), _) if self.way == Way::TwoPhase && rank.step >= named => {
                Some(Note::Refused(named))
            }
            (Note::Arm(named), _) => {
                rank.told = Told::Armed(named);
                Some(Note::Armed(number, rank.step))
            }
            (Note::Decided(step), _) => {
                rank.told = Told::Decided(step);
                Some(Note::Heard(number))
            }
            (Note::Plain, Told::Nothing) => {
                rank.told = Told::Plain;
                None
            }
            _ => None,
        };
        if let Some(answer) = answer {
            self.send(process, Process::Control, answer);
        }
    }

    /// Starts the next step on all ranks that do not hold it.
    fn start_ranks(&mut self) {
        let step = self.ranks.iter().map(|r| r.step).max().unwrap_or(0);
        let step = if self.started.is_empty() {
            step + 1
        } else {
            step
        };
        for (number, rank) in (0..).zip(&mut self.ranks) {
            let may = match rank.told {
                Told::Nothing => false,
                Told::Plain | Told::Decided(_) => true,
                Told::Armed(named) => self.way == Way::TwoPhase && step < named,
            };
            if rank.alive && rank.ready && !rank.running && may {
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
        self.longest = self.longest.max(self.now.since(self.last_step));
        self.last_step = self.now;
        self.started.clear();
        self.ranks.iter_mut().for_each(|r| r.running = false);
        self.start_ranks();
    }
}
