//! Entries that the directory lists when not all fit in one answer.
//!
//! Load pattern: 96 entries, answers of 64, hundreds of callers, each of which picks
//! one of its entries at random.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use pimentotide_fleet::list_entries;

const ENTRIES: u16 = 96;
const LISTED: usize = 64;
const CALLERS: usize = 208;

fn entries(count: u16) -> Vec<SocketAddr> {
    (0..count)
        .map(|n| SocketAddr::from(([10, 0, 0, 1], 1_000 + n)))
        .collect()
}

#[test]
fn every_entry_is_listed_for_a_similar_number_of_callers() {
    let mut listed: BTreeMap<SocketAddr, usize> = BTreeMap::new();
    for caller in 0..CALLERS {
        for entry in list_entries(entries(ENTRIES), &caller, LISTED) {
            *listed.entry(entry).or_default() += 1;
        }
    }
    let mean = CALLERS * LISTED / usize::from(ENTRIES);
    assert_eq!(listed.len(), usize::from(ENTRIES));
    let (least, most) = (listed.values().min(), listed.values().max());
    assert!(least.is_some_and(|n| *n > mean * 3 / 4), "{least:?}");
    assert!(most.is_some_and(|n| *n < mean * 5 / 4), "{most:?}");
}

#[test]
fn loss_of_an_entry_changes_one_place_of_a_list_at_most() {
    for caller in 0..20 {
        let before = list_entries(entries(ENTRIES), &caller, LISTED);
        let after = list_entries(entries(ENTRIES - 1), &caller, LISTED);
        let kept = after.iter().filter(|e| before.contains(e)).count();
        assert!(kept >= LISTED - 1, "{kept}");
    }
}

#[test]
fn all_entries_are_listed_if_they_fit() {
    assert_eq!(list_entries(entries(9), &"caller", LISTED), entries(9));
}
