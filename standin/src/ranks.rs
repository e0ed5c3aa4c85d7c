//! Stand-in ranks that run in lock-step, with a ledger of their steps.

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

/// Behaviour of a group of ranks.
#[derive(Clone, Debug)]
pub struct RankOptions {
    /// Address to listen on.
    pub listen: SocketAddr,
    /// Ranks in the group.
    pub ranks: u16,
    /// Whether ranks refuse orders with an old fencing number.
    pub fenced: bool,
    /// Time of a step once all ranks have started it.
    pub step_duration: Duration,
    /// Time to load the weights of a map.
    pub load_duration: Duration,
}

/// Why a group of ranks could not start.
#[derive(Debug, Display)]
#[display("stand-in ranks on {address}: {source}")]
pub struct RankGroupError {
    /// Address that was asked for.
    pub address: SocketAddr,
    source: std::io::Error,
}

impl std::error::Error for RankGroupError {}

/// One start of one step on one rank.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct StepRecord {
    /// Epoch that granted the step.
    pub epoch: Epoch,
    /// Step.
    pub step: u64,
    /// Rank.
    pub rank: u16,
    /// Map that the rank ran it under.
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
struct Books {
    ranks: Vec<Rank>,
    ledger: Vec<StepRecord>,
    started: BTreeMap<(Epoch, u64), u16>,
}

struct Core {
    options: RankOptions,
    books: Mutex<Books>,
    /// Raised whenever a step may have gone on.
    changed: watch::Sender<()>,
}

/// A running group of ranks.
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
    fn books(&self) -> MutexGuard<'_, Books> {
        self.books.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn state(&self, rank: usize) -> RankState {
        self.books().ranks[rank].state()
    }

    /// Whether the rank takes an order with this fencing number.
    fn admit(&self, rank: usize, fence: Fence) -> bool {
        let mut books = self.books();
        let rank = &mut books.ranks[rank];
        if self.options.fenced && fence < rank.fence {
            return false;
        }
        rank.fence = rank.fence.max(fence);
        true
    }

    /// Runs one step; false if it was aborted.
    async fn run(&self, rank: usize, epoch: Epoch, step: u64, map: MapId) -> bool {
        let mut changed = self.changed.subscribe();
        self.start(rank, epoch, step, map);
        loop {
            {
                let books = self.books();
                if books.ranks[rank].running != Some((epoch, step)) {
                    return false;
                }
                if books.started.get(&(epoch, step)) == Some(&self.options.ranks) {
                    break;
                }
            }
            if changed.changed().await.is_err() {
                return false;
            }
        }
        actix_rt::time::sleep(self.options.step_duration).await;
        let mut books = self.books();
        let rank = &mut books.ranks[rank];
        if rank.running != Some((epoch, step)) {
            return false;
        }
        rank.running = None;
        rank.step = step;
        true
    }

    fn start(&self, rank: usize, epoch: Epoch, step: u64, map: MapId) {
        let mut books = self.books();
        books.ranks[rank].running = Some((epoch, step));
        books.ledger.push(StepRecord {
            epoch,
            step,
            rank: rank as u16,
            map,
        });
        *books.started.entry((epoch, step)).or_default() += 1;
        drop(books);
        self.changed.send_replace(());
    }

    fn abort(&self, rank: usize) {
        self.books().ranks[rank].running = None;
        self.changed.send_replace(());
    }

    async fn load(&self, rank: usize, map: MapId) {
        actix_rt::time::sleep(self.options.load_duration).await;
        let mut books = self.books();
        let ready = &mut books.ranks[rank].ready;
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
            books: Mutex::new(Books {
                ranks,
                ..Books::default()
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

    /// Address that takes orders for all ranks.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Steps that ranks have started, in order.
    pub fn ledger(&self) -> Vec<StepRecord> {
        self.core.books().ledger.clone()
    }

    /// Changes of models, adapters or role that a rank has carried out.
    pub fn applied_changes(&self, rank: u16) -> u64 {
        self.core.books().ranks[usize::from(rank)].applied_changes
    }

    /// Restarts a rank: it holds nothing, and has forgotten its fencing number.
    pub fn restart(&self, rank: u16) {
        self.core.books().ranks[usize::from(rank)] = Rank::default();
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
    let number = usize::from(*rank);
    if *rank >= core.options.ranks {
        return HttpResponse::NotFound().finish();
    }
    if !core.admit(number, fence) {
        return HttpResponse::Conflict().finish();
    }
    match order {
        RankOrder::Load { map, .. } => core.load(number, map).await,
        RankOrder::Free { map } => core.books().ranks[number].ready.retain(|m| *m != map),
        RankOrder::Run { epoch, step, map } => {
            if !core.run(number, epoch, step, map).await {
                return HttpResponse::Gone().finish();
            }
        }
        RankOrder::Abort { .. } => core.abort(number),
        RankOrder::Change(change) => core.books().ranks[number].change(change),
    }
    HttpResponse::Ok().json(core.state(number))
}
