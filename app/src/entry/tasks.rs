//! What an entry does in the background.

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

/// Time between looks at the queues.
const QUEUE_TICK: Duration = Duration::from_millis(20);

/// Time between two requests for news to one agent.
const NEWS_PAUSE: Duration = Duration::from_millis(500);

/// Time between two requests for the contents under suspicion.
const SUSPECTS_PAUSE: Duration = Duration::from_millis(500);

/// Time allowed for an answer about the contents under suspicion.
const SUSPECTS_TIMEOUT: Duration = Duration::from_secs(1);

/// Time between two looks at another entry.
const PEER_PAUSE: Duration = Duration::from_secs(1);

/// Time allowed for another entry to say how it is.
const PEER_TIMEOUT: Duration = Duration::from_millis(800);

/// Other entries that one entry looks at.
const MAX_PEERS: usize = 16;

/// Starts the background tasks of an entry.
pub(super) fn spawn(core: &Arc<Core>, client: &WorkClient) -> Vec<JoinHandle<()>> {
    let mut tasks = vec![
        actix_rt::spawn(follow(Arc::clone(core))),
        actix_rt::spawn(tick(Arc::clone(core), client.clone())),
        actix_rt::spawn(follow_suspicion(Arc::clone(core))),
        actix_rt::spawn(gather_news(Arc::clone(core), client.clone())),
    ];
    let entries = core.lock().entries.clone();
    let others = entries.into_iter().filter(|e| e.instance != *core.name());
    for other in others.take(MAX_PEERS) {
        tasks.push(actix_rt::spawn(look_at(Arc::clone(core), other)));
    }
    tasks
}

/// Puts each change of configuration or membership into force.
async fn follow(core: Arc<Core>) {
    let mut views = core.views();
    core.refresh();
    while views.changed().await.is_ok() {
        core.refresh();
    }
}

async fn tick(core: Arc<Core>, client: WorkClient) {
    loop {
        tokio::time::sleep(QUEUE_TICK).await;
        waiting::tick(&core, &client);
    }
}

/// Keeps up with the contents under suspicion.
async fn follow_suspicion(core: Arc<Core>) {
    let Some(control) = core.control().cloned() else {
        return;
    };
    loop {
        match control.suspects(SUSPECTS_TIMEOUT).await {
            Ok(suspects) => core.lock().suspects = suspects.into_iter().collect(),
            Err(e) => log::debug!("asking for the contents under suspicion failed: {e}"),
        }
        tokio::time::sleep(SUSPECTS_PAUSE).await;
    }
}

/// Asks each agent in turn for its load and its cache events.
async fn gather_news(core: Arc<Core>, client: WorkClient) {
    let mut known = std::collections::BTreeMap::<UpstreamName, UpdateRequest>::new();
    loop {
        let upstreams = Arc::clone(&core.view().upstreams);
        known.retain(|name, _| upstreams.contains_key(name));
        let pause = NEWS_PAUSE / u32::try_from(upstreams.len().max(1)).unwrap_or(u32::MAX);
        for (name, announcement) in upstreams.iter() {
            tokio::time::sleep(pause).await;
            let Ok(agent) = announcement.address.parse::<SocketAddr>() else {
                continue;
            };
            let order = known
                .get(name)
                .filter(|o| o.incarnation == announcement.incarnation)
                .copied()
                .unwrap_or(UpdateRequest {
                    incarnation: announcement.incarnation,
                    sequence: 0,
                });
            match client.upstream_update(agent, &order).await {
                Ok(news) => drop(known.insert(name.clone(), take_news(&core, name, order, &news))),
                Err(e) => log::debug!("asking the agent of {name} for news failed: {e}"),
            }
        }
        if upstreams.is_empty() {
            tokio::time::sleep(NEWS_PAUSE).await;
        }
    }
}

/// Takes in what an agent said; returns what to ask next.
fn take_news(
    core: &Core,
    upstream: &UpstreamName,
    order: UpdateRequest,
    news: &UpstreamUpdate,
) -> UpdateRequest {
    core.observe_report(upstream, &news.report);
    let incarnation: Incarnation = news.report.incarnation;
    let now = core.now();
    let mut inner = core.lock();
    inner.epochs.insert(upstream.clone(), news.epoch);
    for event in &news.events {
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
    let sequence = news.events.last().map_or(order.sequence, |e| e.sequence);
    UpdateRequest {
        incarnation,
        sequence,
    }
}

/// Keeps up with whether another entry serves callers.
async fn look_at(core: Arc<Core>, other: EntryState) {
    let client = awc::Client::default();
    loop {
        if let Some(health) = health_of(&client, &other.address).await {
            let now = core.now();
            let mut inner = core.lock();
            let known = inner.entries.iter_mut();
            for entry in known.filter(|e| e.instance == other.instance) {
                entry.last_seen = now;
                entry.stopping = health.stopping;
            }
        }
        tokio::time::sleep(PEER_PAUSE).await;
    }
}

async fn health_of(client: &awc::Client, address: &str) -> Option<Health> {
    let url = format!("http://{address}/v1/health");
    let mut answer = client.get(url).timeout(PEER_TIMEOUT).send().await.ok()?;
    answer.json().await.ok()
}
