//! Malformed requests are refused and never cause a server error.

use actix_web::App;
use actix_web::test::{TestRequest, call_service, init_service};
use pimentotide_operator::server::configure;
use proptest::prelude::*;

use crate::common::{DOCUMENT, Replica};

fn send(path: &str, bodies: Vec<Vec<u8>>) -> Vec<u16> {
    actix_rt::System::new().block_on(async {
        let replica = Replica::new();
        let app = App::new().configure(|c| configure(c, replica));
        let app = init_service(app).await;
        let mut statuses = Vec::new();
        for body in bodies {
            let request = TestRequest::post().uri(path).set_payload(body);
            let response = call_service(&app, request.to_request()).await;
            statuses.push(response.status().as_u16());
        }
        statuses
    })
}

fn damaged() -> impl Strategy<Value = Vec<u8>> {
    let action = serde_json::json!({"apply": {"text": DOCUMENT, "prune": true}});
    let order = serde_json::json!({"id": "o", "base": 0, "actor": "ama", "action": action});
    let valid = serde_json::to_vec(&order).unwrap();
    (any::<prop::sample::Index>(), any::<u8>()).prop_map(move |(index, byte)| {
        let mut bytes = valid.clone();
        let at = index.index(bytes.len());
        bytes[at] = byte;
        bytes
    })
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(16))]

    #[test]
    fn damaged_orders_never_cause_a_server_error(
        bodies in prop::collection::vec(
            prop_oneof![damaged(), prop::collection::vec(any::<u8>(), 0..200)],
            1..20,
        ),
    ) {
        for path in ["/orders", "/replicas"] {
            for status in send(path, bodies.clone()) {
                prop_assert!(status < 500, "status {}", status);
            }
        }
    }
}
