//! What the server needs of a control replica.

use std::future::Future;

use derive_more::Display;
use pimentotide_control::directory::Registry;
use pimentotide_control::{Command, Machine, Response};
use pimentotide_model::{Failure, InstanceName};
use serde::{Deserialize, Serialize};

/// Control replica as the server of operators sees it.
pub trait Control: Clone + Send + 'static {
    /// Proposes a command; completes once it is committed and applied.
    ///
    /// A replica that does not lead may pass the command on to the leader.
    fn propose(&self, command: Command) -> impl Future<Output = Result<Response, Failure>>;

    /// Completes once the local state holds all that was committed before the call.
    fn confirm(&self) -> impl Future<Output = Result<(), Failure>>;

    /// Reads the local state.
    fn read<T, F>(&self, read: F) -> T
    where
        F: FnOnce(&Machine, &Registry) -> T;

    /// Control replicas as this one knows them.
    fn cluster(&self) -> Cluster;

    /// Changes the membership of the control replicas by one.
    ///
    /// The client may ask twice: adding a member that stands there with the same
    /// address, and removing one that is gone, succeed.
    fn change(&self, change: MemberChange) -> impl Future<Output = Result<Cluster, Failure>>;

    /// Expert-parallel groups, one object each with at least a `name`.
    fn groups(&self) -> Vec<serde_json::Value> {
        Vec::new()
    }
}

/// Control replicas of the deployment.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Cluster {
    /// Replica that tells.
    pub local: String,
    /// Replica that leads, if known.
    pub leader: Option<InstanceName>,
    /// All replicas.
    pub members: Vec<Member>,
}

/// One control replica.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// Name of its instance.
    pub name: InstanceName,
    /// Address for other replicas, `IP:PORT`.
    pub address: String,
    /// Part that it plays.
    pub role: MemberRole,
}

/// Part of a control replica.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum MemberRole {
    /// Counts towards a quorum.
    #[display("voter")]
    Voter,
    /// Catches up and does not count yet.
    #[display("learner")]
    Learner,
}

/// Change of membership by one replica.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum MemberChange {
    /// Adds a replica, which counts once it has caught up.
    Add {
        /// Name of its instance.
        name: InstanceName,
        /// Address for other replicas, `IP:PORT`.
        address: String,
    },
    /// Removes a replica.
    Remove {
        /// Name of its instance.
        name: InstanceName,
    },
}
