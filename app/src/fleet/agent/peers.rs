//! Other agents of the deployment.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Mutex, MutexGuard, PoisonError};

use super::super::beacon::{AgentBeacon, Seat};
use super::super::rpc::{Processes, RankCapacity};
use super::engine::EngineHandle;
use super::ranks::{Group, RankRoute};
use super::relay::AgentLinks;

/// Other agents of the deployment, as reported by a replica.
pub(super) struct Peers {
    own_address: SocketAddr,
    engine: EngineHandle,
    links: AgentLinks,
    state: Mutex<PeerState>,
}

#[derive(Default)]
struct PeerState {
    agents: BTreeMap<SocketAddr, AgentBeacon>,
    shape: Option<RankCapacity>,
}

impl PeerState {
    /// Returns the agents of the group of `seat`, in rank order.
    fn members(&self, seat: &Seat, size: u16) -> Vec<Option<&AgentBeacon>> {
        let mut found = vec![None; usize::from(size)];
        for agent in self.agents.values() {
            let other = agent.seat.as_ref();
            let Some(other) = other.filter(|s| s.group == seat.group && s.epoch == seat.epoch)
            else {
                continue;
            };
            if let Some(place) = found.get_mut(usize::from(other.rank)) {
                *place = Some(agent);
            }
        }
        found
    }
}

impl Peers {
    pub(super) fn new(own_address: SocketAddr, engine: EngineHandle, links: AgentLinks) -> Self {
        Self {
            own_address,
            engine,
            links,
            state: Mutex::default(),
        }
    }

    fn lock(&self) -> MutexGuard<'_, PeerState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Merges the processes reported by a replica; agents missing from the report are kept.
    pub(super) fn update(&self, processes: Processes) {
        let mut state = self.lock();
        state.shape = processes.shape.or(state.shape);
        for agent in processes.agents {
            state.agents.insert(agent.calls, agent);
        }
    }

    /// Returns the expert capacity of each rank; `None` before a replica reported it.
    pub(super) fn capacity(&self) -> Option<RankCapacity> {
        self.lock().shape
    }

    /// Whether the agents of all ranks of the group of `seat` are known.
    pub(super) fn knows_group(&self, seat: &Seat, size: u16) -> bool {
        let state = self.lock();
        let members = state.members(seat, size);
        let own = usize::from(seat.rank);
        let mut others = members.iter().enumerate().filter(|(rank, _)| *rank != own);
        others.all(|(_, agent)| agent.is_some_and(|a| a.calls != self.own_address))
    }

    /// Returns the group of `seat`; `None` unless the agents of all ranks are known.
    pub(super) fn group(&self, seat: &Seat, size: u16) -> Option<Group> {
        let state = self.lock();
        let found = state.members(seat, size);
        let routes: Option<Vec<RankRoute>> = (0..size)
            .map(|rank| {
                if rank == seat.rank {
                    return Some(RankRoute::Local);
                }
                let agent = found[usize::from(rank)].filter(|a| a.calls != self.own_address)?;
                Some(RankRoute::remote(agent, &self.links))
            })
            .collect();
        Some(Group::new(
            seat.clone(),
            self.engine.clone(),
            self.links.clone(),
            routes?,
        ))
    }
}
