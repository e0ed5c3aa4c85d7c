//! Starts the command that the command line names.

use std::process::ExitCode;

fn main() -> ExitCode {
    pimentotide::options::main()
}
