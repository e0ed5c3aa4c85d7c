//! Entries of another writer among the announcements, and numbers that no setting can hold.

use crate::deployment::{Deployment, announce, edit_body, fixture, send_request, wait_for_answer};
use crate::fleet::spawn_upstream;

/// Guards against control replicas that end, and against a sound upstream that is pushed out, because of
/// odd announcements or a configuration with a time that is too long.
#[tokio::test]
async fn odd_announcements_and_configurations_are_refused() {
    let mut deployment = Deployment::start(31, 1);
    let declared = fixture("declare.http", &[("version", "7")]);
    wait_for_answer(deployment.control(1), &declared, "HTTP/1.1 200").await;
    let (address, _) = spawn_upstream("u1").await;
    announce(deployment.control(1), "u1", address).await;
    let call = fixture("call.http", &[("key", "k1")]);
    wait_for_answer(deployment.entry(0), &call, "HTTP/1.1 200").await;

    let text = address.to_string();
    let sound = |name| {
        let values = [("name", name), ("address", &text[..]), ("sequence", "9")];
        fixture("announce.http", &values)
    };
    let later = |name| edit_body(&sound(name), "\"born\":1", "\"born\":2");
    let nested = format!("\"born\":{}", "[".repeat(50_000));
    let odd = [
        edit_body(&sound("u1"), "\"born\":1", &nested),
        edit_body(&sound("u1"), "\"born\":1", "\"born\":1e40"),
        edit_body(&sound("u1"), "\"born\":1", "\"born\":18446744073709551615"),
        edit_body(&sound("u9"), &text, "127.0.0.1:70000"),
        edit_body(&later("u9"), "\"s1\"", "\"unknown\""),
        edit_body(&later("u1"), "\"s1\"", "\"unknown\""),
    ];
    let next = fixture("declare.http", &[("version", "8")]);
    let long = edit_body(&next, "\"timeoutMs\":", "\"timeoutMs\":1e300,\"x\":");
    for host in 1..=3 {
        for order in odd.iter().chain([&long]) {
            let answer = send_request(deployment.control(host), order).await;
            let answer = answer.unwrap_or_default();
            let shown = &order[..order.len().min(400)];
            assert!(answer.starts_with("HTTP/1.1 400"), "{shown}\n{answer}");
        }
    }
    for control in &mut deployment.controls {
        assert!(!control.has_exited());
    }
    for _ in 0..20 {
        let answer = send_request(deployment.entry(0), &call).await;
        let answer = answer.unwrap_or_default();
        assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
        tokio::time::sleep(std::time::Duration::from_millis(50)).await;
    }
    let read = send_request(deployment.control(1), &fixture("read.http", &[])).await;
    assert!(read.unwrap_or_default().contains("\"version\":7"));
}

/// Guards against an odd announcement that is recorded because the replica that it is sent to has not applied the
/// announcement of the sound upstream yet.
#[tokio::test]
async fn replica_that_lags_refuses_an_announcement_that_takes_an_address() {
    let deployment = Deployment::start(154, 1);
    let declared = fixture("declare.http", &[("version", "7")]);
    wait_for_answer(deployment.control(1), &declared, "HTTP/1.1 200").await;
    deployment.wait_for_voters().await;
    // One of the three is the leader.
    for paused in 1..=3_u8 {
        let other = deployment.control(paused % 3 + 1);
        let (address, _) = spawn_upstream("u1").await;
        let process = &deployment.controls[usize::from(paused) - 1];
        process.pause();
        announce(other, &format!("u{paused}"), address).await;
        let text = address.to_string();
        let values = [("name", "u9"), ("address", &text[..]), ("sequence", "9")];
        let odd = fixture("announce.http", &values);
        let odd = edit_body(&odd, "\"born\":1", "\"born\":2");
        let odd = edit_body(&odd, "\"s1\"", "\"unknown\"");
        let sent = send_request(deployment.control(paused), &odd);
        let resumed = async {
            tokio::time::sleep(std::time::Duration::from_millis(100)).await;
            process.resume();
        };
        let (answer, ()) = tokio::join!(sent, resumed);
        let answer = answer.unwrap_or_default();
        assert!(!answer.starts_with("HTTP/1.1 200"), "{paused}: {answer}");
    }
}
