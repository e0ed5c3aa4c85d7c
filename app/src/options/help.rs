//! Help texts.

pub(super) const USAGE: &str = "\
Load balancer for expert-parallel model groups.

Usage: pimentotide COMMAND [OPTION]...

Processes:
  local        Run a whole small deployment in this process
  run FILE     Run the roles that a settings file gives
  serve FILE   Run the entry or control role of a deployment whose upstreams announce themselves
  check FILE   Check a settings file and say all that is wrong with it

Logs:
  explain ID   Tell the story of one request from the log lines of any number of processes

Operators:
  profile      Apply, compare, show and list profiles
  service      Set, list and remove services
  zone         Take an availability zone in or out of service
  upstream     Take an upstream in or out of service
  replica      Add, list and remove control replicas
  group        Show groups of ranks, pause and resume rebalancing
  status       Show what is in force and where

Options:
  -h, --help     Show help; after a command, show that command's help
  -V, --version  Show the version";

pub(super) const LOCAL: &str = "\
Run a whole small deployment in this process: three availability zones with an entry each,
control, agents and stand-in upstreams, all over loopback sockets.

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
Run the roles that a settings file gives: entry, replica, agent.

Usage: pimentotide run FILE

Stops gracefully on SIGTERM and Ctrl-C: takes no new work and lets running requests end. Exits
with 2 if the settings are wrong.";

pub(super) const SERVE: &str = "\
Run the entry or control role of a deployment whose upstreams announce themselves.

Usage: pimentotide serve FILE

Stops gracefully on SIGTERM and Ctrl-C: sends callers away, lets running requests end and hands
leadership over. Exits with 2 if the settings are wrong.";

pub(super) const EXPLAIN: &str = "\
Tell the story of one request from the log lines of any number of processes: the lines on the
request (marked *), those on what it met at that time, and why it went as it did.

Usage: pimentotide explain ID [FILE]...

Reads standard input without files. Words before the JSON object of a line name its process;
otherwise the file does. Lines that cannot be read are told on standard error.

Options:
      --around MS  Time before and after the request from which other lines are shown [2000]
  -h, --help       Show this help

Exits with 0 if the request is found, with 1 if no line tells of it and with 2 if a file cannot
be opened.";

pub(super) const CHECK: &str = "\
Check a settings file and say all that is wrong with it.

Usage: pimentotide check FILE

Exits with 0 if the file is right and with 2 if it is not.";
