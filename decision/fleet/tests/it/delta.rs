//! Deltas between configurations: exact results, detected faults, and the size of real changes.

use std::sync::Arc;

use pimentotide_fleet::{
    Declared, Delta, DeltaError, DeltaPart, DocumentHistory, IndexedText, MAX_DOCUMENTS,
    MAX_HISTORY_BYTES,
};
use proptest::prelude::*;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// Routes of the largest documents in use.
const ROUTES: usize = 1_400;
/// Changes of a storm.
const CHANGES: u64 = 100;

fn route(number: usize, timeout: u64) -> String {
    format!(
        r#"{{"name":"route-{number}","host":"h{}.example","prefix":"/p{number}/","kind":"streaming","timeoutMs":{timeout},"targetLatencyMs":400,"shares":[{{"service":"s{}","weight":3}},{{"service":"s1","weight":1}}],"maxAttempts":2}}"#,
        number % 40,
        number % 7,
    )
}

fn document(version: u64, routes: &[String]) -> String {
    let services: Vec<String> = (0..7)
        .map(|n| format!(r#"{{"name":"s{n}","engine":{{"slots":10,"stepMs":4.84}}}}"#))
        .collect();
    format!(
        r#"{{"version":{version},"routes":[{}],"services":[{}]}}"#,
        routes.join(","),
        services.join(",")
    )
}

fn numbered_routes(count: usize) -> Vec<String> {
    (0..count).map(|n| route(n, 8_000)).collect()
}

fn at(index: u64, text: &str) -> IndexedText<'_> {
    IndexedText { index, text }
}

fn declared(index: u64, document: &str) -> Declared {
    Declared {
        version: index,
        document: Arc::from(document.as_bytes()),
        index,
    }
}

/// Returns the bytes in which a value is sent.
fn sent_bytes<T>(value: &T) -> usize
where
    T: serde::Serialize,
{
    serde_json::to_string(value).unwrap().len()
}

/// Alters, adds or removes a few routes, as an operator's change does.
fn change_routes(routes: &mut Vec<String>, rng: &mut ChaCha8Rng) {
    for _ in 0..rng.random_range(1..5) {
        let place = rng.random_range(0..routes.len());
        let number = rng.random_range(0..100_000);
        match rng.random_range(0..3) {
            0 => routes[place] = route(number, 5_000),
            1 => routes.insert(place, route(number, 8_000)),
            _ => drop(routes.remove(place)),
        }
    }
}

/// A change of an array of records, by places and texts.
#[derive(Clone, Debug)]
enum Edit {
    Alter(usize, String),
    Insert(usize, String),
    Remove(usize, usize),
    Swap(usize, usize),
    Repeat(usize),
}

fn edit() -> impl Strategy<Value = Edit> {
    let text = "[a-c{}\\[\\],äß😀\"]{0,30}";
    prop_oneof![
        (any::<usize>(), text).prop_map(|(at, text)| Edit::Alter(at, text)),
        (any::<usize>(), text).prop_map(|(at, text)| Edit::Insert(at, text)),
        (any::<usize>(), 0..20_usize).prop_map(|(at, count)| Edit::Remove(at, count)),
        (any::<usize>(), any::<usize>()).prop_map(|(a, b)| Edit::Swap(a, b)),
        any::<usize>().prop_map(Edit::Repeat),
    ]
}

fn apply_edit(routes: &mut Vec<String>, edit: Edit) {
    let count = routes.len().max(1);
    match edit {
        Edit::Insert(at, text) => routes.insert(at % (routes.len() + 1), text),
        _ if routes.is_empty() => {}
        Edit::Alter(at, text) => routes[at % count].push_str(&text),
        Edit::Remove(at, length) => {
            let start = at % count;
            routes.drain(start..(start + length).min(count));
        }
        Edit::Swap(a, b) => routes.swap(a % count, b % count),
        Edit::Repeat(at) => routes.push(routes[at % count].clone()),
    }
}

proptest! {
    /// Guards against a configuration at entries that differs by a byte from the operator's.
    #[test]
    fn changed_documents_are_rebuilt_exactly(
        count in 0..60_usize,
        edits in prop::collection::vec(edit(), 0..12),
    ) {
        let mut routes = numbered_routes(count);
        let base = document(1, &routes);
        for edit in edits {
            apply_edit(&mut routes, edit);
        }
        let target = document(2, &routes);
        let delta = Delta::between(at(4, &base), at(9, &target));
        let sent: Delta = serde_json::from_str(&serde_json::to_string(&delta).unwrap()).unwrap();
        prop_assert_eq!(sent.apply(at(4, &base)), Ok(target));
    }

    /// Guards against ranges that split characters, and against texts without any record.
    #[test]
    fn any_text_is_rebuilt_exactly_from_any_other(
        base in "[a}äàß😀😁]{0,200}",
        target in "[a}äàß😀😁]{0,200}",
    ) {
        let delta = Delta::between(at(1, &base), at(2, &target));
        prop_assert_eq!(delta.apply(at(1, &base)), Ok(target));
    }

    /// Guards against a damaged delta whose result goes into force.
    #[test]
    fn damaged_bytes_are_detected(place in any::<prop::sample::Index>(), bit in 0..7_u32) {
        let routes = numbered_routes(20);
        let base = document(1, &routes[1..]);
        let target = document(2, &routes[..18]);
        let text = serde_json::to_string(&Delta::between(at(1, &base), at(2, &target))).unwrap();
        let mut bytes = text.into_bytes();
        let place = place.index(bytes.len());
        bytes[place] ^= 1 << bit;
        if let Ok(delta) = serde_json::from_slice::<Delta>(&bytes)
            && let Ok(result) = delta.apply(at(1, &base))
        {
            // Only the position of the result is not part of the digest; the message has it too.
            prop_assert_eq!(result, target);
        }
    }
}

/// Guards against a delta that is applied to another document than the one it starts from.
#[test]
fn another_base_is_detected() {
    let routes = numbered_routes(30);
    let (base, target) = (document(1, &routes), document(2, &routes[1..]));
    let delta = Delta::between(at(1, &base), at(2, &target));
    assert_eq!(delta.apply(at(3, &base)), Err(DeltaError::OtherBase));
    let same_length = base.replace("route-7", "route-x");
    assert_eq!(
        delta.apply(at(1, &same_length)),
        Err(DeltaError::WrongDigest)
    );
    assert_eq!(delta.apply(at(1, "{}")), Err(DeltaError::OutsideBase));
}

/// Guards against a damaged range that reads outside the base, and one that takes all memory.
#[test]
fn damaged_ranges_are_refused_before_memory_is_taken() {
    let base = document(1, &numbered_routes(30));
    let delta = Delta::between(at(1, &base), at(2, &base));
    let with = |parts: &[DeltaPart], length| Delta {
        parts: parts.to_vec(),
        length,
        ..delta.clone()
    };
    let applied = |parts: &[DeltaPart], length| with(parts, length).apply(at(1, &base));
    let outside = DeltaPart::Copied(usize::MAX, 10);
    assert_eq!(applied(&[outside], 10), Err(DeltaError::OutsideBase));
    let endless = DeltaPart::Copied(0, usize::MAX);
    let twice = [endless.clone(), endless];
    assert_eq!(
        applied(&twice[..1], usize::MAX),
        Err(DeltaError::WrongLength)
    );
    assert_eq!(applied(&twice, usize::MAX), Err(DeltaError::WrongLength));
    let short = DeltaPart::Copied(0, 10);
    assert_eq!(applied(&[short], 9), Err(DeltaError::WrongLength));
}

/// Guards against deltas that grow with the document instead of the change: an altered number must
/// not send its whole route.
#[test]
fn delta_of_one_altered_value_holds_little_but_the_value() {
    let mut routes = numbered_routes(ROUTES);
    let base = document(10, &routes);
    routes[700] = route(700, 8_500);
    let target = document(11, &routes);
    let delta = Delta::between(at(1, &base), at(2, &target));
    let new: Vec<&DeltaPart> = delta
        .parts
        .iter()
        .filter(|p| matches!(p, DeltaPart::New(_)))
        .collect();
    // The document begins with its version, before the first range.
    assert_eq!(new.len(), 2, "{new:?}");
    assert!(sent_bytes(&delta) < 300, "{} bytes", sent_bytes(&delta));
}

/// Load: a storm of 100 changes of a document with 1,400 routes, sent to one entry. Guards against
/// the 0.5 MB per change and entry of whole documents.
#[test]
fn storm_of_100_changes_of_1400_routes_sends_under_a_hundredth() {
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let mut routes = numbered_routes(ROUTES);
    let mut held = document(0, &routes);
    let (mut whole, mut deltas) = (0, 0);
    for version in 1..=CHANGES {
        change_routes(&mut routes, &mut rng);
        let next = document(version, &routes);
        let delta = Delta::between(at(version - 1, &held), at(version, &next));
        whole += sent_bytes(&next);
        deltas += sent_bytes(&delta);
        held = delta.apply(at(version - 1, &held)).unwrap();
        assert_eq!(held, next);
    }
    println!("whole documents {whole} bytes, deltas {deltas} bytes");
    assert!(deltas * 100 < whole, "{deltas} of {whole} bytes");
}

/// Load: a change that adds 1,000 routes. Guards against deltas that send the unchanged routes too.
#[test]
fn delta_of_1000_added_routes_holds_these() {
    let routes = numbered_routes(ROUTES + 1_000);
    let mut grown = routes[..700].to_vec();
    grown.extend_from_slice(&routes[ROUTES..]);
    grown.extend_from_slice(&routes[700..ROUTES]);
    let (base, target) = (document(1, &routes[..ROUTES]), document(2, &grown));
    let delta = Delta::between(at(1, &base), at(2, &target));
    let added = sent_bytes(&routes[ROUTES..].join(","));
    let sent = sent_bytes(&delta);
    assert!(sent < added + 500, "{sent} bytes for {added} of new routes");
    assert_eq!(delta.apply(at(1, &base)).as_deref(), Ok(&target[..]));
}

/// Guards against entries that miss a delta because they skip versions.
#[test]
fn entry_that_skips_versions_gets_a_delta_from_its_own_document() {
    let mut history = DocumentHistory::default();
    let routes = numbered_routes(50);
    let texts: Vec<String> = (0..20)
        .map(|n| document(n, &routes[n as usize..]))
        .collect();
    for (index, text) in texts.iter().enumerate() {
        assert!(history.record(&declared(index as u64, text)));
    }
    let oldest = texts.len() - MAX_DOCUMENTS;
    for from in oldest..texts.len() - 1 {
        let delta = history.delta(from as u64).unwrap();
        let base = at(from as u64, &texts[from]);
        assert_eq!(delta.index, 19);
        assert_eq!(delta.apply(base).as_deref(), Ok(&texts[19][..]));
    }
    assert_eq!(history.delta(oldest as u64 - 1), None, "not recorded");
    assert_eq!(history.delta(19), None, "the latest itself");
    assert_eq!(history.delta(40), None, "later than the latest");
}

/// Guards against an older document, read by a poll that took long, in place of the latest one.
#[test]
fn earlier_documents_are_not_recorded_after_later_ones() {
    let mut history = DocumentHistory::default();
    assert!(history.record(&declared(5, "{5}")));
    assert!(!history.record(&declared(5, "{5}")));
    assert!(!history.record(&declared(4, "{4}")));
    assert_eq!(history.latest().map(|d| d.index), Some(5));
}

/// Guards against a replica's memory that grows with the number or the size of documents.
#[test]
fn history_stays_within_its_bounds() {
    let mut history = DocumentHistory::default();
    for index in 0..100 {
        history.record(&declared(index, "{}"));
    }
    assert_eq!(history.bytes(), 2 * MAX_DOCUMENTS);
    let large = "x".repeat(1 << 20);
    for index in 100..200 {
        history.record(&declared(index, &large));
        assert!(history.bytes() <= MAX_HISTORY_BYTES);
    }
    assert_eq!(history.bytes(), MAX_HISTORY_BYTES);
    let huge = "x".repeat(MAX_HISTORY_BYTES + 1);
    history.record(&declared(200, &huge));
    assert_eq!(history.bytes(), huge.len(), "recorded alone");
    history.record(&declared(201, "{}"));
    assert_eq!(history.bytes(), 2);
}

/// Guards against a failure of the replica on a document that is not text.
#[test]
fn documents_that_are_not_text_have_no_delta() {
    let mut history = DocumentHistory::default();
    let bytes = Declared {
        document: Arc::from(&[0xff, 0xfe][..]),
        ..declared(1, "")
    };
    history.record(&bytes);
    history.record(&declared(2, "{}"));
    assert_eq!(history.delta(1), None);
}
