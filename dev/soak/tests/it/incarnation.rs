//! Drains that overlap each other and restarts of the upstream.

use pimentotide_soak::IncarnationState;

/// Guards against a drain that ends the next incarnation, which serves requests and has not
/// announced its end: their interruption looks like a fault of the entry.
#[test]
fn drain_ends_only_the_incarnation_that_it_began_with() {
    let mut state = IncarnationState::default();
    let first = state.start();
    assert_eq!(state.start_drain(), Some(first));
    assert_eq!(state.start_drain(), None, "one drain at a time");
    let second = state.start();
    assert!(!state.is_present(first));
    assert_eq!(state.start_drain(), Some(second));
}
