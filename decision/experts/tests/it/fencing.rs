//! Agents reject outdated fencing tokens, ignore older epochs, and reject orders
//! until they have received the floor of fencing tokens.

use std::sync::Arc;

use pimentotide_experts::{
    Action, DecidedMap, Demand, Epoch, ExpertMap, Grant, Layout, MapId, MapOrder, Message,
    RankAgent, place,
};
use pimentotide_model::{ErrorKind, Fence, Incarnation};

fn map() -> Arc<ExpertMap> {
    let layout = Layout::uniform(1, 4, 2, 3, 1);
    let demand = Demand::new(4, &[1.0; 4], &[1.0; 2]);
    Arc::new(place(&layout, &demand).expect("layout fits"))
}

fn stage(fence: u64, id: u64) -> Message {
    Message::Order {
        fence: Fence(fence),
        order: MapOrder::Stage {
            id: MapId(id),
            map: map(),
            loads: Vec::new(),
        },
    }
}

fn discard(fence: u64, id: u64) -> Message {
    let order = MapOrder::Discard { id: MapId(id) };
    Message::Order {
        fence: Fence(fence),
        order,
    }
}

fn welcome(agent: &mut RankAgent, incarnation: u64, floor: u64) {
    let message = Message::Welcome {
        incarnation: Incarnation(incarnation),
        floor: Fence(floor),
    };
    agent.receive(message).expect("accepted");
}

fn epoch(term: u64) -> Epoch {
    Epoch {
        term: Fence(term),
        round: 1,
    }
}

fn open(agent: &mut RankAgent, term: u64, id: u64) -> Vec<Action> {
    let decided = DecidedMap {
        id: MapId(id),
        map: map(),
        step: 0,
        settled: true,
    };
    let message = Message::Open {
        epoch: epoch(term),
        decided,
    };
    agent.receive(message).expect("accepted")
}

fn grant(agent: &mut RankAgent, term: u64, first: u64, end: u64, id: u64) -> Vec<Action> {
    let grant = Grant {
        first,
        end,
        map: MapId(id),
    };
    let message = Message::Grants {
        epoch: epoch(term),
        grants: vec![grant],
    };
    agent.receive(message).expect("accepted")
}

fn refusal(agent: &mut RankAgent, message: Message) -> ErrorKind {
    agent.receive(message).expect_err("rejected").kind
}

fn runs(actions: &[Action]) -> Vec<(u64, MapId)> {
    let run = |action: &Action| match action {
        Action::Run { step, map, .. } => Some((*step, *map)),
        _ => None,
    };
    actions.iter().filter_map(run).collect()
}

#[test]
fn orders_are_rejected_until_the_floor_is_received() {
    let mut agent = RankAgent::new(1, Incarnation(2));
    assert_eq!(refusal(&mut agent, stage(9, 2)), ErrorKind::NotCurrent);
    welcome(&mut agent, 1, 3);
    let kind = refusal(&mut agent, stage(9, 2));
    assert_eq!(
        kind,
        ErrorKind::NotCurrent,
        "the welcome was for an older incarnation"
    );
    welcome(&mut agent, 2, 5);
    assert_eq!(refusal(&mut agent, stage(4, 2)), ErrorKind::Fenced);
    assert!(agent.receive(stage(7, 2)).is_ok());
    assert_eq!(refusal(&mut agent, stage(6, 3)), ErrorKind::Fenced);
    welcome(&mut agent, 2, 5);
    assert_eq!(agent.floor(), Some(Fence(7)), "the floor never decreases");
}

#[test]
fn freed_map_is_not_staged_again() {
    let mut agent = RankAgent::new(1, Incarnation(1));
    welcome(&mut agent, 1, 1);
    agent.receive(stage(1, 2)).expect("accepted");
    agent.loaded(MapId(2));
    let actions = agent.receive(discard(1, 2)).expect("accepted");
    assert!(actions.contains(&Action::Free(MapId(2))));
    let actions = agent.receive(stage(1, 2)).expect("accepted");
    let loads = actions.iter().any(|a| matches!(a, Action::Load { .. }));
    assert!(!loads, "a late order loads nothing");
}

#[test]
fn steps_are_held_until_granted_and_weights_are_loaded() {
    let mut agent = RankAgent::new(1, Incarnation(1));
    open(&mut agent, 1, 1);
    assert!(
        runs(&grant(&mut agent, 1, 1, 3, 1)).is_empty(),
        "weights not loaded"
    );
    assert_eq!(runs(&agent.loaded(MapId(1))), [(1, MapId(1))]);
    assert_eq!(runs(&agent.finished(epoch(1), 1)), [(2, MapId(1))]);
    assert!(runs(&agent.finished(epoch(1), 2)).is_empty(), "no grant");
    assert!(agent.is_holding());
}

#[test]
fn grants_of_older_epochs_are_ignored() {
    let mut agent = RankAgent::new(1, Incarnation(1));
    open(&mut agent, 1, 1);
    agent.loaded(MapId(1));
    open(&mut agent, 2, 1);
    assert!(runs(&grant(&mut agent, 1, 1, 5, 1)).is_empty());
    assert!(runs(&open(&mut agent, 1, 1)).is_empty());
    assert_eq!(runs(&grant(&mut agent, 2, 6, 8, 1)), [(6, MapId(1))]);
    assert!(runs(&agent.finished(epoch(1), 6)).is_empty(), "older epoch");
}

#[test]
fn granted_step_keeps_its_map() {
    let mut agent = RankAgent::new(1, Incarnation(1));
    open(&mut agent, 1, 1);
    agent.loaded(MapId(1));
    welcome(&mut agent, 1, 1);
    agent.receive(stage(1, 2)).expect("accepted");
    agent.loaded(MapId(2));
    grant(&mut agent, 1, 1, 4, 1);
    grant(&mut agent, 1, 2, 6, 2);
    let steps: Vec<_> = (1..5)
        .flat_map(|s| runs(&agent.finished(epoch(1), s)))
        .collect();
    let expected = [(2, 1), (3, 1), (4, 2), (5, 2)];
    assert_eq!(steps, expected.map(|(s, m)| (s, MapId(m))));
}
