//! Orders from an agent to the rank beside it.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use awc::{Client, Connector};
use pimentotide_experts::{Change, Epoch, ExpertMap, Inventory, Load, MapId};
use pimentotide_model::Fence;
use serde::{Deserialize, Serialize};

use crate::PlatformError;

/// Time allowed for connecting to the rank, which runs on the same instance.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Largest answer of a rank, in bytes.
const MAX_STATE_BYTES: usize = 1 << 20;

/// What an agent orders its rank to do.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RankOrder {
    /// Have the weights of a map in place.
    Load {
        /// Map.
        map: MapId,
        /// Content.
        content: Arc<ExpertMap>,
        /// What to load; all of the rank's experts if none.
        loads: Option<Vec<Load>>,
    },
    /// Free the staged weights of a map.
    Free {
        /// Map.
        map: MapId,
    },
    /// Run a step; answered when all ranks have finished it.
    Run {
        /// Epoch that granted the step.
        epoch: Epoch,
        /// Step.
        step: u64,
        /// Map.
        map: MapId,
    },
    /// Give up the step that runs.
    Abort {
        /// Step.
        step: u64,
    },
    /// Reach another state of models, adapters or role.
    Change(Change),
}

/// An order with its fencing number.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RankRequest {
    /// Highest fencing number that the agent knows.
    pub fence: Fence,
    /// Order.
    pub order: RankOrder,
}

/// What a rank reports of itself.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct RankState {
    /// Highest fencing number seen.
    pub fence: Fence,
    /// Last step finished.
    pub step: u64,
    /// Maps whose weights are in place.
    pub ready: Vec<MapId>,
    /// Models, adapters and role.
    pub inventory: Inventory,
}

/// Path under which a rank takes orders.
pub fn rank_path(rank: u16) -> String {
    format!("/ranks/{rank}")
}

/// Client of one rank, for use on one thread.
#[derive(Clone)]
pub struct RankClient {
    client: Client,
    url: String,
}

impl RankClient {
    /// Opens a client that connects when it is first needed.
    pub fn open(address: SocketAddr, rank: u16) -> Self {
        let connector = Connector::new().timeout(CONNECT_TIMEOUT);
        let client = Client::builder()
            .connector(connector)
            // A step may wait for other ranks without bound; the agent aborts it.
            .disable_timeout()
            .disable_redirects()
            .finish();
        Self {
            client,
            url: format!("http://{address}{}", rank_path(rank)),
        }
    }

    /// Sends an order and waits until it is carried out.
    ///
    /// # Errors
    ///
    /// Says whether the rank may have seen the order.
    pub async fn order(&self, request: &RankRequest) -> Result<RankState, PlatformError> {
        let mut answer = self.client.post(&self.url).send_json(request).await?;
        if !answer.status().is_success() {
            return Err(PlatformError::of_status(answer.status()));
        }
        let body = answer.body().limit(MAX_STATE_BYTES).await?;
        read_state(&body)
    }

    /// Asks for the rank's state.
    ///
    /// # Errors
    ///
    /// Fails if the rank cannot be reached or breaks off.
    pub async fn state(&self) -> Result<RankState, PlatformError> {
        let mut answer = self.client.get(&self.url).send().await?;
        if !answer.status().is_success() {
            return Err(PlatformError::of_status(answer.status()));
        }
        let body = answer.body().limit(MAX_STATE_BYTES).await?;
        read_state(&body)
    }
}

fn read_state(body: &[u8]) -> Result<RankState, PlatformError> {
    serde_json::from_slice(body).map_err(|e| PlatformError::Malformed(e.to_string()))
}
