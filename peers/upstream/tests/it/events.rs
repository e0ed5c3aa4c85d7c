//! Splitting of server-sent events from chunks of any size.

use pimentotide_upstream::{
    CursorError, Event, EventError, EventSplitter, MAX_EVENT_BYTES, StreamCursor,
};
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

/// Guards against a piece that is lost because it came in one read with the wrong bytes after it: the
/// stream was resumed after a piece that the caller never got.
#[test]
fn events_before_a_fault_are_forwarded() {
    let sound = "id: 1\ndata: a\n\n";
    let faults = [
        ("id: 4\ndata: d\n\n", CursorError::Gap { last: 1, found: 4 }),
        ("########\n\nid: 3\n\n", CursorError::Malformed),
        (
            "data: ########\n\nid: 3\ndata: c\n\n",
            CursorError::Gap { last: 1, found: 3 },
        ),
    ];
    for (wrong, fault) in faults {
        let mut cursor = StreamCursor::new(None);
        let events = cursor.push(format!("{sound}{wrong}").as_bytes());
        assert_eq!(events, Ok(sound.into()));
        assert_eq!((cursor.last(), cursor.forwarded()), (Some(1), 1));
        assert_eq!(cursor.fault(), Some(fault));
        assert_eq!(cursor.push(b"id: 2\n\n"), Err(fault));
        cursor.discard_partial();
        assert_eq!(cursor.push(b"id: 2\n\n"), Ok("id: 2\n\n".into()));
        assert_eq!(cursor.fault(), None);
    }
}

/// Guards against the loss of the events before one that is too long.
#[test]
fn events_before_an_overlong_one_are_forwarded() {
    let sound = "id: 1\ndata: a\n\n";
    let overlong = "x".repeat(MAX_EVENT_BYTES + 1);
    let mut cursor = StreamCursor::new(None);
    let events = cursor.push(format!("{sound}{overlong}").as_bytes());
    assert_eq!(events, Ok(sound.into()));
    assert_eq!(cursor.last(), Some(1));
    let too_long = CursorError::Event(EventError::TooLong);
    assert_eq!(cursor.fault(), Some(too_long));
}

/// Guards against wrong bytes that reach the caller in place of an event, and against the loss of
/// events that have no identifier.
#[test]
fn event_without_an_identifier_waits_for_the_next_one() {
    let mut cursor = StreamCursor::new(None);
    let mut push = |bytes: &'static str| cursor.push(bytes.as_bytes()).unwrap();
    assert_eq!(
        push("event: start\ndata: 0\n\n"),
        "event: start\ndata: 0\n\n"
    );
    assert_eq!(push("id: 1\n\n"), "id: 1\n\n");
    assert_eq!(push("data: x\n\n"), "");
    assert_eq!(push("id: 2\n\n"), "data: x\n\nid: 2\n\n");
    assert_eq!(push("data: [DONE]\n\n"), "");
    assert!(cursor.is_holding() && !cursor.is_partial());
    assert_eq!(cursor.forwarded(), 4);
    assert_eq!(cursor.finish(), "data: [DONE]\n\n");
    assert_eq!(cursor.forwarded(), 5);
    // An upstream that breaks off there sends it again.
    cursor.push(b"data: x\n\n").unwrap();
    cursor.discard_partial();
    assert_eq!(cursor.finish(), "");
}
