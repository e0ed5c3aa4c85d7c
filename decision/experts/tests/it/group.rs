//! Simulation of a group: ranks, coordinators and the log in virtual time, with message faults.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};
use std::sync::Arc;
use std::time::Duration;

use pimentotide_experts::{
    Action, Command, Coordinator, Decisions, Demand, Ending, Epoch, ExpertMap, Layout, Leader,
    MapId, Message, Peer, RankAgent, Reply, SwitchPolicy, place,
};
use pimentotide_model::{GroupName, Incarnation, InstanceName, Time};

use crate::network::{Fault, Network};

/// Number of ranks in the group.
pub(crate) const RANKS: u16 = 4;

/// Interval at which state machines resend.
pub(crate) const TICK: Duration = Duration::from_millis(50);

/// Duration of a step once all ranks have started it.
pub(crate) const STEP: Duration = Duration::from_millis(25);

/// Load time of a map's weights on rank 0; rank n takes n + 1 times as long.
const LOAD: Duration = Duration::from_millis(150);

/// Delay until a crashed rank restarts.
pub(crate) const RESTART: Duration = Duration::from_millis(300);

/// Delay until another control instance coordinates after a crash.
pub(crate) const ELECTION: Duration = Duration::from_millis(400);

/// Time at which the second map is proposed.
pub(crate) const PROPOSAL: Duration = Duration::from_millis(1_000);

/// One process of the group.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Process {
    Control,
    /// Replaced coordinator that keeps running.
    OldControl,
    /// Replaced leader that keeps running.
    OldLeader,
    Rank(u16),
}

/// Content of a message between processes.
#[derive(Clone, Debug)]
enum Content {
    Message(Peer, Message),
    Command(Process, u64, Command),
    Reply(u64, Reply),
}

#[derive(Clone, Debug)]
enum Event {
    Deliver { to: Process, content: Content },
    Tick(Process, u64),
    Loaded(u16, u64, MapId),
    StepDone(Epoch, u64),
    Restart(Process),
    Propose,
}

struct Rank {
    agent: RankAgent,
    leader: Option<Leader>,
    alive: bool,
    start: u64,
    weights: BTreeSet<MapId>,
}

/// Simulated group with its record of steps and violated invariants.
pub(crate) struct Group {
    now: Time,
    queue: BinaryHeap<Reverse<(Time, u64)>>,
    events: BTreeMap<u64, Event>,
    next: u64,
    pub(crate) network: Network,
    pub(crate) log: Decisions,
    name: GroupName,
    coordinator: Option<Coordinator>,
    old_coordinator: Option<Coordinator>,
    old_leader: Option<Leader>,
    control_start: u64,
    ranks: Vec<Rank>,
    started: BTreeMap<(Epoch, u64), BTreeMap<u16, MapId>>,
    pub(crate) violations: Vec<String>,
    last_step: Time,
    pub(crate) longest_gap: Duration,
    pub(crate) steps: u64,
    target: ExpertMap,
    pub(crate) failing_rank: Option<u16>,
}

fn layout() -> Layout {
    Layout::uniform(1, 8, RANKS, 3, 2)
}

fn map(hot: usize) -> ExpertMap {
    let mut weights = vec![1.0; 8];
    weights[hot] = 6.0;
    place(&layout(), &Demand::new(8, &weights, &[1.0; RANKS as usize])).expect("layout fits")
}

impl Group {
    /// Forms a group and schedules the proposal of another map.
    pub(crate) fn new(network: Network) -> Self {
        let name = GroupName::from("group");
        let mut log = Decisions::default();
        let form = Command::Form {
            group: name.clone(),
            layout: layout(),
            map: Arc::new(map(0)),
        };
        assert_eq!(log.apply(&form, Time::ZERO), Reply::Done);
        let mut group = Self {
            now: Time::ZERO,
            queue: BinaryHeap::new(),
            events: BTreeMap::new(),
            next: 0,
            network,
            log,
            name,
            coordinator: None,
            old_coordinator: None,
            old_leader: None,
            control_start: 0,
            ranks: Vec::new(),
            started: BTreeMap::new(),
            violations: Vec::new(),
            last_step: Time::ZERO,
            longest_gap: Duration::ZERO,
            steps: 0,
            target: map(5),
            failing_rank: None,
        };
        for rank in 0..RANKS {
            group.ranks.push(Rank {
                agent: RankAgent::new(rank, Incarnation(0)),
                leader: None,
                alive: false,
                start: 0,
                weights: BTreeSet::new(),
            });
            group.after(Duration::ZERO, Event::Restart(Process::Rank(rank)));
        }
        group.after(Duration::ZERO, Event::Restart(Process::Control));
        group.after(PROPOSAL, Event::Propose);
        group
    }

    /// Runs until `end`.
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

    /// Current virtual time.
    pub(crate) fn now(&self) -> Time {
        self.now
    }

    /// Whether the switch has ended on all ranks and steps still run.
    pub(crate) fn is_settled(&self) -> bool {
        self.unsettled().is_empty()
    }

    /// Records as violations the reasons why the switch has not ended.
    pub(crate) fn check_settled(&mut self) {
        let found = self.unsettled();
        self.violations.extend(found);
    }

    fn unsettled(&self) -> Vec<String> {
        let mut found = Vec::new();
        let state = self.log.group(&self.name).expect("group formed");
        let (decided, settled, staged) = (state.decided.id, state.decided.settled, &state.staged);
        if !settled || staged.is_some() {
            found.push(format!(
                "switch not ended: map {decided}, settled {settled}, staged {}",
                staged.is_some()
            ));
        }
        for rank in &self.ranks {
            let status = rank.agent.status();
            let held: Vec<MapId> = rank.weights.iter().copied().collect();
            if status.active != Some(decided) || held != [decided] {
                let text = format!(
                    "rank {} runs {:?}, holds {held:?}",
                    status.rank, status.active
                );
                found.push(text);
            }
        }
        if self.now.since(self.last_step) > Duration::from_millis(100) {
            found.push(format!("no step since {}", self.last_step));
        }
        found
    }

    /// Latest decided map.
    pub(crate) fn decided(&self) -> MapId {
        self.log.group(&self.name).expect("group formed").decided.id
    }

    /// Outcome of the last switch that ended under the current coordinator.
    pub(crate) fn ending(&self) -> Option<Ending> {
        self.coordinator.as_ref()?.ending()
    }

    fn after(&mut self, delay: Duration, event: Event) {
        self.next += 1;
        self.queue.push(Reverse((self.now + delay, self.next)));
        self.events.insert(self.next, event);
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Deliver { to, content } => self.deliver(to, content),
            Event::Tick(process, start) => self.tick(process, start),
            Event::Loaded(rank, start, id) => self.loaded(rank, start, id),
            Event::StepDone(epoch, step) => self.step_done(epoch, step),
            Event::Restart(process) => self.restart(process),
            Event::Propose => self.propose(),
        }
    }

    fn alive(&self, process: Process) -> bool {
        match process {
            Process::Control => self.coordinator.is_some(),
            Process::OldControl => self.old_coordinator.is_some(),
            Process::OldLeader => self.old_leader.is_some(),
            Process::Rank(rank) => self.ranks[usize::from(rank)].alive,
        }
    }

    fn kill(&mut self, process: Process) {
        if !self.alive(process) {
            return;
        }
        match process {
            Process::Control => {
                self.coordinator = None;
                self.after(ELECTION, Event::Restart(process));
            }
            Process::OldControl => self.old_coordinator = None,
            Process::OldLeader => self.old_leader = None,
            Process::Rank(rank) => {
                let rank = &mut self.ranks[usize::from(rank)];
                rank.alive = false;
                rank.weights.clear();
                self.after(RESTART, Event::Restart(process));
            }
        }
    }

    /// Starts a replacement of a process while the first one keeps running.
    fn split(&mut self, process: Process) {
        let old = match process {
            Process::Control => {
                self.old_coordinator = self.coordinator.clone();
                Process::OldControl
            }
            _ => {
                self.old_leader = self.ranks[0].leader.clone();
                Process::OldLeader
            }
        };
        self.kill(process);
        self.after(TICK, Event::Tick(old, 0));
    }

    fn start_of(&self, process: Process) -> u64 {
        match process {
            Process::Control => self.control_start,
            Process::OldControl | Process::OldLeader => 0,
            Process::Rank(rank) => self.ranks[usize::from(rank)].start,
        }
    }

    fn restart(&mut self, process: Process) {
        match process {
            Process::OldControl | Process::OldLeader => {}
            Process::Control => {
                self.control_start += 1;
                let holder = InstanceName::from(format!("control-{}", self.control_start % 3));
                let policy = SwitchPolicy {
                    staging: Duration::from_secs(2),
                    lead: 8,
                };
                let name = self.name.clone();
                let start = self.control_start;
                self.coordinator = Some(Coordinator::new(name, holder, start, policy));
                self.after(Duration::ZERO, Event::Tick(process, start));
            }
            Process::Rank(number) => {
                let name = self.name.clone();
                let rank = &mut self.ranks[usize::from(number)];
                rank.start += 1;
                rank.alive = true;
                let incarnation = Incarnation(rank.start);
                rank.agent = RankAgent::new(number, incarnation);
                rank.leader = (number == 0).then(|| Leader::new(name, incarnation, RANKS));
                let start = rank.start;
                self.after(Duration::ZERO, Event::Tick(process, start));
            }
        }
    }

    fn tick(&mut self, process: Process, start: u64) {
        if self.start_of(process) != start || !self.alive(process) {
            return;
        }
        let now = self.now;
        let actions = match process {
            Process::Control => self.coordinator.as_mut().map(|c| c.tick(now)),
            Process::OldControl => self.old_coordinator.as_mut().map(|c| c.tick(now)),
            Process::OldLeader => self.old_leader.as_mut().map(Leader::tick),
            Process::Rank(rank) => {
                let rank = &mut self.ranks[usize::from(rank)];
                let leader = rank.leader.as_mut().map(Leader::tick).unwrap_or_default();
                Some([rank.agent.tick(), leader].concat())
            }
        };
        let actions = actions.unwrap_or_default();
        self.perform(process, actions);
        self.after(TICK, Event::Tick(process, start));
    }

    fn propose(&mut self) {
        let now = self.now;
        let target = self.target.clone();
        let proposed = self.coordinator.as_mut().map(|c| c.propose(target, now));
        match proposed {
            Some((true, actions)) => self.perform(Process::Control, actions),
            _ => self.after(TICK, Event::Propose),
        }
    }

    fn deliver(&mut self, to: Process, content: Content) {
        if !self.alive(to) {
            return;
        }
        let now = self.now;
        let actions = match (to, content) {
            (_, Content::Command(from, start, command)) => {
                let reply = self.log.apply(&command, now);
                self.send(Process::Control, from, &Content::Reply(start, reply));
                None
            }
            (_, Content::Reply(start, _)) if self.start_of(to) != start => None,
            (Process::Control, Content::Message(_, message)) => {
                let old = self.old_coordinator.as_mut();
                let stale = old.map(|c| c.receive(message.clone(), now));
                self.perform(Process::OldControl, stale.unwrap_or_default());
                self.coordinator.as_mut().map(|c| c.receive(message, now))
            }
            (Process::Control, Content::Reply(_, reply)) => {
                self.coordinator.as_mut().map(|c| c.replied(reply, now))
            }
            (Process::OldControl, Content::Reply(_, reply)) => {
                self.old_coordinator.as_mut().map(|c| c.replied(reply, now))
            }
            (Process::Rank(rank), Content::Message(Peer::Leader, message)) => {
                let stale = self.old_leader.as_mut().map(|l| l.receive(message.clone()));
                self.perform(Process::OldLeader, stale.unwrap_or_default());
                let leader = self.ranks[usize::from(rank)].leader.as_mut();
                leader.map(|l| l.receive(message))
            }
            (Process::Rank(rank), Content::Message(_, message)) => {
                let agent = &mut self.ranks[usize::from(rank)].agent;
                agent.receive(message).ok()
            }
            (Process::Rank(rank), Content::Reply(_, reply)) => {
                let leader = self.ranks[usize::from(rank)].leader.as_mut();
                leader.map(|l| l.replied(reply))
            }
            (Process::OldControl | Process::OldLeader, _) => None,
        };
        let actions = actions.unwrap_or_default();
        self.perform(to, actions);
    }

    fn perform(&mut self, process: Process, actions: Vec<Action>) {
        for action in actions {
            match (action, process) {
                (Action::Send(peer, message), _) => {
                    let to = match peer {
                        Peer::Coordinator => Process::Control,
                        Peer::Leader => Process::Rank(0),
                        Peer::Rank(rank) => Process::Rank(rank),
                    };
                    self.send(process, to, &Content::Message(peer, message));
                }
                (Action::Submit(command), _) => {
                    let content = Content::Command(process, self.start_of(process), command);
                    self.send(process, Process::Control, &content);
                }
                (Action::Load { id, .. }, Process::Rank(rank)) => {
                    let start = self.ranks[usize::from(rank)].start;
                    self.after(LOAD * u32::from(rank + 1), Event::Loaded(rank, start, id));
                }
                (Action::Free(id), Process::Rank(rank)) => {
                    self.ranks[usize::from(rank)].weights.remove(&id);
                }
                (Action::Run { epoch, step, map }, Process::Rank(rank)) => {
                    self.start_step(rank, epoch, step, map);
                }
                _ => {}
            }
        }
    }

    fn send(&mut self, from: Process, to: Process, content: &Content) {
        if !self.alive(from) {
            return;
        }
        let transmission = self.network.transmit(from, to);
        for delay in transmission.delays {
            let content = content.clone();
            self.after(delay, Event::Deliver { to, content });
        }
        match transmission.fault {
            Some(Fault::KillSender) => self.kill(from),
            Some(Fault::KillReceiver) => self.kill(to),
            Some(Fault::KillControl) => self.kill(Process::Control),
            Some(Fault::KillLeader) => self.kill(Process::Rank(0)),
            Some(Fault::SplitControl) => self.split(Process::Control),
            Some(Fault::SplitLeader) => self.split(Process::Rank(0)),
            _ => {}
        }
    }

    fn start_step(&mut self, rank: u16, epoch: Epoch, step: u64, map: MapId) {
        if !self.ranks[usize::from(rank)].weights.contains(&map) {
            self.violations
                .push(format!("rank {rank} runs map {map} without its weights"));
        }
        let decided = self.log.group(&self.name).expect("group formed").decided.id;
        if map > decided {
            self.violations
                .push(format!("rank {rank} runs map {map} before it is decided"));
        }
        let ranks = self.started.entry((epoch, step)).or_default();
        if ranks.insert(rank, map).is_some() {
            self.violations
                .push(format!("rank {rank} runs step {step} twice"));
        }
        if ranks.values().any(|m| *m != map) {
            self.violations
                .push(format!("step {step} runs under two maps: {ranks:?}"));
        }
        if ranks.len() == usize::from(RANKS) {
            self.after(STEP, Event::StepDone(epoch, step));
        }
    }

    fn step_done(&mut self, epoch: Epoch, step: u64) {
        self.longest_gap = self.longest_gap.max(self.now.since(self.last_step));
        self.last_step = self.now;
        self.steps += 1;
        for rank in 0..RANKS {
            if self.alive(Process::Rank(rank)) {
                let actions = self.ranks[usize::from(rank)].agent.finished(epoch, step);
                self.perform(Process::Rank(rank), actions);
            }
        }
    }

    fn loaded(&mut self, rank: u16, start: u64, id: MapId) {
        let fails = self.failing_rank == Some(rank) && id > MapId(1);
        let state = &mut self.ranks[usize::from(rank)];
        if !state.alive || state.start != start {
            return;
        }
        let actions = if fails {
            state.agent.load_failed(id)
        } else {
            state.weights.insert(id);
            state.agent.loaded(id)
        };
        self.perform(Process::Rank(rank), actions);
    }
}
