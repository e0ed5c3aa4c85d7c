//! Safety rules of the log, each tested with hand-delivered messages.

use pimentotide_consensus::{ClusterId, Envelope, Event, Index, LogId, Message, ProposalId};
use pimentotide_model::{Term, Time};

use crate::trio::{ELECTION, State, TIMEOUT, identity, start};

/// Returns a state in which replica 0 is the leader and all messages are delivered.
fn with_leader() -> State {
    let mut state = start();
    state.time_out(0);
    state.deliver(|_, _, _| true);
    assert!(state.nodes[0].is_leader());
    state
}

fn propose(state: &mut State, number: usize) -> Index {
    let command = [7].into();
    state.deliver_event(number, Event::Propose(ProposalId(1), command));
    state.nodes[number].last().index
}

#[test]
fn answer_to_an_old_term_does_not_renew_a_lease() {
    let mut state = start();
    state.deliver_event(0, Event::Tick);
    let newer = Envelope {
        cluster: ClusterId(1),
        from: identity(1),
        to: identity(0),
        term: Term(9),
        body: Message::TimeoutNow,
    };
    state.deliver_event(0, Event::Receive(newer.clone()));
    let old = Envelope {
        term: Term(2),
        body: Message::Heartbeat {
            commit: Index(0),
            sent: Time::ZERO,
        },
        ..newer
    };
    state.in_flight.clear();
    state.deliver_event(0, Event::Receive(old));
    let answers: Vec<_> = state.in_flight.iter().map(|e| &e.body).collect();
    assert_eq!(answers, [&Message::Stale]);
}

#[test]
fn entry_of_an_older_term_is_not_committed_by_counting_replicas() {
    let mut state = with_leader();
    let index = propose(&mut state, 0);
    state.in_flight.clear();
    state.clocks[2] += TIMEOUT;
    // Replica 1 wins a term; its first entry reaches no other replica.
    state.time_out(1);
    state.deliver(|from, to, body| from != 0 && to != 0 && !matches!(body, Message::Append { .. }));
    assert!(state.nodes[1].is_leader());
    state.in_flight.clear();
    // Replica 0 wins the next term; only its old entry reaches replica 2.
    let reaches = |from: usize, to: usize, _: &Message| from != 1 && to != 1;
    // The first timeout ends its old leadership.
    state.time_out(0);
    while !state.nodes[0].is_leader() {
        state.time_out(0);
        while !state.nodes[0].is_leader() && state.deliver_one(reaches) {}
    }
    while state.nodes[2].term_at(index).is_none() && state.deliver_one(reaches) {}
    assert!(state.nodes[2].term_at(index).is_some());
    state.deliver(|_, _, body| matches!(body, Message::Appended { .. }));
    assert!(state.nodes[0].commit() < index);
    state.deliver(reaches);
    assert!(state.nodes[0].commit() > index);
}

#[test]
fn replica_in_contact_with_a_leader_rejects_other_candidates() {
    let mut state = with_leader();
    let term = state.nodes[1].term();
    let vote = Envelope {
        cluster: ClusterId(1),
        from: identity(2),
        to: identity(1),
        term: term.next(),
        body: Message::Vote {
            last: LogId {
                term,
                index: Index(1_000),
            },
            transfer: false,
        },
    };
    let granted = |state: &mut State| {
        state.in_flight.clear();
        state.deliver_event(1, Event::Receive(vote.clone()));
        state
            .in_flight
            .iter()
            .any(|e| e.body == Message::VoteReply { granted: true })
    };
    assert!(!granted(&mut state));
    assert_eq!(state.nodes[1].term(), term);
    state.clocks[1] += ELECTION;
    assert!(granted(&mut state));
}

#[test]
fn read_without_a_lease_waits_for_an_answer_to_a_later_message() {
    let mut state = with_leader();
    state.keep_heartbeats = true;
    state.deliver_event(0, Event::Read(ProposalId(1)));
    assert_eq!(state.ready.len(), 1);
    state.clocks[0] += ELECTION - ELECTION / 20;
    state.deliver_event(0, Event::Read(ProposalId(2)));
    assert_eq!(state.ready.len(), 1);
    let now = state.clocks[0];
    let answer = |sent: Time| Envelope {
        cluster: ClusterId(1),
        from: identity(1),
        to: identity(0),
        term: state.nodes[0].term(),
        body: Message::HeartbeatReply { sent },
    };
    let (old, new) = (answer(now - ELECTION * 2), answer(now + ELECTION / 100));
    state.deliver_event(0, Event::Receive(old));
    assert_eq!(state.ready.len(), 1);
    state.clocks[0] += ELECTION / 50;
    state.deliver_event(0, Event::Receive(new));
    assert_eq!(state.ready.len(), 2);
}
