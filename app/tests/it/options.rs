//! Parsing of the command line.

use lexopt::Parser;
use pimentotide::options::{Command, parse};

fn outcome(line: &str) -> String {
    let words = std::iter::once("pimentotide").chain(line.split_whitespace());
    match parse(Parser::from_iter(words)) {
        Ok(Command::Help(text)) => format!("help: {}", text.lines().next().unwrap_or_default()),
        Ok(command) => format!("{command:?}"),
        Err(e) => format!("error: {e}"),
    }
}

#[test]
fn command_lines_are_parsed() {
    let lines = [
        "",
        "--help",
        "-V",
        "local",
        "local --help",
        "local --caller 127.0.0.1:1 --operator 127.0.0.1:2 --data d --log debug",
        "local --caller nowhere",
        "local extra",
        "run",
        "run a.yaml",
        "run a.yaml b.yaml",
        "run --help",
        "check a.yaml",
        "check -h",
        "frobnicate",
        "--unknown",
    ];
    let table: Vec<_> = lines
        .iter()
        .map(|l| format!("{l:?} => {}", outcome(l)))
        .collect();
    insta::assert_snapshot!(table.join("\n"));
}
