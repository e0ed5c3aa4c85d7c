//! Ports for the processes of one deployment under test.

use std::net::{IpAddr, TcpListener};

/// Ports that a deployment takes from the first on.
const COUNT: u16 = 6;
/// Ranges of ports that are looked at.
const RANGES: u16 = 2_000;
/// First port of the first range; all lie below those from which connections take theirs.
const FIRST: u16 = 10_000;
/// Ports from one range to the next.
const STEP: u16 = 10;

/// First of six ports that are free on all of `hosts`; none if there are no such ports.
pub fn free_ports(hosts: &[IpAddr]) -> Option<u16> {
    let free = |port: &u16| {
        let mut places = hosts.iter().flat_map(|h| (0..COUNT).map(move |o| (*h, o)));
        places.all(|(host, offset)| TcpListener::bind((host, port + offset)).is_ok())
    };
    let start = (std::process::id() % u32::from(RANGES)) as u16;
    let mut ports = (0..RANGES).map(|n| FIRST + (start + n) % RANGES * STEP);
    ports.find(free)
}
