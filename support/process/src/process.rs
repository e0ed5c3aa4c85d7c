//! Start, signals and resource usage of a process under test.

use std::fs::File;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

/// Maximum time for a graceful stop; the process is killed afterwards.
const STOP_TIMEOUT: Duration = Duration::from_secs(30);

/// Interval at which a stopping process is polled for its exit.
const STOP_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Running child process; killed when dropped.
#[derive(Debug)]
pub struct Process {
    child: Child,
}

/// Resource usage of a process.
#[derive(Clone, Copy, Debug, Default, serde::Serialize)]
pub struct Usage {
    /// CPU time (user and system), in seconds.
    pub cpu_seconds: f64,
    /// Resident memory, in bytes.
    pub memory_bytes: u64,
    /// Age of the process, in seconds.
    pub age_seconds: f64,
}

impl Process {
    /// Starts `binary COMMAND SETTINGS`; its output is appended to a file beside the settings.
    ///
    /// # Errors
    ///
    /// Fails if the binary cannot be started or the log cannot be opened.
    pub fn spawn(binary: &Path, command: &str, settings: &Path) -> Result<Self, String> {
        Self::spawn_with(binary, command, settings, &[])
    }

    /// Starts it like [`spawn`](Self::spawn), with these environment variables.
    ///
    /// # Errors
    ///
    /// Fails if the binary cannot be started or the log cannot be opened.
    pub fn spawn_with(
        binary: &Path,
        command: &str,
        settings: &Path,
        environment: &[(&str, &Path)],
    ) -> Result<Self, String> {
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
            .envs(environment.iter().copied())
            .stdin(Stdio::null())
            .stdout(log.try_clone().map_err(failed)?)
            .stderr(log)
            .spawn()
            .map_err(failed)?;
        Ok(Self { child })
    }

    /// Whether the process has exited.
    pub fn has_exited(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(Some(_)))
    }

    /// Kills the process and waits for its exit.
    pub fn kill(&mut self) {
        // Fails if the process has already exited.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Requests a graceful stop (SIGTERM).
    pub fn terminate(&self) {
        self.signal("TERM");
    }

    /// Requests a reload of the settings (SIGHUP).
    pub fn reload(&self) {
        self.signal("HUP");
    }

    /// Describes what each thread waits for: its name, state and kernel function, one a line.
    pub fn thread_states(&self) -> String {
        let tasks = std::fs::read_dir(format!("/proc/{}/task", self.child.id()));
        let lines = tasks.into_iter().flatten().flatten().map(|task| {
            let read = |name: &str| {
                // A thread that ends meanwhile has no files.
                let text = std::fs::read_to_string(task.path().join(name));
                text.unwrap_or_default().trim().to_owned()
            };
            let stat = read("stat");
            let state = stat.rsplit_once(") ").map_or("", |(_, rest)| rest);
            let state = state.split(' ').next().unwrap_or_default();
            format!("{} {state} {}\n", read("comm"), read("wchan"))
        });
        lines.collect()
    }

    /// Returns the exit code; `None` while the process runs or if a signal ended it.
    pub fn exit_code(&mut self) -> Option<i32> {
        self.child.try_wait().ok().flatten()?.code()
    }

    /// Stops the process gracefully and returns its exit code; kills it after the timeout and returns `None`.
    pub async fn stop(&mut self) -> Option<i32> {
        self.signal("TERM");
        let deadline = Instant::now() + STOP_TIMEOUT;
        while Instant::now() < deadline {
            if let Ok(Some(status)) = self.child.try_wait() {
                return status.code();
            }
            tokio::time::sleep(STOP_POLL_INTERVAL).await;
        }
        self.kill();
        None
    }

    /// Suspends the process (SIGSTOP).
    pub fn pause(&self) {
        self.signal("STOP");
    }

    /// Resumes a suspended process (SIGCONT).
    pub fn resume(&self) {
        self.signal("CONT");
    }

    /// Returns the resource usage so far; `None` once the process has been reaped.
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

    /// Returns the highest resident memory so far, kB; `None` once the process has been reaped.
    pub fn peak_memory_kb(&self) -> Option<u64> {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.child.id())).ok()?;
        let line = status.lines().find_map(|l| l.strip_prefix("VmHWM:"))?;
        line.trim().strip_suffix(" kB")?.parse().ok()
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

/// Clock ticks per second of the CPU times in `/proc`.
const TICKS_PER_SECOND: f64 = 100.0;

/// Page size of the memory figures in `/proc`.
const PAGE_BYTES: u64 = 4096;

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}
