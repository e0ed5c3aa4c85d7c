//! Parses lines into statements and checks that they refer to declared names.

use std::collections::BTreeSet;
use std::time::Duration;

use pimentotide_model::{LeaseExpiryPolicy, ServiceKind};

use super::expect::expect;
use super::statement::{
    DiskFault, Guard, Link, OrderSpec, RequestSpec, ServiceSpec, Statement, UpstreamSpec,
};
use super::words::Words;
use super::{Script, ScriptError, Step};

/// Time in which an engine answers a request when the script sets no `takes`.
const DEFAULT_TAKES: Duration = Duration::from_millis(100);
/// Deadline of a request when the script sets no `deadline`.
const DEFAULT_DEADLINE: Duration = Duration::from_secs(10);

/// Declarations of the preceding lines.
#[derive(Default)]
struct Scope {
    begun: bool,
    has_group: bool,
    seed: Option<u64>,
    disks: usize,
    /// Whether an upstream or a group has been declared.
    has_upstreams: bool,
    names: BTreeSet<String>,
    services: BTreeSet<String>,
    places: BTreeSet<String>,
    requests: BTreeSet<String>,
    orders: BTreeSet<String>,
}

pub(super) fn script(text: &str) -> Result<Script, Vec<ScriptError>> {
    let mut scope = Scope::default();
    let (mut steps, mut errors) = (Vec::new(), Vec::new());
    let mut last = 1;
    for (index, raw) in text.lines().enumerate() {
        let line = index + 1;
        let content = raw.split('#').next().unwrap_or_default().trim();
        if content.is_empty() {
            continue;
        }
        last = line;
        match parse(content).and_then(|s| scope.check(&s).map(|()| s)) {
            Ok(statement) => steps.push(Step {
                line,
                text: content.to_owned(),
                statement,
            }),
            Err(message) => errors.push(ScriptError { line, message }),
        }
    }
    if errors.is_empty() && !scope.begun {
        let message = "the script has no \"begin\" statement".to_owned();
        errors.push(ScriptError {
            line: last,
            message,
        });
    }
    match (errors.is_empty(), scope.seed) {
        (true, Some(seed)) => Ok(Script { seed, steps }),
        _ => Err(errors),
    }
}

fn parse(line: &str) -> Result<Statement, String> {
    let mut words = Words::new(line);
    let verb = words.next("a statement")?;
    let statement = statement(verb, &mut words)?;
    words.end()?;
    Ok(statement)
}

fn statement(verb: &str, words: &mut Words<'_>) -> Result<Statement, String> {
    Ok(match verb {
        "seed" => Statement::Seed(words.number("a number")?),
        "instance" => instance(words)?,
        "upstream" => upstream(words)?,
        "service" => service(words)?,
        "group" => group(words)?,
        "begin" => Statement::Begin,
        "wait" => Statement::Wait(words.duration()?),
        "start" => Statement::Start(words.name("a name")?),
        "stop" => Statement::Stop(words.name("a name")?),
        "kill" if words.accept("agent") => Statement::KillAgent(words.name("an upstream")?),
        "kill" => Statement::Kill(words.name("a name")?),
        "cold" => Statement::Cold(words.name("an upstream")?),
        "pause" => {
            let name = words.name("a name")?;
            words.expect("for")?;
            Statement::Pause(name, words.duration()?)
        }
        "cut" => Statement::Cut(link(words)?),
        "heal" if words.accept("all") => Statement::Heal(None),
        "heal" => Statement::Heal(Some(link(words)?)),
        "lose" => Statement::Lose(words.percent()?),
        "duplicate" => Statement::Duplicate(words.percent()?),
        "reorder" => Statement::Reorder(words.percent()?),
        "delay" => Statement::Delay(words.duration()?, words.duration()?),
        "disk" => disk(words)?,
        "clock" => Statement::Clock(words.name("an instance")?, words.duration()?),
        "order" => order(words)?,
        "resend" => Statement::Resend(words.name("an order")?, words.option("via")?),
        "flood" => Statement::Flood(words.number("a number of orders")?.min(10_000) as u32),
        "request" => request(words)?,
        "load" => load(words)?,
        "poison" => Statement::Poison(words.name("a content")?),
        "rebalance" => Statement::Rebalance,
        "bypass" => Statement::Bypass(guard(words)?),
        "expect" => Statement::Expect(expect(words)?),
        other => return Err(format!("{other:?} is not a statement")),
    })
}

fn instance(words: &mut Words<'_>) -> Result<Statement, String> {
    let name = words.name("a name")?;
    words.expect("in")?;
    let zone = words.name("a zone")?;
    let disk = words.accept("disk");
    Ok(Statement::Instance { name, zone, disk })
}

fn upstream(words: &mut Words<'_>) -> Result<Statement, String> {
    let name = words.name("a name")?;
    words.expect("in")?;
    let zone = words.name("a zone")?;
    words.expect("serves")?;
    let service = words.name("a service")?;
    let capacity = if words.accept("capacity") {
        words.number("a capacity")?.clamp(1, 10_000) as u32
    } else {
        4
    };
    let takes = if words.accept("takes") {
        words.duration()?
    } else {
        DEFAULT_TAKES
    };
    Ok(Statement::Upstream(UpstreamSpec {
        name,
        zone,
        service,
        capacity,
        takes,
    }))
}

fn group(words: &mut Words<'_>) -> Result<Statement, String> {
    let name = words.name("a name")?;
    words.expect("in")?;
    let zone = words.name("a zone")?;
    words.expect("ranks")?;
    let ranks = words.number("a number of ranks")?;
    let ranks = u16::try_from(ranks).ok().filter(|r| (2..=8).contains(r));
    let ranks = ranks.ok_or("a group has 2 to 8 ranks")?;
    Ok(Statement::Group { name, zone, ranks })
}

fn service(words: &mut Words<'_>) -> Result<Statement, String> {
    let name = words.name("a name")?;
    let kind = match words.next("model or plain")? {
        "model" => ServiceKind::Model,
        "plain" => ServiceKind::Plain,
        other => return Err(format!("expected model or plain, found {other:?}")),
    };
    let once = words.accept("once");
    let attempts = if words.accept("attempts") {
        words.number("a number of attempts")?.clamp(1, 10) as u32
    } else {
        3
    };
    let deadline = if words.accept("deadline") {
        words.duration()?
    } else {
        DEFAULT_DEADLINE
    };
    let lapse = match words.option("lapse")?.as_deref() {
        None | Some("refuse") => LeaseExpiryPolicy::Refuse,
        Some("serve") => LeaseExpiryPolicy::Serve,
        Some(other) => return Err(format!("expected refuse or serve, found {other:?}")),
    };
    Ok(Statement::Service(ServiceSpec {
        name,
        kind,
        once,
        attempts,
        deadline,
        lapse,
    }))
}

fn link(words: &mut Words<'_>) -> Result<Link, String> {
    let end = |name: String| (name != "all").then_some(name);
    let from = end(words.name("a name or all")?);
    let both = !words.accept(">");
    let to = end(words.name("a name, > or all")?);
    Ok(Link { from, to, both })
}

fn disk(words: &mut Words<'_>) -> Result<Statement, String> {
    let name = words.name("an instance")?;
    let fault = match words.next("fails, fills, crashes or lost")? {
        "fails" => DiskFault::Fails,
        "fills" => DiskFault::Fills,
        "crashes" => DiskFault::Crashes,
        "lost" => DiskFault::Lost,
        other => return Err(format!("{other:?} is not a disk fault")),
    };
    Ok(Statement::Disk(name, fault))
}

fn order(words: &mut Words<'_>) -> Result<Statement, String> {
    let id = words.name("an order identifier")?;
    let base = if words.accept("at") {
        Some(words.number("a revision")?)
    } else {
        None
    };
    let kind = words.name("zone or upstream")?;
    if !["zone", "upstream"].contains(&kind.as_str()) {
        return Err(format!("expected zone or upstream, found {kind:?}"));
    }
    let target = words.name("a zone or an upstream")?;
    let standing = words.name("in or out")?;
    if !["in", "out"].contains(&standing.as_str()) {
        return Err(format!("expected in or out, found {standing:?}"));
    }
    let via = words.option("via")?;
    Ok(Statement::Order(OrderSpec {
        id,
        base,
        kind,
        target,
        standing,
        via,
        unanswered: words.accept("unanswered"),
    }))
}

fn request(words: &mut Words<'_>) -> Result<Statement, String> {
    let name = words.name("a name")?;
    let service = words.name("a service")?;
    words.expect("via")?;
    Ok(Statement::Request(RequestSpec {
        name,
        service,
        via: words.name("an instance")?,
        key: words.option("key")?,
        content: words.option("content")?,
    }))
}

fn load(words: &mut Words<'_>) -> Result<Statement, String> {
    let service = words.name("a service")?;
    let rate = words.number("requests a second")?.clamp(1, 1_000) as u32;
    words.expect("for")?;
    let span = words.duration()?;
    Ok(Statement::Load {
        service,
        rate,
        span,
    })
}

fn guard(words: &mut Words<'_>) -> Result<Guard, String> {
    Ok(match words.next("what to bypass")? {
        "gate" => Guard::Gate,
        "claims" => Guard::Claims,
        "currency" => Guard::Currency,
        "leaving" => Guard::Leaving,
        "drain" => Guard::Drain,
        "assembly" => Guard::Assembly,
        "refusals" => Guard::Refusals,
        "revisions" => Guard::Revisions,
        "maps" => Guard::Maps,
        other => return Err(format!("{other:?} cannot be bypassed")),
    })
}

impl Scope {
    fn check(&mut self, statement: &Statement) -> Result<(), String> {
        let setup = matches!(
            statement,
            Statement::Seed(_)
                | Statement::Instance { .. }
                | Statement::Upstream(_)
                | Statement::Service(_)
                | Statement::Group { .. }
                | Statement::Begin
        );
        if self.seed.is_none() && !matches!(statement, Statement::Seed(_)) {
            self.seed = Some(0);
            return Err("the first statement has to be \"seed\"".to_owned());
        }
        if setup && self.begun {
            return Err("this statement must precede \"begin\"".to_owned());
        }
        if !setup && !self.begun {
            return Err("this statement must follow \"begin\"".to_owned());
        }
        self.declare(statement)?;
        self.check_references(statement)
    }

    fn declare(&mut self, statement: &Statement) -> Result<(), String> {
        let inserted = match statement {
            Statement::Seed(seed) => self.seed.replace(*seed).is_none(),
            Statement::Instance { name, zone, disk } => {
                if self.has_upstreams {
                    return Err("instances must precede upstreams and groups".to_owned());
                }
                self.disks += usize::from(*disk);
                self.places.insert(zone.clone());
                self.names.insert(name.clone())
            }
            Statement::Upstream(spec) => {
                require_declared(&self.services, "service", &spec.service)?;
                self.has_upstreams = true;
                self.places.insert(spec.zone.clone());
                self.places.insert(spec.name.clone());
                self.names.insert(spec.name.clone())
            }
            Statement::Group { name, ranks, .. } => {
                self.has_upstreams = true;
                let names = (0..*ranks).map(|r| format!("{name}-{r}"));
                self.names.extend(names);
                !std::mem::replace(&mut self.has_group, true)
            }
            Statement::Service(spec) => self.services.insert(spec.name.clone()),
            Statement::Request(spec) => self.requests.insert(spec.name.clone()),
            Statement::Order(spec) => {
                self.orders.insert(spec.id.clone());
                true
            }
            Statement::Begin => {
                self.begun = true;
                if self.disks == 0 {
                    return Err("at least one instance has to have a disk".to_owned());
                }
                true
            }
            _ => true,
        };
        if inserted {
            return Ok(());
        }
        Err("this name is declared already".to_owned())
    }

    fn check_references(&self, statement: &Statement) -> Result<(), String> {
        match statement {
            Statement::Start(name)
            | Statement::Stop(name)
            | Statement::Kill(name)
            | Statement::Cold(name)
            | Statement::KillAgent(name)
            | Statement::Pause(name, _)
            | Statement::Disk(name, _)
            | Statement::Clock(name, _) => require_declared(&self.names, "node", name),
            Statement::Cut(link) | Statement::Heal(Some(link)) => {
                let ends = [&link.from, &link.to];
                ends.into_iter()
                    .flatten()
                    .try_for_each(|n| require_declared(&self.names, "node", n))
            }
            Statement::Order(spec) => {
                require_declared(&self.places, "zone or upstream", &spec.target)
            }
            Statement::Resend(id, _) => require_declared(&self.orders, "order", id),
            Statement::Request(spec) => {
                require_declared(&self.services, "service", &spec.service)?;
                require_declared(&self.names, "node", &spec.via)
            }
            Statement::Load { service, .. } => require_declared(&self.services, "service", service),
            Statement::Expect(expect) => self.check_expect(expect),
            _ => Ok(()),
        }
    }

    fn check_expect(&self, expect: &super::Expect) -> Result<(), String> {
        use super::Expect;
        match expect {
            Expect::Answered(name) | Expect::Refused(name, ..) => {
                require_declared(&self.requests, "request", name)
            }
            Expect::Work { place, .. } => require_declared(&self.places, "zone or upstream", place),
            Expect::Verdict(id, _) => require_declared(&self.orders, "order", id),
            Expect::NotLeader(name) => require_declared(&self.names, "node", name),
            _ => Ok(()),
        }
    }
}

fn require_declared(names: &BTreeSet<String>, what: &str, name: &str) -> Result<(), String> {
    if names.contains(name) {
        return Ok(());
    }
    Err(format!("no {what} is called {name:?}"))
}
