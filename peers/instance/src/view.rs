//! What an entry or an agent knows of its deployment.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Instant;

use pimentotide_control::currency::admit;
use pimentotide_model::{
    Announcement, Declarations, ErrorKind, ServiceName, UpstreamName, ZoneName,
};

/// Latest configuration and membership that a process has learnt.
#[derive(Clone, Debug, Default)]
pub struct View {
    /// Declarations in force.
    pub declarations: Arc<Declarations>,
    /// Upstreams that announce themselves.
    pub upstreams: Arc<BTreeMap<UpstreamName, Announcement>>,
    /// Whether the lease on being current was running when the view was made.
    pub current: bool,
    /// When that lease runs out; never if none.
    pub expiry: Option<Instant>,
}

impl View {
    /// Whether the lease on being current runs now.
    ///
    /// Reads the clock, so that a process that was stalled does not act on a
    /// lease that ran out meanwhile.
    pub fn is_current(&self) -> bool {
        self.current && self.expiry.is_none_or(|e| Instant::now() < e)
    }

    /// Whether `upstream` in `zone` may take new work of `service` now.
    ///
    /// # Errors
    ///
    /// Fails with `OutOfService` or `NotCurrent`.
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
