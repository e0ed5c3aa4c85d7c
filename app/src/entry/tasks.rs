//! Background tasks of an entry.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use actix_rt::task::JoinHandle;
use pimentotide_caller::Health;
use pimentotide_instance::work::{UpdateRequest, UpstreamUpdate, WorkClient};
use pimentotide_model::{Incarnation, UpstreamName};
use pimentotide_routing::{CacheChange, CacheEvent, EntryState};

use super::core::Core;
use super::waiting;

/// Interval between passes over the queues.
const QUEUE_INTERVAL: Duration = Duration::from_millis(20);

/// Interval between requests for load and cache events to one agent.
const UPDATE_INTERVAL: Duration = Duration::from_millis(500);

/// Interval between requests for the suspected contents.
const SUSPECTS_INTERVAL: Duration = Duration::from_millis(500);

/// Timeout of a request for the suspected contents.
const SUSPECTS_TIMEOUT: Duration = Duration::from_secs(1);

/// Interval between health checks of another entry.
const PEER_INTERVAL: Duration = Duration::from_secs(1);

/// Timeout of a health check of another entry.
const PEER_TIMEOUT: Duration = Duration::from_millis(800);

/// Maximum number of other entries that one entry checks.
const MAX_PEERS: usize = 16;

/// Starts the background tasks of an entry.
pub(super) fn spawn(core: &Arc<Core>, client: &WorkClient) -> Vec<JoinHandle<()>> {
    let mut tasks = vec![
        actix_rt::spawn(follow(Arc::clone(core))),
        actix_rt::spawn(tick(Arc::clone(core), client.clone())),
        actix_rt::spawn(poll_suspects(Arc::clone(core))),
        actix_rt::spawn(poll_updates(Arc::clone(core), client.clone())),
    ];
    let entries = core.lock().entries.clone();
    let others = entries.into_iter().filter(|e| e.instance != *core.name());
    for other in others.take(MAX_PEERS) {
        tasks.push(actix_rt::spawn(poll_health(Arc::clone(core), other)));
    }
    tasks
}

/// Applies each change of configuration or membership.
async fn follow(core: Arc<Core>) {
    let mut views = core.views();
    core.refresh();
    while views.changed().await.is_ok() {
        core.refresh();
    }
}

async fn tick(core: Arc<Core>, client: WorkClient) {
    loop {
        tokio::time::sleep(QUEUE_INTERVAL).await;
        waiting::tick(&core, &client);
    }
}

/// Keeps the set of suspected contents up to date.
async fn poll_suspects(core: Arc<Core>) {
    let Some(control) = core.control().cloned() else {
        return;
    };
    loop {
        match control.suspects(SUSPECTS_TIMEOUT).await {
            Ok(suspects) => core.lock().suspects = suspects.into_iter().collect(),
            Err(e) => log::debug!("requesting the suspected contents failed: {e}"),
        }
        tokio::time::sleep(SUSPECTS_INTERVAL).await;
    }
}

/// Requests load and cache events from each agent in turn.
async fn poll_updates(core: Arc<Core>, client: WorkClient) {
    let mut next = std::collections::BTreeMap::<UpstreamName, UpdateRequest>::new();
    loop {
        let upstreams = Arc::clone(&core.view().upstreams);
        next.retain(|name, _| upstreams.contains_key(name));
        let pause = UPDATE_INTERVAL / u32::try_from(upstreams.len().max(1)).unwrap_or(u32::MAX);
        for (name, announcement) in upstreams.iter() {
            tokio::time::sleep(pause).await;
            let Ok(agent) = announcement.address.parse::<SocketAddr>() else {
                continue;
            };
            let order = next
                .get(name)
                .filter(|o| o.incarnation == announcement.incarnation)
                .copied()
                .unwrap_or(UpdateRequest {
                    incarnation: announcement.incarnation,
                    sequence: 0,
                });
            match client.upstream_update(agent, &order).await {
                Ok(u) => drop(next.insert(name.clone(), apply_update(&core, name, order, &u))),
                Err(e) => log::debug!(
                    "requesting load and cache events from the agent of {name} failed: {e}"
                ),
            }
        }
        if upstreams.is_empty() {
            tokio::time::sleep(UPDATE_INTERVAL).await;
        }
    }
}

/// Applies the load and cache events of an agent; returns the next request.
fn apply_update(
    core: &Core,
    upstream: &UpstreamName,
    order: UpdateRequest,
    update: &UpstreamUpdate,
) -> UpdateRequest {
    core.observe_report(upstream, &update.report);
    let incarnation: Incarnation = update.report.incarnation;
    let now = core.now();
    let mut inner = core.lock();
    inner.epochs.insert(upstream.clone(), update.epoch);
    for event in &update.events {
        let blocks = vec![event.block];
        let change = if event.stored {
            CacheChange::Stored(blocks)
        } else {
            CacheChange::Evicted(blocks)
        };
        let event = CacheEvent {
            incarnation,
            sequence: event.sequence,
            change,
        };
        inner.placer.observe_cache(upstream, event, now);
    }
    let sequence = update.events.last().map_or(order.sequence, |e| e.sequence);
    UpdateRequest {
        incarnation,
        sequence,
    }
}

/// Polls the health of another entry.
async fn poll_health(core: Arc<Core>, other: EntryState) {
    let client = awc::Client::default();
    loop {
        if let Some(health) = fetch_health(&client, &other.address).await {
            let now = core.now();
            let mut inner = core.lock();
            let entries = inner.entries.iter_mut();
            for entry in entries.filter(|e| e.instance == other.instance) {
                entry.last_seen = now;
                entry.stopping = health.stopping;
            }
        }
        tokio::time::sleep(PEER_INTERVAL).await;
    }
}

async fn fetch_health(client: &awc::Client, address: &str) -> Option<Health> {
    let url = format!("http://{address}/v1/health");
    let mut answer = client.get(url).timeout(PEER_TIMEOUT).send().await.ok()?;
    answer.json().await.ok()
}
