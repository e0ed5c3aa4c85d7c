//! Answers that are lost on the way, and those of upstreams that are silent for a while.

use std::sync::{Arc, Mutex};
use std::time::Duration;

use pimentotide_wire::read_message;
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};

use crate::deployment::{Deployment, announce, edit_body, fixture, send_request, wait_for_answer};

/// What an upstream sends before it closes the connection, by the last part of the path; it has run
/// the request by then.
const LOSSES: [(&str, &str); 6] = [
    ("closed", ""),
    ("head", "HTTP/1.1 200 OK\r\nContent-"),
    ("informational", "HTTP/1.1 102 Processing\r\n\r\n"),
    ("body", "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nha"),
    ("busy", "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n"),
    ("foreign", "no answer at all\r\n\r\n"),
];
/// Upstreams of the service; a request that may run more than once is sent to two.
const UPSTREAMS: [&str; 3] = ["u1", "u2", "u3"];

/// Path of a request that runs for [`SILENCE`] before its answer.
const SLOW_PATH: &str = "/a/slow";
/// Silence of an upstream; more than that after which a stream is resumed elsewhere, and less than the
/// deadline of the request.
const SILENCE: Duration = Duration::from_millis(2_500);

async fn answer(mut stream: TcpStream, runs: Arc<Mutex<Vec<String>>>) {
    let Some(request) = read_message(&mut stream).await else {
        return;
    };
    let path = request
        .first_line()
        .split(' ')
        .nth(1)
        .unwrap_or("")
        .to_owned();
    runs.lock().unwrap().push(path.clone());
    if path.starts_with(SLOW_PATH) {
        tokio::time::sleep(SILENCE).await;
        let answer = fixture("answer.http", &[("name", "slow")]);
        // The entry may have closed the connection.
        let _ = stream.write_all(answer.as_bytes()).await;
        return;
    }
    let loss = LOSSES.iter().find(|(name, _)| path.ends_with(name));
    // The entry may have closed the connection.
    let _ = stream
        .write_all(loss.map_or("", |(_, text)| text).as_bytes())
        .await;
}

async fn spawn_upstream(deployment: &Deployment, name: &str, runs: &Arc<Mutex<Vec<String>>>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let runs = runs.clone();
    tokio::spawn(async move {
        loop {
            let (stream, _) = listener.accept().await.unwrap();
            tokio::spawn(answer(stream, runs.clone()));
        }
    });
    announce(deployment.control(1), name, address).await;
}

/// Guards against a request that is sent again, or reported as not run, after its answer was lost.
#[tokio::test]
async fn request_whose_answer_is_lost_is_not_run_again_nor_reported_as_not_run() {
    let deployment = Deployment::start(37, 1);
    let declare = fixture("declare.http", &[("version", "7")]);
    let kind = "\"kind\":\"idempotent\"";
    let declare = edit_body(&declare, kind, "\"kind\":\"non_idempotent\"");
    wait_for_answer(deployment.control(1), &declare, "HTTP/1.1 200").await;
    let runs: Arc<Mutex<Vec<String>>> = Arc::default();
    for name in UPSTREAMS {
        spawn_upstream(&deployment, name, &runs).await;
    }
    deployment.wait_for_upstreams(&UPSTREAMS).await;
    for (loss, _) in LOSSES {
        let path = format!("/a/{loss}");
        let call = fixture("call.http", &[("key", "k1")]).replace("/a/2f", &path);
        let answer = send_request(deployment.entry(0), &call).await;
        let answer = answer.unwrap_or_default();
        assert!(answer.starts_with("HTTP/1.1 502"), "{loss}: {answer}");
        let all = runs.lock().unwrap();
        let sent = all.iter().filter(|run| run.starts_with(&path)).count();
        assert_eq!(sent, 1, "{loss}: {all:?}");
    }
}

/// Guards against running work of an upstream that is only silent for a while, and is started again at
/// another one.
#[tokio::test]
async fn request_of_an_upstream_that_is_silent_for_a_while_is_not_started_elsewhere() {
    let deployment = Deployment::start(39, 1);
    let declare = fixture("declare.http", &[("version", "7")]);
    let declare = edit_body(&declare, "\"timeoutMs\":3000", "\"timeoutMs\":20000");
    wait_for_answer(deployment.control(1), &declare, "HTTP/1.1 200").await;
    let runs: Arc<Mutex<Vec<String>>> = Arc::default();
    for name in UPSTREAMS {
        spawn_upstream(&deployment, name, &runs).await;
    }
    deployment.wait_for_upstreams(&UPSTREAMS).await;
    let call = fixture("call.http", &[("key", "k1")]).replace("/a/2f", SLOW_PATH);
    let answer = send_request(deployment.entry(0), &call).await;
    let answer = answer.unwrap_or_default();
    assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
    assert_eq!(runs.lock().unwrap().len(), 1);
}
