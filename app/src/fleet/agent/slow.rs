//! Announces the pace of the engine to the replicas while the engine is slow.

use std::net::SocketAddr;
use std::time::Duration;

use pimentotide_fleet::SlowReporter;

use super::super::FleetSettings;
use super::super::beacon::{BeaconVersion, SlowBeacon};
use super::super::datagram::Sender;
use super::super::replicas::Replicas;
use super::engine::EngineHandle;
use crate::lines::EngineSlow;

/// Time between announcements; that of the engine's reports.
const REPORT_INTERVAL: Duration = Duration::from_millis(200);

/// Announces the pace until the task is aborted; sends nothing while the engine is normal.
pub(super) async fn report_pace(
    settings: FleetSettings,
    address: SocketAddr,
    replicas: Replicas,
    engine: EngineHandle,
) {
    let Some(sender) = Sender::bind(settings.ip).await else {
        return;
    };
    let mut order = BeaconVersion::start();
    let mut reporter = SlowReporter::default();
    let mut logged = None;
    loop {
        tokio::time::sleep(REPORT_INTERVAL).await;
        let pace = reporter.advance(engine.latest_pace(), engine.now());
        if pace != logged {
            logged = pace;
            pimentotide_observe::event(&EngineSlow { pace });
        }
        let Some(pace) = pace else {
            continue;
        };
        let beacon = SlowBeacon {
            calls: settings.calls(),
            engine: address,
            pace,
            order: order.advance(),
        };
        let to = replicas
            .list()
            .into_iter()
            .map(|a| settings.beacons_at(a.ip()));
        sender.send(&beacon.into(), to).await;
    }
}
