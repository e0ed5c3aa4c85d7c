//! Requests for the agents of a group that has just been formed.

use std::time::Duration;

use pimentotide_experts::list_interval;

const USUAL: Duration = Duration::from_millis(800);

/// Times of the requests while the list stays incomplete, ms after the group was formed.
fn requests(until: u128) -> Vec<u128> {
    let mut since = Duration::ZERO;
    let mut times = Vec::new();
    while since.as_millis() < until {
        since += list_interval(since, USUAL);
        times.push(since.as_millis());
    }
    times
}

/// Guards against a group that runs with its first map until the next usual request.
#[test]
fn complete_list_is_noticed_soon_after_the_group_was_formed() {
    let times = requests(800);
    let gaps = times.windows(2).map(|w| w[1] - w[0]);
    assert!(times[0] <= 100 && gaps.max() <= Some(200), "{times:?}");
}

/// Guards against messages without end for an agent that has failed.
#[test]
fn list_that_stays_incomplete_is_requested_as_usual() {
    assert!(requests(10_000).len() < 30);
    assert_eq!(list_interval(Duration::from_secs(10), USUAL), USUAL);
}
