//! Sends and receives beacons over UDP.

use std::net::{IpAddr, SocketAddr};
use std::time::Duration;

use tokio::net::UdpSocket;

use super::beacon::{Beacon, MAX_BEACON_BYTES};

/// Delay before receiving again after a socket error.
const ERROR_BACKOFF: Duration = Duration::from_millis(200);

/// Passes received beacons to `on_beacon` until the task is aborted.
pub(super) async fn listen<F>(address: SocketAddr, on_beacon: F)
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
                Ok(beacon) => on_beacon(beacon),
                Err(e) => log::warn!("malformed beacon from {from}: {e}"),
            },
            Err(e) => {
                log::warn!("cannot receive beacons: {e}");
                tokio::time::sleep(ERROR_BACKOFF).await;
            }
        }
    }
}

/// Socket for outgoing beacons.
pub(super) struct Sender {
    socket: UdpSocket,
}

impl Sender {
    /// Binds a free port of the instance; logs a failure and returns `None`.
    pub(super) async fn bind(ip: IpAddr) -> Option<Self> {
        match UdpSocket::bind(SocketAddr::new(ip, 0)).await {
            Ok(socket) => Some(Self { socket }),
            Err(e) => {
                log::error!("cannot send beacons: {e}");
                None
            }
        }
    }

    /// Sends a beacon to all addresses; failures are logged and not retried.
    pub(super) async fn send<I>(&self, beacon: &Beacon, addresses: I)
    where
        I: IntoIterator<Item = SocketAddr>,
    {
        let bytes = match postcard::to_stdvec(beacon) {
            Ok(bytes) => bytes,
            Err(e) => {
                log::error!("cannot encode a beacon: {e}");
                return;
            }
        };
        for address in addresses {
            if let Err(e) = self.socket.send_to(&bytes, address).await {
                log::debug!("cannot send a beacon to {address}: {e}");
            }
        }
    }
}
