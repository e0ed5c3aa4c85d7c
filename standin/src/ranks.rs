//! Stand-in group of ranks that run in lock-step, with a ledger of the started steps.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use actix_web::dev::ServerHandle;
use actix_web::{HttpResponse, web};
use derive_more::Display;
use pimentotide_engine::{RankOrder, RankRequest, RankState};
use pimentotide_experts::{Change, Epoch, Inventory, MapId};
use pimentotide_model::Fence;
use serde::{Deserialize, Serialize};
use tokio::sync::watch;

use crate::serve::serve;

/// Options of a group of ranks.
#[derive(Clone, Debug)]
pub struct RankOptions {
    /// Address to listen on; port 0 picks a free one.
    pub listen: SocketAddr,
    /// Number of ranks in the group.
    pub ranks: u16,
    /// Whether ranks reject orders with an old fencing token.
    pub fenced: bool,
    /// Duration of a step once all ranks have started it.
    pub step_duration: Duration,
    /// Duration of loading the weights of a map.
    pub load_duration: Duration,
}

/// Error of starting a group of ranks.
#[derive(Debug, Display)]
#[display("stand-in ranks on {address}: {source}")]
pub struct RankGroupError {
    /// Address that could not be bound.
    pub address: SocketAddr,
    source: std::io::Error,
}

impl std::error::Error for RankGroupError {}

/// Start of a step on a rank.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct StepRecord {
    /// Epoch that granted the step.
    pub epoch: Epoch,
    /// Number of the step.
    pub step: u64,
    /// Rank that started the step.
    pub rank: u16,
    /// Expert map that the rank used.
    pub map: MapId,
}

#[derive(Debug, Default)]
struct Rank {
    fence: Fence,
    step: u64,
    ready: Vec<MapId>,
    inventory: Inventory,
    running: Option<(Epoch, u64)>,
    applied_changes: u64,
}

#[derive(Debug, Default)]
struct GroupState {
    ranks: Vec<Rank>,
    ledger: Vec<StepRecord>,
    started: BTreeMap<(Epoch, u64), u16>,
}

struct Core {
    options: RankOptions,
    group: Mutex<GroupState>,
    /// Notified whenever a step is started or aborted or a rank restarts.
    changed: watch::Sender<()>,
}

/// Running group of ranks.
pub struct RankGroup {
    address: SocketAddr,
    core: Arc<Core>,
    server: ServerHandle,
}

impl Rank {
    fn state(&self) -> RankState {
        RankState {
            fence: self.fence,
            step: self.step,
            ready: self.ready.clone(),
            inventory: self.inventory.clone(),
        }
    }

    fn change(&mut self, change: Change) {
        self.applied_changes += 1;
        match change {
            Change::Load(model, version) => {
                self.inventory.models.insert(model, version);
            }
            Change::Unload(model) => {
                self.inventory.models.remove(&model);
            }
            Change::LoadAdapter(adapter) => {
                self.inventory.adapters.insert(adapter);
            }
            Change::UnloadAdapter(adapter) => {
                self.inventory.adapters.remove(&adapter);
            }
            Change::Become(role) => self.inventory.role = role,
        }
    }
}

impl Core {
    fn group(&self) -> MutexGuard<'_, GroupState> {
        self.group.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn state(&self, rank: usize) -> RankState {
        self.group().ranks[rank].state()
    }

    /// Accepts or rejects a fencing token and raises the rank's token.
    fn check_fence(&self, rank: usize, fence: Fence) -> bool {
        let mut group = self.group();
        let rank = &mut group.ranks[rank];
        if self.options.fenced && fence < rank.fence {
            return false;
        }
        rank.fence = rank.fence.max(fence);
        true
    }

    /// Runs one step; returns `false` if it was aborted.
    async fn run(&self, rank: usize, epoch: Epoch, step: u64, map: MapId) -> bool {
        let mut changed = self.changed.subscribe();
        self.start(rank, epoch, step, map);
        loop {
            {
                let group = self.group();
                if group.ranks[rank].running != Some((epoch, step)) {
                    return false;
                }
                if group.started.get(&(epoch, step)) == Some(&self.options.ranks) {
                    break;
                }
            }
            if changed.changed().await.is_err() {
                return false;
            }
        }
        actix_rt::time::sleep(self.options.step_duration).await;
        let mut group = self.group();
        let rank = &mut group.ranks[rank];
        if rank.running != Some((epoch, step)) {
            return false;
        }
        rank.running = None;
        rank.step = step;
        true
    }

    fn start(&self, rank: usize, epoch: Epoch, step: u64, map: MapId) {
        let mut group = self.group();
        group.ranks[rank].running = Some((epoch, step));
        group.ledger.push(StepRecord {
            epoch,
            step,
            rank: rank as u16,
            map,
        });
        *group.started.entry((epoch, step)).or_default() += 1;
        drop(group);
        self.changed.send_replace(());
    }

    fn abort(&self, rank: usize) {
        self.group().ranks[rank].running = None;
        self.changed.send_replace(());
    }

    async fn load(&self, rank: usize, map: MapId) {
        actix_rt::time::sleep(self.options.load_duration).await;
        let mut group = self.group();
        let ready = &mut group.ranks[rank].ready;
        if !ready.contains(&map) {
            ready.push(map);
        }
    }
}

impl RankGroup {
    /// Starts a group on the current actix system.
    ///
    /// # Errors
    ///
    /// Fails if the address cannot be bound.
    pub fn spawn(options: RankOptions) -> Result<Self, RankGroupError> {
        let listen = options.listen;
        let ranks = (0..options.ranks).map(|_| Rank::default()).collect();
        let core = Arc::new(Core {
            options,
            group: Mutex::new(GroupState {
                ranks,
                ..GroupState::default()
            }),
            changed: watch::channel(()).0,
        });
        let served = serve(listen, &core, |routes| {
            routes
                .route("/ranks/{rank}", web::get().to(state))
                .route("/ranks/{rank}", web::post().to(order));
        });
        let (address, handle) = served.map_err(|source| RankGroupError {
            address: listen,
            source,
        })?;
        Ok(Self {
            address,
            core,
            server: handle,
        })
    }

    /// Address that accepts orders for all ranks.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the steps that ranks have started, in order.
    pub fn ledger(&self) -> Vec<StepRecord> {
        self.core.group().ledger.clone()
    }

    /// Returns the number of changes of models, adapters or role that a rank has applied.
    pub fn applied_changes(&self, rank: u16) -> u64 {
        self.core.group().ranks[usize::from(rank)].applied_changes
    }

    /// Restarts a rank, which loses its inventory, maps and fencing token.
    pub fn restart(&self, rank: u16) {
        self.core.group().ranks[usize::from(rank)] = Rank::default();
        self.core.changed.send_replace(());
    }

    /// Stops the group.
    pub async fn stop(self) {
        self.server.stop(false).await;
    }
}

async fn state(core: web::Data<Core>, rank: web::Path<u16>) -> HttpResponse {
    if *rank >= core.options.ranks {
        return HttpResponse::NotFound().finish();
    }
    HttpResponse::Ok().json(core.state(usize::from(*rank)))
}

async fn order(
    core: web::Data<Core>,
    rank: web::Path<u16>,
    request: web::Json<RankRequest>,
) -> HttpResponse {
    let RankRequest { fence, order } = request.into_inner();
    let index = usize::from(*rank);
    if *rank >= core.options.ranks {
        return HttpResponse::NotFound().finish();
    }
    if !core.check_fence(index, fence) {
        return HttpResponse::Conflict().finish();
    }
    match order {
        RankOrder::Load { map, .. } => core.load(index, map).await,
        RankOrder::Free { map } => core.group().ranks[index].ready.retain(|m| *m != map),
        RankOrder::Run { epoch, step, map } => {
            if !core.run(index, epoch, step, map).await {
                return HttpResponse::Gone().finish();
            }
        }
        RankOrder::Abort { .. } => core.abort(index),
        RankOrder::Change(change) => core.group().ranks[index].change(change),
    }
    HttpResponse::Ok().json(core.state(index))
}
