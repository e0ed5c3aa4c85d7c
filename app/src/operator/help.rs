//! Help texts of the operator subcommands.

const PROFILE: &str = "\
pimentotide profile apply FILE [--prune]   apply a document
pimentotide profile diff FILE [--prune]    show what applying it would change
pimentotide profile get [NAME]             write one profile, or the whole document
pimentotide profile list                   list profiles and the services that use them
pimentotide profile history                list accepted orders, newest first

FILE is YAML as described in docs/PROFILES.md; - reads standard input.
  --prune           remove objects that are not in the document
";

const SERVICE: &str = "\
pimentotide service list                                    list services
pimentotide service set NAME --profile P [--kind K]         add or replace a service
pimentotide service remove NAME                             remove a service

  --profile NAME    profile of the service
  --kind KIND       model (default) or plain
";

const ZONE: &str = "\
pimentotide zone out NAME    take an availability zone out of service
pimentotide zone in NAME     put it back into service
";

const UPSTREAM: &str = "\
pimentotide upstream out NAME [--fenced B]   take an upstream out of service
pimentotide upstream in NAME [--fenced B]    put it back into service
pimentotide upstream set NAME --fenced B     set whether it checks fencing tokens

  --fenced B        true if the engine rejects orders with an outdated fencing token
";

const REPLICA: &str = "\
pimentotide replica list                          list control replicas
pimentotide replica add NAME --address IP:PORT    add one, which votes once it has caught up
pimentotide replica remove NAME                   remove one
";

const GROUP: &str = "\
pimentotide group list                  list expert-parallel groups
pimentotide group show NAME             show one
pimentotide group pause NAME|all        pause rebalancing
pimentotide group resume NAME|all       resume rebalancing
";

const STATUS: &str = "\
pimentotide status    show zones, upstreams, entries and replicas, and their revisions
";

const COMMON: &str = "
  --operator IP:PORT  control replica to contact; repeatable (127.0.0.1:8081)
  --order ID          identifier of the order; reuse it to retry after a lost answer
  --base N            revision expected to be current; otherwise refused as a conflict
  --actor NAME        name recorded as the author of the order (USER)
  --timeout SECONDS   total time limit (20)
  --json              write JSON
  -h, --help          show this help

Exit codes: 0 done, 1 refused, 2 usage error or invalid document,
3 conflict with an earlier order, 4 no answer (an order may have been applied).
";

/// Returns the help text of a subcommand.
pub(super) fn text(subcommand: &str) -> String {
    let specific = match subcommand {
        "profile" => PROFILE,
        "service" => SERVICE,
        "zone" => ZONE,
        "upstream" => UPSTREAM,
        "replica" => REPLICA,
        "group" => GROUP,
        _ => STATUS,
    };
    format!("{specific}{COMMON}")
}
