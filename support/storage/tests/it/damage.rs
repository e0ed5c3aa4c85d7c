//! Damage to synced data is an error; a torn tail and incomplete files are removed.

use pimentotide_storage::fake::FakeDisk;
use pimentotide_storage::{Disk, StorageErrorKind};

use crate::script::{Expected, open, script};

/// Returns a disk after the first `count` writes of the script.
fn written(count: usize) -> FakeDisk {
    let disk = FakeDisk::new(5);
    let mut opened = open(disk.clone()).unwrap();
    let writes = script(&opened.recovered.hard);
    for write in &writes[..count] {
        opened.storage.write([write]).unwrap();
    }
    disk
}

fn open_error(disk: FakeDisk) -> String {
    let error = open(disk).unwrap_err();
    assert_eq!(error.kind, StorageErrorKind::Corrupt);
    error.to_string()
}

#[test]
fn damage_error_names_the_file() {
    let middle = written(3);
    middle.damage("log-0000000000000001", 60);
    let newer = written(5);
    let names = newer.clone().list().unwrap();
    newer.damage("log-0000000000000002", 40);
    let state = written(2);
    state.damage("state", 12);
    let snapshot = written(4);
    snapshot.damage("snapshot-00000000000000000009", 50);
    let mut unnamed = written(2);
    unnamed.remove("state").unwrap();
    let mut gap = written(7);
    gap.remove("log-0000000000000002").unwrap();
    insta::assert_debug_snapshot!((
        names,
        open_error(middle),
        open_error(newer),
        open_error(state),
        open_error(snapshot),
        open_error(unnamed),
        open_error(gap),
    ));
}

#[test]
fn every_damaged_byte_of_a_completed_segment_is_detected() {
    let size = written(5).read("log-0000000000000001").unwrap().len();
    for at in 0..size {
        let disk = written(5);
        disk.damage("log-0000000000000001", at);
        open_error(disk);
    }
}

#[test]
fn torn_tail_of_any_length_is_removed() {
    let mut whole = written(2);
    let expected = Expected::of(&open(whole.clone()).unwrap().recovered);
    let newest = whole.clone().list().unwrap();
    let newest = newest.iter().rfind(|n| n.starts_with("log-")).unwrap();
    let record = whole.read(newest).unwrap();
    // The first record of a segment is short; the next one is longer than the tails.
    let start = 11;
    for length in 1..30 {
        let mut disk = written(2);
        disk.append(newest, &record[start..start + length]).unwrap();
        let opened = open(disk.clone()).unwrap();
        assert_eq!(Expected::of(&opened.recovered), expected);
        assert_eq!(opened.truncated_bytes, length as u64);
        assert_eq!(open(disk).unwrap().truncated_bytes, 0);
    }
}

#[test]
fn incomplete_snapshot_is_ignored() {
    let mut disk = written(4);
    let expected = Expected::of(&open(disk.clone()).unwrap().recovered);
    let temporary = "snapshot-00000000000000000012.tmp";
    disk.create(temporary).unwrap();
    disk.append(temporary, b"half").unwrap();
    let opened = open(disk.clone()).unwrap();
    assert_eq!(Expected::of(&opened.recovered), expected);
    assert!(!disk.list().unwrap().iter().any(|n| n == temporary));
}

#[test]
fn wiped_disk_gets_a_new_identity() {
    let disk = written(4);
    let before = open(disk.clone()).unwrap().recovered.hard.identity;
    disk.wipe();
    let mut rng = <rand_chacha::ChaCha8Rng as rand::SeedableRng>::seed_from_u64(2);
    let opened =
        pimentotide_storage::Storage::open(disk, &crate::script::name(), &mut rng).unwrap();
    assert!(opened.fresh);
    assert_eq!(opened.recovered.hard.identity.name, before.name);
    assert_ne!(opened.recovered.hard.identity.disk, before.disk);
}
