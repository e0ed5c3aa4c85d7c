//! Agent side: refuses orders that carry an old fencing number.

use pimentotide_model::{ErrorKind, Fence};

/// Highest fencing number that an agent has seen.
///
/// An agent keeps nothing on disk, so after a start it accepts no order
/// before a replica has told it the floor.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct FenceGate {
    floor: Option<Fence>,
}

impl FenceGate {
    /// Takes the floor that came with an answer of a replica.
    pub fn raise_floor(&mut self, floor: Fence) {
        self.floor = self.floor.max(Some(floor));
    }

    /// Accepts an order, unless a newer one has been seen.
    ///
    /// # Errors
    ///
    /// Fails with `Fenced` on an old number and with `NotCurrent` before the
    /// floor is known.
    pub fn accept(&mut self, fence: Fence) -> Result<(), ErrorKind> {
        let floor = self.floor.ok_or(ErrorKind::NotCurrent)?;
        if fence < floor {
            return Err(ErrorKind::Fenced);
        }
        self.floor = Some(fence);
        Ok(())
    }

    /// Highest number seen; none before the floor is known.
    pub fn highest(&self) -> Option<Fence> {
        self.floor
    }
}
