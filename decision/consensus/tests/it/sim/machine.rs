//! State machine that computes a digest of all commands in order.

use pimentotide_consensus::{Index, Machine, RestoreError};
use pimentotide_model::Time;

/// Digest of all commands in order.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct Recorder {
    pub(crate) digest: u64,
    pub(crate) count: u64,
    pub(crate) time: Time,
}

impl Recorder {
    pub(crate) fn encode(&self) -> Vec<u8> {
        // Padding makes the state large enough to be sent in several chunks.
        let words = [self.digest, self.count, self.time.as_micros()];
        let mut bytes: Vec<u8> = words.iter().flat_map(|w| w.to_le_bytes()).collect();
        bytes.resize(200, 0xee);
        bytes
    }
}

impl Machine for Recorder {
    fn apply(&mut self, index: Index, time: Time, command: &[u8]) -> Vec<u8> {
        assert!(time >= self.time, "time decreased at {index}");
        self.time = time;
        self.count += 1;
        for byte in command {
            self.digest = (self.digest ^ u64::from(*byte)).wrapping_mul(0x0100_0000_01b3);
        }
        command.to_vec()
    }

    fn snapshot(&self) -> Vec<u8> {
        self.encode()
    }

    fn restore(&mut self, state: &[u8]) -> Result<(), RestoreError> {
        let word = |n: usize| {
            let bytes = state.get(n * 8..n * 8 + 8).and_then(|b| b.try_into().ok());
            bytes.map(u64::from_le_bytes).ok_or_else(|| RestoreError {
                detail: "too short".to_owned(),
            })
        };
        self.digest = word(0)?;
        self.count = word(1)?;
        self.time = Time::from_micros(word(2)?);
        Ok(())
    }
}
