//! Loopback proxies that disturb connections.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::JoinHandle;

/// How a proxy passes bytes on.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) enum Passing {
    /// At once.
    #[default]
    Plain,
    /// After a while.
    Delayed(Duration),
    /// Not at all, either way; they come later.
    Silent,
    /// Only towards the target.
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
    passing: watch::Sender<Passing>,
    /// Rises with each reset of all connections.
    resets: watch::Sender<u64>,
}

impl Proxy {
    /// Passes connections on to `target`.
    pub(crate) async fn bind(target: SocketAddr) -> io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let state = Arc::new(State {
            target: watch::Sender::new(target),
            passing: watch::Sender::default(),
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

    pub(crate) fn set(&self, passing: Passing) {
        self.state.passing.send_replace(passing);
    }

    /// Sends later connections elsewhere.
    pub(crate) fn lead(&self, target: SocketAddr) {
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
        tokio::spawn(pass(inner, state.clone()));
    }
}

async fn pass(from: TcpStream, state: Arc<State>) {
    let mut resets = state.resets.subscribe();
    let target = *state.target.borrow();
    let Ok(to) = TcpStream::connect(target).await else {
        return reset(&from);
    };
    // Without it small pieces would wait for each other.
    let _ = (from.set_nodelay(true), to.set_nodelay(true));
    let ((from_read, from_write), (to_read, to_write)) = (from.into_split(), to.into_split());
    let (up, down) = (state.passing.subscribe(), state.passing.subscribe());
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
    // A connection that is closed in order does as well.
    let _ = stream.set_zero_linger();
}

/// Copies one direction until either side ends.
async fn copy(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    mut passing: watch::Receiver<Passing>,
    upwards: bool,
) {
    let mut bytes = vec![0; 16 << 10];
    while let Ok(count @ 1..) = from.read(&mut bytes).await {
        let now = *passing.borrow();
        if let Passing::Delayed(delay) = now {
            tokio::time::sleep(delay).await;
        }
        let held = |p: &Passing| *p == Passing::Silent || (*p == Passing::OneWay && !upwards);
        if passing.wait_for(|p| !held(p)).await.is_err() {
            return;
        }
        if to.write_all(&bytes[..count]).await.is_err() {
            return;
        }
    }
    // The other side may have closed first.
    let _ = to.shutdown().await;
}
