//! Signals that stop the process or reload its settings.

use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::mpsc;

/// Receives one item per SIGTERM or SIGINT.
pub fn stops() -> mpsc::UnboundedReceiver<()> {
    listen(&[SignalKind::terminate(), SignalKind::interrupt()])
}

/// Receives one item per SIGHUP, which requests a reload of the settings.
pub fn reloads() -> mpsc::UnboundedReceiver<()> {
    listen(&[SignalKind::hangup()])
}

fn listen(kinds: &[SignalKind]) -> mpsc::UnboundedReceiver<()> {
    let (sender, receiver) = mpsc::unbounded_channel();
    for kind in kinds.iter().copied() {
        let sender = sender.clone();
        let Ok(mut stream) = signal(kind) else {
            log::error!("cannot listen for signal {}", kind.as_raw_value());
            continue;
        };
        actix_rt::spawn(async move {
            while stream.recv().await.is_some() && sender.send(()).is_ok() {}
        });
    }
    receiver
}
