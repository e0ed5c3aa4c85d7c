//! A coordinator ignores replies to commands of an earlier switch.
//!
//! Commands are resent until answered, so replies can arrive after the switch
//! that they belong to. Applied to the next switch, they would end it early.

use std::sync::Arc;

use pimentotide_experts::{
    Action, Command, Coordinator, Decisions, Demand, ExpertMap, Layout, MapId, Message, Phase,
    RankStatus, Reply, SwitchPolicy, place,
};
use pimentotide_model::{Fence, GroupName, Incarnation, InstanceName, Time};

const NOW: Time = Time::from_millis(1);

struct Harness {
    log: Decisions,
    coordinator: Coordinator,
    replies: Vec<Reply>,
}

fn map(hot: usize) -> ExpertMap {
    let layout = Layout::uniform(1, 4, 2, 3, 1);
    let mut weights = [1.0; 4];
    weights[hot] = 9.0;
    place(&layout, &Demand::new(4, &weights, &[1.0; 2])).expect("layout fits")
}

fn harness() -> Harness {
    let name = GroupName::from("group");
    let mut log = Decisions::default();
    let form = Command::Form {
        group: name.clone(),
        layout: Layout::uniform(1, 4, 2, 3, 1),
        map: Arc::new(map(0)),
    };
    log.apply(&form, Time::ZERO);
    let holder = InstanceName::from("control-1");
    let coordinator = Coordinator::new(name, holder, 1, SwitchPolicy::default());
    let mut harness = Harness {
        log,
        coordinator,
        replies: Vec::new(),
    };
    let actions = harness.coordinator.tick(NOW);
    harness.commit(&actions);
    harness
}

impl Harness {
    /// Commits submitted commands and records all replies.
    fn commit(&mut self, actions: &[Action]) {
        for action in actions {
            if let Action::Submit(command) = action {
                let reply = self.log.apply(command, NOW);
                self.replies.push(reply.clone());
                let next = self.coordinator.replied(reply, NOW);
                self.commit(&next);
            }
        }
    }

    /// Reports both ranks with these maps loaded; returns the coordinator's actions.
    fn report(&mut self, step: u64, active: u64, ready: &[u64]) -> Vec<Action> {
        let status = |rank| RankStatus {
            rank,
            incarnation: Incarnation(1),
            step,
            active: Some(MapId(active)),
            ready: ready.iter().map(|id| MapId(*id)).collect(),
            floor: Some(Fence(1)),
            ..RankStatus::default()
        };
        let mut actions = Vec::new();
        for rank in 0..2 {
            let message = Message::Status(status(rank));
            actions.extend(self.coordinator.receive(message, NOW));
        }
        actions
    }

    fn propose(&mut self, hot: usize) {
        let (accepted, actions) = self.coordinator.propose(map(hot), NOW);
        assert!(accepted);
        self.commit(&actions);
    }
}

#[test]
fn late_replies_to_an_earlier_switch_are_ignored() {
    let mut harness = harness();
    harness.propose(1);
    let actions = harness.report(1, 1, &[1, 2]);
    harness.commit(&actions);
    let actions = harness.report(2, 2, &[1, 2]);
    harness.commit(&actions);
    assert_eq!(harness.coordinator.phase(), Phase::Idle);
    let late = harness.replies.clone();
    let (_, _) = harness.coordinator.propose(map(2), NOW);
    let check = |harness: &mut Harness, phase: Phase| {
        assert_eq!(harness.coordinator.phase(), phase);
        for reply in &late {
            harness.coordinator.replied(reply.clone(), NOW);
            assert_eq!(harness.coordinator.phase(), phase, "after {reply:?}");
        }
    };
    check(&mut harness, Phase::Proposing);
    let actions = harness.coordinator.tick(NOW);
    harness.commit(&actions);
    check(&mut harness, Phase::Staging(MapId(3)));
    let decide = harness.report(3, 2, &[2, 3]);
    check(&mut harness, Phase::Deciding(MapId(3)));
    harness.commit(&decide);
    check(&mut harness, Phase::Activating(MapId(3)));
    let settle = harness.report(4, 3, &[2, 3]);
    check(&mut harness, Phase::Settling(MapId(3)));
    harness.commit(&settle);
    assert_eq!(harness.coordinator.phase(), Phase::Idle);
    let group = harness
        .log
        .group(&GroupName::from("group"))
        .expect("formed");
    assert_eq!((group.decided.id, group.decided.settled), (MapId(3), true));
}
