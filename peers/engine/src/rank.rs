//! Orders from an agent to the rank on the same instance.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use awc::{Client, Connector};
use pimentotide_experts::{Change, Epoch, ExpertMap, Inventory, Load, MapId};
use pimentotide_model::Fence;
use serde::{Deserialize, Serialize};

use crate::PlatformError;

/// Connect timeout; short, since the rank runs on the same instance.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Maximum size of a rank's answer.
const MAX_STATE_BYTES: usize = 1 << 20;

/// Order from an agent to its rank.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RankOrder {
    /// Load the weights of a map, so that [`RankState::ready`] lists it.
    Load {
        /// Identifier of the map.
        map: MapId,
        /// Content of the map.
        content: Arc<ExpertMap>,
        /// Experts to load; all of the rank's experts if `None`.
        loads: Option<Vec<Load>>,
    },
    /// Free the staged weights of a map.
    Free {
        /// Identifier of the map.
        map: MapId,
    },
    /// Run a step; answered once all ranks have finished it.
    Run {
        /// Epoch under which the step was granted.
        epoch: Epoch,
        /// Number of the step.
        step: u64,
        /// Map to run with.
        map: MapId,
    },
    /// Abort the running step.
    Abort {
        /// Number of the step.
        step: u64,
    },
    /// Change the loaded models, the adapters or the role.
    Change(Change),
}

/// Order with its fencing token.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RankRequest {
    /// Highest fencing token that the agent has received.
    pub fence: Fence,
    /// Order to execute.
    pub order: RankOrder,
}

/// State reported by a rank.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct RankState {
    /// Highest fencing token received.
    pub fence: Fence,
    /// Last completed step.
    pub step: u64,
    /// Maps whose weights are loaded.
    pub ready: Vec<MapId>,
    /// Loaded models, adapters and role.
    pub inventory: Inventory,
}

/// Returns the path at which a rank accepts orders and reports its state.
pub fn rank_path(rank: u16) -> String {
    format!("/ranks/{rank}")
}

/// HTTP client of one rank, for use on one thread.
#[derive(Clone)]
pub struct RankClient {
    client: Client,
    url: String,
}

impl RankClient {
    /// Creates a client that opens a new connection for each request.
    ///
    /// A late answer on a reused connection would confirm an order that has not been executed.
    pub fn open(address: SocketAddr, rank: u16) -> Self {
        let connector = Connector::new().timeout(CONNECT_TIMEOUT);
        let client = Client::builder()
            .connector(connector)
            // A step may wait for other ranks indefinitely; the agent aborts it.
            .disable_timeout()
            .disable_redirects()
            .finish();
        Self {
            client,
            url: format!("http://{address}{}", rank_path(rank)),
        }
    }

    /// Sends an order and waits until the rank has executed it.
    ///
    /// # Errors
    ///
    /// Fails with [`PlatformError::Unreachable`] if the rank cannot have received the order; after
    /// any other error it may have.
    pub async fn order(&self, request: &RankRequest) -> Result<RankState, PlatformError> {
        let order = self.client.post(&self.url).force_close();
        let mut answer = order.send_json(request).await?;
        if !answer.status().is_success() {
            return Err(PlatformError::from_status(answer.status()));
        }
        let body = answer.body().limit(MAX_STATE_BYTES).await?;
        parse_state(&body)
    }

    /// Fetches the rank's state.
    ///
    /// # Errors
    ///
    /// Fails if the rank is unreachable, the connection fails or the answer is not a state.
    pub async fn state(&self) -> Result<RankState, PlatformError> {
        let mut answer = self.client.get(&self.url).force_close().send().await?;
        if !answer.status().is_success() {
            return Err(PlatformError::from_status(answer.status()));
        }
        let body = answer.body().limit(MAX_STATE_BYTES).await?;
        parse_state(&body)
    }
}

fn parse_state(body: &[u8]) -> Result<RankState, PlatformError> {
    serde_json::from_slice(body).map_err(|e| PlatformError::Malformed(e.to_string()))
}
