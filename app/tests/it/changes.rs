//! Changes of the configuration on their way to the entries, as deltas and whole.

use std::collections::BTreeSet;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use jsonrpsee::RpcModule;
use pimentotide_fleet::{Delta, IndexedText};
use pimentotide_instance::{PeerClient, PeerServer, Token};
use pimentotide_model::Fingerprint;
use serde_json::{Value, json};

use crate::deployment::{Deployment, TOKEN, WAIT_TIMEOUT, announce, fixture, wait_for_answer};

/// Method with which entries poll replicas.
const FOLLOW: &str = "fleet_follow";
/// Fields of a poll of the previous version.
const POLL_FIELDS: [&str; 4] = ["declared", "limits", "revision", "suspects"];
/// Fields of an answer of the previous version.
const ANSWER_FIELDS: [&str; 7] = [
    "declared", "entries", "fleet", "limits", "recorded", "replicas", "suspects",
];

fn route(number: usize, timeout: u64) -> String {
    let (name, timeout) = (format!("r{number}"), timeout.to_string());
    let values = [("name", &name[..]), ("timeout", &timeout)];
    fixture("changes/route.json", &values).trim_end().to_owned()
}

/// Returns the request that declares a configuration.
fn declare(version: usize, routes: &[String]) -> String {
    let (version, routes) = (version.to_string(), routes.join(","));
    fixture(
        "changes/declare.http",
        &[("version", &version), ("routes", &routes)],
    )
}

/// Returns the body of a request as sent or of an answer as normalized.
fn body(message: &str) -> &str {
    let ends = ["\r\n\r\n", "\n\n"].into_iter();
    let parts = ends.filter_map(|end| message.split_once(end));
    parts.map(|(_, body)| body).next().unwrap()
}

fn fields(value: &Value) -> BTreeSet<&str> {
    value.as_object().unwrap().keys().map(|k| &k[..]).collect()
}

fn delta_count(form: &str) -> String {
    format!("pimentotide_entry_documents_total{{form=\"{form}\"}}")
}

/// Waits until an entry has logged that it took over a version of the configuration.
async fn wait_for_version(deployment: &Deployment, entry: u8, version: usize) {
    let limit = Instant::now() + WAIT_TIMEOUT;
    let part = format!("\"version\":{version}}}");
    let is_declared = |line: &str| line.contains("\"declared\"") && line.contains(&part);
    while !deployment.entry_log(entry).lines().any(is_declared) {
        assert!(Instant::now() < limit, "entry {entry} misses {version}");
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}

/// Guards against an entry that stays behind or has another document than the operator's, while a
/// replica that it follows restarts and loses its history.
#[tokio::test]
async fn entries_end_with_the_operators_document_while_a_replica_restarts() {
    const ENTRIES: u8 = 3;
    const ROUTES: usize = 200;
    const LAST: usize = 24;
    let mut deployment = Deployment::start(140, ENTRIES);
    let mut routes: Vec<String> = (0..ROUTES).map(|n| route(n, 3_000)).collect();
    let mut sent = String::new();
    for version in 1..=LAST {
        match version % 4 {
            0 => drop(routes.remove(version * 3)),
            1 => routes[version] = route(version, 4_000),
            2 => routes.insert(version * 5, route(ROUTES + version, 3_000)),
            _ => routes.swap(version, version * 7),
        }
        sent = declare(version, &routes);
        let control = deployment.control(1 + (version % 3) as u8);
        wait_for_answer(control, &sent, "HTTP/1.1 200").await;
        if version == LAST / 2 {
            let log = deployment.entry_log(0);
            let followed = |host: &u8| {
                let address = deployment.address(*host, 0);
                let last = log.lines().rfind(|l| l.contains("\"replica_followed\""));
                last.is_some_and(|l| l.contains(&format!("\"{address}\"")))
            };
            let host = [1, 2, 3].into_iter().find(followed).unwrap();
            deployment.restart_control(host);
        } else if version != LAST / 2 + 1 {
            // Entries skip the version before the restart is complete.
            wait_for_version(&deployment, 0, version).await;
        }
    }
    for entry in 0..ENTRIES {
        wait_for_version(&deployment, entry, LAST).await;
        let log = deployment.entry_log(entry);
        let last = log.lines().rfind(|l| l.contains("\"declared\"")).unwrap();
        assert!(
            last.contains(&format!("\"routes\":{},", routes.len())),
            "{last}"
        );
        assert!(!log.contains("\"delta_failed\""), "{log}");
        let deltas = deployment.entry_metric(entry, &delta_count("delta")).await;
        assert!(deltas > LAST as u64 / 4, "{deltas} deltas");
        let failed = deployment.entry_metric(entry, &delta_count("failed")).await;
        assert_eq!(failed, 0);
    }
    let read = fixture("read.http", &[]);
    let read = wait_for_answer(deployment.control(2), &read, "HTTP/1.1 200").await;
    assert_eq!(body(&read), body(&sent));
}

/// Guards against answers that an entry of the previous version cannot read, and against a replica
/// that sends deltas to entries that do not take them.
#[tokio::test]
async fn replica_answers_polls_of_the_previous_version_in_their_form() {
    let deployment = Deployment::start(141, 1);
    let routes: Vec<String> = (0..40).map(|n| route(n, 3_000)).collect();
    let first = declare(1, &routes);
    wait_for_answer(deployment.control(1), &first, "HTTP/1.1 200").await;
    let token = Token::open(TOKEN).unwrap();
    let replica = PeerClient::connect(deployment.address(1, 0), token);
    let poll = |poll: Value| {
        let replica = &replica;
        async move { replica.call::<_, Value>(FOLLOW, [poll]).await.unwrap() }
    };
    let mut old = json!({"declared": 0, "revision": 0, "suspects": 0, "limits": 0});
    let held = poll(old.clone()).await;
    assert_eq!(fields(&held), ANSWER_FIELDS.into());
    assert_eq!(held["declared"]["text"], body(&first));

    let second = declare(2, &routes[1..]);
    wait_for_answer(deployment.control(1), &second, "HTTP/1.1 200").await;
    old["declared"] = held["declared"]["index"].clone();
    let whole = poll(old.clone()).await;
    assert_eq!(fields(&whole), ANSWER_FIELDS.into());
    assert_eq!(whole["declared"]["text"], body(&second));

    let mut new = old.clone();
    new["changes"] = true.into();
    let changed = poll(new.clone()).await;
    let mut expected = BTreeSet::from(ANSWER_FIELDS);
    expected.insert("delta");
    assert_eq!(fields(&changed), expected);
    assert!(changed["declared"].is_null(), "{changed}");
    let delta: Delta = serde_json::from_value(changed["delta"].clone()).unwrap();
    let base = IndexedText {
        index: held["declared"]["index"].as_u64().unwrap(),
        text: body(&first),
    };
    assert_eq!(delta.apply(base).as_deref(), Ok(body(&second)));
    assert_eq!(Value::from(delta.index), whole["declared"]["index"]);

    // A position that the replica does not have, and a change of more than half of the document.
    new["declared"] = 1.into();
    let unknown = poll(new.clone()).await;
    assert_eq!(fields(&unknown), ANSWER_FIELDS.into());
    assert_eq!(unknown["declared"]["text"], body(&second));
    let third = declare(3, &[route(1_000, 9), route(1_001, 8)]);
    wait_for_answer(deployment.control(1), &third, "HTTP/1.1 200").await;
    new["declared"] = whole["declared"]["index"].clone();
    let other = poll(new).await;
    assert_eq!(fields(&other), ANSWER_FIELDS.into());
    assert_eq!(other["declared"]["text"], body(&third));
}

/// Guards against lists of upstreams that an entry of the previous version cannot read, and against
/// whole lists for entries that take deltas.
#[tokio::test]
async fn replica_sends_changed_upstreams_only_to_entries_that_take_deltas() {
    const UPSTREAMS: u16 = 5;
    let deployment = Deployment::start(144, 1);
    let control = deployment.control(1);
    let spawn = async |number: u16| {
        let address = ([127, 0, 0, 1], number).into();
        announce(control, &format!("u{number}"), address).await;
    };
    let token = Token::open(TOKEN).unwrap();
    let replica = PeerClient::connect(deployment.address(1, 0), token);
    let poll = async |poll: &Value| replica.call::<_, Value>(FOLLOW, [poll]).await.unwrap();
    for number in 1..UPSTREAMS {
        spawn(number).await;
    }
    let mut old = json!({"declared": 0, "revision": 0, "suspects": 0, "limits": 0});
    let held = poll(&old).await;
    let listed = |answer: &Value| answer["fleet"]["upstreams"].as_array().unwrap().len();
    assert_eq!(listed(&held), usize::from(UPSTREAMS - 1));
    spawn(UPSTREAMS).await;
    old["revision"] = held["fleet"]["revision"].clone();
    let whole = poll(&old).await;
    assert_eq!(fields(&whole), ANSWER_FIELDS.into());
    assert_eq!(listed(&whole), usize::from(UPSTREAMS));

    let mut new = old;
    new["changes"] = true.into();
    let changed = poll(&new).await;
    let mut expected = BTreeSet::from(ANSWER_FIELDS);
    expected.insert("upstreams");
    assert_eq!(fields(&changed), expected);
    assert!(changed["fleet"].is_null(), "{changed}");
    let delta = &changed["upstreams"];
    assert_eq!(delta["changed"].as_array().unwrap().len(), 1);
    assert_eq!(delta["revision"], whole["fleet"]["revision"]);
}

/// Polls received by a stand-in replica, and the configurations that it answers with.
#[derive(Default)]
struct Script {
    polls: Mutex<Vec<Value>>,
    /// Fields that replace those of an answer without changes, by the number of the poll.
    answers: Mutex<Vec<Value>>,
}

impl Script {
    fn polls(&self) -> Vec<Value> {
        self.polls.lock().unwrap().clone()
    }

    /// Returns the answer to a poll, in the form of the previous version unless the script adds fields.
    fn answer(&self, poll: Value) -> Value {
        let number = {
            let mut polls = self.polls.lock().unwrap();
            polls.push(poll);
            polls.len() - 1
        };
        let mut answer = json!({
            "declared": null, "fleet": null, "suspects": null, "limits": null,
            "replicas": [], "entries": [], "recorded": 1,
        });
        if let Some(changed) = self.answers.lock().unwrap().get(number) {
            for (field, value) in changed.as_object().unwrap() {
                answer[field] = value.clone();
            }
        }
        answer
    }
}

/// Starts an entry and a stand-in replica that answers its polls with `answers`, then without changes.
async fn start_scripted(network: u8, answers: Vec<Value>) -> (Deployment, PeerServer, Arc<Script>) {
    let mut deployment = Deployment::reserve(network);
    let script = Arc::new(Script {
        answers: Mutex::new(answers),
        ..Script::default()
    });
    let mut module = RpcModule::new(script.clone());
    module
        .register_async_method(FOLLOW, |params, script, _| async move {
            let poll: Value = params.one().unwrap();
            let answer = script.answer(poll);
            tokio::time::sleep(Duration::from_millis(30)).await;
            answer
        })
        .unwrap();
    let token = Token::open(TOKEN).unwrap();
    let server = PeerServer::bind(deployment.address(1, 0), token, [module])
        .await
        .unwrap();
    deployment.start_entry();
    (deployment, server, script)
}

/// Waits until a stand-in replica has received `count` polls.
async fn wait_for_polls(script: &Script, count: usize) -> Vec<Value> {
    let limit = Instant::now() + WAIT_TIMEOUT;
    while script.polls().len() < count {
        assert!(Instant::now() < limit, "{:?}", script.polls());
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    script.polls()
}

fn whole(index: u64, request: &str) -> Value {
    json!({"declared": {"index": index, "text": body(request)}})
}

fn delta(base: (u64, &str), target: (u64, &str)) -> Value {
    let indexed = |(index, request)| IndexedText {
        index,
        text: body(request),
    };
    let delta = Delta::between(indexed(base), indexed(target));
    json!({"delta": serde_json::to_value(delta).unwrap()})
}

/// Guards against polls that a replica of the previous version cannot read, and against messages
/// that differ from it while the configuration does not change.
#[actix_rt::test]
async fn entry_polls_a_replica_of_the_previous_version_in_its_form() {
    let routes: Vec<String> = (0..9).map(|n| route(n, 3_000)).collect();
    let versions = [declare(1, &routes), declare(2, &routes[1..])];
    let answers = vec![
        whole(5, &versions[0]),
        json!({}),
        json!({}),
        whole(6, &versions[1]),
        json!({}),
    ];
    let (deployment, server, script) = start_scripted(142, answers).await;
    let polls = wait_for_polls(&script, 6).await;
    for poll in &polls[..4] {
        assert_eq!(fields(poll), POLL_FIELDS.into());
    }
    // After a change, the poll states in an optional field that the entry takes deltas.
    assert_eq!(polls[4]["declared"], 6);
    assert_eq!(polls[4]["changes"], true);
    let mut known = polls[4].clone();
    known.as_object_mut().unwrap().remove("changes");
    assert_eq!(fields(&known), POLL_FIELDS.into());
    wait_for_version(&deployment, 0, 2).await;
    server.stop().await;
}

/// Guards against a damaged delta, or one from another base, that goes into force, blocks the entry
/// or is asked for again.
#[actix_rt::test]
async fn entry_rejects_wrong_deltas_and_asks_for_the_whole_document() {
    let routes: Vec<String> = (0..9).map(|n| route(n, 3_000)).collect();
    let versions: Vec<String> = (0..6).map(|n| declare(n + 1, &routes[n..])).collect();
    let at = |n: usize| (10 + n as u64, &versions[n][..]);
    let mut damaged = delta(at(1), at(2));
    damaged["delta"]["digest"][0] =
        json!((damaged["delta"]["digest"][0].as_u64().unwrap() + 1) % 256);
    let answers = vec![
        whole(10, &versions[0]),
        whole(11, &versions[1]),
        damaged,
        whole(12, &versions[2]),
        // The base is not the document of the entry.
        delta(at(1), at(3)),
        whole(13, &versions[3]),
        delta(at(3), at(4)),
        // An earlier document, as a replica that lags behind sends it.
        delta(at(3), at(4)),
        delta(at(4), at(5)),
    ];
    let (deployment, server, script) = start_scripted(143, answers).await;
    let polls = wait_for_polls(&script, 11).await;
    let stated: Vec<(u64, bool)> = polls[..10]
        .iter()
        .map(|p| (p["declared"].as_u64().unwrap(), p["changes"] == true))
        .collect();
    let expected = [
        (0, false),
        (10, false),
        (11, true),
        (11, false),
        (12, true),
        (12, false),
        (13, true),
        (14, true),
        (14, true),
        (15, true),
    ];
    assert_eq!(stated, expected);
    wait_for_version(&deployment, 0, 6).await;
    let log = deployment.entry_log(0);
    let failed: Vec<&str> = log
        .lines()
        .filter(|l| l.contains("\"delta_failed\""))
        .collect();
    assert_eq!(failed.len(), 2, "{failed:?}");
    assert!(failed[0].contains("digest"), "{failed:?}");
    assert!(failed[1].contains("base"), "{failed:?}");
    let counts = [("delta", 2), ("whole", 4), ("failed", 2)];
    for (form, count) in counts {
        let counted = deployment.entry_metric(0, &delta_count(form)).await;
        assert_eq!(counted, count, "{form}");
    }
    server.stop().await;
}

/// Guards against a damaged list of upstreams that goes into force or blocks the entry.
#[actix_rt::test]
async fn entry_rejects_a_wrong_list_of_upstreams_and_asks_for_the_whole() {
    let routes: Vec<String> = (0..9).map(|n| route(n, 3_000)).collect();
    let mut second = whole(11, &declare(2, &routes));
    let list = |revision: u64| json!({"revision": revision, "closed": ["z9"], "upstreams": []});
    second["fleet"] = list(3);
    let delta = |from: u64, digest: Fingerprint| {
        json!({"upstreams": {
            "from": from, "revision": from + 1, "closed": [], "changed": [], "removed": [],
            "digest": digest,
        }})
    };
    let empty = Fingerprint::of([]);
    let answers = vec![
        whole(10, &declare(1, &routes)),
        second,
        delta(3, Fingerprint::default()),
        json!({"fleet": list(4)}),
        delta(4, empty),
        delta(4, empty),
    ];
    let (deployment, server, script) = start_scripted(145, answers).await;
    let polls = wait_for_polls(&script, 8).await;
    let stated: Vec<(u64, bool)> = polls[..7]
        .iter()
        .map(|p| (p["revision"].as_u64().unwrap(), p["changes"] == true))
        .collect();
    let expected = [
        (0, false),
        (0, false),
        (3, true),
        (3, false),
        (4, true),
        (5, true),
        (5, true),
    ];
    assert_eq!(stated, expected);
    let log = deployment.entry_log(0);
    let failed: Vec<&str> = log
        .lines()
        .filter(|l| l.contains("\"delta_failed\""))
        .collect();
    assert_eq!(failed.len(), 1, "{failed:?}");
    assert!(
        failed[0].contains("\"subject\":\"upstreams\""),
        "{failed:?}"
    );
    server.stop().await;
}
