//! Binary entry point.

use std::process::ExitCode;

fn main() -> ExitCode {
    pimentotide::options::main()
}
