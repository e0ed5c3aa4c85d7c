//! Removes upstreams that have fallen silent.

use std::time::Duration;

use pimentotide_fleet::Command;

use super::desk::Desk;

/// Pause between looks.
const PAUSE: Duration = Duration::from_secs(2);
/// Silence after which an upstream is removed; entries avoid it long before, because requests to it fail.
const SILENCE: Duration = Duration::from_secs(20);

/// Removes silent upstreams while this replica leads, until it is aborted.
pub(super) async fn expire(desk: Desk) {
    let leader = desk.replica().leader();
    loop {
        tokio::time::sleep(PAUSE).await;
        if !leader.borrow().here {
            continue;
        }
        let silent = match desk.silent(SILENCE).await {
            Ok(silent) => silent,
            Err(failure) => {
                log::warn!("cannot look for silent upstreams: {failure}");
                continue;
            }
        };
        for record in silent {
            let command = Command::Expire {
                upstream: record.said.upstream,
                heard: record.heard,
            };
            // The outcome is logged with the order; the next look tries again.
            let _ = desk.order(&command).await;
        }
    }
}
