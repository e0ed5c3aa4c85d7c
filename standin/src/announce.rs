//! Periodic announcements of a stand-in engine to its agent.

use std::net::SocketAddr;
use std::sync::Arc;

use bytes::Bytes;
use pimentotide_upstream::{ANNOUNCE_PATH, EngineClient};

use crate::core::Core;

/// Posts the engine's state at the announcement interval until the task is aborted.
pub(crate) async fn run(core: Arc<Core>, address: SocketAddr) {
    let Some(agent) = core.options.agent else {
        return;
    };
    let client = EngineClient::open();
    loop {
        let state = core.announce(address);
        if let Ok(body) = serde_json::to_vec(&state) {
            // Not retried: the next announcement replaces this one.
            let sent = client
                .post_json(agent, ANNOUNCE_PATH, Bytes::from(body))
                .await;
            if let Err(e) = sent {
                log::debug!("announcement to {agent} failed: {e}");
            }
        }
        tokio::time::sleep(core.options.announce_interval).await;
    }
}
