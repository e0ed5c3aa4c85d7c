//! Simulated network with faults at chosen messages and random loss, delay and duplication.

use std::collections::BTreeMap;
use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::group::Process;

/// Latency of a message.
const DELAY: Duration = Duration::from_millis(1);

/// Latency of a late message.
const LATE: Duration = Duration::from_millis(700);

/// Fault injected when a message is sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Fault {
    Lose,
    Twice,
    Late,
    KillSender,
    KillReceiver,
    KillControl,
    KillLeader,
    /// Another coordinator takes over while the first one keeps running.
    SplitControl,
    /// Another process of the leading rank starts while the first leader keeps running.
    SplitLeader,
}

impl Fault {
    pub(crate) const ALL: [Self; 9] = [
        Self::Lose,
        Self::Twice,
        Self::Late,
        Self::KillSender,
        Self::KillReceiver,
        Self::KillControl,
        Self::KillLeader,
        Self::SplitControl,
        Self::SplitLeader,
    ];
}

/// Deliveries of a message and the fault injected with it.
pub(crate) struct Transmission {
    pub(crate) delays: Vec<Duration>,
    pub(crate) fault: Option<Fault>,
}

/// Network between all processes.
pub(crate) struct Network {
    count: u64,
    faults: BTreeMap<u64, Fault>,
    loss: f64,
    rng: ChaCha8Rng,
}

impl Network {
    /// Injects each fault at the message of this number, counted from 1.
    pub(crate) fn with_faults<I>(faults: I) -> Self
    where
        I: IntoIterator<Item = (u64, Fault)>,
    {
        Self {
            count: 0,
            faults: faults.into_iter().collect(),
            loss: 0.0,
            rng: ChaCha8Rng::seed_from_u64(0),
        }
    }

    /// Loses, delays or duplicates each message with this probability.
    pub(crate) fn with_loss(loss: f64, seed: u64) -> Self {
        Self {
            count: 0,
            faults: BTreeMap::new(),
            loss,
            rng: ChaCha8Rng::seed_from_u64(seed),
        }
    }

    /// Number of messages sent between processes.
    pub(crate) fn count(&self) -> u64 {
        self.count
    }

    /// Stops random faults.
    pub(crate) fn heal(&mut self) {
        self.loss = 0.0;
    }

    /// Returns the deliveries of the next message.
    pub(crate) fn transmit(&mut self, from: Process, to: Process) -> Transmission {
        if from == to && from != Process::Control {
            // State machines in one process call each other directly. The control
            // process reaches the log over the network.
            let delays = vec![Duration::ZERO];
            return Transmission {
                delays,
                fault: None,
            };
        }
        self.count += 1;
        let fault = self
            .faults
            .get(&self.count)
            .copied()
            .or_else(|| self.draw());
        let delays = match fault {
            Some(Fault::Lose | Fault::KillReceiver) => Vec::new(),
            Some(Fault::Twice) => vec![DELAY, LATE],
            Some(Fault::Late) => vec![LATE],
            _ => vec![DELAY],
        };
        Transmission { delays, fault }
    }

    fn draw(&mut self) -> Option<Fault> {
        if self.loss == 0.0 || !self.rng.random_bool(self.loss) {
            return None;
        }
        Some([Fault::Lose, Fault::Twice, Fault::Late][self.rng.random_range(0..3)])
    }
}
