//! Authentication by token, failures in answers and reconnection of the client.

use std::net::SocketAddr;
use std::time::Duration;

use jsonrpsee::RpcModule;
use pimentotide_instance::{PeerClient, PeerServer, PeerTimeouts, Token, TokenError, rpc_error};
use pimentotide_model::{ErrorKind, Failure, Ran};

const ANY_PORT: &str = "127.0.0.1:0";
const SECRET: &str = "secret-of-the-test";

fn token_of(secret: &str) -> Token {
    Token::open(secret).unwrap()
}

fn echo() -> RpcModule<()> {
    let mut module = RpcModule::new(());
    module
        .register_method("echo", |params, (), _| params.one::<String>())
        .unwrap();
    module
}

fn failing() -> RpcModule<()> {
    let mut module = RpcModule::new(());
    module
        .register_method("fail", |_, (), _| {
            let failure = Failure::new(ErrorKind::NotLeader, "127.0.0.1:9").with_ran(Ran::No);
            Err::<(), _>(rpc_error(&failure))
        })
        .unwrap();
    module
}

async fn server(address: &str, token: &str) -> PeerServer {
    let address: SocketAddr = address.parse().unwrap();
    PeerServer::bind(address, token_of(token), [echo(), failing()])
        .await
        .unwrap()
}

#[actix_rt::test]
async fn client_with_the_token_reaches_every_module() {
    let server = server(ANY_PORT, SECRET).await;
    let client = PeerClient::connect(server.address(), token_of(SECRET));
    let answer: String = client.call("echo", ["hello"]).await.unwrap();
    assert_eq!(answer, "hello");
    let failure = client.call::<_, ()>("fail", [0; 0]).await.unwrap_err();
    assert_eq!(failure.kind, ErrorKind::NotLeader);
    assert_eq!(failure.detail, "127.0.0.1:9");
    server.stop().await;
}

#[actix_rt::test]
async fn client_without_the_token_is_rejected() {
    let server = server(ANY_PORT, SECRET).await;
    for wrong in [
        "secret-of-the-tes",
        "secret-of-the-test2",
        "another-secret-012",
    ] {
        let client = PeerClient::connect(server.address(), token_of(wrong));
        let failure = client.call::<_, String>("echo", ["x"]).await.unwrap_err();
        assert_eq!(failure.ran, Ran::No);
        assert!(failure.detail.contains("403"), "{failure}");
    }
    server.stop().await;
}

#[actix_rt::test]
async fn client_reconnects_after_a_server_restart() {
    let first = server(ANY_PORT, SECRET).await;
    let address = first.address();
    let timeouts = PeerTimeouts {
        retry_delay: Duration::ZERO,
        ..PeerTimeouts::default()
    };
    let client = PeerClient::with_timeouts(address, token_of(SECRET), timeouts);
    client.call::<_, String>("echo", ["a"]).await.unwrap();
    first.stop().await;
    client.call::<_, String>("echo", ["b"]).await.unwrap_err();
    let second = server(&address.to_string(), SECRET).await;
    let answer: String = client.call("echo", ["c"]).await.unwrap();
    assert_eq!(answer, "c");
    second.stop().await;
}

/// Failure: agents release a pass for a coordinator that has crashed, but not for a slow one.
#[actix_rt::test]
async fn dead_process_is_told_from_one_that_does_not_answer() {
    let is_dead =
        |kind: ErrorKind| matches!(kind, ErrorKind::NotCurrent | ErrorKind::OutcomeUnknown);
    let running = server(ANY_PORT, SECRET).await;
    let timeouts = PeerTimeouts {
        retry_delay: Duration::ZERO,
        ..PeerTimeouts::default()
    };
    let client = PeerClient::with_timeouts(running.address(), token_of(SECRET), timeouts);
    client.call::<_, String>("echo", ["a"]).await.unwrap();
    running.stop().await;
    for _ in 0..2 {
        let failure = client.call::<_, String>("echo", ["b"]).await.unwrap_err();
        assert!(is_dead(failure.kind), "{failure}");
    }
    // The kernel accepts connections for a frozen process; nobody reads them.
    let frozen = std::net::TcpListener::bind(ANY_PORT).unwrap();
    let client = PeerClient::connect(frozen.local_addr().unwrap(), token_of(SECRET));
    let call = client.call::<_, String>("echo", ["c"]);
    let answer = tokio::time::timeout(Duration::from_millis(100), call).await;
    assert!(answer.is_err(), "{answer:?}");
}

#[test]
fn token_is_hidden_in_debug_output() {
    assert_eq!(format!("{:?}", token_of(SECRET)), "Token(..)");
}

#[test]
fn short_secret_is_rejected() {
    for weak in ["", "secret", "fifteen-letters"] {
        assert_eq!(Token::open(weak).unwrap_err(), TokenError::Length);
    }
}
