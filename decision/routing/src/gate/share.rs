//! Weighted fair sharing of free slots among workspaces, by virtual time.

use std::collections::BTreeMap;

use pimentotide_model::WorkspaceName;

/// Virtual time that one slot costs a workspace of weight 1.
const SLOT_COST: u64 = 1 << 20;

/// Start-time fair queueing state of all active workspaces.
#[derive(Debug, Default)]
pub(crate) struct Shares {
    /// Virtual time at which the last slot of each workspace ends.
    finish: BTreeMap<WorkspaceName, u64>,
    virtual_time: u64,
}

impl Shares {
    /// Returns the virtual time at which the next slot of `workspace` starts.
    pub(crate) fn start(&self, workspace: &WorkspaceName) -> u64 {
        self.finish
            .get(workspace)
            .copied()
            .unwrap_or(0)
            .max(self.virtual_time)
    }

    /// Charges one slot to `workspace` and removes idle workspaces.
    pub(crate) fn charge(&mut self, workspace: &WorkspaceName, weight: u32) {
        let start = self.start(workspace);
        let cost = SLOT_COST / u64::from(weight.max(1));
        self.virtual_time = start;
        self.finish.insert(workspace.clone(), start + cost);
        let virtual_time = self.virtual_time;
        self.finish.retain(|_, finish| *finish > virtual_time);
    }
}
