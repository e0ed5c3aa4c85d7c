//! Signals that ask a process to stop.

use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::mpsc;

/// Yields once for each SIGTERM or SIGINT.
pub fn stops() -> mpsc::UnboundedReceiver<()> {
    let (sender, receiver) = mpsc::unbounded_channel();
    for kind in [SignalKind::terminate(), SignalKind::interrupt()] {
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
