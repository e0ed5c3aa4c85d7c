//! Arbiter of the control log: a process outside the log that both halves of a cut core can reach.
//!
//! Voters that are no quorum ask it whether they may act without the others. It tries to reach those first,
//! so that a part whose other voters are only cut off from it has to wait. The answer does not depend
//! on that alone: of two parts without a common voter, at most one is granted.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use futures_util::future::join_all;
use jsonrpsee::RpcModule;
use jsonrpsee::core::RegisterMethodError;
use jsonrpsee::types::ErrorObjectOwned;
use pimentotide_consensus::{Arbiter, DiskId, GrantRequest, Identity};
use pimentotide_model::{ErrorKind, Failure};

use crate::replica::read_identity;
use crate::{PeerClient, PeerTimeouts, Token, rpc_error};

/// Method that returns the identity of the start of an arbiter.
const INTRODUCE: &str = "arbiter_introduce";
/// Method that requests a grant from one start of an arbiter.
const GRANT: &str = "arbiter_grant";
/// Timeouts of the attempt to reach an absent voter.
const PROBE_TIMEOUTS: PeerTimeouts = PeerTimeouts {
    connect: Duration::from_millis(250),
    call: Duration::from_millis(250),
    retry_delay: Duration::ZERO,
    idle: Duration::from_millis(1_500),
};

/// Arbiter of this process; clones share its grants.
#[derive(Clone)]
pub struct ArbiterService {
    arbiter: Arc<Mutex<Arbiter>>,
    token: Token,
}

impl ArbiterService {
    /// Opens an arbiter under a new identity, without grants.
    pub fn open(token: Token) -> Self {
        let arbiter = Arbiter::new(DiskId(rand::random()));
        Self {
            arbiter: Arc::new(Mutex::new(arbiter)),
            token,
        }
    }

    fn lock(&self) -> MutexGuard<'_, Arbiter> {
        self.arbiter.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Decides a request to this start.
    ///
    /// # Errors
    ///
    /// Fails if another start is meant, an absent voter is reachable, or other voters may act.
    async fn grant(&self, start: DiskId, request: &GrantRequest) -> Result<(), Failure> {
        let denied = |kind, detail: String| {
            log::info!("denied a grant of {}: {detail}", request.ballot);
            Err(Failure::new(kind, detail))
        };
        if start != self.lock().start() {
            return denied(ErrorKind::NotCurrent, "this process has restarted".into());
        }
        let is_known = self.lock().has_granted(request);
        if !is_known && let Some(voter) = self.find_reachable(request).await {
            return denied(ErrorKind::Forbidden, format!("{voter} is reachable"));
        }
        let decision = self.lock().decide(request);
        match decision {
            Ok(()) => {
                let part: Vec<_> = request.part.iter().map(|v| v.name.as_str()).collect();
                log::info!("granted in {} that {} act", request.ballot, part.join(", "));
                Ok(())
            }
            Err(denial) => denied(ErrorKind::Forbidden, denial.to_string()),
        }
    }

    /// Returns a voter that is not to act and answers under its identity.
    async fn find_reachable(&self, request: &GrantRequest) -> Option<Identity> {
        let probes = request.absent().map(|(who, member)| async move {
            let client =
                PeerClient::with_timeouts(member.address, self.token.clone(), PROBE_TIMEOUTS);
            let answer = read_identity(&client).await;
            answer.is_ok_and(|identity| identity == who).then_some(who)
        });
        join_all(probes).await.into_iter().flatten().next()
    }
}

/// Builds the methods of an arbiter, for [`PeerServer`](crate::PeerServer).
pub fn arbiter_module(
    service: ArbiterService,
) -> Result<RpcModule<ArbiterService>, RegisterMethodError> {
    let mut module = RpcModule::new(service);
    module.register_method(INTRODUCE, |_, service, _| {
        Ok::<_, ErrorObjectOwned>(service.lock().start())
    })?;
    module.register_async_method(GRANT, |params, service, _| async move {
        let (start, request): (DiskId, GrantRequest) = params.parse()?;
        let granted = service.grant(start, &request).await;
        granted.map_err(|f| rpc_error(&f))
    })?;
    Ok(module)
}

/// Client of one arbiter.
#[derive(Clone)]
pub struct ArbiterClient {
    client: PeerClient,
}

impl ArbiterClient {
    /// Creates a client; connects on the first call.
    pub fn connect(address: SocketAddr, token: Token) -> Self {
        const TIMEOUTS: PeerTimeouts = PeerTimeouts {
            connect: Duration::from_millis(300),
            call: Duration::from_secs(1),
            retry_delay: Duration::from_millis(50),
            idle: Duration::from_millis(1_500),
        };
        Self {
            client: PeerClient::with_timeouts(address, token, TIMEOUTS),
        }
    }

    /// Returns the identity of the start of the arbiter.
    pub async fn start(&self) -> Result<DiskId, Failure> {
        self.client.call(INTRODUCE, [0; 0]).await
    }

    /// Requests a grant from one start of the arbiter.
    pub(crate) async fn grant(&self, start: DiskId, request: &GrantRequest) -> Result<(), Failure> {
        self.client.call(GRANT, (start, request)).await
    }
}
