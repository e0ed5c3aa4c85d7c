//! Server answers: refusals, confirmed reads and resent documents.

use awc::Client;
use pimentotide_operator::message::ProblemBody;

use crate::common::{DOCUMENT, Mode, Replica};

async fn post(url: String, body: Vec<u8>) -> (u16, ProblemBody) {
    let mut response = Client::new().post(url).send_body(body).await.unwrap();
    let bytes = response.body().await.unwrap();
    (
        response.status().as_u16(),
        serde_json::from_slice(&bytes).unwrap(),
    )
}

fn order(id: &str, action: &serde_json::Value) -> Vec<u8> {
    let order = serde_json::json!({"id": id, "actor": "ama", "action": action});
    serde_json::to_vec(&order).unwrap()
}

#[actix_rt::test]
async fn refusals_are_problem_documents_with_their_kind() {
    let address = Replica::new().serve();
    let mut refusals = Vec::new();
    for path in ["nowhere", "profiles/none", "orders"] {
        let url = format!("http://{address}/{path}");
        let mut response = Client::new().get(url).send().await.unwrap();
        let bytes = response.body().await.unwrap();
        let problem: ProblemBody = serde_json::from_slice(&bytes).unwrap();
        assert_eq!(
            response.headers().get("content-type").unwrap(),
            "application/problem+json"
        );
        refusals.push(format!("{path} {} {}", response.status(), problem.kind));
    }
    let url = format!("http://{address}/orders");
    let unknown = order(
        "o",
        &serde_json::json!({"zone": {"zone": "a", "standing": "gone"}}),
    );
    for body in [b"{}".to_vec(), unknown, vec![b' '; 9 << 20]] {
        let (status, problem) = post(url.clone(), body).await;
        refusals.push(format!("{status} {} {}", problem.kind, problem.ran));
    }
    insta::assert_snapshot!(refusals.join("\n"));
}

#[actix_rt::test]
async fn reads_require_a_quorum_confirmation() {
    let address = Replica::new().with(Mode::NoQuorum).serve();
    for path in [
        "profiles",
        "document",
        "declarations",
        "history",
        "zones",
        "upstreams",
    ] {
        let url = format!("http://{address}/{path}");
        let response = Client::new().get(url).send().await.unwrap();
        assert_eq!(response.status(), 503, "{path}");
    }
}

#[actix_rt::test]
async fn resent_document_gets_its_first_answer_after_later_orders() {
    let replica = Replica::new();
    let url = format!("http://{}/orders", replica.serve());
    let send = async |id: &str, text: &str, prune: bool| {
        let action = serde_json::json!({"apply": {"text": text, "prune": prune}});
        let mut response = Client::new()
            .post(&url)
            .send_body(order(id, &action))
            .await
            .unwrap();
        let body = response.body().await.unwrap();
        (
            response.status().as_u16(),
            String::from_utf8(body.to_vec()).unwrap(),
        )
    };
    let service = "services:\n  other: {profile: drafting}\n";
    assert_eq!(send("o1", DOCUMENT, false).await.0, 200);
    let first = send("o2", service, false).await;
    assert_eq!(send("o3", "{}", true).await.0, 200);
    assert_eq!(send("o2", service, false).await, first);
    let refused = send("o4", service, false).await;
    insta::assert_snapshot!(format!("{}\n{}", refused.0, refused.1));
}
