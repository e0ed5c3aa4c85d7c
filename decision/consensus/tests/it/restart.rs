//! Elections of replicas that have just started, which may have extended a lease before.

use std::time::Duration;

use pimentotide_consensus::{ClusterId, Envelope, Event, Index, Message};
use pimentotide_model::Time;

use crate::trio::{ELECTION, REPLICAS, State, identity, start};

/// Three replicas that all started `age` ago.
fn started(age: Duration) -> State {
    State {
        clocks: [Time::ZERO + age; REPLICAS],
        keep_heartbeats: true,
        ..start()
    }
}

/// Time at which each replica has asked for pre-votes, before its start counts as long ago.
fn soon() -> Duration {
    ELECTION.mul_f64(0.5)
}

/// Guards against an outage of all replicas that lasts an election timeout longer than they do.
#[test]
fn replicas_that_all_restarted_elect_before_a_lease_could_have_ended() {
    let mut state = started(soon());
    state.deliver_event(0, Event::Tick);
    state.deliver(|_, _, _| true);
    assert!(state.nodes[0].is_leader());
}

/// Guards against a second leader beside one whose lease a restarted replica has extended.
#[test]
fn a_leader_that_did_not_restart_prevents_the_election() {
    let mut state = started(soon());
    state.deliver_event(2, Event::Tick);
    state.deliver(|from, to, _| [from, to].iter().all(|n| [1, 2].contains(n)));
    // Replica 0 never answered, so that 2 leads only once its own start is long ago.
    assert!(!state.nodes[2].is_leader());
    state.in_flight.clear();
    for number in 1..REPLICAS {
        state.clocks[number] = Time::ZERO + ELECTION * 4;
    }
    state.deliver_event(2, Event::Tick);
    state.deliver(|from, to, _| [from, to].iter().all(|n| [1, 2].contains(n)));
    assert!(state.nodes[2].is_leader());
    state.in_flight.clear();

    state.deliver_event(0, Event::Tick);
    state.deliver(|_, _, _| true);
    assert!(state.nodes[2].is_leader() && !state.nodes[0].is_leader());
    assert_eq!(state.nodes[0].term(), state.nodes[2].term());
}

/// Guards against a vote for a later term by a replica that has extended the lease of an earlier
/// candidate since it answered the pre-vote.
#[test]
fn a_replica_contacted_by_a_leader_rejects_the_vote_it_announced() {
    let mut state = started(soon());
    state.deliver_event(2, Event::Tick);
    // Both vote for 2, which does not have the answers yet.
    state.deliver(|_, _, body| !matches!(body, Message::VoteReply { .. }));
    assert!(!state.nodes[2].is_leader());
    state.clocks[0] += ELECTION.mul_f64(0.49);
    state.deliver_event(0, Event::Tick);
    let is_early = |body: &Message| {
        matches!(
            body,
            Message::PreVote { .. } | Message::PreVoteReply { .. } | Message::Unled
        )
    };
    state.deliver(|_, _, body| is_early(body));
    assert!(state.nodes[0].term() > state.nodes[2].term());

    state.deliver(|from, to, _| (from, to) == (1, 2));
    assert!(state.nodes[2].is_leader());
    let heartbeat = Envelope {
        cluster: ClusterId(1),
        from: identity(2),
        to: identity(1),
        term: state.nodes[2].term(),
        body: Message::Heartbeat {
            commit: Index(0),
            sent: state.clocks[2],
        },
    };
    state.deliver_event(1, Event::Receive(heartbeat));
    state.deliver(|from, to, _| from != 2 && to != 2);
    assert!(!state.nodes[0].is_leader());
}

/// Guards against an election that goes by fewer answers than all voters'.
#[test]
fn a_voter_without_an_answer_makes_the_others_wait() {
    let mut state = started(soon());
    state.deliver_event(0, Event::Tick);
    state.deliver(|from, to, _| from != 2 && to != 2);
    assert!(!state.nodes[0].is_leader());
    assert_eq!(state.nodes[0].term(), state.nodes[1].term());
}
