//! Loopback TCP proxies that delay, hold back or reset the connections through them.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::JoinHandle;

/// How a proxy forwards bytes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) enum Forwarding {
    /// Without delay.
    #[default]
    Plain,
    /// After a delay for each piece read.
    Delayed(Duration),
    /// Held back in both directions until the mode changes.
    Silent,
    /// Towards the target only; the other direction is held back.
    OneWay,
}

/// A running proxy.
#[derive(Debug)]
pub(crate) struct Proxy {
    address: SocketAddr,
    state: Arc<State>,
    task: JoinHandle<()>,
}

#[derive(Debug)]
struct State {
    target: watch::Sender<SocketAddr>,
    forwarding: watch::Sender<Forwarding>,
    /// Number of resets of all connections.
    resets: watch::Sender<u64>,
}

impl Proxy {
    /// Binds a loopback port whose connections are forwarded to `target`.
    pub(crate) async fn bind(target: SocketAddr) -> io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let state = Arc::new(State {
            target: watch::Sender::new(target),
            forwarding: watch::Sender::default(),
            resets: watch::Sender::default(),
        });
        let task = tokio::spawn(accept(listener, state.clone()));
        Ok(Self {
            address,
            state,
            task,
        })
    }

    pub(crate) fn address(&self) -> SocketAddr {
        self.address
    }

    pub(crate) fn set_forwarding(&self, forwarding: Forwarding) {
        self.state.forwarding.send_replace(forwarding);
    }

    /// Changes the target of later connections.
    pub(crate) fn set_target(&self, target: SocketAddr) {
        self.state.target.send_replace(target);
    }

    /// Resets all connections.
    pub(crate) fn reset(&self) {
        self.state.resets.send_modify(|n| *n += 1);
    }
}

impl Drop for Proxy {
    fn drop(&mut self) {
        self.task.abort();
    }
}

async fn accept(listener: TcpListener, state: Arc<State>) {
    while let Ok((inner, _)) = listener.accept().await {
        tokio::spawn(forward(inner, state.clone()));
    }
}

async fn forward(from: TcpStream, state: Arc<State>) {
    let mut resets = state.resets.subscribe();
    let target = *state.target.borrow();
    let Ok(to) = TcpStream::connect(target).await else {
        return reset(&from);
    };
    // Nagle's algorithm would delay small pieces until earlier ones are acknowledged.
    let _ = (from.set_nodelay(true), to.set_nodelay(true));
    let ((from_read, from_write), (to_read, to_write)) = (from.into_split(), to.into_split());
    let (up, down) = (state.forwarding.subscribe(), state.forwarding.subscribe());
    let up = tokio::spawn(copy(from_read, to_write, up, true));
    let down = tokio::spawn(copy(to_read, from_write, down, false));
    let (stop_up, stop_down) = (up.abort_handle(), down.abort_handle());
    let both = async { (up.await, down.await) };
    tokio::select! {
        _ = both => {}
        _ = resets.changed() => {
            stop_up.abort();
            stop_down.abort();
        }
    }
}

fn reset(stream: &TcpStream) {
    // If this fails, the connection is closed normally, which serves as well.
    let _ = stream.set_zero_linger();
}

/// Copies one direction until either side ends.
async fn copy(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    mut forwarding: watch::Receiver<Forwarding>,
    towards_target: bool,
) {
    let mut bytes = vec![0; 16 << 10];
    while let Ok(count @ 1..) = from.read(&mut bytes).await {
        let mode = *forwarding.borrow();
        if let Forwarding::Delayed(delay) = mode {
            tokio::time::sleep(delay).await;
        }
        let held = |p: &Forwarding| {
            *p == Forwarding::Silent || (*p == Forwarding::OneWay && !towards_target)
        };
        if forwarding.wait_for(|p| !held(p)).await.is_err() {
            return;
        }
        if to.write_all(&bytes[..count]).await.is_err() {
            return;
        }
    }
    // The other side may have closed first.
    let _ = to.shutdown().await;
}
