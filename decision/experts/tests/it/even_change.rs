//! Differences between placements.

use pimentotide_experts::{Placement, PlacementChange};
use proptest::prelude::*;

fn placement() -> impl Strategy<Value = Placement> {
    let experts = prop::collection::vec(0_u16..20, 0..4);
    prop::collection::vec(prop::collection::vec(experts, 3), 2)
}

proptest! {
    #[test]
    fn change_turns_one_placement_into_the_other(old in placement(), new in placement()) {
        let change = PlacementChange::between(&old, &new).expect("equal layers and ranks");
        prop_assert_eq!(change.apply(&old), Some(new));
    }

    #[test]
    fn change_applies_only_to_its_base(
        old in placement(),
        new in placement(),
        other in placement(),
    ) {
        let change = PlacementChange::between(&old, &new).expect("equal layers and ranks");
        prop_assert_eq!(change.apply(&other).is_some(), other == old);
    }
}

#[test]
fn placements_of_different_sizes_have_no_change() {
    let small: Placement = vec![vec![vec![1]]];
    let large: Placement = vec![vec![vec![1], vec![2]]];
    assert_eq!(PlacementChange::between(&small, &large), None);
    assert_eq!(PlacementChange::between(&small, &Vec::new()), None);
}
