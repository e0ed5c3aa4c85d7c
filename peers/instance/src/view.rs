//! What an entry or an agent knows of its deployment.

use std::collections::BTreeMap;
use std::sync::Arc;

use pimentotide_model::{Announcement, Declarations, UpstreamName};

/// Latest configuration and membership that a process has learnt.
#[derive(Clone, Debug, Default)]
pub struct View {
    /// Declarations in force.
    pub declarations: Arc<Declarations>,
    /// Upstreams that announce themselves.
    pub upstreams: Arc<BTreeMap<UpstreamName, Announcement>>,
    /// Whether the lease on being current runs.
    pub current: bool,
}
