//! Operator subcommands: `profile`, `service`, `zone`, `upstream`, `replica`, `group`, `status`.
//!
//! Exit codes: 0 done, 1 refused, 2 usage error or invalid document, 3 conflict
//! with an earlier order, 4 no answer.

mod arguments;
mod help;
mod request;

use std::io::Write;
use std::process::ExitCode;

use pimentotide_operator::client::{Client, Exit};
use pimentotide_operator::command::{Output, execute};

use arguments::{Arguments, UsageError};

/// Names of the subcommands that [`run`] accepts.
pub const SUBCOMMANDS: &[&str] = &[
    "profile", "service", "zone", "upstream", "replica", "group", "status",
];

/// Runs one operator subcommand; `parser` holds the arguments after its name.
pub fn run(subcommand: &str, parser: lexopt::Parser) -> ExitCode {
    let output = match Arguments::read(parser) {
        Ok(arguments) if arguments.help => Output {
            text: help::text(subcommand),
            error: String::new(),
            exit: Exit::Done,
        },
        Ok(arguments) => run_request(subcommand, arguments),
        Err(error) => usage_failure(subcommand, &error),
    };
    print(&output);
    ExitCode::from(output.exit.code())
}

fn run_request(subcommand: &str, mut arguments: Arguments) -> Output {
    let request = request::read(subcommand, &mut arguments);
    let request = request.and_then(|request| arguments.finish().map(|()| request));
    match request {
        Ok(request) => actix_rt::System::new().block_on(async {
            let client = Client::open(arguments.operators.clone());
            let client = client.with_total_timeout(arguments.timeout);
            execute(&client, &arguments.envelope(), request).await
        }),
        Err(error) => usage_failure(subcommand, &error),
    }
}

fn usage_failure(subcommand: &str, error: &UsageError) -> Output {
    Output {
        text: String::new(),
        error: format!("{error}\nsee pimentotide {subcommand} --help\n"),
        exit: Exit::Usage,
    }
}

/// Prints the output; write errors are ignored because a closed pipe does not change the outcome.
fn print(output: &Output) {
    let _ = std::io::stdout().write_all(output.text.as_bytes());
    let _ = std::io::stderr().write_all(output.error.as_bytes());
}
