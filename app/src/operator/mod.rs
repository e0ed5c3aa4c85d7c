//! Commands of operators: `profile`, `service`, `zone`, `upstream`, `replica`, `group`, `status`.
//!
//! Exit codes: 0 done, 1 refused, 2 wrong usage or a wrong document, 3 another
//! order came first, 4 no answer.

mod arguments;
mod help;
mod request;

use std::io::Write;
use std::process::ExitCode;

use pimentotide_operator::client::{Client, Exit};
use pimentotide_operator::command::{Output, execute};

use arguments::{Arguments, UsageError};

/// Subcommands that [`run`] carries out.
pub const SUBCOMMANDS: &[&str] = &[
    "profile", "service", "zone", "upstream", "replica", "group", "status",
];

/// Carries out one subcommand of an operator; `parser` stands after its name.
pub fn run(subcommand: &str, parser: lexopt::Parser) -> ExitCode {
    let output = match Arguments::read(parser) {
        Ok(arguments) if arguments.help => Output {
            text: help::of(subcommand),
            error: String::new(),
            exit: Exit::Done,
        },
        Ok(arguments) => carry_out(subcommand, arguments),
        Err(error) => misused(subcommand, &error),
    };
    print(&output);
    ExitCode::from(output.exit.code())
}

fn carry_out(subcommand: &str, mut arguments: Arguments) -> Output {
    let request = request::read(subcommand, &mut arguments);
    let request = request.and_then(|request| arguments.finish().map(|()| request));
    match request {
        Ok(request) => actix_rt::System::new().block_on(async {
            let client = Client::open(arguments.operators.clone());
            let client = client.with_total_timeout(arguments.timeout);
            execute(&client, &arguments.envelope(), request).await
        }),
        Err(error) => misused(subcommand, &error),
    }
}

fn misused(subcommand: &str, error: &UsageError) -> Output {
    Output {
        text: String::new(),
        error: format!("{error}\nsee pimentotide {subcommand} --help\n"),
        exit: Exit::Usage,
    }
}

/// Prints what it can; a closed pipe does not change what was done.
fn print(output: &Output) {
    let _ = std::io::stdout().write_all(output.text.as_bytes());
    let _ = std::io::stderr().write_all(output.error.as_bytes());
}
