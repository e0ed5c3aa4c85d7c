//! Operator subcommands: help, usage errors and exit codes.

use std::net::TcpListener;
use std::process::Command;

fn run(words: &str) -> String {
    let mut command = Command::new(env!("CARGO_BIN_EXE_pimentotide"));
    let output = command.args(words.split_whitespace()).output().unwrap();
    format!(
        "$ {words}\nexit {}\n{}{}",
        output.status.code().unwrap(),
        String::from_utf8(output.stdout).unwrap(),
        String::from_utf8(output.stderr).unwrap(),
    )
}

#[test]
fn each_subcommand_has_help() {
    let names = [
        "profile", "service", "zone", "upstream", "replica", "group", "status",
    ];
    let texts = names.map(|name| run(&format!("{name} --help")));
    insta::assert_snapshot!(texts.join("\n"));
}

#[test]
fn usage_errors_are_reported() {
    let lines = [
        "profile apply",
        "profile apply /nowhere.yaml",
        "profile aply x",
        "zone out",
        "zone out a b",
        "zone out a --prune",
        "zone out bad*name",
        "upstream set u",
        "upstream in u --fenced maybe",
        "service set s",
        "replica add r --address example.org:1",
        "status --operator localhost",
        "status --nonsense",
        "status --base x",
    ];
    insta::assert_snapshot!(lines.map(run).join("\n"));
}

#[test]
fn unreachable_replica_exits_with_no_answer() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    drop(listener);
    let shown = run(&format!(
        "zone out a --order o1 --timeout 1 --operator {address}"
    ));
    insta::assert_snapshot!(shown.replace(&address.to_string(), "ADDRESS"));
}
