//! Help texts.

pub(super) const USAGE: &str = "\
Load balancer for expert-parallel model groups.

Usage: pimentotide COMMAND [OPTION]...

Processes:
  local        Run a small but complete deployment in this process
  run FILE     Run the roles configured in a settings file
  serve FILE   Run the entry or control role of a deployment whose upstreams announce themselves
  check FILE   Check a settings file and report every problem

Logs:
  explain ID   Explain the outcome of one request from the log lines of any number of processes

Operators:
  profile      Apply, compare, show and list profiles
  service      Set, list and remove services
  zone         Put an availability zone into or out of service
  upstream     Put an upstream into or out of service
  replica      Add, list and remove control replicas
  group        Show groups of ranks, pause and resume rebalancing
  status       Show the state of the deployment and the revisions in use

Options:
  -h, --help     Show help; after a command, show that command's help
  -V, --version  Show the version";

pub(super) const LOCAL: &str = "\
Run a small but complete deployment in this process: three availability zones with an entry
each, control, agents and stand-in upstreams, connected by loopback sockets.

Usage: pimentotide local [OPTION]...

Options:
      --caller ADDR    Listener of the first entry [127.0.0.1:8080]
      --operator ADDR  Listener for operators [127.0.0.1:8081]
      --data FOLDER    Data folder of the control replica [a temporary folder]
      --log LEVELS     Log levels [info, actix_server=warn]
  -h, --help           Show this help

Logs one JSON line with \"event\":\"ready\" once requests are served. Stops gracefully on SIGTERM
and Ctrl-C.";

pub(super) const RUN: &str = "\
Run the roles configured in a settings file: entry, replica, agent.

Usage: pimentotide run FILE

Stops gracefully on SIGTERM and Ctrl-C: accepts no new requests and drains running ones. Exits
with 2 if the settings are invalid.";

pub(super) const SERVE: &str = "\
Run the entry or control role of a deployment whose upstreams announce themselves.

Usage: pimentotide serve FILE

Stops gracefully on SIGTERM and Ctrl-C: refuses new requests, drains running ones and transfers
leadership. Exits with 2 if the settings are invalid.";

pub(super) const EXPLAIN: &str = "\
Explain the outcome of one request from the log lines of any number of processes: the lines of
the request (marked *), related lines from the same time, and the causes of its outcome.

Usage: pimentotide explain ID [FILE]...

Reads standard input if no file is given. Text before the JSON object of a line names its
process; otherwise the file name does. Unreadable lines are reported on standard error.

Options:
      --around MS  Time before and after the request in which related lines are shown [2000]
  -h, --help       Show this help

Exits with 0 if the request is found, with 1 if no line mentions it and with 2 if a file cannot
be opened.";

pub(super) const CHECK: &str = "\
Check a settings file and report every problem.

Usage: pimentotide check FILE

Exits with 0 if the file is valid and with 2 if it is not.";
