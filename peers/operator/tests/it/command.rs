//! Commands of operators: output, exit codes and lost answers.

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

/// Address at which nobody listens.
fn closed() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    listener.local_addr().unwrap()
}

fn shown(output: &Output) -> String {
    format!(
        "exit {}\n{}{}",
        output.exit.code(),
        output.text,
        output.error
    )
}

#[actix_rt::test]
async fn lost_answer_is_asked_for_elsewhere_and_applies_once() {
    let replica = Replica::new();
    replica.announce("u1", Warmth::Warm);
    let loses = replica.with(Mode::Loses).serve();
    let silent = replica.with(Mode::Silent).serve();
    let sound = replica.serve();
    let output = run(&[closed(), loses, silent, sound], "o1", zone_out("accra-a")).await;
    assert_eq!(
        shown(&output),
        "exit 0\norder o1 is in force at revision 1\n"
    );
    let again = run(&[sound], "o1", zone_out("accra-a")).await;
    assert_eq!(again, output);
    assert_eq!(replica.revision(), Revision(1));
}

#[actix_rt::test]
async fn names_that_nobody_announces_are_warned_of() {
    let at = [Replica::new().serve()];
    let output = run(&at, "o1", zone_out("acra-a")).await;
    insta::assert_snapshot!(shown(&output));
}

#[actix_rt::test]
async fn no_answer_says_how_to_ask_again() {
    let cut_off = Replica::new().with(Mode::CutOff).serve();
    let output = run(&[cut_off], "o1", zone_out("accra-a")).await;
    assert_eq!(output.exit, Exit::NoAnswer);
    let text = shown(&output).replace(&cut_off.to_string(), "ADDRESS");
    insta::assert_snapshot!(text);
}

#[actix_rt::test]
async fn losing_order_names_the_winner() {
    let sound = Replica::new().serve();
    let mut envelope = envelope("first");
    envelope.base = Some(Revision(0));
    execute(&client(&[sound]), &envelope, zone_out("accra-a")).await;
    envelope.id = "second".into();
    let output = execute(&client(&[sound]), &envelope, zone_out("accra-b")).await;
    insta::assert_snapshot!(shown(&output));
    envelope.json = true;
    let output = execute(&client(&[sound]), &envelope, zone_out("accra-b")).await;
    insta::assert_snapshot!(output.text);
}

#[actix_rt::test]
async fn document_goes_round() {
    let replica = Replica::new();
    let at = [replica.serve()];
    let diff = |text: &str| Request::Diff {
        text: text.to_owned(),
        prune: false,
    };
    let mut seen = vec![
        run(&at, "o0", diff(DOCUMENT)).await,
        run(&at, "o1", apply(DOCUMENT)).await,
        run(&at, "o2", Request::List).await,
        run(&at, "o3", Request::Get(Some("drafting".into()))).await,
        run(&at, "o4", Request::Get(Some("none".into()))).await,
        run(&at, "o5", Request::Services).await,
    ];
    let whole = run(&at, "o6", Request::Get(None)).await.text;
    assert_eq!(run(&at, "o7", diff(&whole)).await.text, "");
    run(&at, "o8", apply(&whole)).await;
    seen.push(run(&at, "o9", Request::History).await);
    let text: Vec<_> = seen.iter().map(shown).collect();
    insta::assert_snapshot!(text.join("---\n"));
}

#[actix_rt::test]
async fn wrong_document_is_refused_with_every_line() {
    let replica = Replica::new();
    let text = "profiles:\n  p: {priority: 300}\nservices:\n  s: {profile: q, kid: plain}\n";
    let output = run(&[replica.serve()], "o1", apply(text)).await;
    insta::assert_snapshot!(shown(&output));
    assert_eq!(replica.revision(), Revision(0));
}

#[actix_rt::test]
async fn status_names_every_zone_upstream_and_entry() {
    let replica = Replica::new();
    replica.announce("u1", Warmth::Warm);
    replica.announce("u2", Warmth::Cold);
    replica.enter("entry-1");
    let at = [replica.serve()];
    run(&at, "o1", zone_out("accra-b")).await;
    let upstream = Request::Order(ActionRequest::Upstream {
        upstream: "u3".into(),
        standing: Some(AdminState::Out),
        fenced: Some(true),
    });
    run(&at, "o2", upstream).await;
    let confirmed = run(&at, "o3", Request::Status).await;
    let cut_off = replica.with(Mode::CutOff).serve();
    let alone = run(&[cut_off], "o4", Request::Status).await;
    insta::assert_snapshot!(shown(&confirmed) + &alone.text[..60]);
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
    let seen = [
        run(&at, "o1", Request::Change(add)).await,
        run(&at, "o2", Request::Change(remove)).await,
        run(&at, "o3", Request::Replicas).await,
        run(&at, "o4", Request::Groups).await,
        run(&at, "o5", Request::Group("g1".into())).await,
        run(&at, "o6", Request::Group("g2".into())).await,
    ];
    insta::assert_snapshot!(seen.iter().map(shown).collect::<Vec<_>>().join("---\n"));
}
