//! Splitting of server-sent events from chunks of any size.

use pimentotide_upstream::{Event, EventError, EventSplitter, MAX_EVENT_BYTES, StreamCursor};
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

/// Guards against an upstream that keeps a stream alive with comments or blank lines alone.
#[test]
fn comments_are_no_events_and_stay_in_front_of_the_next() {
    let idle = b": ping\n\n\n\r\n\r\n:\n:\n\n";
    let event = b"id: 1\ndata: x\n\n";
    for size in 1..40 {
        assert_eq!(split(idle, size), Ok(Vec::new()));
        let bytes = [idle.as_slice(), event].concat();
        let events = split(&bytes, size).unwrap();
        assert_eq!(events.len(), 1);
        assert_eq!(events[0].0, bytes);
        assert_eq!(events[0].data(), Some("x"));
    }
}

/// Guards against a stream that counts as cut off because a comment follows its last event.
#[test]
fn only_a_cut_event_is_partial() {
    let is_partial = |bytes: &[u8]| {
        let mut cursor = StreamCursor::new(None);
        cursor.push(bytes).unwrap();
        cursor.is_partial()
    };
    assert!(!is_partial(b"data: 1\n\n"));
    assert!(!is_partial(b"data: 1\n\n: end\n\n"));
    assert!(!is_partial(b"data: 1\n\n: end"));
    assert!(is_partial(b"data: 1\n\ndata: 2\n"));
    assert!(is_partial(b"data: 1\n\n: end\n\ndata: 2"));
}

/// Guards against an upstream that repeats an event which the caller has, and so is never stalled.
#[test]
fn repeated_events_are_no_progress() {
    let mut cursor = StreamCursor::new(Some(3));
    let progress = [
        "id: 1\n\n",
        "id: 2\n\n",
        "id: 2\n\n",
        "id: 1\n\n",
        "id: 4\n\n",
        ": x\n\n",
    ]
    .map(|event| {
        cursor.push(event.as_bytes()).unwrap();
        cursor.progress()
    });
    assert_eq!(progress, [1, 2, 2, 2, 3, 3]);
    assert_eq!(cursor.forwarded(), 1);
}
