//! Sends and takes in beacons.

use std::net::{IpAddr, SocketAddr};
use std::time::Duration;

use tokio::net::UdpSocket;

use super::beacon::{Beacon, MAX_BEACON_BYTES};

/// Pause after a socket error.
const ERROR_PAUSE: Duration = Duration::from_millis(200);

/// Hands beacons to `hear` until it is aborted.
pub(super) async fn listen<F>(address: SocketAddr, hear: F)
where
    F: Fn(Beacon),
{
    let socket = match UdpSocket::bind(address).await {
        Ok(socket) => socket,
        Err(e) => {
            log::error!("cannot listen for beacons on {address}: {e}");
            return;
        }
    };
    let mut bytes = [0; MAX_BEACON_BYTES];
    loop {
        match socket.recv_from(&mut bytes).await {
            Ok((length, from)) => match postcard::from_bytes(&bytes[..length]) {
                Ok(beacon) => hear(beacon),
                Err(e) => log::warn!("unreadable beacon from {from}: {e}"),
            },
            Err(e) => {
                log::warn!("beacons: {e}");
                tokio::time::sleep(ERROR_PAUSE).await;
            }
        }
    }
}

/// Sender of beacons.
pub(super) struct Sender {
    socket: UdpSocket,
}

impl Sender {
    /// Binds a free port of the instance; none, with a log line, if that fails.
    pub(super) async fn bind(ip: IpAddr) -> Option<Self> {
        match UdpSocket::bind(SocketAddr::new(ip, 0)).await {
            Ok(socket) => Some(Self { socket }),
            Err(e) => {
                log::error!("cannot send beacons: {e}");
                None
            }
        }
    }

    /// Sends a beacon to all addresses; a lost one is made up for by the next.
    pub(super) async fn send<I>(&self, beacon: &Beacon, addresses: I)
    where
        I: IntoIterator<Item = SocketAddr>,
    {
        let bytes = match postcard::to_stdvec(beacon) {
            Ok(bytes) => bytes,
            Err(e) => {
                log::error!("a beacon cannot be encoded: {e}");
                return;
            }
        };
        for address in addresses {
            if let Err(e) = self.socket.send_to(&bytes, address).await {
                log::debug!("no beacon to {address}: {e}");
            }
        }
    }
}
