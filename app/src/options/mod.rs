//! Command line of the binary.

mod help;
mod parse;

use std::process::ExitCode;

pub use parse::{Command, LocalOptions, UsageError, parse};

/// Exit code for usage errors and invalid settings.
pub const EXIT_USAGE: u8 = 2;

/// Parses the command line of the process and runs its command.
pub fn main() -> ExitCode {
    match parse(lexopt::Parser::from_env()) {
        Ok(command) => run(command),
        Err(e) => {
            eprintln!("pimentotide: {e}\n\n{}", help::USAGE);
            ExitCode::from(EXIT_USAGE)
        }
    }
}

fn run(command: Command) -> ExitCode {
    match command {
        Command::Help(text) => {
            println!("{text}");
            ExitCode::SUCCESS
        }
        Command::Version => {
            println!("pimentotide {}", env!("CARGO_PKG_VERSION"));
            ExitCode::SUCCESS
        }
        Command::Check(path) => crate::run::check(&path),
        Command::Run(path) => crate::run::run(&path),
        Command::Serve(path) => crate::fleet::run(&path),
        Command::Local(options) => crate::local::run(&options),
        Command::Explain(options) => crate::explain::run(&options),
        Command::Operate(name, words) => {
            crate::operator::run(&name, lexopt::Parser::from_args(words))
        }
    }
}
