//! Agent side of fencing: rejects orders with an outdated fencing token.

use pimentotide_model::{ErrorKind, Fence};

/// Lowest fencing token that an agent still accepts.
///
/// An agent stores nothing on disk, so after a restart it rejects every order
/// until a replica has sent the floor.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct FenceGate {
    floor: Option<Fence>,
}

impl FenceGate {
    /// Raises the floor to the one in an answer of a replica; never lowers it.
    pub fn raise_floor(&mut self, floor: Fence) {
        self.floor = self.floor.max(Some(floor));
    }

    /// Accepts an order unless its token is below the floor, and raises the floor to it.
    ///
    /// # Errors
    ///
    /// Fails with `Fenced` if the token is below the floor, and with `NotCurrent`
    /// while no replica has sent a floor.
    pub fn accept(&mut self, fence: Fence) -> Result<(), ErrorKind> {
        let floor = self.floor.ok_or(ErrorKind::NotCurrent)?;
        if fence < floor {
            return Err(ErrorKind::Fenced);
        }
        self.floor = Some(fence);
        Ok(())
    }

    /// Highest token accepted or received as a floor; `None` before the first floor.
    pub fn highest(&self) -> Option<Fence> {
        self.floor
    }
}
