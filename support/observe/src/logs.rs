//! JSON lines on standard output, written by a dedicated thread.

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

/// Maximum size of a write; a pipe accepts this much atomically, so lines of several processes do not mix.
const MAX_WRITE_BYTES: usize = 4_096;
/// Pause between two writes, so that lines queued meanwhile share a system call.
const WRITE_INTERVAL: Duration = Duration::from_millis(20);
/// Maximum time to flush the queue, also at the end of the process.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(500);

/// Error of starting the logger.
#[derive(Debug, Display)]
#[display("logging could not start: {_0}")]
pub struct LogError(FlexiLoggerError);

impl std::error::Error for LogError {}

/// Running logger; flushes the queue when dropped.
pub struct Logs {
    queue: LogQueue,
    _handle: LoggerHandle,
}

impl Logs {
    /// Starts logging at `level`, as in `info` or `debug, actix_server=warn`.
    ///
    /// # Errors
    ///
    /// Fails if the level is invalid or a logger is already installed.
    pub fn open(level: &str) -> Result<Self, LogError> {
        let queue = LogQueue::open();
        let handle = Logger::try_with_str(level)
            .and_then(|l| l.log_to_writer(Box::new(queue.clone())).start())
            .map_err(LogError)?;
        let writer = queue.clone();
        // The thread runs until the process ends; `drain` waits for its writes.
        std::thread::spawn(move || writer.write_loop());
        Ok(Self {
            queue,
            _handle: handle,
        })
    }

    /// Returns the counter of dropped lines.
    pub fn drops(&self) -> DropCounter {
        DropCounter(self.queue.clone())
    }
}

impl Drop for Logs {
    fn drop(&mut self) {
        self.queue.drain(FLUSH_TIMEOUT);
    }
}

/// Counter of dropped lines; clones share it.
#[derive(Clone)]
pub struct DropCounter(LogQueue);

impl DropCounter {
    /// Lines dropped since the start.
    pub fn count(&self) -> Dropped {
        self.0.queue().dropped()
    }
}

/// Line queue shared by the logger and its writer thread.
#[derive(Clone)]
struct LogQueue(Arc<Shared>);

struct Shared {
    queue: Mutex<LineQueue>,
    not_empty: Condvar,
    writing: AtomicBool,
}

impl LogQueue {
    fn open() -> Self {
        Self(Arc::new(Shared {
            queue: Mutex::new(LineQueue::new(Instant::now())),
            not_empty: Condvar::new(),
            writing: AtomicBool::new(false),
        }))
    }

    fn queue(&self) -> MutexGuard<'_, LineQueue> {
        self.0.queue.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Writes queued lines until the process ends.
    fn write_loop(&self) {
        loop {
            let text = self.next_lines();
            for chunk in split_lines(&text, MAX_WRITE_BYTES) {
                if let Err(e) = io::stdout().lock().write_all(chunk.as_bytes()) {
                    // Standard output, the log itself, has failed.
                    eprintln!("writing the log failed, {} bytes lost: {e}", chunk.len());
                }
            }
            self.0.writing.store(false, Ordering::SeqCst);
            std::thread::sleep(WRITE_INTERVAL);
        }
    }

    fn next_lines(&self) -> String {
        let mut queue = self.queue();
        while queue.is_empty() {
            let filled = self.0.not_empty.wait(queue);
            queue = filled.unwrap_or_else(PoisonError::into_inner);
        }
        let mut text = queue.take();
        if let Some(dropped) = queue.report(Instant::now()) {
            text.push_str(&format_dropped(dropped));
        }
        self.0.writing.store(true, Ordering::SeqCst);
        text
    }

    /// Waits until all lines are written, for at most `limit`.
    fn drain(&self, limit: Duration) {
        let deadline = Instant::now() + limit;
        while Instant::now() < deadline {
            if self.queue().is_empty() && !self.0.writing.load(Ordering::SeqCst) {
                return;
            }
            self.0.not_empty.notify_one();
            std::thread::sleep(Duration::from_millis(1));
        }
    }
}

impl LogWriter for LogQueue {
    fn write(&self, now: &mut DeferredNow, record: &Record<'_>) -> io::Result<()> {
        let line = format_record(&now.format(TIME_FORMAT).to_string(), record);
        let routine = record.target() == ROUTINE_TARGET;
        let mut queue = self.queue();
        let idle = queue.is_empty();
        queue.push(&line, routine, Instant::now());
        drop(queue);
        if idle {
            self.0.not_empty.notify_one();
        }
        Ok(())
    }

    fn flush(&self) -> io::Result<()> {
        self.drain(FLUSH_TIMEOUT);
        Ok(())
    }
}

/// Format of the field `time`, UTC.
const TIME_FORMAT: &str = "%Y-%m-%dT%H:%M:%S%.6fZ";

fn format_dropped(dropped: Dropped) -> String {
    let time = DeferredNow::new().format(TIME_FORMAT).to_string();
    format_line(&time, Dropped::LEVEL, &body(&dropped)) + "\n"
}

/// Completes the body of a line with its time and level.
fn format_line(time: &str, level: Level, body: &str) -> String {
    let level = level.as_str().to_ascii_lowercase();
    format!(r#"{{"time":"{time}","level":"{level}",{body}"#)
}

fn format_record(time: &str, record: &Record<'_>) -> String {
    let message = record.args().to_string();
    if [EVENT_TARGET, ROUTINE_TARGET].contains(&record.target()) {
        return format_line(time, record.level(), &message);
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
