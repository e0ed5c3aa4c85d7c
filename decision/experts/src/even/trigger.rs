//! When the map is changed, and how fast a change has to be.

use std::time::Duration;

/// Ratio of maximum to mean rank load from which experts are moved.
///
/// Lower values are noise, and copies cost more than they save.
const TRIGGER_IMBALANCE: f64 = 1.3;
/// Ratio of maximum to mean rank load from which experts are moved after [`SHORT_WINDOW`].
const URGENT_IMBALANCE: f64 = 1.8;
/// Time over which demand is observed before an urgent change: about one pass.
const SHORT_WINDOW: Duration = Duration::from_millis(50);
/// Time over which demand is observed before any other change, so that noise triggers none.
const LONG_WINDOW: Duration = Duration::from_millis(500);
/// Maximum time in which the ranks receive the experts of one change.
///
/// A longer change ends when demand has moved on; what is left follows in further changes.
const MAX_COPY_TIME: Duration = Duration::from_millis(500);
/// The same for an urgent change; more copies would lower the load little, and passes are slow.
const URGENT_COPY_TIME: Duration = Duration::from_millis(130);

/// Why a map is changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Urgency {
    /// Passes take much longer than they have to.
    Urgent,
    /// The load is uneven.
    Ordinary,
}

impl Urgency {
    /// Evaluates an imbalance of demand observed for `span`; `None` if the map stays.
    pub fn of(imbalance: f64, span: Duration) -> Option<Self> {
        if imbalance >= URGENT_IMBALANCE {
            (span >= SHORT_WINDOW).then_some(Self::Urgent)
        } else {
            (imbalance >= TRIGGER_IMBALANCE && span >= LONG_WINDOW).then_some(Self::Ordinary)
        }
    }

    /// Maximum time in which the ranks receive the experts of one change.
    pub fn copy_time(self) -> Duration {
        match self {
            Self::Urgent => URGENT_COPY_TIME,
            Self::Ordinary => MAX_COPY_TIME,
        }
    }
}
