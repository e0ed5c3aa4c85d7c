//! Validation of configurations, and route lookup.

use std::time::Duration;

use insta::assert_snapshot;
use pimentotide_fleet::{
    Declaration, LOWEST_RANK, Limits, Mismatch, PriorityRanks, Route, RouteKind, RouteTable,
    Service, Workspace,
};

fn route(name: &str, host: &str, prefix: &str) -> Route {
    Route {
        name: name.into(),
        host: host.into(),
        prefix: prefix.into(),
        kind: RouteKind::Idempotent,
        timeout: Duration::from_secs(1),
        target_latency: Duration::from_millis(300),
        priority: 2,
        split: vec![("advice".into(), 90), ("orders".into(), 10)],
        attempts: 2,
        public: false,
        resumable: false,
        abandon_after: None,
    }
}

fn declaration() -> Declaration {
    let service = Service {
        health: "/healthz".into(),
        connections: 10,
        cold: None,
        engine: None,
    };
    Declaration {
        version: 1,
        routes: vec![
            route("wide", "h.example", "/a/"),
            route("deep", "h.example", "/a/b/"),
        ],
        services: [
            ("advice".into(), service.clone()),
            ("orders".into(), service),
        ]
        .into(),
        limits: Limits::default(),
        workspaces: Some(vec![
            Workspace {
                name: "w1".into(),
                keys: vec!["k1".into(), "k2".into()],
                priority: Some(0),
            },
            Workspace {
                name: "w2".into(),
                keys: vec!["k3".into()],
                priority: None,
            },
        ]),
    }
}

#[test]
fn all_faults_are_reported_together() {
    let mut invalid = declaration();
    invalid.routes[0].split = vec![("advice".into(), 0)];
    invalid.routes[1].split = vec![("unknown".into(), 1)];
    invalid.routes[1].timeout = Duration::ZERO;
    let mut same = route("again", "h.example", "/a/");
    same.prefix = "/a/".into();
    invalid.routes.push(same);
    invalid.routes.push(route("open", "h.example", "/c"));
    if let Some(workspaces) = &mut invalid.workspaces {
        workspaces[1].keys.push("k1".into());
    }
    let faults: Vec<String> = invalid.faults().iter().map(ToString::to_string).collect();
    assert_snapshot!(faults.join("\n"));
    assert!(declaration().faults().is_empty());
}

#[test]
fn longest_prefix_of_the_host_matches() {
    let table = RouteTable::new(declaration());
    let find = |host, path, key| match table.find(host, path, key) {
        Ok(found) => format!(
            "{} for {:?} rank {}",
            found.route.name, found.workspace, found.priority
        ),
        Err(mismatch) => format!("{mismatch:?}"),
    };
    let matches = [
        find("h.example", "/a/x", Some("k1")),
        find("H.Example:8080", "/a/b/x", Some("k3")),
        find("h.example", "/a/bx", Some("k3")),
        find("h.example", "/a", Some("k1")),
        find("h.example", "/ab/x", Some("k1")),
        find("other.example", "/a/x", Some("k1")),
        find("h.example", "/a/x", Some("k9")),
        find("h.example", "/a/x", None),
    ];
    assert_snapshot!(matches.join("\n"));
}

#[test]
fn public_routes_need_no_key() {
    let mut open = declaration();
    open.routes[0].public = true;
    let table = RouteTable::new(open);
    assert!(table.find("h.example", "/a/x", None).is_ok());
    assert_eq!(
        table.find("h.example", "/a/b/x", None).unwrap_err(),
        Mismatch::NoKey
    );
}

#[test]
fn services_are_chosen_by_weight() {
    let table = RouteTable::new(declaration());
    let found = table.find("h.example", "/a/x", Some("k1")).unwrap();
    let count = |name: &str| {
        (0..found.weight())
            .filter(|d| found.service(*d).is_some_and(|s| s.as_str() == name))
            .count()
    };
    assert_eq!((count("advice"), count("orders")), (90, 10));
    assert_eq!(found.service(found.weight()), None);
}

/// Guards against ranks that depend on the route before the workspace, or that lump pairs together.
#[test]
fn ranks_follow_the_workspace_before_the_route() {
    let mut declaration = declaration();
    declaration.routes[0].priority = 1;
    declaration.routes.push(Route {
        public: true,
        priority: 3,
        ..route("open", "h.example", "/o/")
    });
    let ranks = PriorityRanks::of(&declaration);
    let rank = |pair| ranks.rank(&"advice".into(), pair);
    let pairs = [(0, 1), (0, 2), (1, 1), (2, 2), (3, 3)];
    let ranked: Vec<u8> = pairs.into_iter().map(rank).collect();
    assert_eq!(ranked, [0, 1, 2, 3, 4]);
    let table = RouteTable::new(declaration);
    let found = table.find("h.example", "/a/b/c", Some("k1")).unwrap();
    assert_eq!(table.rank(&found, &"advice".into()), 1);
}

/// Guards against an order among requests of equal priority, and against ranks taken up by routes
/// that lead to another service.
#[test]
fn services_with_routes_of_one_priority_have_one_rank() {
    let mut declaration = declaration();
    for workspace in declaration.workspaces.iter_mut().flatten() {
        workspace.priority = None;
    }
    let ranks = PriorityRanks::of(&declaration);
    assert_eq!(ranks.rank(&"advice".into(), (2, 2)), 0);
    declaration.routes[0].priority = 1;
    declaration.routes[0].split = vec![("advice".into(), 1), ("orders".into(), 0)];
    let ranks = PriorityRanks::of(&declaration);
    let rank = |service: &str, pair| ranks.rank(&service.into(), pair);
    assert_eq!((rank("advice", (1, 1)), rank("advice", (2, 2))), (0, 1));
    assert_eq!(rank("orders", (2, 2)), 0);
    assert_eq!(rank("other", (2, 2)), LOWEST_RANK);
}

/// Guards against a priority beyond the range of the header when a configuration has many.
#[test]
fn ranks_beyond_the_last_are_the_last() {
    let mut declaration = declaration();
    for priority in 3..20 {
        let name = format!("r{priority}");
        declaration.routes.push(Route {
            priority,
            ..route(&name, "h.example", &format!("/{name}/"))
        });
    }
    let ranks = PriorityRanks::of(&declaration);
    assert_eq!(ranks.rank(&"advice".into(), (19, 19)), 9);
}
