//! Rules of the log, each met by hand.

use pimentotide_consensus::{ClusterId, Envelope, Event, Index, LogId, Message, ProposalId};
use pimentotide_model::{Term, Time};

use crate::trio::{ELECTION, State, TIMEOUT, identity, start};

/// Makes replica 0 the leader, with everything delivered.
fn led() -> State {
    let mut state = start();
    state.time_out(0);
    state.deliver(|_, _, _| true);
    assert!(state.nodes[0].is_leader());
    state
}

fn propose(state: &mut State, number: usize) -> Index {
    let command = [7].into();
    state.tell(number, Event::Propose(ProposalId(1), command));
    state.nodes[number].last().index
}

#[test]
fn an_answer_to_a_message_of_an_old_term_keeps_no_lease() {
    let mut state = start();
    state.tell(0, Event::Tick);
    let promise = Envelope {
        cluster: ClusterId(1),
        from: identity(1),
        to: identity(0),
        term: Term(9),
        body: Message::TimeoutNow,
    };
    state.tell(0, Event::Receive(promise.clone()));
    let old = Envelope {
        term: Term(2),
        body: Message::Heartbeat {
            commit: Index(0),
            sent: Time::ZERO,
        },
        ..promise
    };
    state.under_way.clear();
    state.tell(0, Event::Receive(old));
    let answers: Vec<_> = state.under_way.iter().map(|e| &e.body).collect();
    assert_eq!(answers, [&Message::Stale]);
}

#[test]
fn an_entry_of_an_older_term_is_not_committed_by_counting() {
    let mut state = led();
    let index = propose(&mut state, 0);
    state.under_way.clear();
    state.clocks[2] += TIMEOUT;
    // Replica 1 wins a term and keeps its first entry to itself.
    state.time_out(1);
    state.deliver(|from, to, body| from != 0 && to != 0 && !matches!(body, Message::Append { .. }));
    assert!(state.nodes[1].is_leader());
    state.under_way.clear();
    // Replica 0 wins the next one; only its old entry reaches replica 2.
    let reaches = |from: usize, to: usize, _: &Message| from != 1 && to != 1;
    // Its first timeout ends its old leadership.
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
fn a_replica_that_hears_a_leader_votes_for_no_other() {
    let mut state = led();
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
        state.under_way.clear();
        state.tell(1, Event::Receive(vote.clone()));
        state
            .under_way
            .iter()
            .any(|e| e.body == Message::VoteReply { granted: true })
    };
    assert!(!granted(&mut state));
    assert_eq!(state.nodes[1].term(), term);
    state.clocks[1] += ELECTION;
    assert!(granted(&mut state));
}

#[test]
fn a_read_without_a_lease_waits_for_an_answer_to_a_later_message() {
    let mut state = led();
    state.beats = true;
    state.tell(0, Event::Read(ProposalId(1)));
    assert_eq!(state.ready.len(), 1);
    state.clocks[0] += ELECTION - ELECTION / 20;
    state.tell(0, Event::Read(ProposalId(2)));
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
    state.tell(0, Event::Receive(old));
    assert_eq!(state.ready.len(), 1);
    state.clocks[0] += ELECTION / 50;
    state.tell(0, Event::Receive(new));
    assert_eq!(state.ready.len(), 2);
}
