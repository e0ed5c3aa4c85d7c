//! Local deployment in this process, tested through its caller and operator interfaces.

use std::net::SocketAddr;
use std::time::Duration;

use awc::Client;
use pimentotide::local::{Deployment, reserve_port};
use pimentotide::options::LocalOptions;
use pimentotide_standin::Control;
use serde_json::{Value, json};

/// Time limit of each request and wait.
const WAIT_TIMEOUT: Duration = Duration::from_secs(20);

/// Interval between polls of the status.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

async fn deployment() -> (Deployment, SocketAddr, SocketAddr) {
    let (caller, operator) = (reserve_port(), reserve_port());
    let options = LocalOptions {
        caller,
        operator,
        ..LocalOptions::default()
    };
    let deployment = Deployment::spawn(&options)
        .await
        .expect("the deployment starts");
    (deployment, caller, operator)
}

async fn post(address: SocketAddr, path: &str, key: Option<&str>, body: &Value) -> (u16, Value) {
    let request = Client::default()
        .post(format!("http://{address}{path}"))
        .timeout(WAIT_TIMEOUT);
    let request = match key {
        Some(key) => request.insert_header(("idempotency-key", key)),
        None => request,
    };
    let mut answer = request.send_json(body).await.expect("an answer");
    let value = answer.json().await.expect("a JSON answer");
    (answer.status().as_u16(), value)
}

fn completion(model: &str) -> Value {
    json!({"model": model, "prompt": "Close Ring Road on Sunday.", "max_tokens": 5})
}

fn runs_of(deployment: &Deployment, key: &str) -> u32 {
    let ledgers = deployment
        .engines()
        .iter()
        .map(pimentotide_standin::Engine::ledger);
    ledgers
        .filter_map(|l| Some(l.requests.get(key)?.runs))
        .sum()
}

#[actix_rt::test]
async fn whole_and_streamed_completions_have_the_same_text() {
    let (deployment, caller, _) = deployment().await;
    let (status, whole) = post(caller, "/v1/completions", None, &completion("draft-small")).await;
    assert_eq!(status, 200);
    let text = whole["choices"][0]["text"]
        .as_str()
        .expect("a text")
        .to_owned();
    let mut body = completion("draft-small");
    body["stream"] = Value::from(true);
    let url = format!("http://{caller}/v1/completions");
    let mut answer = Client::default()
        .post(url)
        .send_json(&body)
        .await
        .expect("an answer");
    let events = answer.body().await.expect("a body");
    let events = String::from_utf8(events.to_vec()).expect("text");
    let data = events
        .split("\n\n")
        .filter_map(|e| e.strip_prefix("data: "));
    let (pieces, end): (Vec<_>, Vec<_>) = data.partition(|d| *d != "[DONE]");
    let pieces = pieces
        .iter()
        .map(|p| serde_json::from_str::<Value>(p).expect("a piece"));
    let streamed: String = pieces
        .map(|p| p["choices"][0]["text"].as_str().expect("a text").to_owned())
        .collect();
    assert_eq!((streamed, end.len()), (text, 1));
    deployment.stop().await;
}

#[actix_rt::test]
async fn keyed_request_runs_once_across_all_entries() {
    let (deployment, ..) = deployment().await;
    let body = json!("two litres");
    let mut answers = Vec::new();
    for entry in deployment.addresses().entries {
        for _ in 0..2 {
            answers.push(post(entry, "/services/register/orders", Some("order-7"), &body).await);
        }
    }
    assert!(
        answers.iter().all(|a| *a == answers[0] && a.0 == 200),
        "{answers:?}"
    );
    assert_eq!(runs_of(&deployment, "order-7"), 1);
    let other = json!("three litres");
    let entry = deployment.addresses().entries[0];
    let (status, refused) = post(entry, "/services/register/orders", Some("order-7"), &other).await;
    assert_eq!(
        (status, refused["kind"].as_str()),
        (409, Some("key_mismatch"))
    );
    assert_eq!(runs_of(&deployment, "order-7"), 1);
    deployment.stop().await;
}

#[actix_rt::test]
async fn refusals_report_the_kind_and_whether_the_request_ran() {
    let (deployment, caller, _) = deployment().await;
    let mut table = Vec::new();
    let cases = [
        ("/v1/completions", completion("unknown")),
        ("/v1/completions", json!({"model": "draft-small"})),
        ("/v1/completions", json!([1, 2])),
        ("/v1/chat/completions", completion("draft-small")),
        ("/services/unknown/x", json!(1)),
        ("/v1/models", json!(1)),
        ("/nowhere", json!(1)),
    ];
    for (path, body) in cases {
        let (status, answer) = post(caller, path, None, &body).await;
        table.push(format!(
            "{path} {body} => {status} {} ran {}: {}",
            answer["kind"], answer["ran"], answer["detail"]
        ));
    }
    let large = json!({"model": "draft-small", "prompt": "x".repeat(5 << 20)});
    let (status, answer) = post(caller, "/v1/completions", None, &large).await;
    table.push(format!(
        "large body => {status} {} ran {}",
        answer["kind"], answer["ran"]
    ));
    insta::assert_snapshot!(table.join("\n"));
    deployment.stop().await;
}

#[actix_rt::test]
async fn closed_zone_receives_no_new_requests() {
    let (deployment, caller, operator) = deployment().await;
    let order = json!({"id": "out-1", "actor": "test", "action": {"zone": {"zone": "zone-a", "standing": "out"}}});
    let (status, answer) = post(operator, "/orders", None, &order).await;
    assert_eq!(status, 200, "{answer}");
    let again = post(operator, "/orders", None, &order).await;
    assert_eq!(
        again,
        (status, answer),
        "the repeated order receives the first answer"
    );
    wait_for_revision(operator, 2).await;
    let before = runs_by_zone(&deployment);
    for _ in 0..12 {
        let (status, _) = post(caller, "/v1/completions", None, &completion("draft-small")).await;
        assert_eq!(status, 200);
    }
    let after = runs_by_zone(&deployment);
    assert_eq!(after[0], before[0], "zone-a received a request");
    assert_eq!(after.iter().sum::<u64>(), before.iter().sum::<u64>() + 12);
    deployment.stop().await;
}

#[actix_rt::test]
async fn long_completion_without_streaming_runs_once() {
    let (deployment, caller, _) = deployment().await;
    let mut long = completion("draft-small");
    // Five seconds of tokens, longer than the time without data after which an upstream is stalled.
    long["max_tokens"] = Value::from(1_000);
    let (status, answer) = post(caller, "/v1/completions", None, &long).await;
    assert_eq!(status, 200, "{answer}");
    let runs: u64 = deployment.engines().iter().map(|e| e.ledger().runs).sum();
    assert_eq!(runs, 1);
    deployment.stop().await;
}

#[actix_rt::test]
async fn crashing_request_crashes_at_most_two_engines() {
    let (deployment, ..) = deployment().await;
    for engine in deployment.engines() {
        let crash_on = Some("glue that explodes".to_owned());
        engine.control(Control {
            crash_on,
            ..Control::default()
        });
    }
    let mut poison = completion("draft-small");
    poison["prompt"] = Value::from("Which glue that explodes suits oak?");
    let mut kinds = Vec::new();
    for round in 0..6 {
        let entries = deployment.addresses().entries;
        let entry = entries[round % entries.len()];
        let (status, answer) = post(entry, "/v1/completions", None, &poison).await;
        assert_ne!(status, 200, "{answer}");
        kinds.push(answer["kind"].as_str().expect("a kind").to_owned());
        let (status, _) = post(entry, "/v1/completions", None, &completion("draft-small")).await;
        assert_eq!(status, 200, "a harmless request is answered");
    }
    let crashes: u64 = deployment
        .engines()
        .iter()
        .map(|e| e.ledger().crashes)
        .sum();
    assert!(crashes <= 2, "{crashes} crashes, {kinds:?}");
    assert_eq!(kinds.last().map(String::as_str), Some("crashing_request"));
    deployment.stop().await;
}

/// Returns the runs of the stand-ins per zone; the stand-ins are in the order of the zones.
fn runs_by_zone(deployment: &Deployment) -> Vec<u64> {
    let runs: Vec<_> = deployment
        .engines()
        .iter()
        .map(|e| e.ledger().runs)
        .collect();
    runs.chunks(3).map(|zone| zone.iter().sum()).collect()
}

/// Waits until every agent and entry has applied the revision.
async fn wait_for_revision(operator: SocketAddr, revision: u64) {
    let waiting = async {
        loop {
            let url = format!("http://{operator}/status");
            let mut answer = Client::default().get(url).send().await.expect("an answer");
            let status: Value = answer.json().await.expect("a status");
            let all = |list: &str| status[list].as_array().expect("a list").clone();
            let held = |one: &Value| one["revision"].as_u64() >= Some(revision);
            let agents = all("upstreams").iter().all(|u| held(&u["announced"]));
            if agents && all("entries").iter().all(held) {
                return;
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    };
    tokio::time::timeout(WAIT_TIMEOUT, waiting)
        .await
        .expect("the revision is applied");
}
