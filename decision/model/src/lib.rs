//! Data types shared by the decision packages.
//!
//! Defines names, identifiers, virtual time, the closed set of error kinds, the
//! declarations that operators make and the reports that upstreams send. No type
//! in this package performs input or output, so every decision can run under
//! virtual time.

mod declaration;
mod error;
mod id;
mod name;
mod report;
mod request;
mod time;

pub use declaration::{
    AdminState, Declarations, LeaseExpiryPolicy, Priority, Profile, QueuePolicy, RebalancePolicy,
    RetryPolicy, Service, ServiceKind, SlowStart, Spread, UpstreamPolicy, Workspace, ZonePolicy,
};
pub use error::{ErrorKind, ErrorResponse, Failure, Ran};
pub use id::{
    ClaimId, Fence, Fingerprint, IdempotencyKey, Incarnation, OrderId, RequestId, Revision, Term,
};
pub use name::{
    AdapterName, GroupName, InstanceName, ModelName, ProfileName, RegionName, ServiceName,
    UpstreamName, VersionName, WorkspaceName, ZoneName,
};
pub use report::{Announcement, LoadReport, Warmth};
pub use request::{Deadline, RequestMeta};
pub use time::Time;
