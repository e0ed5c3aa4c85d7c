//! Selection of free ports for a deployment under test.

use std::net::{IpAddr, TcpListener};

/// Number of consecutive ports that a deployment uses.
const PORT_COUNT: u16 = 6;
/// Number of port ranges to try.
const RANGE_COUNT: u16 = 2_000;
/// First port of the first range; all ranges lie below the ephemeral ports.
const FIRST_PORT: u16 = 10_000;
/// Distance between the first ports of two ranges.
const RANGE_STEP: u16 = 10;

/// Returns the first of six consecutive ports that are free on all `hosts`; `None` if no range is free.
pub fn free_ports(hosts: &[IpAddr]) -> Option<u16> {
    let free = |port: &u16| {
        let mut sockets = hosts
            .iter()
            .flat_map(|h| (0..PORT_COUNT).map(move |o| (*h, o)));
        sockets.all(|(host, offset)| TcpListener::bind((host, port + offset)).is_ok())
    };
    let start = (std::process::id() % u32::from(RANGE_COUNT)) as u16;
    let mut ports = (0..RANGE_COUNT).map(|n| FIRST_PORT + (start + n) % RANGE_COUNT * RANGE_STEP);
    ports.find(free)
}
