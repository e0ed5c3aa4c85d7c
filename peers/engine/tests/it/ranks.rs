//! Orders to ranks that run in lock-step, with and without checks of the fencing token.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use pimentotide_engine::{PlatformError, RankClient, RankOrder, RankRequest};
use pimentotide_experts::{Change, Epoch, ExpertMap, MapId};
use pimentotide_model::{Fence, ModelName, VersionName};
use pimentotide_standin::{RankGroup, RankOptions};

const RANKS: u16 = 2;

fn group(fenced: bool) -> RankGroup {
    let options = RankOptions {
        listen: "127.0.0.1:0".parse().expect("address"),
        ranks: RANKS,
        fenced,
        step_duration: Duration::from_millis(1),
        load_duration: Duration::from_millis(1),
    };
    RankGroup::spawn(options).expect("bound")
}

fn clients(address: SocketAddr) -> Vec<RankClient> {
    (0..RANKS).map(|r| RankClient::open(address, r)).collect()
}

fn request(fence: u64, order: RankOrder) -> RankRequest {
    RankRequest {
        fence: Fence(fence),
        order,
    }
}

fn load(fence: u64, map: u64) -> RankRequest {
    let order = RankOrder::Load {
        map: MapId(map),
        content: Arc::new(ExpertMap::default()),
        loads: None,
    };
    request(fence, order)
}

fn run(step: u64) -> RankRequest {
    let order = RankOrder::Run {
        epoch: Epoch::default(),
        step,
        map: MapId(1),
    };
    request(1, order)
}

#[actix_rt::test]
async fn step_completes_once_all_ranks_have_started_it() {
    let group = group(true);
    let ranks = clients(group.address());
    for rank in &ranks {
        let state = rank.order(&load(1, 1)).await.expect("loaded");
        assert_eq!(state.ready, [MapId(1)]);
    }
    let step = run(1);
    let (first, second) = futures_util::join!(ranks[0].order(&step), ranks[1].order(&step));
    assert_eq!(first.expect("run").step, 1);
    assert_eq!(second.expect("run").step, 1);
    let ledger = group.ledger();
    assert_eq!(ledger.len(), 2);
    assert!(ledger.iter().all(|r| r.map == MapId(1) && r.step == 1));
    group.stop().await;
}

#[actix_rt::test]
async fn aborted_step_does_not_complete() {
    let group = group(true);
    let ranks = clients(group.address());
    let step = run(1);
    let abort = request(1, RankOrder::Abort { step: 1 });
    let abort_once_running = async {
        while group.ledger().is_empty() {
            actix_rt::time::sleep(Duration::from_millis(1)).await;
        }
        ranks[0].order(&abort).await
    };
    let (run, aborted) = futures_util::join!(ranks[0].order(&step), abort_once_running);
    assert_eq!(run, Err(PlatformError::Status(410)));
    assert_eq!(aborted.expect("aborted").step, 0);
    group.stop().await;
}

#[actix_rt::test]
async fn only_fenced_ranks_reject_an_outdated_token() {
    for fenced in [true, false] {
        let group = group(fenced);
        let rank = RankClient::open(group.address(), 1);
        rank.order(&load(5, 1)).await.expect("loaded");
        let outdated = rank.order(&load(4, 2)).await;
        match fenced {
            true => assert_eq!(outdated, Err(PlatformError::Fenced)),
            false => assert_eq!(outdated.expect("ignored").ready, [MapId(1), MapId(2)]),
        }
        group.stop().await;
    }
}

#[actix_rt::test]
async fn change_is_reported_in_the_state() {
    let group = group(true);
    let rank = RankClient::open(group.address(), 0);
    let change = Change::Load(ModelName::from("advice"), VersionName::from("v2"));
    assert!(!rank.state().await.expect("state").inventory.meets(&change));
    let order = request(1, RankOrder::Change(change.clone()));
    let state = rank.order(&order).await.expect("changed");
    assert!(state.inventory.meets(&change));
    assert_eq!(group.applied_changes(0), 1);
    group.restart(0);
    assert!(!rank.state().await.expect("state").inventory.meets(&change));
    group.stop().await;
}

/// Starts a rank that answers an order only when the next request arrives on the same connection, or
/// not at all; then it closes the connection.
fn spawn_late_rank() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("bound");
    let address = listener.local_addr().expect("address");
    thread::spawn(move || {
        for stream in listener.incoming() {
            let mut stream = stream.expect("connection");
            thread::spawn(move || {
                let state = r#"{"fence":1,"step":0,"current":null,"ready":[],"inventory":{}}"#;
                let mut buffer = [0; 65_536];
                let mut previous = String::new();
                // A small request arrives in one part.
                while stream.read(&mut buffer).is_ok_and(|count| count > 0) {
                    stream.write_all(previous.as_bytes())?;
                    let informational = "HTTP/1.1 102 Processing\r\n\r\n";
                    if previous.is_empty() {
                        stream.write_all(informational.as_bytes())?;
                    }
                    previous = format!(
                        "HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n{state}",
                        state.len()
                    );
                }
                Ok::<(), std::io::Error>(())
            });
        }
    });
    address
}

/// Guards against a late answer to one order that confirms the next one.
#[actix_rt::test]
async fn late_answer_confirms_no_other_order() {
    let rank = RankClient::open(spawn_late_rank(), 0);
    for map in 1..4 {
        let answer = rank.order(&load(1, map)).await;
        assert_eq!(answer, Err(PlatformError::Status(102)), "map {map}");
    }
}

/// Guards against an order that is reported as not run, although the rank may have received it.
#[actix_rt::test]
async fn close_after_an_order_is_reported_as_broken() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("bound");
    let address = listener.local_addr().expect("address");
    thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("connection");
        // A small request arrives in one part.
        stream.read(&mut [0; 65_536])
    });
    let answer = RankClient::open(address, 0).order(&load(1, 1)).await;
    assert!(
        matches!(answer, Err(PlatformError::Broken(_))),
        "{answer:?}"
    );
}
