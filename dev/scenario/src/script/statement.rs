//! Syntax tree of a script.

use std::time::Duration;

use pimentotide_model::{ErrorKind, LeaseExpiryPolicy, Ran, ServiceKind};

/// One statement.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum Statement {
    Seed(u64),
    Instance {
        name: String,
        zone: String,
        disk: bool,
    },
    Upstream(UpstreamSpec),
    Service(ServiceSpec),
    Group {
        name: String,
        zone: String,
        ranks: u16,
    },
    Begin,
    Wait(Duration),
    Start(String),
    Stop(String),
    Kill(String),
    KillAgent(String),
    Pause(String, Duration),
    Cold(String),
    Cut(Link),
    Heal(Option<Link>),
    Lose(f64),
    Duplicate(f64),
    Reorder(f64),
    Delay(Duration, Duration),
    Disk(String, DiskFault),
    Clock(String, Duration),
    Order(OrderSpec),
    Resend(String, Option<String>),
    Flood(u32),
    Request(RequestSpec),
    Load {
        service: String,
        rate: u32,
        span: Duration,
    },
    Poison(String),
    Rebalance,
    Bypass(Guard),
    Expect(Expect),
}

/// Declares an upstream and its engine.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct UpstreamSpec {
    pub(crate) name: String,
    pub(crate) zone: String,
    pub(crate) service: String,
    pub(crate) capacity: u32,
    pub(crate) takes: Duration,
}

/// Declares a service and its profile.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct ServiceSpec {
    pub(crate) name: String,
    pub(crate) kind: ServiceKind,
    pub(crate) once: bool,
    pub(crate) attempts: u32,
    pub(crate) deadline: Duration,
    pub(crate) lapse: LeaseExpiryPolicy,
}

/// Network link in one direction or both; `None` means all nodes.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct Link {
    pub(crate) from: Option<String>,
    pub(crate) to: Option<String>,
    pub(crate) both: bool,
}

/// Fault injected into a disk.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum DiskFault {
    Fails,
    Fills,
    Crashes,
    Lost,
}

/// Order submitted by an operator.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct OrderSpec {
    pub(crate) id: String,
    pub(crate) base: Option<u64>,
    pub(crate) kind: String,
    pub(crate) target: String,
    pub(crate) standing: String,
    pub(crate) via: Option<String>,
    pub(crate) unanswered: bool,
}

/// Request sent by a caller.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct RequestSpec {
    pub(crate) name: String,
    pub(crate) service: String,
    pub(crate) via: String,
    pub(crate) key: Option<String>,
    pub(crate) content: Option<String>,
}

/// Protection that a script disables to show that the invariant checks detect its absence.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Guard {
    Gate,
    Claims,
    Currency,
    Drain,
    Leaving,
    Assembly,
    Refusals,
    Revisions,
    Maps,
}

/// Operand of `expect`.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum Expect {
    Answered(String),
    Refused(String, Option<ErrorKind>, Option<Ran>),
    Runs(String, u32),
    Work {
        place: String,
        some: bool,
        span: Duration,
    },
    Verdict(String, String),
    Revision(u64, bool),
    Leader(Option<String>),
    NotLeader(String),
    Served(u32),
    Ended,
    Settled(Option<u64>),
    Crashes(u32),
}
