//! Help texts of the operators' commands.

const PROFILE: &str = "\
pimentotide profile apply FILE [--prune]   bring a document into force
pimentotide profile diff FILE [--prune]    show what applying it would change
pimentotide profile get [NAME]             write one profile, or the whole document
pimentotide profile list                   list profiles and the services under them
pimentotide profile history                list accepted orders, the newest first

FILE is YAML as described in docs/PROFILES.md; - reads standard input.
  --prune           remove what the document does not name
";

const SERVICE: &str = "\
pimentotide service list                                    list services
pimentotide service set NAME --profile P [--kind K]         add or replace a service
pimentotide service remove NAME                             remove a service

  --profile NAME    profile that the service runs under
  --kind KIND       model (default) or plain
";

const ZONE: &str = "\
pimentotide zone out NAME    take an availability zone out of service
pimentotide zone in NAME     take it back into service
";

const UPSTREAM: &str = "\
pimentotide upstream out NAME [--fenced B]   take an upstream out of service
pimentotide upstream in NAME [--fenced B]    take it back into service
pimentotide upstream set NAME --fenced B     say whether it checks fencing numbers

  --fenced B        true if the engine refuses orders with an old fencing number
";

const REPLICA: &str = "\
pimentotide replica list                          list control replicas
pimentotide replica add NAME --address IP:PORT    add one, which counts once it has caught up
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
  --operator IP:PORT  control replica to ask; give it again for more (127.0.0.1:8081)
  --order ID          identifier of the order, to give an order again after a lost answer
  --base N            revision that the order is made against; else refused as a conflict
  --actor NAME        who gives the order (USER)
  --timeout SECONDS   time after which to give up (20)
  --json              write JSON
  -h, --help          show this

Exit codes: 0 done, 1 refused, 2 wrong usage or a wrong document,
3 another order came first, 4 no answer (an order may be in force).
";

/// Help text of a subcommand.
pub(super) fn of(subcommand: &str) -> String {
    let own = match subcommand {
        "profile" => PROFILE,
        "service" => SERVICE,
        "zone" => ZONE,
        "upstream" => UPSTREAM,
        "replica" => REPLICA,
        "group" => GROUP,
        _ => STATUS,
    };
    format!("{own}{COMMON}")
}
