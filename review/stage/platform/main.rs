//! Runs one case of the review: a small deployment with stand-in clients, workers and platform.
//!
//! `stage CASE FOLDER` writes `FOLDER/record.txt` and exits with 1 if the rule was broken, 0 if it held
//! and 2 if the case could not run. `TROUBLE=0` leaves the disruption out.

mod deploy;
mod net;
mod worker;

mod case_cut;
mod case_replace;

use std::fs::File;
use std::io::Write;
use std::process::ExitCode;
use std::sync::{Arc, Mutex};
use std::time::{Instant, SystemTime, UNIX_EPOCH};

/// Time of day, ms since the Unix epoch.
pub fn now_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |d| d.as_millis() as u64)
}

/// Record of what was sent, answered and run; clones share the file.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    start: Instant,
}

impl Record {
    pub fn line(&self, text: impl AsRef<str>) {
        let at = self.start.elapsed().as_secs_f64();
        let line = format!("{at:8.3} {}\n", text.as_ref());
        let _ = self.file.lock().unwrap().write_all(line.as_bytes());
    }

    pub fn seconds(&self) -> f64 {
        self.start.elapsed().as_secs_f64()
    }
}

/// Result of a case.
pub enum Verdict {
    Held,
    Broken,
    NotRun,
}

fn main() -> ExitCode {
    let mut arguments = std::env::args().skip(1);
    let case = arguments.next().unwrap_or_default();
    let folder = arguments.next().unwrap_or_default();
    let trouble = std::env::var("TROUBLE").map_or(true, |t| t != "0");
    let Ok(file) = File::create(format!("{folder}/record.txt")) else {
        return ExitCode::from(2);
    };
    let record = Record { file: Arc::new(Mutex::new(file)), start: Instant::now() };
    let run = match case.as_str() {
        "cut" => case_cut::run,
        "replace" => case_replace::run,
        "replace-disk" => case_replace::run_disk,
        _ => return ExitCode::from(2),
    };
    let verdict = run(trouble, &record).unwrap_or_else(|e| {
        record.line(format!("could not run: {e}"));
        Verdict::NotRun
    });
    let (word, code) = match verdict {
        Verdict::Held => ("held", 0),
        Verdict::Broken => ("broken", 1),
        Verdict::NotRun => ("not run", 2),
    };
    record.line(format!("verdict: {word}"));
    println!("{case}: {word}");
    ExitCode::from(code)
}
