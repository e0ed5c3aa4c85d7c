//! Interface between the operators' server and a control replica.

use std::future::Future;

use derive_more::Display;
use pimentotide_control::directory::Registry;
use pimentotide_control::{Command, Machine, Response};
use pimentotide_model::{Failure, InstanceName};
use serde::{Deserialize, Serialize};

/// Control replica behind the operators' server.
pub trait Control: Clone + Send + 'static {
    /// Proposes a command; completes once it is committed and applied.
    ///
    /// A follower may forward the command to the leader.
    fn propose(&self, command: Command) -> impl Future<Output = Result<Response, Failure>>;

    /// Completes once the local state includes everything committed before the call.
    fn confirm(&self) -> impl Future<Output = Result<(), Failure>>;

    /// Reads the local state.
    fn read<T, F>(&self, read: F) -> T
    where
        F: FnOnce(&Machine, &Registry) -> T;

    /// Returns the membership of the control replicas as seen by this replica.
    fn cluster(&self) -> Cluster;

    /// Adds or removes one control replica.
    ///
    /// Idempotent, since clients retry: adding a member that already exists with
    /// the same address succeeds, and so does removing a missing one.
    fn change(&self, change: MemberChange) -> impl Future<Output = Result<Cluster, Failure>>;

    /// Returns the expert-parallel groups, one object each with at least a `name`.
    fn groups(&self) -> Vec<serde_json::Value> {
        Vec::new()
    }
}

/// Control replicas of the deployment.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Cluster {
    /// Replica that reports this membership.
    pub local: String,
    /// Current leader; `None` if unknown.
    pub leader: Option<InstanceName>,
    /// All control replicas.
    pub members: Vec<Member>,
}

/// One control replica.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// Name of its instance.
    pub name: InstanceName,
    /// Address for other replicas, `IP:PORT`.
    pub address: String,
    /// Role in the consensus group.
    pub role: MemberRole,
}

/// Role of a control replica in the consensus group.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum MemberRole {
    /// Counts towards the quorum.
    #[display("voter")]
    Voter,
    /// Replicates the log without counting towards the quorum.
    #[display("learner")]
    Learner,
}

/// Membership change by one replica.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum MemberChange {
    /// Adds a replica, which becomes a voter once it has caught up.
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
