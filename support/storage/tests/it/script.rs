//! A script of writes as a replica performs them, and the state expected afterwards.

use std::collections::BTreeMap;
use std::sync::Arc;

use pimentotide_consensus::{
    Config, Entry, HardState, Index, LogId, Payload, Recovered, Snapshot, SnapshotMeta, Ticket,
    Write,
};
use pimentotide_model::{InstanceName, Term, Time};
use pimentotide_storage::fake::FakeDisk;
use pimentotide_storage::{Opened, Storage, StorageError};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

/// Segment size, small enough that the script fills several segments.
pub(crate) const SEGMENT_BYTES: u64 = 300;

pub(crate) fn name() -> InstanceName {
    InstanceName::from("accra-a-1")
}

pub(crate) fn open(disk: FakeDisk) -> Result<Opened<FakeDisk>, StorageError> {
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    Storage::open_with_limit(disk, &name(), &mut rng, SEGMENT_BYTES)
}

pub(crate) fn entry(index: u64, term: u64) -> Entry {
    Entry {
        id: LogId {
            term: Term(term),
            index: Index(index),
        },
        time: Time::from_millis(index),
        payload: Payload::Command(Arc::from(format!("command {index} of {term}").as_bytes())),
    }
}

pub(crate) fn entries(from: u64, to: u64, term: u64) -> Vec<Entry> {
    (from..=to).map(|index| entry(index, term)).collect()
}

pub(crate) fn snapshot(index: u64, term: u64) -> Snapshot {
    let data: Arc<[u8]> = Arc::from(format!("state {index}").repeat(20).as_bytes());
    Snapshot {
        meta: SnapshotMeta {
            last: entry(index, term).id,
            time: Time::from_millis(index),
            config: Config::default(),
            size: data.len() as u64,
            checksum: 0,
        },
        data,
    }
}

/// Returns writes with overwritten entries, compaction and a snapshot from a leader.
pub(crate) fn script(hard: &HardState) -> Vec<Write> {
    let in_term = |term| {
        Some(HardState {
            term: Term(term),
            ..hard.clone()
        })
    };
    let mut writes = vec![
        Write {
            hard: in_term(1),
            entries: entries(1, 6, 1),
            ..Write::default()
        },
        Write {
            entries: entries(7, 14, 1),
            ..Write::default()
        },
        Write {
            hard: in_term(2),
            entries: entries(11, 13, 2),
            ..Write::default()
        },
        Write {
            snapshot: Some(snapshot(9, 1)),
            ..Write::default()
        },
        Write {
            entries: entries(14, 30, 2),
            ..Write::default()
        },
        Write {
            snapshot: Some(snapshot(25, 2)),
            ..Write::default()
        },
        Write {
            hard: in_term(3),
            entries: entries(28, 40, 3),
            ..Write::default()
        },
        Write {
            hard: in_term(5),
            snapshot: Some(snapshot(36, 4)),
            reset: true,
            ..Write::default()
        },
        Write {
            entries: entries(37, 44, 5),
            ..Write::default()
        },
    ];
    for (at, write) in writes.iter_mut().enumerate() {
        write.ticket = Ticket(at as u64 + 1);
    }
    writes
}

/// Expected state of a folder.
#[derive(Clone, Debug, Default, PartialEq)]
pub(crate) struct Expected {
    pub(crate) term: Term,
    pub(crate) snapshot: LogId,
    pub(crate) entries: BTreeMap<Index, Entry>,
}

impl Expected {
    pub(crate) fn write(&mut self, write: &Write) {
        if let Some(hard) = &write.hard {
            self.term = hard.term;
        }
        if let Some(snapshot) = &write.snapshot {
            self.snapshot = snapshot.meta.last;
            if write.reset {
                self.entries.clear();
            }
            self.entries = self.entries.split_off(&self.snapshot.index.next());
        }
        for entry in &write.entries {
            self.entries.split_off(&entry.id.index);
            self.entries.insert(entry.id.index, entry.clone());
        }
    }

    pub(crate) fn of(recovered: &Recovered) -> Self {
        let snapshot = recovered.snapshot.as_ref();
        Self {
            term: recovered.hard.term,
            snapshot: snapshot.map(|s| s.meta.last).unwrap_or_default(),
            entries: recovered
                .entries
                .iter()
                .map(|e| (e.id.index, e.clone()))
                .collect(),
        }
    }
}
