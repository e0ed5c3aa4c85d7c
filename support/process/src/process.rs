//! One process of a deployment under test.

use std::fs::File;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

/// Longest time that a planned stop may take.
const STOP_TIMEOUT: Duration = Duration::from_secs(30);

/// Time between looks at whether a process has ended.
const STOP_POLL: Duration = Duration::from_millis(20);

/// A running process; killed when dropped.
#[derive(Debug)]
pub struct Process {
    child: Child,
}

/// Processor time and memory that a process has used.
#[derive(Clone, Copy, Debug, Default, serde::Serialize)]
pub struct Usage {
    /// Processor time, in seconds.
    pub cpu_seconds: f64,
    /// Resident memory, in bytes.
    pub memory_bytes: u64,
    /// Age of the process, in seconds.
    pub age_seconds: f64,
}

impl Process {
    /// Starts `binary COMMAND SETTINGS`; what it logs goes to a file beside the settings.
    ///
    /// # Errors
    ///
    /// Fails if the binary cannot be started or the log cannot be opened.
    pub fn spawn(binary: &Path, command: &str, settings: &Path) -> Result<Self, String> {
        let failed = |e: std::io::Error| format!("{}: {e}", binary.display());
        let log: PathBuf = settings.with_extension("log");
        let log = File::options()
            .create(true)
            .append(true)
            .open(log)
            .map_err(failed)?;
        let child = Command::new(binary)
            .arg(command)
            .arg(settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone().map_err(failed)?)
            .stderr(log)
            .spawn()
            .map_err(failed)?;
        Ok(Self { child })
    }

    /// Whether the process has ended by itself.
    pub fn has_exited(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(Some(_)))
    }

    /// Ends the process at once.
    pub fn kill(&mut self) {
        // It may have ended by itself.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Asks the process to stop.
    pub fn terminate(&self) {
        self.signal("TERM");
    }

    /// Tells the process that its settings have changed.
    pub fn reload(&self) {
        self.signal("HUP");
    }

    /// Exit code, if the process has ended with one.
    pub fn exit_code(&mut self) -> Option<i32> {
        self.child.try_wait().ok().flatten()?.code()
    }

    /// Asks the process to stop and waits until it has; returns its exit code.
    pub async fn stop(&mut self) -> Option<i32> {
        self.signal("TERM");
        let end = Instant::now() + STOP_TIMEOUT;
        while Instant::now() < end {
            if let Ok(Some(status)) = self.child.try_wait() {
                return status.code();
            }
            tokio::time::sleep(STOP_POLL).await;
        }
        self.kill();
        None
    }

    /// Freezes the process.
    pub fn pause(&self) {
        self.signal("STOP");
    }

    /// Lets a frozen process go on.
    pub fn resume(&self) {
        self.signal("CONT");
    }

    /// Processor time and memory so far; none once it has ended.
    pub fn usage(&self, age: Duration) -> Option<Usage> {
        let stat = std::fs::read_to_string(format!("/proc/{}/stat", self.child.id())).ok()?;
        let fields: Vec<&str> = stat.rsplit_once(") ")?.1.split(' ').collect();
        let ticks = fields.get(11)?.parse::<f64>().ok()? + fields.get(12)?.parse::<f64>().ok()?;
        let pages: u64 = fields.get(21)?.parse().ok()?;
        Some(Usage {
            cpu_seconds: ticks / TICKS_PER_SECOND,
            memory_bytes: pages * PAGE_BYTES,
            age_seconds: age.as_secs_f64(),
        })
    }

    fn signal(&self, name: &str) {
        let sent = Command::new("kill")
            .arg(format!("-{name}"))
            .arg(self.child.id().to_string())
            .status();
        if let Err(e) = sent {
            eprintln!("sending {name} to process {} failed: {e}", self.child.id());
        }
    }
}

/// Unit of processor time in `/proc`.
const TICKS_PER_SECOND: f64 = 100.0;

/// Unit of memory in `/proc`.
const PAGE_BYTES: u64 = 4096;

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}
