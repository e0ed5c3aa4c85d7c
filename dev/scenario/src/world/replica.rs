//! Control replicas: consensus node, storage, state machine and registry.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use pimentotide_consensus::{
    Action, Applier, Change, Entry, Envelope, Event, Index, Member, Node, Options, Outcome,
    ProposalId, Reject, Ticket, Write,
};
use pimentotide_control::currency::{Confirmation, WatchRequest, grant};
use pimentotide_control::directory::{Registry, Report};
use pimentotide_control::machine::{MAX_COMMAND_BYTES, decode, encode};
use pimentotide_control::{Command, Machine};
use pimentotide_model::{Incarnation, Time};
use pimentotide_storage::Storage;
use pimentotide_storage::fake::FakeDisk;
use rand::RngExt;

use super::packet::{Packet, Proposed};
use super::{NodeId, SimEvent, World};
use crate::script::Guard;

/// Size of a log segment; small, so that a run creates and removes many segments.
const SEGMENT_BYTES: u64 = 16 << 10;
/// Applied entries after which the log is compacted.
const COMPACTION_ENTRIES: u64 = 64;
/// Ticks between checks of the membership.
const MEMBERSHIP_CHECK_TICKS: u64 = 10;

/// Originator of a linearizable read.
#[derive(Clone, Debug)]
pub(super) enum Reader {
    Watch {
        from: NodeId,
        session: u64,
        request: WatchRequest,
        started: Time,
    },
    Peer {
        from: NodeId,
        token: u64,
    },
}

/// State of a running replica.
pub(super) struct Replica {
    pub(super) node: Node,
    pub(super) applier: Applier<Machine>,
    pub(super) registry: Registry,
    storage: Storage<FakeDisk>,
    writes: VecDeque<Write>,
    unsynced: Vec<(Ticket, Envelope)>,
    synced: Ticket,
    /// Sender and call of each pending proposal.
    callers: BTreeMap<ProposalId, (NodeId, u64)>,
    /// Reads whose index the consensus node has yet to confirm.
    reads: BTreeMap<ProposalId, Reader>,
    /// Reads whose index is requested from the leader, by token.
    remote: BTreeMap<u64, Reader>,
    /// Reads that are answered once their index is applied.
    ready: Vec<(Index, Reader)>,
    ticks: u64,
}

impl World {
    /// Starts the replica of an instance that has a disk; returns false if the disk fails to open.
    pub(super) fn start_replica(&mut self, node: NodeId) -> bool {
        let Some(disk) = self.disks.get(&node).cloned() else {
            return true;
        };
        let name = self.instance_name(node);
        let Ok(opened) =
            Storage::open_with_limit(disk.clone(), &name, &mut self.rng, SEGMENT_BYTES)
        else {
            disk.restart();
            return false;
        };
        let at = self.hosts[node].clock.moment(self.time);
        let seed = self.rng.random();
        let (machine, actions) = Node::start(opened.recovered, Options::default(), seed, at);
        let replica = Replica {
            node: machine,
            applier: Applier::new(Machine::default()),
            registry: Registry::new(self.rng.random(), at.now),
            storage: opened.storage,
            writes: VecDeque::new(),
            unsynced: Vec::new(),
            synced: Ticket(0),
            callers: BTreeMap::new(),
            reads: BTreeMap::new(),
            remote: BTreeMap::new(),
            ready: Vec::new(),
            ticks: 0,
        };
        self.replicas.insert(node, replica);
        self.execute_actions(node, actions);
        true
    }

    pub(super) fn tick_replica(&mut self, node: NodeId) {
        let now = self.local(node);
        let Some(replica) = self.replicas.get_mut(&node) else {
            return;
        };
        replica.registry.expire(now);
        replica.ticks += 1;
        self.step_replica(node, Event::Tick);
        self.reconcile_members(node);
    }

    /// Steps the consensus node of a replica and executes its actions.
    pub(super) fn step_replica(&mut self, node: NodeId, event: Event) {
        let at = self.hosts[node].clock.moment(self.time);
        let Some(replica) = self.replicas.get_mut(&node) else {
            return;
        };
        let actions = replica.node.step(event, at);
        self.execute_actions(node, actions);
    }

    pub(super) fn consensus_received(&mut self, node: NodeId, envelope: Envelope) {
        self.step_replica(node, Event::Receive(envelope));
    }

    fn execute_actions(&mut self, node: NodeId, actions: Vec<Action>) {
        for action in actions {
            let Some(replica) = self.replicas.get_mut(&node) else {
                return;
            };
            match action {
                Action::Write(write) => {
                    replica.writes.push_back(write);
                    let generation = self.hosts[node].generation;
                    let pause = Duration::from_micros(self.rng.random_range(100..2_000));
                    self.schedule(pause, SimEvent::Disk(node, generation));
                }
                Action::Send { after, envelope } if after > replica.synced => {
                    replica.unsynced.push((after, envelope));
                }
                Action::Send { envelope, .. } => self.transmit(node, envelope),
                Action::Apply(entry) => self.apply(node, &entry),
                Action::Restore(snapshot) => {
                    let last = snapshot.meta.last.index;
                    let skipped = replica
                        .applier
                        .restore(last, &snapshot.data)
                        .expect("a snapshot of the machine is decoded");
                    for (id, _) in skipped {
                        self.answer_call(node, id, Proposed::Unknown);
                    }
                    self.check_state(node);
                    self.serve_ready(node);
                }
                Action::Accepted(id, index, term) => {
                    replica.applier.accept(id, index, term);
                }
                Action::Rejected(id, reason) => self.rejected(node, id, &reason),
                Action::ReadReady(id, index) => {
                    if let Some(reader) = replica.reads.remove(&id) {
                        replica.ready.push((index, reader));
                    }
                    self.serve_ready(node);
                }
                // The scenarios name no arbiters.
                Action::Ask { .. } | Action::Refused { .. } => {}
            }
        }
    }

    fn transmit(&mut self, from: NodeId, envelope: Envelope) {
        if let Some(to) = self.node(envelope.to.name.as_str()) {
            self.send(from, to, Packet::Consensus(Box::new(envelope)));
        }
    }

    /// Writes all queued writes as one batch, then sends the messages that waited for it.
    pub(super) fn flush_writes(&mut self, node: NodeId, generation: u64) {
        if self.hosts[node].generation != generation {
            return;
        }
        let Some(replica) = self.replicas.get_mut(&node) else {
            return;
        };
        if replica.writes.is_empty() {
            return;
        }
        let writes: Vec<_> = replica.writes.drain(..).collect();
        match replica.storage.write(&writes) {
            Ok(ticket) => {
                replica.synced = ticket;
                let unsynced = std::mem::take(&mut replica.unsynced);
                let (ready, unsynced) = unsynced
                    .into_iter()
                    .partition(|(after, _)| *after <= ticket);
                replica.unsynced = unsynced;
                let ready: Vec<(Ticket, Envelope)> = ready;
                for (_, envelope) in ready {
                    self.transmit(node, envelope);
                }
                self.step_replica(node, Event::Synced(ticket));
            }
            Err(_) if self.disks[&node].is_crashed() => {
                let text = format!("{} crashed during a write", self.hosts[node].name);
                self.note(&text);
                self.kill(node);
                self.schedule(Duration::from_millis(200), SimEvent::Start(node));
            }
            Err(error) => {
                let text = format!("{}: the disk failed: {error}", self.hosts[node].name);
                self.note(&text);
                discard_unsynced(self.replicas.get_mut(&node));
                self.step_replica(node, Event::DiskFailed);
            }
        }
    }

    fn apply(&mut self, node: NodeId, entry: &Entry) {
        let Some(replica) = self.replicas.get_mut(&node) else {
            return;
        };
        let outcome = replica.applier.apply(entry);
        if replica.node.compactable() >= COMPACTION_ENTRIES {
            let state = replica.applier.machine().snapshot();
            let state = state.expect("the state is encoded");
            self.step_replica(node, Event::Compact(entry.id.index, state.into()));
        }
        self.check_state(node);
        match outcome {
            Some((id, Outcome::Applied(_, answer))) => {
                let response = decode(&answer, MAX_COMMAND_BYTES).ok();
                self.answer_call(
                    node,
                    id,
                    response.map_or(Proposed::Unknown, Proposed::Applied),
                );
            }
            Some((id, Outcome::Replaced)) => self.answer_call(node, id, Proposed::Rejected(None)),
            Some((id, Outcome::Unknown)) => self.answer_call(node, id, Proposed::Unknown),
            None => {}
        }
        self.serve_ready(node);
    }

    fn check_state(&mut self, node: NodeId) {
        if let Some(replica) = self.replicas.get(&node) {
            let configuration = replica.applier.machine().configuration();
            let digest = configuration.digest();
            let declarations = configuration.declarations();
            self.history
                .configuration_applied(self.time, declarations, digest);
        }
    }

    /// Proposes a received command; an instance without a running replica rejects it.
    pub(super) fn proposal_received(
        &mut self,
        from: NodeId,
        node: NodeId,
        call: u64,
        command: &Command,
    ) {
        let id = ProposalId(self.next_id());
        let bytes = encode(command).expect("a command is encoded");
        let Some(replica) = self.replicas.get_mut(&node) else {
            return self.send(node, from, Packet::Proposed(call, Proposed::Rejected(None)));
        };
        replica.callers.insert(id, (from, call));
        self.step_replica(node, Event::Propose(id, bytes.into()));
    }

    fn answer_call(&mut self, node: NodeId, id: ProposalId, result: Proposed) {
        let Some(replica) = self.replicas.get_mut(&node) else {
            return;
        };
        if let Some((from, call)) = replica.callers.remove(&id) {
            self.send(node, from, Packet::Proposed(call, result));
        }
    }

    fn rejected(&mut self, node: NodeId, id: ProposalId, reason: &Reject) {
        let leader = match reason {
            Reject::NotLeader(Some(leader)) => self.node(leader.name.as_str()),
            _ => None,
        };
        self.answer_call(node, id, Proposed::Rejected(leader));
        let Some(replica) = self.replicas.get_mut(&node) else {
            return;
        };
        let Some(reader) = replica.reads.remove(&id) else {
            return;
        };
        match leader.filter(|_| matches!(reader, Reader::Watch { .. })) {
            Some(leader) => {
                let token = self.next_id();
                if let Some(replica) = self.replicas.get_mut(&node) {
                    replica.remote.insert(token, reader);
                }
                self.send(node, leader, Packet::ReadRequest(token));
            }
            None => self.read_failed(node, &reader),
        }
    }

    fn read_failed(&mut self, node: NodeId, reader: &Reader) {
        match *reader {
            Reader::Watch { from, session, .. } => {
                self.send(node, from, Packet::WatchResponse(session, None));
            }
            Reader::Peer { from, token } => {
                self.send(node, from, Packet::ReadResponse(token, None));
            }
        }
    }

    pub(super) fn read_requested(&mut self, from: NodeId, node: NodeId, token: u64) {
        self.confirm(node, Reader::Peer { from, token });
    }

    pub(super) fn read_answered(&mut self, node: NodeId, token: u64, index: Option<Index>) {
        let Some(replica) = self.replicas.get_mut(&node) else {
            return;
        };
        let Some(reader) = replica.remote.remove(&token) else {
            return;
        };
        match index {
            Some(index) => {
                replica.ready.push((index, reader));
                self.serve_ready(node);
            }
            None => self.read_failed(node, &reader),
        }
    }

    fn confirm(&mut self, node: NodeId, reader: Reader) {
        let id = ProposalId(self.next_id());
        let Some(replica) = self.replicas.get_mut(&node) else {
            return;
        };
        replica.reads.insert(id, reader);
        self.step_replica(node, Event::Read(id));
    }

    pub(super) fn watch_requested(
        &mut self,
        from: NodeId,
        node: NodeId,
        session: u64,
        mut request: WatchRequest,
    ) {
        let started = self.local(node);
        let unconfirmed = self.bypasses(Guard::Revisions);
        if unconfirmed {
            request.held = None;
        }
        let reader = Reader::Watch {
            from,
            session,
            request,
            started,
        };
        if unconfirmed && let Some(replica) = self.replicas.get_mut(&node) {
            replica.ready.push((Index(0), reader));
            return self.serve_ready(node);
        }
        self.confirm(node, reader);
    }

    /// Answers the reads whose index is applied.
    fn serve_ready(&mut self, node: NodeId) {
        let now = self.local(node);
        let Some(replica) = self.replicas.get_mut(&node) else {
            return;
        };
        let applied = replica.applier.applied();
        let waiting = std::mem::take(&mut replica.ready);
        let (ready, waiting) = waiting.into_iter().partition(|(i, _)| *i <= applied);
        replica.ready = waiting;
        let ready: Vec<(Index, Reader)> = ready;
        for (index, reader) in ready {
            let Some(replica) = self.replicas.get(&node) else {
                return;
            };
            match reader {
                Reader::Peer { from, token } => {
                    self.send(node, from, Packet::ReadResponse(token, Some(index)));
                }
                Reader::Watch {
                    from,
                    session,
                    request,
                    started,
                } => {
                    let machine = replica.applier.machine();
                    let confirmation = Confirmation { started };
                    let answer = grant(machine, &replica.registry, confirmation, &request, now);
                    let answer = answer.ok().map(Box::new);
                    self.send(node, from, Packet::WatchResponse(session, answer));
                }
            }
        }
    }

    pub(super) fn report_received(
        &mut self,
        from: NodeId,
        node: NodeId,
        rank: (Incarnation, u64),
        report: Report,
    ) {
        let now = self.local(node);
        if let Some(replica) = self.replicas.get_mut(&node) {
            let answer = replica.registry.receive(report, now);
            self.send(node, from, Packet::ReportAnswer(rank, answer));
        }
    }

    /// Adds running replicas as members and removes members whose disk was replaced.
    fn reconcile_members(&mut self, node: NodeId) {
        let now = self.local(node);
        let Some(replica) = self.replicas.get(&node) else {
            return;
        };
        if !replica.node.leads_at(now) || !replica.ticks.is_multiple_of(MEMBERSHIP_CHECK_TICKS) {
            return;
        }
        let config = replica.node.config();
        let others = self.replicas.iter().filter(|(n, _)| **n != node);
        let change = others.into_iter().find_map(|(other, running)| {
            let name = self.instance_name(*other);
            let disk = running.node.hard().identity.disk;
            match config.member(&name) {
                Some(member) if member.disk != disk => Some(Change::Remove(name)),
                Some(_) => None,
                None => {
                    let address = Self::address(*other);
                    Some(Change::Add(name, Member { disk, address }))
                }
            }
        });
        if let Some(change) = change {
            let id = ProposalId(self.next_id());
            self.step_replica(node, Event::Change(id, change));
        }
    }

    /// Returns the instance that holds the leader lease.
    pub(super) fn leader(&self) -> Option<NodeId> {
        let leads = |n: &NodeId| self.replicas[n].node.leads_at(self.local(*n));
        self.replicas.keys().copied().find(leads)
    }
}

/// Discards writes and messages of a replica whose disk failed: they were never synced.
fn discard_unsynced(replica: Option<&mut Replica>) {
    if let Some(replica) = replica {
        replica.unsynced.clear();
        replica.writes.clear();
    }
}
