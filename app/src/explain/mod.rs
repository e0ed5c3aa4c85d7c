//! Command `explain`: the story of one request from the logs of any number of processes.
//!
//! Reads log lines, keeps those on the request and those that tell of what it
//! met at that time, puts them in order and says in a sentence each why it went
//! as it did. Lines that are no JSON object are counted and told on standard
//! error; what stands before the object on a line names the process.

mod cause;
mod record;
mod story;

use std::fs::File;
use std::io::{self, BufRead, BufReader, Write};
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

use derive_more::Display;

pub use record::{LineError, Record};
pub use story::{Story, tell};

use crate::options::EXIT_USAGE;

/// Exit code if no line tells of the request.
const EXIT_UNKNOWN: u8 = 1;
/// Damaged lines that are told one by one.
const MAX_TOLD: usize = 5;
/// Time before and after a request from which lines on what it met are shown.
const AROUND: Duration = Duration::from_secs(2);

/// What `explain` is asked for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ExplainOptions {
    /// Request id.
    pub request: String,
    /// Files with log lines; standard input if there are none.
    pub files: Vec<PathBuf>,
    /// Time before and after the request from which lines on what it met are shown.
    pub around: Duration,
}

impl Default for ExplainOptions {
    fn default() -> Self {
        Self {
            request: String::new(),
            files: Vec::new(),
            around: AROUND,
        }
    }
}

/// A line or file that cannot be used.
#[derive(Debug, Display)]
enum Damage {
    /// A line is not a log line.
    #[display("{_0}:{_1}: {_2}")]
    Line(String, usize, LineError),
    /// A file breaks off.
    #[display("{_0}: {_1}")]
    File(String, io::Error),
}

/// Prints the story of one request.
pub fn run(options: &ExplainOptions) -> ExitCode {
    let mut records = Vec::new();
    let mut damages = Vec::new();
    if options.files.is_empty() {
        read(
            "standard input",
            io::stdin().lock(),
            &mut records,
            &mut damages,
        );
    }
    for path in &options.files {
        let name = path.display().to_string();
        match File::open(path) {
            Ok(file) => read(&name, BufReader::new(file), &mut records, &mut damages),
            Err(e) => {
                eprintln!("pimentotide: {name}: {e}");
                return ExitCode::from(EXIT_USAGE);
            }
        }
    }
    for damage in damages.iter().take(MAX_TOLD) {
        eprintln!("pimentotide: {damage}");
    }
    if damages.len() > MAX_TOLD {
        eprintln!(
            "pimentotide: {} more lines cannot be read",
            damages.len() - MAX_TOLD
        );
    }
    match tell(&records, &options.request, options.around) {
        Some(story) => print(&story),
        None => {
            eprintln!(
                "pimentotide: none of {} lines tells of request {}",
                records.len(),
                options.request
            );
            ExitCode::from(EXIT_UNKNOWN)
        }
    }
}

fn print(story: &Story) -> ExitCode {
    match write!(io::stdout().lock(), "{story}") {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("pimentotide: {e}");
            ExitCode::FAILURE
        }
    }
}

fn read<R>(name: &str, input: R, records: &mut Vec<Record>, damages: &mut Vec<Damage>)
where
    R: BufRead,
{
    for (index, line) in input.split(b'\n').enumerate() {
        let line = match line {
            Ok(line) => line,
            Err(e) => {
                damages.push(Damage::File(name.to_owned(), e));
                return;
            }
        };
        let text = String::from_utf8_lossy(&line);
        if text.trim().is_empty() {
            continue;
        }
        match Record::parse(&text, name) {
            Ok(record) => records.push(record),
            Err(e) => damages.push(Damage::Line(name.to_owned(), index + 1, e)),
        }
    }
}
