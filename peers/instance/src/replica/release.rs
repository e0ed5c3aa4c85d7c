//! Release of the vote of a replica that is about to stop.
//!
//! A replica that ends without notice counts for the quorum until it has been silent for a while, so
//! that the next loss may leave the log without one. A graceful stop therefore asks the leader to remove the
//! vote first, and goes on voting until a quorum has stored that the removal is committed.

use std::net::SocketAddr;
use std::time::Duration;

use derive_more::Display;
use futures_util::future::join_all;
use pimentotide_consensus::{Change, Machine};
use pimentotide_model::{ErrorKind, Failure};

use super::rpc;
use super::{ReplicaHandle, ReplicaStatus};

/// Delay between two requests.
const RETRY_DELAY: Duration = Duration::from_millis(20);

/// Result of the request for a release.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum Release {
    /// The replica has no vote, and the others know it.
    #[display("released")]
    Released,
    /// The log needs the vote, or the leader does not release votes.
    #[display("kept")]
    Kept,
    /// No leader has confirmed the release in time.
    #[display("timed_out")]
    TimedOut,
}

impl<M> ReplicaHandle<M>
where
    M: Machine + Send + Unpin + 'static,
{
    /// Gives up the vote of this replica if at least `min_voters` voters remain.
    ///
    /// Waits up to `limit` for a leader, and for a learner that may take the place of this voter.
    pub async fn release(&self, min_voters: usize, limit: Duration) -> Release {
        let released = self.release_vote(min_voters);
        let result = tokio::time::timeout(limit, released).await;
        result.unwrap_or(Release::TimedOut)
    }

    async fn release_vote(&self, min_voters: usize) -> Release {
        let Ok(status) = self.status().await else {
            return Release::Kept;
        };
        let me = &status.log.identity;
        if !status.log.config.is_voter(me) {
            return Release::Kept;
        }
        let change = Change::Release(me.name.clone(), min_voters);
        let others = other_members(&status);
        loop {
            for failure in self.request_release(&change, &others).await {
                match failure.kind {
                    ErrorKind::NotFound => return Release::Released,
                    // A leader of another version does not know the request.
                    ErrorKind::Forbidden | ErrorKind::Internal => return Release::Kept,
                    _ => log::debug!("the vote is not released yet: {failure}"),
                }
            }
            tokio::time::sleep(RETRY_DELAY).await;
        }
    }

    /// Requests the change from the leader, or from all other members if it is not known.
    async fn request_release(&self, change: &Change, others: &[SocketAddr]) -> Vec<Failure> {
        let Err(refusal) = self.change_here(change.clone()).await else {
            return Vec::new();
        };
        // The others can release the vote of a replica whose disk failed.
        let elsewhere = [ErrorKind::NotLeader, ErrorKind::DiskFailed];
        if !elsewhere.contains(&refusal.failure.kind) {
            return vec![refusal.failure];
        }
        let leader = refusal.leader.map(|address| vec![address]);
        let asked = leader.unwrap_or_else(|| others.to_vec());
        let requests = asked.into_iter().map(|address| async move {
            let client = self.client(address);
            rpc::change(&client, change, self.options.request_timeout).await
        });
        let answers = join_all(requests).await;
        answers.into_iter().filter_map(Result::err).collect()
    }
}

/// Returns the addresses of the other members of the log.
fn other_members(status: &ReplicaStatus) -> Vec<SocketAddr> {
    let me = &status.log.identity.name;
    let members = status.log.config.members();
    members
        .filter(|(name, _)| *name != me)
        .map(|(_, m)| m.address)
        .collect()
}
