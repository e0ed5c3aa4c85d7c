//! Deployment whose upstreams announce themselves, over loopback sockets.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use insta::assert_snapshot;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;

use crate::deployment::{
    Deployment, ENTRY, WAIT_TIMEOUT, announce, fixture, send_request, wait_for_answer,
};

/// Replaces the value of `retry-after`, which varies by jitter, after checking its range.
fn mask_retry_after(answer: &str) -> String {
    let name = "retry-after: ";
    let line = answer.lines().find(|l| l.starts_with(name)).unwrap();
    let seconds: f64 = line[name.len()..].parse().unwrap();
    assert!((1.0..=3.5).contains(&seconds), "{line}");
    answer.replace(line, "retry-after: TIME")
}

/// Event that follows the fixture of a stream without a length.
const SECOND_EVENT: &str = "\nid: 2\ndata: two\n\n";

/// Starts a stand-in upstream that answers each connection by its path; returns its address and the
/// recorded requests.
pub(crate) async fn spawn_upstream(name: &str) -> (SocketAddr, Arc<Mutex<Vec<String>>>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let requests: Arc<Mutex<Vec<String>>> = Arc::default();
    let (recorded, name) = (requests.clone(), name.to_owned());
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let mut bytes = vec![0; 4_096];
            let mut length = 0;
            while !bytes[..length].ends_with(b"hello") && !bytes.starts_with(b"GET ") {
                match stream.read(&mut bytes[length..]).await {
                    Ok(0) | Err(_) => break,
                    Ok(n) => length += n,
                }
            }
            let request = String::from_utf8_lossy(&bytes[..length]).into_owned();
            let rest = request.to_ascii_lowercase().contains("last-event-id: 1");
            let answer = if request.starts_with("GET ") {
                fixture("health.http", &[("name", &name)])
            } else if request.starts_with("POST /a/") {
                fixture("answer.http", &[("name", &name)])
            } else if rest && request.starts_with("POST /s/failed") {
                fixture("failed.http", &[])
            } else if rest {
                fixture("events_rest.http", &[])
            } else if request.starts_with("POST /s/unframed/whole") {
                fixture("events_unframed.http", &[]) + SECOND_EVENT
            } else if request.starts_with("POST /s/unframed/cut") {
                fixture("events_unframed.http", &[]) + &SECOND_EVENT[..10]
            } else if request.starts_with("POST /s/spoilt") {
                fixture("events_spoilt.http", &[])
            } else {
                fixture("events_cut.http", &[])
            };
            recorded.lock().unwrap().push(request);
            // The entry may have closed the connection.
            let _ = stream.write_all(answer.as_bytes()).await;
        }
    });
    (address, requests)
}

#[tokio::test]
async fn entry_serves_after_replica_loss_refuses_in_closed_zones_and_stops_gracefully() {
    const NETWORK: u8 = 1;
    let mut deployment = Deployment::start(NETWORK, 1);
    let control = [0, 1, 2, 3].map(|host| deployment.control(host));
    let entry = deployment.entry(0);
    let declare = |version| fixture("declare.http", &[("version", version)]);
    let declared = wait_for_answer(control[1], &declare("7"), "HTTP/1.1 200").await;
    let (address, requests) = spawn_upstream("u1").await;
    announce(control[2], "u1", address).await;

    let call = fixture("call.http", &[("key", "k1")]);
    let served = wait_for_answer(entry, &call, "HTTP/1.1 200").await;
    let unknown = send_request(entry, &fixture("call.http", &[("key", "k9")]))
        .await
        .unwrap();
    let resolve = fixture("resolve.http", &[]);
    let resolved = wait_for_answer(deployment.address(3, 3), &resolve, "HTTP/1.1 200").await;
    let resolved = resolved.replace(&entry.to_string(), "ENTRY");
    let entry_resolved =
        wait_for_answer(deployment.address(ENTRY, 3), &resolve, "HTTP/1.1 200").await;
    assert_eq!(
        entry_resolved.replace(&entry.to_string(), "ENTRY"),
        resolved
    );
    assert!(
        !requests.lock().unwrap().iter().any(|r| r.contains("k1")),
        "the key was forwarded"
    );

    // With one of three replicas lost, orders and requests still succeed.
    deployment.controls.pop();
    wait_for_answer(control[1], &declare("8"), "HTTP/1.1 200").await;
    let read = wait_for_answer(control[2], &fixture("read.http", &[]), "HTTP/1.1 200").await;
    assert!(read.contains("\"version\":8"), "{read}");
    wait_for_answer(entry, &call, "HTTP/1.1 200").await;

    wait_for_answer(control[2], &fixture("close_zone.http", &[]), "HTTP/1.1 200").await;
    let closed = mask_retry_after(&wait_for_answer(entry, &call, "HTTP/1.1 503").await);

    // A graceful stop fails the readiness check at once and exits with 0.
    let ready = fixture("ready.http", &[]);
    wait_for_answer(deployment.address(ENTRY, 5), &ready, "HTTP/1.1 200").await;
    deployment.entries[0].terminate();
    wait_for_answer(deployment.address(ENTRY, 5), &ready, "HTTP/1.1 503").await;
    let limit = Instant::now() + WAIT_TIMEOUT;
    while !deployment.entries[0].has_exited() {
        assert!(Instant::now() < limit, "the entry does not exit");
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    assert_eq!(deployment.entries[0].exit_code(), Some(0));
    assert_snapshot!([declared, served, unknown, resolved, closed].join("\n---\n"));
}

/// Starts a deployment with one entry and two upstreams that have both received a request.
async fn start_with_two_upstreams(network: u8) -> Deployment {
    let deployment = Deployment::start(network, 1);
    let control = deployment.control(1);
    let entry = deployment.entry(0);
    wait_for_answer(
        control,
        &fixture("declare.http", &[("version", "7")]),
        "HTTP/1.1 200",
    )
    .await;
    let (first, asked_first) = spawn_upstream("u1").await;
    let (second, asked_second) = spawn_upstream("u2").await;
    announce(control, "u1", first).await;
    announce(control, "u2", second).await;
    let call = fixture("call.http", &[("key", "k1")]);
    // The entry has both upstreams in its view once each has received a request.
    while asked_first.lock().unwrap().is_empty() || asked_second.lock().unwrap().is_empty() {
        wait_for_answer(entry, &call, "HTTP/1.1 200").await;
    }
    deployment
}

#[tokio::test]
async fn interrupted_stream_resumes_at_another_upstream() {
    const NETWORK: u8 = 2;
    let deployment = start_with_two_upstreams(NETWORK).await;
    let stream = send_request(deployment.entry(0), &fixture("stream.http", &[]))
        .await
        .unwrap();
    let log = deployment.entry_log(0);
    assert!(stream.contains("id: 3"), "{stream}\n{log}");
    assert_snapshot!(stream);
    assert!(deployment.folder.path().exists());
}

/// Guards against a stream that ends as complete without a piece that came in one read with the wrong
/// bytes after it.
#[tokio::test]
async fn piece_before_wrong_bytes_reaches_the_caller() {
    const NETWORK: u8 = 29;
    let deployment = start_with_two_upstreams(NETWORK).await;
    let request = fixture("stream.http", &[]).replace("/s/2f", "/s/spoilt");
    let stream = send_request(deployment.entry(0), &request).await.unwrap();
    let ids: Vec<&str> = stream.lines().filter(|l| l.starts_with("id: ")).collect();
    assert_eq!(ids, ["id: 1", "id: 2", "id: 3"], "{stream}");
    assert!(!stream.contains('#'), "{stream}");
    assert!(stream.contains("data: end"), "{stream}");
}

/// Guards against an error of the next upstream in the middle of a stream, and against the end of a
/// whole stream after it.
#[tokio::test]
async fn error_of_the_next_upstream_is_no_part_of_a_stream() {
    const NETWORK: u8 = 30;
    let deployment = start_with_two_upstreams(NETWORK).await;
    let request = fixture("stream.http", &[]).replace("/s/2f", "/s/failed");
    let stream = send_request(deployment.entry(0), &request).await.unwrap();
    assert!(stream.contains("data: one"), "{stream}");
    assert!(!stream.contains("memory"), "{stream}");
    assert_eq!(stream.matches("HTTP/1.1").count(), 1, "{stream}");
    // The last chunk of a whole answer is missing.
    assert!(!stream.trim_end().ends_with("\n0"), "{stream}");
}

/// Guards against running a request again because its stream ends with its connection, and against
/// passing on such a stream as complete although it ended inside an event.
#[tokio::test]
async fn stream_without_a_length_is_complete_unless_it_ends_inside_an_event() {
    const NETWORK: u8 = 8;
    let deployment = Deployment::start(NETWORK, 1);
    let control = deployment.control(1);
    let declare = fixture("declare.http", &[("version", "7")]);
    wait_for_answer(control, &declare, "HTTP/1.1 200").await;
    let (address, requests) = spawn_upstream("u1").await;
    announce(control, "u1", address).await;
    let entry = deployment.entry(0);
    wait_for_answer(
        entry,
        &fixture("call.http", &[("key", "k1")]),
        "HTTP/1.1 200",
    )
    .await;
    let mut answers = Vec::new();
    for path in ["/s/unframed/whole", "/s/unframed/cut"] {
        let request = fixture("stream.http", &[]).replace("/s/2f", path);
        let answer = send_request(entry, &request).await.unwrap();
        let all = requests.lock().unwrap();
        let sends = all.iter().filter(|r| r.contains(path)).count();
        answers.push(format!("{path}, sends: {sends}\n{answer}"));
    }
    assert_snapshot!(answers.join("\n---\n"));
}
