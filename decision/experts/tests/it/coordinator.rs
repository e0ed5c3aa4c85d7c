//! A coordinator takes no reply to an older command for the answer to a newer one.

use std::sync::Arc;

use pimentotide_experts::{
    Action, Command, Coordinator, Decisions, Demand, ExpertMap, Layout, MapId, Message, Phase,
    RankStatus, Reply, SwitchPolicy, place,
};
use pimentotide_model::{Fence, GroupName, Incarnation, InstanceName, Time};

const NOW: Time = Time::from_millis(1);

struct Site {
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

fn site() -> Site {
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
    let mut site = Site {
        log,
        coordinator,
        replies: Vec::new(),
    };
    let actions = site.coordinator.tick(NOW);
    site.commit(&actions);
    site
}

impl Site {
    /// Commits what is submitted, and keeps all replies for later.
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

    /// Reports both ranks with these maps in place; returns what is submitted.
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
fn replies_to_the_last_switch_do_not_touch_the_next_one() {
    let mut site = site();
    site.propose(1);
    let actions = site.report(1, 1, &[1, 2]);
    site.commit(&actions);
    let actions = site.report(2, 2, &[1, 2]);
    site.commit(&actions);
    assert_eq!(site.coordinator.phase(), Phase::Idle);
    let late = site.replies.clone();
    let (_, _) = site.coordinator.propose(map(2), NOW);
    let check = |site: &mut Site, phase: Phase| {
        assert_eq!(site.coordinator.phase(), phase);
        for reply in &late {
            site.coordinator.replied(reply.clone(), NOW);
            assert_eq!(site.coordinator.phase(), phase, "after {reply:?}");
        }
    };
    check(&mut site, Phase::Proposing);
    let actions = site.coordinator.tick(NOW);
    site.commit(&actions);
    check(&mut site, Phase::Staging(MapId(3)));
    let decide = site.report(3, 2, &[2, 3]);
    check(&mut site, Phase::Deciding(MapId(3)));
    site.commit(&decide);
    check(&mut site, Phase::Activating(MapId(3)));
    let settle = site.report(4, 3, &[2, 3]);
    check(&mut site, Phase::Settling(MapId(3)));
    site.commit(&settle);
    assert_eq!(site.coordinator.phase(), Phase::Idle);
    let group = site.log.group(&GroupName::from("group")).expect("formed");
    assert_eq!((group.decided.id, group.decided.settled), (MapId(3), true));
}
