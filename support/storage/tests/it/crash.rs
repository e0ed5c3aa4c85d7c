//! Crashes at every writing operation must not lose synced data.

use pimentotide_storage::StorageErrorKind;
use pimentotide_storage::fake::{FakeDisk, Fault};

use crate::script::{Expected, open, script};

/// Performs the script until a write fails; returns the number of synced writes.
fn run(disk: &FakeDisk) -> usize {
    let Ok(mut opened) = open(disk.clone()) else {
        return 0;
    };
    let writes = script(&opened.recovered.hard);
    writes
        .iter()
        .take_while(|w| opened.storage.write([*w]).is_ok())
        .count()
}

fn operations() -> u64 {
    let disk = FakeDisk::new(0);
    run(&disk);
    disk.operations()
}

/// Checks that the recovered state contains the synced writes and at most a part of the next one.
fn check(disk: &FakeDisk, synced: usize, case: &str) {
    let opened = open(disk.clone()).unwrap_or_else(|e| panic!("{case}: {e}"));
    let found = Expected::of(&opened.recovered);
    let writes = script(&opened.recovered.hard);
    let mut before = Expected::default();
    writes[..synced].iter().for_each(|w| before.write(w));
    let Some(next) = writes.get(synced) else {
        assert_eq!(found, before, "{case}");
        return;
    };
    let mut after = before.clone();
    after.write(next);
    assert!(
        found.term == before.term || found.term == after.term,
        "{case}: term {}",
        found.term
    );
    let first_new = next.entries.first().map(|e| e.id.index);
    for (index, entry) in &before.entries {
        let replaced = first_new.is_some_and(|first| *index >= first);
        let covered = *index <= found.snapshot.index;
        let dropped = next.reset && found.snapshot == after.snapshot;
        assert!(
            replaced || covered || dropped || found.entries.get(index) == Some(entry),
            "{case}: synced entry {index} is lost"
        );
    }
    for (index, entry) in &found.entries {
        let known =
            before.entries.get(index) == Some(entry) || after.entries.get(index) == Some(entry);
        assert!(known, "{case}: entry {index} was never written");
    }
    assert!(found.snapshot == before.snapshot || found.snapshot == after.snapshot);
}

#[test]
fn crash_at_any_operation_loses_no_synced_data() {
    for at in 0..operations() {
        for seed in 0..40 {
            let disk = FakeDisk::new(seed);
            disk.arm(at, Fault::Crash);
            let synced = run(&disk);
            disk.restart();
            check(&disk, synced, &format!("operation {at}, seed {seed}"));
        }
    }
}

#[test]
fn second_crash_during_recovery_loses_no_synced_data() {
    for at in 0..operations() {
        for seed in 0..6 {
            for second in 0..4 {
                let disk = FakeDisk::new(seed);
                disk.arm(at, Fault::Crash);
                let synced = run(&disk);
                disk.restart();
                disk.arm(second, Fault::Crash);
                // Recovery may finish before the operation of the second crash.
                let _ = open(disk.clone());
                disk.restart();
                let case = format!("operation {at}, seed {seed}, second {second}");
                check(&disk, synced, &case);
            }
        }
    }
}

#[test]
fn fresh_folder_keeps_its_identity_after_a_crash() {
    for at in 0..6 {
        for seed in 0..40 {
            let disk = FakeDisk::new(seed);
            disk.arm(at, Fault::Crash);
            let first = open(disk.clone()).ok().map(|o| o.recovered.hard);
            disk.restart();
            let second = open(disk.clone()).unwrap();
            if let Some(first) = first {
                assert_eq!(second.recovered.hard, first);
                assert!(!second.fresh);
            }
        }
    }
}

#[test]
fn full_or_failed_disk_is_reported_and_not_written_again() {
    for (fault, kind) in [
        (Fault::Fill, StorageErrorKind::Full),
        (Fault::Fail, StorageErrorKind::Failed),
    ] {
        let disk = FakeDisk::new(3);
        let mut opened = open(disk.clone()).unwrap();
        let writes = script(&opened.recovered.hard);
        opened.storage.write(&writes[..2]).unwrap();
        disk.arm(0, fault);
        let error = opened.storage.write(&writes[2..3]).unwrap_err();
        assert_eq!(error.kind, kind);
        let before = disk.operations();
        let error = opened.storage.write(&writes[2..3]).unwrap_err();
        assert_eq!(error.kind, StorageErrorKind::Poisoned);
        assert_eq!(disk.operations(), before);
        disk.restart();
        let kept = Expected::of(&open(disk).unwrap().recovered);
        let mut expected = Expected::default();
        writes[..2].iter().for_each(|w| expected.write(w));
        assert_eq!(kept.entries.len(), expected.entries.len());
    }
}
