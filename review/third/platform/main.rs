//! Cases of the third review: each starts the product's processes and stand-ins, and checks one rule.
//!
//! `stage CASE FOLDER` exits with 1 if the rule was broken, 0 if it held and 2 if the case could not run.

mod born;
mod fleet;
mod gone;
mod http;
mod record;
mod restart;
mod server;

use std::path::Path;
use std::process::ExitCode;

use record::Record;

/// Outcome of a case that could run.
pub enum Verdict {
    Held,
    Broken,
}

/// Terms of one run.
pub struct Run {
    pub record: Record,
    /// Whether the disruption takes place.
    pub trouble: bool,
}

fn main() -> ExitCode {
    let words: Vec<String> = std::env::args().skip(1).collect();
    let [case, folder] = words.as_slice() else {
        eprintln!("usage: stage CASE FOLDER");
        return ExitCode::from(2);
    };
    let record = match Record::open(&Path::new(folder).join("record.txt")) {
        Ok(record) => record,
        Err(e) => {
            eprintln!("{folder}: {e}");
            return ExitCode::from(2);
        }
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |v| v != "0");
    let run = Run { record, trouble };
    let verdict = match case.as_str() {
        "gone" => gone::run(&run),
        "restart" => restart::run(&run),
        "born" => born::run(&run),
        _ => Err(format!("no case {case}")),
    };
    match verdict {
        Ok(Verdict::Held) => {
            run.record.line("the rule held");
            ExitCode::SUCCESS
        }
        Ok(Verdict::Broken) => {
            run.record.line("the rule was broken");
            ExitCode::from(1)
        }
        Err(why) => {
            run.record.line(&format!("could not run: {why}"));
            ExitCode::from(2)
        }
    }
}
