//! Encoding of commands and snapshots, and decoding of hostile bytes.

use pimentotide_control::machine::{
    CodecError, MAX_COMMAND_BYTES, MAX_SNAPSHOT_BYTES, decode, encode,
};
use pimentotide_control::{Command, Machine, Response};
use pimentotide_model::Time;
use proptest::prelude::*;

use crate::common::{action, declare, order};

fn command() -> impl Strategy<Value = Command> {
    prop_oneof![
        (action(), prop::option::of(any::<u64>()))
            .prop_map(|(action, base)| Command::Declare(order("o", base, action))),
        "[a-z]{1,8}".prop_map(|name| Command::Allot(name.into())),
    ]
}

#[test]
fn wrong_lengths_and_versions_are_reported() {
    let too_long = vec![1; MAX_COMMAND_BYTES + 1];
    let cases: [&[u8]; 3] = [&[], &[9, 0], &too_long];
    let errors = cases.map(|bytes| decode::<Command>(bytes, MAX_COMMAND_BYTES).unwrap_err());
    let expected = [
        CodecError::Empty,
        CodecError::Version(9),
        CodecError::Length(MAX_COMMAND_BYTES + 1),
    ];
    assert_eq!(errors, expected);
}

#[test]
fn unreadable_command_changes_nothing() {
    let mut machine = Machine::default();
    let response = machine.apply_bytes(Time::from_millis(5), &[1, 250, 1, 2]);
    let response = decode::<Response>(&response, MAX_COMMAND_BYTES);
    assert_eq!(response, Ok(Response::Unreadable));
    assert_eq!(machine, Machine::default());
}

#[test]
fn restore_replaces_all_or_nothing() {
    use pimentotide_consensus::{Index, Machine as Replicated};
    let mut machine = Machine::default();
    let command = encode(&Command::Allot("u".into())).unwrap();
    let response = Replicated::apply(&mut machine, Index(1), Time::ZERO, &command);
    let response = decode::<Response>(&response, MAX_COMMAND_BYTES);
    assert_eq!(response, Ok(Response::Allot(1.into())));
    let before = machine.clone();
    let state = Replicated::snapshot(&machine);
    assert!(Replicated::restore(&mut machine, &state[1..]).is_err());
    assert_eq!(machine, before);
    let mut other = Machine::default();
    Replicated::restore(&mut other, &state).unwrap();
    assert_eq!(other, before);
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(128))]

    #[test]
    fn commands_round_trip(command in command()) {
        let bytes = encode(&command).unwrap();
        prop_assert_eq!(decode::<Command>(&bytes, MAX_COMMAND_BYTES), Ok(command));
    }

    #[test]
    fn hostile_bytes_never_panic(mut bytes in prop::collection::vec(any::<u8>(), 0..400)) {
        let _ = decode::<Command>(&bytes, MAX_COMMAND_BYTES);
        if let Some(first) = bytes.first_mut() {
            *first = 1;
        }
        let _ = decode::<Command>(&bytes, MAX_COMMAND_BYTES);
        let mut machine = Machine::default();
        let _ = machine.restore(&bytes);
        machine.apply_bytes(Time::ZERO, &bytes);
    }

    #[test]
    fn damaged_snapshots_are_rejected_or_decoded(
        actions in prop::collection::vec(action(), 1..6),
        damage in (any::<prop::sample::Index>(), any::<u8>()),
        cut in any::<prop::sample::Index>(),
    ) {
        let mut machine = Machine::default();
        for (i, action) in actions.into_iter().enumerate() {
            declare(&mut machine, Time::ZERO, &order(&format!("o{i}"), None, action));
        }
        let whole = machine.snapshot().unwrap();
        prop_assert_eq!(decode::<Machine>(&whole, MAX_SNAPSHOT_BYTES), Ok(machine.clone()));
        let cut = cut.index(whole.len());
        prop_assert!(machine.restore(&whole[..cut]).is_err());
        let mut damaged = whole;
        let at = damage.0.index(damaged.len());
        damaged[at] = damage.1;
        let _ = machine.restore(&damaged);
    }
}
