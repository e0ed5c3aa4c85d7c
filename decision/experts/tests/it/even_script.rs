//! Enumeration of all delivery faults of the orders of a switch, up to a number of faults.

/// Delivery of one order.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) enum Delivery {
    /// Applied and answered.
    #[default]
    Normal,
    /// Applied; the answer is lost.
    Unanswered,
    /// Not applied and not answered.
    Lost,
    /// Not answered, and applied after this number of passes.
    Late(u64),
    /// Answered, and applied again after this number of passes.
    Twice(u64),
    /// Applied and answered after a few passes have begun.
    AfterPasses,
    /// The rank crashes before it applies the order.
    CrashBefore,
    /// The rank crashes after it has applied the order.
    CrashAfter,
    /// The coordinator hangs before it sends the order.
    CoordinatorHangs,
}

/// All deliveries with a fault.
const FAULTS: [Delivery; 11] = [
    Delivery::Unanswered,
    Delivery::Lost,
    Delivery::Late(1),
    Delivery::Late(5),
    Delivery::Late(30),
    Delivery::Twice(1),
    Delivery::Twice(30),
    Delivery::AfterPasses,
    Delivery::CrashBefore,
    Delivery::CrashAfter,
    Delivery::CoordinatorHangs,
];

/// Deliveries of the orders in sequence; all later ones are normal.
#[derive(Clone, Debug, Default)]
pub(crate) struct Script {
    deliveries: Vec<Delivery>,
    sent: usize,
}

impl Script {
    /// Delivery of the next order.
    pub(crate) fn next(&mut self) -> Delivery {
        self.sent += 1;
        self.deliveries
            .get(self.sent - 1)
            .copied()
            .unwrap_or_default()
    }
}

/// Runs every script with up to `faults` faults through `play`, which returns the script.
///
/// The number of orders is known only after a run, since it depends on the delivery
/// of the earlier ones. Returns the number of runs.
pub(crate) fn explore<F>(faults: u32, play: &mut F) -> usize
where
    F: FnMut(Script) -> Script,
{
    explore_from(&[], faults, play)
}

fn explore_from<F>(deliveries: &[Delivery], faults: u32, play: &mut F) -> usize
where
    F: FnMut(Script) -> Script,
{
    let start = deliveries.len();
    let played = play(Script {
        deliveries: deliveries.to_vec(),
        sent: 0,
    });
    let mut count = 1;
    if faults == 0 {
        return count;
    }
    for position in start..played.sent {
        for fault in FAULTS {
            let mut next = deliveries.to_vec();
            next.resize(position, Delivery::Normal);
            next.push(fault);
            count += explore_from(&next, faults - 1, play);
        }
    }
    count
}
