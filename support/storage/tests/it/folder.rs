//! Storage on the file system.

use pimentotide_model::InstanceName;
use pimentotide_storage::{Folder, Storage, StorageErrorKind};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crate::script::{Expected, SEGMENT_BYTES, name, script};

fn rng() -> ChaCha8Rng {
    ChaCha8Rng::seed_from_u64(9)
}

#[test]
fn reopened_folder_contains_what_was_written() {
    let temporary = tempfile::tempdir().unwrap();
    let path = temporary.path().join("data");
    let folder = Folder::open(&path).unwrap();
    let mut opened = Storage::open_with_limit(folder, &name(), &mut rng(), SEGMENT_BYTES).unwrap();
    assert!(opened.fresh);
    let writes = script(&opened.recovered.hard);
    opened.storage.write(&writes).unwrap();
    drop(opened);
    let folder = Folder::open(&path).unwrap();
    let opened = Storage::open_with_limit(folder, &name(), &mut rng(), SEGMENT_BYTES).unwrap();
    let mut expected = Expected::default();
    writes.iter().for_each(|w| expected.write(w));
    assert_eq!(Expected::of(&opened.recovered), expected);
    assert!(!opened.fresh);
}

#[test]
fn folder_cannot_be_opened_twice() {
    let temporary = tempfile::tempdir().unwrap();
    let first = Folder::open(temporary.path()).unwrap();
    let error = Folder::open(temporary.path()).unwrap_err();
    assert_eq!(error.kind(), std::io::ErrorKind::WouldBlock);
    drop(first);
    Folder::open(temporary.path()).unwrap();
}

#[test]
fn folder_of_another_replica_is_refused() {
    let temporary = tempfile::tempdir().unwrap();
    drop(Storage::open(Folder::open(temporary.path()).unwrap(), &name(), &mut rng()).unwrap());
    let other = InstanceName::from("tema-c-1");
    let folder = Folder::open(temporary.path()).unwrap();
    let error = Storage::open(folder, &other, &mut rng()).unwrap_err();
    assert_eq!(error.kind, StorageErrorKind::Foreign);
}
