//! JSON lines on standard output, written by a thread of their own.

use std::io::{self, Write};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use derive_more::Display;
use flexi_logger::writers::LogWriter;
use flexi_logger::{DeferredNow, FlexiLoggerError, Logger, LoggerHandle};
use log::{Level, Record};
use serde_json::json;

use crate::line::{EVENT_TARGET, Line, ROUTINE_TARGET, body};
use crate::queue::{Dropped, LineQueue, split_lines};

/// Most bytes in one write; pipes take as many whole, so that lines of several writers do not mix.
const MAX_WRITE: usize = 4_096;
/// Pause between two writes; lines that come meanwhile share one system call.
const WRITE_PAUSE: Duration = Duration::from_millis(20);
/// Longest wait for the reader of the log at the end of the process.
const FLUSH_LIMIT: Duration = Duration::from_millis(500);

/// Why logging could not start.
#[derive(Debug, Display)]
#[display("logging could not start: {_0}")]
pub struct LogError(FlexiLoggerError);

impl std::error::Error for LogError {}

/// Running logger; writes out what waits when dropped.
pub struct Logs {
    outlet: Outlet,
    _handle: LoggerHandle,
}

impl Logs {
    /// Starts logging at `level`, as in `info` or `debug, actix_server=warn`.
    ///
    /// # Errors
    ///
    /// Fails if the level is not valid or a logger runs already.
    pub fn open(level: &str) -> Result<Self, LogError> {
        let outlet = Outlet::open();
        let handle = Logger::try_with_str(level)
            .and_then(|l| l.log_to_writer(Box::new(outlet.clone())).start())
            .map_err(LogError)?;
        let writer = outlet.clone();
        // The thread runs until the process ends; `flush` waits for its work.
        std::thread::spawn(move || writer.write_out());
        Ok(Self {
            outlet,
            _handle: handle,
        })
    }

    /// Counts the lines that were dropped; clones count the same.
    pub fn drops(&self) -> DropCounter {
        DropCounter(self.outlet.clone())
    }
}

impl Drop for Logs {
    fn drop(&mut self) {
        self.outlet.drain(FLUSH_LIMIT);
    }
}

/// Counter of dropped lines.
#[derive(Clone)]
pub struct DropCounter(Outlet);

impl DropCounter {
    /// Lines dropped since the start.
    pub fn count(&self) -> Dropped {
        self.0.queue().dropped()
    }
}

/// Queue of lines and what wakes its writer.
#[derive(Clone)]
struct Outlet(Arc<Shared>);

struct Shared {
    queue: Mutex<LineQueue>,
    filled: Condvar,
    writing: AtomicBool,
}

impl Outlet {
    fn open() -> Self {
        Self(Arc::new(Shared {
            queue: Mutex::new(LineQueue::new(Instant::now())),
            filled: Condvar::new(),
            writing: AtomicBool::new(false),
        }))
    }

    fn queue(&self) -> MutexGuard<'_, LineQueue> {
        self.0.queue.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Writes lines as they come, for ever.
    fn write_out(&self) {
        loop {
            let text = self.next_lines();
            for piece in split_lines(&text, MAX_WRITE) {
                if let Err(e) = io::stdout().lock().write_all(piece.as_bytes()) {
                    // The log itself cannot tell it.
                    eprintln!("{} bytes of the log are lost: {e}", piece.len());
                }
            }
            self.0.writing.store(false, Ordering::SeqCst);
            std::thread::sleep(WRITE_PAUSE);
        }
    }

    fn next_lines(&self) -> String {
        let mut queue = self.queue();
        while queue.is_empty() {
            let filled = self.0.filled.wait(queue);
            queue = filled.unwrap_or_else(PoisonError::into_inner);
        }
        let mut text = queue.take();
        if let Some(dropped) = queue.report(Instant::now()) {
            text.push_str(&dropped_line(dropped));
        }
        self.0.writing.store(true, Ordering::SeqCst);
        text
    }

    /// Waits until all lines are written, at most for `limit`.
    fn drain(&self, limit: Duration) {
        let end = Instant::now() + limit;
        while Instant::now() < end {
            if self.queue().is_empty() && !self.0.writing.load(Ordering::SeqCst) {
                return;
            }
            self.0.filled.notify_one();
            std::thread::sleep(Duration::from_millis(1));
        }
    }
}

impl LogWriter for Outlet {
    fn write(&self, now: &mut DeferredNow, record: &Record<'_>) -> io::Result<()> {
        let line = line_of(&now.format(TIME_FORMAT).to_string(), record);
        let routine = record.target() == ROUTINE_TARGET;
        let mut queue = self.queue();
        let idle = queue.is_empty();
        queue.push(&line, routine, Instant::now());
        drop(queue);
        if idle {
            self.0.filled.notify_one();
        }
        Ok(())
    }

    fn flush(&self) -> io::Result<()> {
        self.drain(FLUSH_LIMIT);
        Ok(())
    }
}

/// Time of day of a line, UTC.
const TIME_FORMAT: &str = "%Y-%m-%dT%H:%M:%S%.6fZ";

fn dropped_line(dropped: Dropped) -> String {
    let time = DeferredNow::new().format(TIME_FORMAT).to_string();
    with_head(&time, Dropped::LEVEL, &body(&dropped)) + "\n"
}

/// A whole line from the body of one.
fn with_head(time: &str, level: Level, body: &str) -> String {
    let level = level.as_str().to_ascii_lowercase();
    format!(r#"{{"time":"{time}","level":"{level}",{body}"#)
}

fn line_of(time: &str, record: &Record<'_>) -> String {
    let message = record.args().to_string();
    if [EVENT_TARGET, ROUTINE_TARGET].contains(&record.target()) {
        return with_head(time, record.level(), &message);
    }
    let level = record.level().as_str().to_ascii_lowercase();
    let line = json!({
        "time": time,
        "level": level,
        "event": "message",
        "target": record.target(),
        "message": message,
    });
    line.to_string()
}
