//! Entry addresses returned to callers.

use std::collections::BTreeMap;

use pimentotide_model::{AdminState, InstanceName, ZoneName};
use pimentotide_routing::{EntryState, advise};

use crate::fixture::{ZONES, at, rng};

fn entries() -> Vec<EntryState> {
    (0..9)
        .map(|i| EntryState {
            instance: InstanceName::from(format!("e{i}")),
            address: format!("127.0.0.1:{}", 8000 + i),
            zone: ZoneName::from(ZONES[i % 3]),
            stopping: false,
            last_seen: at(10_000),
        })
        .collect()
}

#[test]
fn nearest_usable_entries_come_first() {
    let mut entries = entries();
    entries[0].stopping = true;
    entries[3].last_seen = at(1_000);
    let zone = ZoneName::from(ZONES[0]);
    let standing = |z: &ZoneName| {
        if z.as_str() == ZONES[1] {
            AdminState::Out
        } else {
            AdminState::In
        }
    };
    let advice = advise(Some(&zone), &entries, standing, at(11_000), &mut rng());
    assert_eq!(advice.addresses[0], "127.0.0.1:8006");
    assert_eq!(advice.addresses.len(), 4);
    let all_out = advise(
        Some(&zone),
        &entries,
        |_| AdminState::Out,
        at(11_000),
        &mut rng(),
    );
    assert_eq!(all_out.addresses.len(), 7);
    let silent = advise(None, &entries, |_| AdminState::In, at(99_000), &mut rng());
    assert_eq!(silent.addresses.len(), 9);
}

#[test]
fn first_address_is_spread_evenly() {
    let entries = entries();
    let mut rng = rng();
    let mut firsts: BTreeMap<String, u32> = BTreeMap::new();
    for _ in 0..9_000 {
        let advice = advise(None, &entries, |_| AdminState::In, at(10_000), &mut rng);
        assert!((5..=10).contains(&advice.ttl.as_secs()));
        *firsts.entry(advice.addresses[0].clone()).or_default() += 1;
    }
    assert!(
        firsts.values().all(|n| (850..1_150).contains(n)),
        "{firsts:?}"
    );
}
