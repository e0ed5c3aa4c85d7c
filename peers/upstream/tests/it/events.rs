//! Splitting of server-sent events from chunks of any size.

use pimentotide_upstream::{Event, EventError, EventSplitter, MAX_EVENT_BYTES};
use proptest::prelude::*;

fn split(bytes: &[u8], size: usize) -> Result<Vec<Event>, EventError> {
    let mut splitter = EventSplitter::default();
    let mut events = Vec::new();
    for part in bytes.chunks(size) {
        splitter.push(part);
        while let Some(event) = splitter.next_event()? {
            events.push(event);
        }
    }
    Ok(events)
}

proptest! {
    #[test]
    fn events_are_split_at_any_chunk_size(
        data in prop::collection::vec("[ -~]{0,40}", 0..8),
        size in 1..16_usize,
    ) {
        let events: Vec<_> = data.iter().map(|d| Event::with_data(d)).collect();
        let bytes: Vec<u8> = events.iter().flat_map(|e| e.0.to_vec()).collect();
        prop_assert_eq!(split(&bytes, size), Ok(events));
    }

    #[test]
    fn arbitrary_bytes_split_alike_at_any_chunk_size(
        bytes in prop::collection::vec(
            prop::sample::select(vec![b'\n', b'\r', b'd', b':', 0xff]), 0..200,
        ),
        size in 1..16_usize,
    ) {
        let whole = split(&bytes, bytes.len().max(1)).expect("short events");
        let parts = split(&bytes, size).expect("short events");
        prop_assert_eq!(&whole, &parts);
        let split_off: Vec<u8> = whole.iter().flat_map(|e| e.0.to_vec()).collect();
        prop_assert!(bytes.starts_with(&split_off));
    }
}

#[test]
fn overlong_incomplete_event_is_rejected() {
    let bytes = vec![b'x'; MAX_EVENT_BYTES + 1];
    assert_eq!(split(&bytes, 1 << 16), Err(EventError::TooLong));
}
