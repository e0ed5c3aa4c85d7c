//! Virtual time by which freed places are shared among workspaces.

use std::collections::BTreeMap;

use pimentotide_model::WorkspaceName;

/// Virtual time that one place costs a workspace of weight 1.
const PLACE_COST: u64 = 1 << 20;

/// Start-time fair sharing among workspaces.
#[derive(Debug, Default)]
pub(crate) struct Shares {
    finish: BTreeMap<WorkspaceName, u64>,
    clock: u64,
}

impl Shares {
    /// Virtual time at which the next place of `workspace` starts.
    pub(crate) fn start(&self, workspace: &WorkspaceName) -> u64 {
        self.finish
            .get(workspace)
            .copied()
            .unwrap_or(0)
            .max(self.clock)
    }

    /// Charges one place to `workspace` and forgets workspaces that are idle.
    pub(crate) fn charge(&mut self, workspace: &WorkspaceName, weight: u32) {
        let start = self.start(workspace);
        let cost = PLACE_COST / u64::from(weight.max(1));
        self.clock = start;
        self.finish.insert(workspace.clone(), start + cost);
        let clock = self.clock;
        self.finish.retain(|_, finish| *finish > clock);
    }
}
