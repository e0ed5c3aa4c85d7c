//! Reading weights at a leased rate.

use pimentotide_engine::{PlatformError, WeightsClient, WeightsKey};
use pimentotide_model::{ModelName, VersionName};
use pimentotide_standin::{WeightsOptions, WeightsStore};

const RATE: u64 = 64 << 20;
const SIZE: u64 = 1 << 20;

fn key(expert: u16) -> WeightsKey {
    WeightsKey {
        model: ModelName::from("advice"),
        version: VersionName::from("v1"),
        layer: 3,
        expert,
    }
}

fn store() -> WeightsStore {
    let listen = "127.0.0.1:0".parse().expect("address");
    let options = WeightsOptions {
        listen,
        rate: RATE,
        size: SIZE,
    };
    WeightsStore::spawn(options).expect("bound")
}

#[actix_rt::test]
async fn weights_are_read_in_full() {
    let store = store();
    let client = WeightsClient::open();
    let size = client.fetch(store.address(), &key(7), RATE).await;
    assert_eq!(size, Ok(SIZE));
    let served = store.served();
    assert_eq!(served.get("advice/v1/3/7"), Some(&SIZE));
    store.stop().await;
}

#[actix_rt::test]
async fn readers_beyond_the_rate_are_rejected() {
    let store = store();
    let client = WeightsClient::open();
    let keys = [key(1), key(2)];
    let first = client.fetch(store.address(), &keys[0], RATE / 2);
    let second = client.fetch(store.address(), &keys[1], RATE);
    let (first, second) = futures_util::join!(first, second);
    let results = [first, second];
    assert!(results.contains(&Err(PlatformError::Busy)), "{results:?}");
    assert!(results.contains(&Ok(SIZE)), "{results:?}");
    assert!(store.peak() <= RATE);
    assert_eq!(store.refused(), 1);
    store.stop().await;
}

#[actix_rt::test]
async fn missing_store_is_reported_as_unreachable() {
    let client = WeightsClient::open();
    let address = "127.0.0.1:1".parse().expect("address");
    let result = client.fetch(address, &key(1), RATE).await;
    assert!(
        matches!(result, Err(PlatformError::Unreachable(_))),
        "{result:?}"
    );
}
