//! Manager of a group: from a change of popularity to a staged map, and pausing.

use std::sync::Arc;

use pimentotide_experts::{
    Action, Command, Coordinator, Decisions, Demand, Layout, Manager, ManagerLimits, MapId, Phase,
    PlanNote, PlanPolicy, Planner, SwitchPolicy, TokenCounts, place,
};
use pimentotide_model::{Declarations, GroupName, InstanceName, Time};

/// Bytes that may be moved per hour.
const HOURLY: u64 = 64 << 30;

struct Harness {
    log: Decisions,
    manager: Manager,
    declarations: Declarations,
}

fn name() -> GroupName {
    GroupName::from("group")
}

fn weights(hot: usize) -> Vec<f64> {
    let heat = |e: usize| if e % 16 == hot { 20.0 } else { 1.0 };
    (0..32).map(heat).collect()
}

fn harness() -> Harness {
    let layout = Layout::uniform(2, 16, 4, 6, 2);
    let demand = Demand::new(16, &weights(0), &[1.0; 4]);
    let mut log = Decisions::default();
    let form = Command::Form {
        group: name(),
        layout: layout.clone(),
        map: Arc::new(place(&layout, &demand).expect("layout fits")),
    };
    log.apply(&form, Time::ZERO);
    let holder = InstanceName::from("control-1");
    let coordinator = Coordinator::new(name(), holder, 1, SwitchPolicy::default());
    let planner = Planner::new(layout, PlanPolicy::default()).expect("layout fits");
    Harness {
        log,
        manager: Manager::new(name(), 1, coordinator, planner),
        declarations: Declarations::default(),
    }
}

impl Harness {
    /// Commits the manager's commands and those that result from the replies.
    fn commit(&mut self, mut actions: Vec<Action>, now: Time) {
        while let Some(action) = actions.pop() {
            if let Action::Submit(command) = action {
                let reply = self.log.apply(&command, now);
                actions.extend(self.manager.replied(reply, now));
            }
        }
    }

    /// Runs for `seconds` with expert `hot` as the most popular.
    fn run(&mut self, start: u64, seconds: u64, hot: usize) {
        for second in (start..start + seconds).step_by(10) {
            let now = Time::from_millis(second * 1_000);
            self.manager.observe_tokens(&TokenCounts {
                reporter: 0,
                sequence: second + 1,
                at: now,
                tokens: weights(hot).iter().map(|w| (w * 1000.0) as u32).collect(),
            });
            let budget = self.log.budget().clone();
            let limits = ManagerLimits {
                declarations: &self.declarations,
                budget: &budget,
                hourly: HOURLY,
            };
            let actions = self.manager.tick(now, &limits);
            self.commit(actions, now);
        }
    }
}

#[test]
fn change_of_popularity_is_charged_and_staged() {
    let mut harness = harness();
    harness.run(0, 20, 0);
    assert_eq!(harness.manager.coordinator().phase(), Phase::Idle);
    let mut second = 20;
    while harness.manager.coordinator().phase() == Phase::Idle && second < 1_200 {
        harness.run(second, 10, 9);
        second += 10;
    }
    let staged = Phase::Staging(MapId(2));
    assert_eq!(harness.manager.coordinator().phase(), staged);
    let now = Time::from_millis(second * 1_000);
    let Some(PlanNote::Proposed { bytes, .. }) = harness.manager.plan().cloned() else {
        panic!("{:?}", harness.manager.plan());
    };
    let left = harness.log.budget().allowance(&name(), HOURLY, now);
    assert!(bytes > 0 && left <= HOURLY - bytes + HOURLY / 360 + 1);
    let budget = harness.log.budget().clone();
    let status = harness.manager.status(&budget, now).expect("group read");
    assert_eq!((status.map, status.settled), (MapId(1), true));
    assert_eq!(status.phase, staged);
}

#[test]
fn paused_group_plans_nothing_and_abandons_the_staged_map() {
    let mut harness = harness();
    harness.run(0, 300, 0);
    harness.declarations.paused.push(name());
    harness.run(300, 600, 9);
    assert_eq!(harness.manager.coordinator().phase(), Phase::Idle);
    harness.declarations.paused.clear();
    harness.run(900, 60, 9);
    assert_eq!(
        harness.manager.coordinator().phase(),
        Phase::Staging(MapId(2))
    );
    harness.declarations.frozen = true;
    harness.run(960, 10, 9);
    assert_eq!(harness.manager.coordinator().phase(), Phase::Idle);
    let group = harness.log.group(&name()).expect("formed");
    assert_eq!((group.decided.id, &group.staged), (MapId(1), &None));
}
