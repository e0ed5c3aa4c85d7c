//! Streamed answers are delivered completely and in order, or end with a fault.
//!
//! Guards against answers that are truncated, reordered or mixed with the pieces of
//! another request or attempt, when pieces are lost, duplicated or delayed.

use std::time::Duration;

use pimentotide_model::{RequestId, Time};
use pimentotide_outcome::{Assembly, Fault, Piece, Progress};
use proptest::collection::vec;
use proptest::prelude::*;

const REQUEST: RequestId = RequestId(7);
const PAST_GAP_TIMEOUT: Duration = Duration::from_secs(5);

fn token(position: u64) -> Piece<u64> {
    Piece::Token {
        request: REQUEST,
        attempt: 1,
        position,
        token: position * 10,
    }
}

fn end(total: u64) -> Piece<u64> {
    Piece::End {
        request: REQUEST,
        attempt: 1,
        total,
    }
}

fn of_other_request(piece: &Piece<u64>) -> Piece<u64> {
    let mut other = piece.clone();
    match &mut other {
        Piece::Token { request, token, .. } => {
            *request = RequestId(8);
            *token += 1;
        }
        Piece::End { request, .. } => *request = RequestId(8),
    }
    other
}

fn whole(total: u64) -> Vec<u64> {
    (0..total).map(|p| p * 10).collect()
}

/// Pushes all pieces, advances the time past the gap timeout and closes the stream.
fn run(pieces: &[Piece<u64>]) -> (Vec<u64>, Progress) {
    let mut assembly = Assembly::open(REQUEST, 1);
    let mut out = Vec::new();
    for piece in pieces {
        assembly.push(piece.clone(), Time::ZERO, &mut out);
    }
    assembly.tick(Time::ZERO + PAST_GAP_TIMEOUT);
    (out, assembly.close())
}

/// Pieces of one answer in any order, with duplicates, losses and pieces of another request.
fn arrivals() -> impl Strategy<Value = (u64, bool, Vec<Piece<u64>>)> {
    let piece = (0..10u8, 0..8u8, any::<u32>());
    (0..40u64).prop_flat_map(move |total| {
        let draws = vec(piece.clone(), usize::try_from(total).unwrap() + 1);
        draws.prop_map(move |draws| arrange(total, &draws))
    })
}

fn arrange(total: u64, draws: &[(u8, u8, u32)]) -> (u64, bool, Vec<Piece<u64>>) {
    let pieces = (0..total).map(token).chain([end(total)]);
    let mut keyed = Vec::new();
    let mut lost = false;
    for (piece, (delivery, other, order)) in pieces.zip(draws) {
        let copies = match delivery {
            0 if order % 4 == 0 => 0,
            1 | 2 => 2,
            _ => 1,
        };
        lost |= copies == 0;
        for copy in 0..copies {
            keyed.push((order.rotate_left(copy * 7), piece.clone()));
        }
        if *other == 0 {
            keyed.push((order.rotate_left(3), of_other_request(&piece)));
        }
    }
    keyed.sort_by_key(|(order, _)| *order);
    (
        total,
        lost,
        keyed.into_iter().map(|(_, piece)| piece).collect(),
    )
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(2_000))]

    #[test]
    fn any_arrival_order_yields_the_whole_answer_or_a_fault((total, lost, pieces) in arrivals()) {
        let (out, progress) = run(&pieces);
        let expected = whole(total);
        prop_assert!(expected.starts_with(&out));
        if lost {
            prop_assert!(matches!(progress, Progress::Broken(_)));
        } else {
            prop_assert_eq!(progress, Progress::Whole);
            prop_assert_eq!(out, expected);
        }
    }

    #[test]
    fn resumed_answer_ignores_pieces_of_the_broken_attempt(
        total in 1..40u64,
        cut in 0..40u64,
        stray in vec((0..60u64, any::<bool>()), 0..20),
    ) {
        let cut = cut.min(total);
        let mut assembly = Assembly::open(REQUEST, 1);
        let mut out = Vec::new();
        for position in 0..cut {
            assembly.push(token(position), Time::ZERO, &mut out);
        }
        assembly.close();
        assembly.resume(2);
        let mut stray = stray.into_iter();
        for position in assembly.delivered()..total {
            if let Some((position, is_end)) = stray.next() {
                let late = if is_end { end(position) } else { token(position) };
                assembly.push(late, Time::ZERO, &mut out);
            }
            let piece = Piece::Token { request: REQUEST, attempt: 2, position, token: position * 10 };
            assembly.push(piece, Time::ZERO, &mut out);
        }
        let last = Piece::End { request: REQUEST, attempt: 2, total };
        prop_assert_eq!(assembly.push(last, Time::ZERO, &mut out), Progress::Whole);
        prop_assert_eq!(out, whole(total));
    }
}

#[test]
fn pieces_in_order_are_delivered_immediately() {
    let mut assembly = Assembly::open(REQUEST, 1);
    let mut out = Vec::new();
    for position in 0..3 {
        assembly.push(token(position), Time::ZERO, &mut out);
        assert_eq!(out.len() as u64, position + 1);
    }
}

#[test]
fn each_incomplete_answer_reports_its_fault() {
    let cases = [
        ("no end", vec![token(0)]),
        ("nothing at all", vec![]),
        ("a gap", vec![token(0), token(2), end(3)]),
        ("first token late", vec![end(1)]),
        ("far ahead", vec![token(5_000)]),
        ("end too early", vec![token(0), token(1), end(1)]),
        ("two ends", vec![end(3), end(2)]),
        ("token past the end", vec![end(1), token(1)]),
    ];
    let faults: Vec<String> = cases
        .iter()
        .map(|(name, pieces)| match run(pieces).1 {
            Progress::Broken(fault) => format!("{name}: {fault}"),
            progress => format!("{name}: {progress:?}"),
        })
        .collect();
    insta::assert_snapshot!(faults.join("\n"));
}

#[test]
fn gap_filled_before_the_timeout_keeps_the_answer_open() {
    let mut assembly = Assembly::open(REQUEST, 1);
    let mut out = Vec::new();
    assembly.push(token(1), Time::ZERO, &mut out);
    assert_eq!(assembly.tick(Time::from_millis(500)), Progress::Open);
    assembly.push(token(0), Time::from_millis(600), &mut out);
    assembly.push(token(3), Time::from_millis(10_000), &mut out);
    assert_eq!(assembly.tick(Time::from_millis(10_100)), Progress::Open);
    let late = assembly.tick(Time::from_millis(12_000));
    assert_eq!(late, Progress::Broken(Fault::Missing(2)));
}
