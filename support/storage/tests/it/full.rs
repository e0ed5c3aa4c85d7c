//! Disks that are full for a while, and storage that is opened again afterwards.

use pimentotide_consensus::Write;
use pimentotide_storage::fake::{FakeDisk, Fault};
use pimentotide_storage::{StorageError, StorageErrorKind};

use crate::script::{Expected, open, script};

/// Number of writing operations after which no disk of these tests is filled.
const MAX_OPERATIONS: u64 = 60;

/// Performs the script until the disk is full at operation `at`, frees the disk and opens it again.
fn reopened(disk: &FakeDisk, at: u64) -> Result<Expected, StorageError> {
    let mut opened = open(disk.clone())?;
    disk.arm(at, Fault::Fill);
    for write in script(&opened.recovered.hard) {
        if let Err(e) = opened.storage.write([&write]) {
            assert_eq!(e.kind, StorageErrorKind::Full);
            break;
        }
    }
    drop(opened);
    disk.disarm();
    disk.free();
    let again = open(disk.clone())?;
    Ok(Expected::of(&again.recovered))
}

/// Guards against a replica that acknowledges entries which its disk took without a sync, as after a
/// full disk, and that loses them with the power.
#[test]
fn state_that_was_recovered_survives_a_loss_of_power() {
    for at in 0..MAX_OPERATIONS {
        for seed in 0..40 {
            let disk = FakeDisk::new(seed);
            let case = format!("operation {at}, seed {seed}");
            let found = reopened(&disk, at).unwrap_or_else(|e| panic!("{case}: {e}"));
            disk.restart();
            let kept = open(disk).unwrap_or_else(|e| panic!("{case}: {e}"));
            assert_eq!(Expected::of(&kept.recovered), found, "{case}");
        }
    }
}

/// Guards against a log that counts as damaged for good after a full disk and a loss of power during
/// the next write.
#[test]
fn crash_in_the_first_write_after_a_full_disk_damages_nothing() {
    for at in 0..MAX_OPERATIONS {
        for seed in 0..10 {
            for second in 0..4 {
                let disk = FakeDisk::new(seed);
                let case = format!("operation {at}, seed {seed}, second {second}");
                let found = reopened(&disk, at).unwrap_or_else(|e| panic!("{case}: {e}"));
                let mut opened = open(disk.clone()).unwrap();
                let writes = script(&opened.recovered.hard);
                let next = found.entries.keys().last().copied();
                let next = next.unwrap_or(found.snapshot.index).next();
                let entries = writes.iter().flat_map(|w| w.entries.clone());
                let following = entries.filter(|e| e.id.index >= next).take(1).collect();
                let write = Write {
                    entries: following,
                    ..Write::default()
                };
                disk.arm(second, Fault::Crash);
                // The write may need fewer operations.
                let _ = opened.storage.write([&write]);
                disk.restart();
                let kept = open(disk).unwrap_or_else(|e| panic!("{case}: {e}"));
                let kept = Expected::of(&kept.recovered);
                let lost = found
                    .entries
                    .iter()
                    .find(|(i, e)| kept.entries.get(i) != Some(e));
                assert_eq!(lost, None, "{case}");
            }
        }
    }
}

/// Guards against a folder that cannot be opened any more after its disk was full at any operation,
/// also while it was opened.
#[test]
fn folder_opens_once_a_full_disk_has_room() {
    for at in 0..MAX_OPERATIONS {
        for second in 0..6 {
            let disk = FakeDisk::new(at);
            disk.arm(at, Fault::Fill);
            if let Ok(mut opened) = open(disk.clone()) {
                let writes = script(&opened.recovered.hard);
                // The last write that the disk takes is of no interest here.
                let _ = writes.iter().all(|w| opened.storage.write([w]).is_ok());
            }
            disk.free();
            disk.arm(second, Fault::Fill);
            let filled_again = open(disk.clone()).map(drop);
            assert!(filled_again.is_ok() || disk.is_full());
            disk.free();
            disk.disarm();
            let opened = open(disk);
            assert!(
                opened.is_ok(),
                "operation {at}, second {second}: {opened:?}"
            );
        }
    }
}
