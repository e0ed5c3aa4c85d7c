//! Relay trees and compact counts of large groups.
//!
//! Load pattern: a message to each of hundreds of ranks, over links of a few Mbit/s.

use std::collections::BTreeSet;

use insta::assert_snapshot;
use pimentotide_experts::{CodedCounts, RelayTree};
use proptest::prelude::*;

/// Nodes of a group with its ranks dealt out to zones in turn.
fn trees(ranks: usize, zones: usize) -> Vec<RelayTree<(usize, usize)>> {
    RelayTree::by_zone((1..ranks).map(|rank| (rank % zones, (rank % zones, rank))))
}

fn visit(tree: &RelayTree<(usize, usize)>, seen: &mut Vec<(usize, usize)>) -> usize {
    seen.push(tree.node);
    let widths = tree.below.iter().map(|below| {
        assert_eq!(below.node.0, tree.node.0, "a subtree leaves its zone");
        visit(below, seen)
    });
    widths.max().unwrap_or(0).max(tree.below.len())
}

#[test]
fn height_and_width_stay_small_at_all_sizes() {
    let shape = |(ranks, zones)| {
        let trees = trees(ranks, zones);
        let mut seen = Vec::new();
        let width = trees.iter().map(|t| visit(t, &mut seen)).max();
        let height = trees.iter().map(RelayTree::height).max();
        let unique: BTreeSet<_> = seen.iter().collect();
        assert_eq!((seen.len(), unique.len()), (ranks - 1, ranks - 1));
        format!(
            "{ranks} ranks in {zones} zones: {} trees, width {}, height {}",
            trees.len(),
            width.unwrap_or(0),
            height.unwrap_or(0)
        )
    };
    let sizes = [(25, 3), (63, 4), (129, 5), (256, 18), (256, 1)];
    assert_snapshot!(sizes.map(shape).join("\n"));
}

#[test]
fn group_of_one_needs_no_tree() {
    assert!(trees(1, 3).is_empty());
}

proptest! {
    #[test]
    fn coded_counts_are_close(counts in proptest::collection::vec(0.0..1e7_f64, 1..200)) {
        let coded = CodedCounts::encode(&counts);
        let decoded = coded.decode();
        prop_assert_eq!(decoded.len(), counts.len());
        for (count, decoded) in counts.iter().zip(decoded) {
            prop_assert!((count - decoded).abs() <= 0.05 * count + 1.0, "{} {}", count, decoded);
        }
    }
}

#[test]
fn counts_without_choices_stay_zero() {
    assert_eq!(CodedCounts::encode(&[0.0, 0.0]).decode(), [0.0, 0.0]);
    assert!(CodedCounts::default().decode().is_empty());
}
