//! Statements of a script.

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
    Upstream(UpstreamText),
    Service(ServiceText),
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
    Order(OrderText),
    Resend(String, Option<String>),
    Flood(u32),
    Request(RequestText),
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

/// An upstream with its engine.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct UpstreamText {
    pub(crate) name: String,
    pub(crate) zone: String,
    pub(crate) service: String,
    pub(crate) capacity: u32,
    pub(crate) takes: Duration,
}

/// A service with its profile.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct ServiceText {
    pub(crate) name: String,
    pub(crate) kind: ServiceKind,
    pub(crate) once: bool,
    pub(crate) attempts: u32,
    pub(crate) deadline: Duration,
    pub(crate) lapse: LeaseExpiryPolicy,
}

/// A direction between nodes, or both; no name stands for all others.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct Link {
    pub(crate) from: Option<String>,
    pub(crate) to: Option<String>,
    pub(crate) both: bool,
}

/// How a disk fails.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum DiskFault {
    Fails,
    Fills,
    Crashes,
    Lost,
}

/// An order of an operator.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct OrderText {
    pub(crate) id: String,
    pub(crate) base: Option<u64>,
    pub(crate) kind: String,
    pub(crate) target: String,
    pub(crate) standing: String,
    pub(crate) via: Option<String>,
    pub(crate) unanswered: bool,
}

/// A request of a caller.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct RequestText {
    pub(crate) name: String,
    pub(crate) service: String,
    pub(crate) via: String,
    pub(crate) key: Option<String>,
    pub(crate) content: Option<String>,
}

/// A protection that the fakes leave out on purpose, to show that its loss is seen.
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

/// What is expected.
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
