//! When the map is changed, and how fast a change has to be.

use std::time::Duration;

/// Ratio of maximum to mean rank load from which experts are moved.
///
/// Lower values are noise, and copies cost more than they save.
const TRIGGER_IMBALANCE: f64 = 1.3;
/// Ratio of maximum to mean rank load from which experts are moved after a short window.
const URGENT_IMBALANCE: f64 = 1.8;
/// Time over which a group that is called directly is observed before an urgent change.
///
/// Plans from half of it were off so far in groups of 12 ranks that they were changed again.
pub const DIRECT_WINDOW: Duration = Duration::from_millis(120);
/// The same in a group whose messages are relayed: about one pass.
pub const RELAYED_WINDOW: Duration = Duration::from_millis(50);
/// Time over which demand is observed before any other change, so that noise triggers none.
pub(super) const LONG_WINDOW: Duration = Duration::from_millis(500);
/// Maximum time in which the ranks receive the experts of one change.
///
/// A longer change ends when demand has moved on; what is left follows in further changes.
const MAX_COPY_TIME: Duration = Duration::from_millis(500);
/// Most experts that a rank receives in an urgent change; more lower the load little.
const URGENT_COPIES: u32 = 8;

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
    ///
    /// `window` is the span from which a change may be urgent.
    pub fn of(imbalance: f64, span: Duration, window: Duration) -> Option<Self> {
        if imbalance >= URGENT_IMBALANCE {
            (span >= window).then_some(Self::Urgent)
        } else {
            (imbalance >= TRIGGER_IMBALANCE && span >= LONG_WINDOW).then_some(Self::Ordinary)
        }
    }

    /// Maximum time in which the ranks receive the experts of one change; `one` is that of one expert.
    pub fn copy_time(self, one: Duration) -> Duration {
        match self {
            Self::Urgent => MAX_COPY_TIME.min(one * URGENT_COPIES),
            Self::Ordinary => MAX_COPY_TIME,
        }
    }
}
