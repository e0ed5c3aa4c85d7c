//! Configuration and membership as last received by an entry or an agent.

use std::collections::BTreeMap;
use std::sync::Arc;

use pimentotide_control::currency::admit;
use pimentotide_model::{
    Announcement, Declarations, ErrorKind, ServiceName, UpstreamName, ZoneName,
};

use crate::BootInstant;

/// Latest configuration and membership that a process has received.
#[derive(Clone, Debug, Default)]
pub struct View {
    /// Declarations in force.
    pub declarations: Arc<Declarations>,
    /// Announced upstreams by name; empty where the directory is not followed.
    pub upstreams: Arc<BTreeMap<UpstreamName, Announcement>>,
    /// Whether the currency lease was valid when the view was published.
    pub current: bool,
    /// Expiry of the lease; `None` if it does not expire.
    pub expiry: Option<BootInstant>,
}

impl View {
    /// Whether the currency lease is valid now.
    ///
    /// Reads the clock, so that a process that was stalled does not act on a
    /// lease that has expired in the meantime.
    pub fn is_current(&self) -> bool {
        self.current && self.expiry.is_none_or(|e| BootInstant::now() < e)
    }

    /// Checks that `upstream` in `zone` may accept new work of `service` now.
    ///
    /// # Errors
    ///
    /// Fails with `OutOfService` if the zone or upstream is out of service, and
    /// with `NotCurrent` if the lease has expired and the service requires it.
    pub fn admit(
        &self,
        service: &ServiceName,
        zone: &ZoneName,
        upstream: &UpstreamName,
    ) -> Result<(), ErrorKind> {
        admit(
            &self.declarations,
            self.is_current(),
            service,
            zone,
            upstream,
        )
    }
}
