//! A group from drifted popularity to a proposed switch, and paused groups.

use std::sync::Arc;

use pimentotide_experts::{
    Action, Command, Coordinator, Decisions, Demand, Layout, Manager, ManagerLimits, MapId, Phase,
    PlanNote, PlanPolicy, Planner, SwitchPolicy, TokenCounts, place,
};
use pimentotide_model::{Declarations, GroupName, InstanceName, Time};

/// Bytes that may be moved in an hour.
const HOURLY: u64 = 64 << 30;

struct Site {
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

fn site() -> Site {
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
    Site {
        log,
        manager: Manager::new(name(), 1, coordinator, planner),
        declarations: Declarations::default(),
    }
}

impl Site {
    /// Commits what the manager submits, and what follows from the replies.
    fn commit(&mut self, mut actions: Vec<Action>, now: Time) {
        while let Some(action) = actions.pop() {
            if let Action::Submit(command) = action {
                let reply = self.log.apply(&command, now);
                actions.extend(self.manager.replied(reply, now));
            }
        }
    }

    /// Runs for `seconds` with expert `hot` the hottest.
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
fn drifted_popularity_is_paid_for_and_staged() {
    let mut site = site();
    site.run(0, 20, 0);
    assert_eq!(site.manager.coordinator().phase(), Phase::Idle);
    let mut second = 20;
    while site.manager.coordinator().phase() == Phase::Idle && second < 1_200 {
        site.run(second, 10, 9);
        second += 10;
    }
    let staged = Phase::Staging(MapId(2));
    assert_eq!(site.manager.coordinator().phase(), staged);
    let now = Time::from_millis(second * 1_000);
    let Some(PlanNote::Proposed { bytes, .. }) = site.manager.plan().cloned() else {
        panic!("{:?}", site.manager.plan());
    };
    let left = site.log.budget().allowance(&name(), HOURLY, now);
    assert!(bytes > 0 && left <= HOURLY - bytes + HOURLY / 360 + 1);
    let budget = site.log.budget().clone();
    let status = site.manager.status(&budget, now).expect("group read");
    assert_eq!((status.map, status.settled), (MapId(1), true));
    assert_eq!(status.phase, staged);
}

#[test]
fn pausing_plans_nothing_and_gives_up_what_is_staged() {
    let mut site = site();
    site.run(0, 300, 0);
    site.declarations.paused.push(name());
    site.run(300, 600, 9);
    assert_eq!(site.manager.coordinator().phase(), Phase::Idle);
    site.declarations.paused.clear();
    site.run(900, 60, 9);
    assert_eq!(site.manager.coordinator().phase(), Phase::Staging(MapId(2)));
    site.declarations.frozen = true;
    site.run(960, 10, 9);
    assert_eq!(site.manager.coordinator().phase(), Phase::Idle);
    let group = site.log.group(&name()).expect("formed");
    assert_eq!((group.decided.id, &group.staged), (MapId(1), &None));
}
