//! The real file system.

use pimentotide_model::InstanceName;
use pimentotide_storage::{Folder, Storage, StorageErrorKind};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crate::script::{Expected, LIMIT, name, script};

fn rng() -> ChaCha8Rng {
    ChaCha8Rng::seed_from_u64(9)
}

#[test]
fn a_folder_holds_what_was_written_after_it_is_opened_again() {
    let place = tempfile::tempdir().unwrap();
    let path = place.path().join("data");
    let folder = Folder::open(&path).unwrap();
    let mut opened = Storage::open_with_limit(folder, &name(), &mut rng(), LIMIT).unwrap();
    assert!(opened.fresh);
    let writes = script(&opened.recovered.hard);
    opened.storage.write(&writes).unwrap();
    drop(opened);
    let folder = Folder::open(&path).unwrap();
    let opened = Storage::open_with_limit(folder, &name(), &mut rng(), LIMIT).unwrap();
    let mut expected = Expected::default();
    writes.iter().for_each(|w| expected.write(w));
    assert_eq!(Expected::of(&opened.recovered), expected);
    assert!(!opened.fresh);
}

#[test]
fn a_folder_is_open_once() {
    let place = tempfile::tempdir().unwrap();
    let first = Folder::open(place.path()).unwrap();
    let error = Folder::open(place.path()).unwrap_err();
    assert_eq!(error.kind(), std::io::ErrorKind::WouldBlock);
    drop(first);
    Folder::open(place.path()).unwrap();
}

#[test]
fn a_folder_of_another_replica_is_refused() {
    let place = tempfile::tempdir().unwrap();
    drop(Storage::open(Folder::open(place.path()).unwrap(), &name(), &mut rng()).unwrap());
    let other = InstanceName::from("tema-c-1");
    let folder = Folder::open(place.path()).unwrap();
    let error = Storage::open(folder, &other, &mut rng()).unwrap_err();
    assert_eq!(error.kind, StorageErrorKind::Foreign);
}
