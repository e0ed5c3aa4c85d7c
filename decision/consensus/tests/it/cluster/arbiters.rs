//! Arbiters in virtual time, which reach the hosts on both sides of a cut.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

use pimentotide_consensus::{Arbiter, DiskId, Event, GrantRequest, Identity, Member};
use pimentotide_model::InstanceName;

use super::{Cluster, DELAY, Item};

/// Number of arbiters.
pub(crate) const ARBITERS: usize = 3;
/// Time after which a host that does not answer counts as absent.
const PROBE_TIMEOUT: Duration = Duration::from_millis(300);

#[derive(Clone)]
pub(crate) struct ArbiterHost {
    name: InstanceName,
    arbiter: Arbiter,
    /// Whether it is gone for good.
    gone: bool,
    /// Hosts that it does not reach and that do not reach it.
    unreachable: BTreeSet<usize>,
}

/// Request of a process of a host to an arbiter.
#[derive(Clone)]
pub(super) struct Ask {
    arbiter: usize,
    /// Start of the arbiter that is asked.
    start: DiskId,
    pub(super) host: usize,
    run: u64,
    request: GrantRequest,
}

impl Cluster {
    /// Starts arbiters.
    pub(super) fn start_arbiters(&mut self) {
        for number in 0..ARBITERS {
            let start = self.next_start();
            self.arbiters.push(ArbiterHost {
                name: InstanceName::from(format!("edge-{number}")),
                arbiter: Arbiter::new(start),
                gone: false,
                unreachable: BTreeSet::new(),
            });
        }
    }

    fn next_start(&mut self) -> DiskId {
        self.disks += 1;
        DiskId(u128::from(self.disks))
    }

    /// Restarts an arbiter, which loses what it granted.
    pub(crate) fn restart_arbiter(&mut self, number: usize) {
        self.arbiters[number].arbiter = Arbiter::new(self.next_start());
    }

    pub(crate) fn restart_arbiters(&mut self) {
        for number in 0..ARBITERS {
            self.restart_arbiter(number);
        }
    }

    /// Ends all arbiters for good.
    pub(crate) fn end_arbiters(&mut self) {
        for arbiter in &mut self.arbiters {
            arbiter.gone = true;
        }
    }

    /// Cuts an arbiter off from these hosts.
    pub(crate) fn cut_arbiter(&mut self, number: usize, hosts: BTreeSet<usize>) {
        self.arbiters[number].unreachable = hosts;
    }

    /// Returns the arbiters that run, for a leader to name.
    pub(super) fn live_arbiters(&self) -> BTreeMap<InstanceName, Member> {
        let live = self.arbiters.iter().filter(|a| !a.gone);
        let members = live.map(|a| {
            let member = Member {
                disk: a.arbiter.start(),
                address: SocketAddr::from(([127, 0, 0, 2], 7_000)),
            };
            (a.name.clone(), member)
        });
        members.collect()
    }

    pub(super) fn ask(
        &mut self,
        host: usize,
        arbiters: &BTreeMap<InstanceName, Member>,
        request: &GrantRequest,
    ) {
        let Some(run) = self.hosts[host].process.as_ref().map(|p| p.run) else {
            return;
        };
        for (name, member) in arbiters {
            let Some(arbiter) = self.arbiters.iter().position(|a| a.name == *name) else {
                continue;
            };
            let ask = Ask {
                arbiter,
                start: member.disk,
                host,
                run,
                request: request.clone(),
            };
            self.schedule(DELAY, Item::Ask(Box::new(ask)));
        }
    }

    fn is_asked(&self, ask: &Ask) -> bool {
        let arbiter = &self.arbiters[ask.arbiter];
        let is_cut = arbiter.unreachable.contains(&ask.host);
        !arbiter.gone && arbiter.arbiter.start() == ask.start && !is_cut
    }

    /// Probes the absent voters before the decision.
    pub(super) fn probe_absent(&mut self, ask: Box<Ask>) {
        if !self.is_asked(&ask) {
            return;
        }
        let arbiter = &self.arbiters[ask.arbiter];
        if arbiter.arbiter.has_granted(&ask.request) {
            self.schedule(Duration::ZERO, Item::Decide(ask));
            return;
        }
        let answers = |who: &Identity| {
            let host = self.number(who);
            let runs = self.node(host).is_some_and(|n| n.hard().identity == *who);
            runs && !self.is_frozen(host) && !arbiter.unreachable.contains(&host)
        };
        if !ask.request.absent().any(|(who, _)| answers(&who)) {
            self.schedule(PROBE_TIMEOUT, Item::Decide(ask));
        }
    }

    pub(super) fn decide(&mut self, ask: Box<Ask>) {
        if self.is_asked(&ask) {
            let arbiter = &mut self.arbiters[ask.arbiter].arbiter;
            if arbiter.decide(&ask.request).is_ok() {
                self.schedule(DELAY, Item::Grant(ask));
            }
        }
    }

    pub(super) fn grant(&mut self, ask: Ask) {
        let is_cut = self.arbiters[ask.arbiter].unreachable.contains(&ask.host);
        if is_cut || self.hosts[ask.host].running(ask.run).is_none() {
            return;
        }
        let name = self.arbiters[ask.arbiter].name.clone();
        let event = Event::Granted {
            ballot: ask.request.ballot,
            arbiter: Identity {
                name,
                disk: ask.start,
            },
            part: ask.request.part,
        };
        self.grants += 1;
        self.deliver_event(ask.host, event);
    }
}
