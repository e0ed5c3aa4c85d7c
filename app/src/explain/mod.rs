//! Command `explain`: the outcome of one request from the logs of any number of processes.
//!
//! Reads log lines, selects those of the request and related ones of the same
//! time, sorts them by time and states the causes of the outcome. Unreadable
//! lines are counted and reported on standard error. The text before the JSON
//! object of a line names the process.

mod cause;
mod explanation;
mod record;

use std::fs::File;
use std::io::{self, BufRead, BufReader, Write};
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

use derive_more::Display;

pub use explanation::{Explanation, explain};
pub use record::{LineError, Record};

use crate::options::EXIT_USAGE;

/// Exit code if no line mentions the request.
const EXIT_NOT_FOUND: u8 = 1;
/// Maximum number of unreadable lines reported one by one.
const MAX_REPORTED: usize = 5;
/// Default of `--around`.
const DEFAULT_AROUND: Duration = Duration::from_secs(2);

/// Options of `explain`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ExplainOptions {
    /// Request id.
    pub request: String,
    /// Files with log lines; standard input if there are none.
    pub files: Vec<PathBuf>,
    /// Time before and after the request in which related lines are shown.
    pub around: Duration,
}

impl Default for ExplainOptions {
    fn default() -> Self {
        Self {
            request: String::new(),
            files: Vec::new(),
            around: DEFAULT_AROUND,
        }
    }
}

/// Error of one input line or file.
#[derive(Debug, Display)]
enum InputError {
    /// A line is not a log line.
    #[display("{_0}:{_1}: {_2}")]
    Line(String, usize, LineError),
    /// Reading a file fails before its end.
    #[display("{_0}: {_1}")]
    File(String, io::Error),
}

/// Prints the explanation of one request.
pub fn run(options: &ExplainOptions) -> ExitCode {
    let mut records = Vec::new();
    let mut errors = Vec::new();
    if options.files.is_empty() {
        read(
            "standard input",
            io::stdin().lock(),
            &mut records,
            &mut errors,
        );
    }
    for path in &options.files {
        let name = path.display().to_string();
        match File::open(path) {
            Ok(file) => read(&name, BufReader::new(file), &mut records, &mut errors),
            Err(e) => {
                eprintln!("pimentotide: {name}: {e}");
                return ExitCode::from(EXIT_USAGE);
            }
        }
    }
    for error in errors.iter().take(MAX_REPORTED) {
        eprintln!("pimentotide: {error}");
    }
    if errors.len() > MAX_REPORTED {
        eprintln!(
            "pimentotide: {} more unreadable lines",
            errors.len() - MAX_REPORTED
        );
    }
    match explain(&records, &options.request, options.around) {
        Some(explanation) => print(&explanation),
        None => {
            eprintln!(
                "pimentotide: none of {} lines mentions request {}",
                records.len(),
                options.request
            );
            ExitCode::from(EXIT_NOT_FOUND)
        }
    }
}

fn print(explanation: &Explanation) -> ExitCode {
    match write!(io::stdout().lock(), "{explanation}") {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("pimentotide: {e}");
            ExitCode::FAILURE
        }
    }
}

fn read<R>(name: &str, input: R, records: &mut Vec<Record>, errors: &mut Vec<InputError>)
where
    R: BufRead,
{
    for (index, line) in input.split(b'\n').enumerate() {
        let line = match line {
            Ok(line) => line,
            Err(e) => {
                errors.push(InputError::File(name.to_owned(), e));
                return;
            }
        };
        let text = String::from_utf8_lossy(&line);
        if text.trim().is_empty() {
            continue;
        }
        match Record::parse(&text, name) {
            Ok(record) => records.push(record),
            Err(e) => errors.push(InputError::Line(name.to_owned(), index + 1, e)),
        }
    }
}
