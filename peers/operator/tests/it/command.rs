//! Operator commands: output, exit codes and retries of lost answers.

use std::net::{SocketAddr, TcpListener};

use pimentotide_model::{AdminState, Revision, Warmth};
use pimentotide_operator::MemberChange;
use pimentotide_operator::client::Exit;
use pimentotide_operator::command::{Output, Request, execute};
use pimentotide_operator::message::ActionRequest;

use crate::common::{DOCUMENT, Mode, Replica, client, envelope, run};

fn zone_out(name: &str) -> Request {
    Request::Order(ActionRequest::Zone {
        zone: name.into(),
        standing: AdminState::Out,
    })
}

fn apply(text: &str) -> Request {
    Request::Apply {
        text: text.to_owned(),
        prune: false,
    }
}

/// Returns an address that refuses connections.
fn closed_address() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    listener.local_addr().unwrap()
}

fn transcript(output: &Output) -> String {
    format!(
        "exit {}\n{}{}",
        output.exit.code(),
        output.text,
        output.error
    )
}

#[actix_rt::test]
async fn lost_answer_is_retried_on_another_replica_and_applied_once() {
    let replica = Replica::new();
    replica.announce("u1", Warmth::Warm);
    let losing = replica.with(Mode::LosesAnswer).serve();
    let unresponsive = replica.with(Mode::Unresponsive).serve();
    let healthy = replica.serve();
    let output = run(
        &[closed_address(), losing, unresponsive, healthy],
        "o1",
        zone_out("accra-a"),
    )
    .await;
    assert_eq!(
        transcript(&output),
        "exit 0\norder o1 is in force at revision 1\n"
    );
    let resent = run(&[healthy], "o1", zone_out("accra-a")).await;
    assert_eq!(resent, output);
    assert_eq!(replica.revision(), Revision(1));
}

#[actix_rt::test]
async fn unannounced_names_produce_warnings() {
    let at = [Replica::new().serve()];
    let output = run(&at, "o1", zone_out("acra-a")).await;
    insta::assert_snapshot!(transcript(&output));
}

#[actix_rt::test]
async fn missing_answer_prints_how_to_resend() {
    let address = Replica::new().with(Mode::NoQuorum).serve();
    let output = run(&[address], "o1", zone_out("accra-a")).await;
    assert_eq!(output.exit, Exit::NoAnswer);
    let text = transcript(&output).replace(&address.to_string(), "ADDRESS");
    insta::assert_snapshot!(text);
}

#[actix_rt::test]
async fn conflicting_order_reports_the_winner() {
    let address = Replica::new().serve();
    let mut envelope = envelope("first");
    envelope.base = Some(Revision(0));
    execute(&client(&[address]), &envelope, zone_out("accra-a")).await;
    envelope.id = "second".into();
    let output = execute(&client(&[address]), &envelope, zone_out("accra-b")).await;
    insta::assert_snapshot!(transcript(&output));
    envelope.json = true;
    let output = execute(&client(&[address]), &envelope, zone_out("accra-b")).await;
    insta::assert_snapshot!(output.text);
}

#[actix_rt::test]
async fn document_round_trips() {
    let replica = Replica::new();
    let at = [replica.serve()];
    let diff = |text: &str| Request::Diff {
        text: text.to_owned(),
        prune: false,
    };
    let mut outputs = vec![
        run(&at, "o0", diff(DOCUMENT)).await,
        run(&at, "o1", apply(DOCUMENT)).await,
        run(&at, "o2", Request::List).await,
        run(&at, "o3", Request::Get(Some("drafting".into()))).await,
        run(&at, "o4", Request::Get(Some("none".into()))).await,
        run(&at, "o5", Request::Services).await,
    ];
    let written = run(&at, "o6", Request::Get(None)).await.text;
    assert_eq!(run(&at, "o7", diff(&written)).await.text, "");
    run(&at, "o8", apply(&written)).await;
    outputs.push(run(&at, "o9", Request::History).await);
    let text: Vec<_> = outputs.iter().map(transcript).collect();
    insta::assert_snapshot!(text.join("---\n"));
}

#[actix_rt::test]
async fn invalid_document_is_rejected_with_every_error() {
    let replica = Replica::new();
    let text = "profiles:\n  p: {priority: 300}\nservices:\n  s: {profile: q, kid: plain}\n";
    let output = run(&[replica.serve()], "o1", apply(text)).await;
    insta::assert_snapshot!(transcript(&output));
    assert_eq!(replica.revision(), Revision(0));
}

#[actix_rt::test]
async fn status_lists_every_zone_upstream_and_entry() {
    let replica = Replica::new();
    replica.announce("u1", Warmth::Warm);
    replica.announce("u2", Warmth::Cold);
    replica.announce_entry("entry-1");
    let at = [replica.serve()];
    run(&at, "o1", zone_out("accra-b")).await;
    let upstream = Request::Order(ActionRequest::Upstream {
        upstream: "u3".into(),
        standing: Some(AdminState::Out),
        fenced: Some(true),
    });
    run(&at, "o2", upstream).await;
    let confirmed = run(&at, "o3", Request::Status).await;
    let isolated = replica.with(Mode::NoQuorum).serve();
    let unconfirmed = run(&[isolated], "o4", Request::Status).await;
    insta::assert_snapshot!(transcript(&confirmed) + &unconfirmed.text[..60]);
    let mut envelope = envelope("o5");
    envelope.json = true;
    let json = execute(&client(&at), &envelope, Request::Status).await;
    insta::assert_snapshot!(json.text);
}

#[actix_rt::test]
async fn replicas_and_groups_are_listed() {
    let at = [Replica::new().serve()];
    let add = MemberChange::Add {
        name: "entry-2".into(),
        address: "127.0.0.1:7002".to_owned(),
    };
    let remove = MemberChange::Remove {
        name: "entry-1".into(),
    };
    let outputs = [
        run(&at, "o1", Request::Change(add)).await,
        run(&at, "o2", Request::Change(remove)).await,
        run(&at, "o3", Request::Replicas).await,
        run(&at, "o4", Request::Groups).await,
        run(&at, "o5", Request::Group("g1".into())).await,
        run(&at, "o6", Request::Group("g2".into())).await,
    ];
    insta::assert_snapshot!(
        outputs
            .iter()
            .map(transcript)
            .collect::<Vec<_>>()
            .join("---\n")
    );
}
