//! Manager of one group: looks for better maps, pays for them and switches.
//!
//! The manager joins planner and coordinator for the instance that coordinates
//! a group. A plan is paid for out of the group's bucket before it is proposed.
//! While operators have paused the group nothing is planned, and a map that is
//! not decided yet is given up.

use std::time::Duration;

use pimentotide_model::{Declarations, GroupName, OrderId, Time};

use crate::{
    Action, Budget, Command, Conditions, Coordinator, GroupNotes, GroupStatus, Message, Phase,
    Plan, PlanCost, PlanNote, Planner, Refusal, Reply, StepSample, TokenCounts, Verdict,
};

/// Time between two looks for a better map.
const LOOK_PERIOD: Duration = Duration::from_secs(10);

/// What holds for a group at one tick.
#[derive(Clone, Copy, Debug)]
pub struct ManagerLimits<'a> {
    /// Declarations in force.
    pub declarations: &'a Declarations,
    /// Budget as this replica knows it.
    pub budget: &'a Budget,
    /// Bytes that rebalancing may move in an hour.
    pub hourly: u64,
}

/// Manager of one group.
#[derive(Clone, Debug)]
pub struct Manager {
    name: GroupName,
    nonce: u64,
    coordinator: Coordinator,
    planner: Planner,
    pending: Option<(PlanCost, Plan)>,
    plans: u64,
    notes: GroupNotes,
    hourly: u64,
}

impl Manager {
    /// Joins a coordinator and a planner of the group `name`.
    ///
    /// `nonce` differs at each start, as that of the coordinator does.
    pub fn new(name: GroupName, nonce: u64, coordinator: Coordinator, planner: Planner) -> Self {
        Self {
            name,
            nonce,
            coordinator,
            planner,
            pending: None,
            plans: 0,
            notes: GroupNotes::default(),
            hourly: 0,
        }
    }

    /// Coordinator of the group.
    pub fn coordinator(&self) -> &Coordinator {
        &self.coordinator
    }

    /// Outcome of the last look, for the log line of the decision.
    pub fn plan(&self) -> Option<&PlanNote> {
        self.notes.plan.as_ref()
    }

    /// Takes in token counts; false if they were not used.
    pub fn observe_tokens(&mut self, counts: &TokenCounts) -> bool {
        self.planner.observe_tokens(counts)
    }

    /// Takes in a step time; false if it was not used.
    pub fn observe_step(&mut self, sample: &StepSample) -> bool {
        self.planner.observe_step(sample)
    }

    /// Sends again what has not been answered, and looks for a better map when due.
    pub fn tick(&mut self, now: Time, limits: &ManagerLimits<'_>) -> Vec<Action> {
        let paused = limits.declarations.frozen || limits.declarations.paused.contains(&self.name);
        self.hourly = limits.hourly;
        self.notes.paused = paused;
        self.notes.allowance = limits.budget.allowance(&self.name, limits.hourly, now);
        let mut actions = self.coordinator.tick(now);
        if paused {
            self.pending = None;
            actions.extend(self.coordinator.withdraw(now));
        }
        if self
            .notes
            .looked
            .is_none_or(|at| now.since(at) >= LOOK_PERIOD)
        {
            self.look(now);
        }
        actions.extend(self.pay());
        actions
    }

    /// Takes in a rank's status.
    pub fn receive(&mut self, message: Message, now: Time) -> Vec<Action> {
        if let Message::Status(status) = &message {
            let known = self.coordinator.ranks().get(usize::from(status.rank));
            let known = known.and_then(|s| s.as_ref()).map(|s| s.incarnation);
            if known.is_some_and(|start| start < status.incarnation) {
                self.planner.reset_rank(status.rank);
            }
        }
        self.coordinator.receive(message, now)
    }

    /// Takes in the reply of the log to a command of this manager.
    pub fn replied(&mut self, reply: Reply, now: Time) -> Vec<Action> {
        match reply {
            Reply::Paid(id) => self.propose(&id, now),
            Reply::Refused(Refusal::Budget) => {
                self.pending = None;
                Vec::new()
            }
            other => self.coordinator.replied(other, now),
        }
    }

    /// What operators see; none before the coordinator has read the group.
    pub fn status(&mut self, budget: &Budget, now: Time) -> Option<GroupStatus> {
        let notes = self.notes.clone();
        let (name, coordinator) = (&self.name, &self.coordinator);
        GroupStatus::gather(name, coordinator, &mut self.planner, budget, notes, now)
    }

    fn look(&mut self, now: Time) {
        let Some(group) = self.coordinator.group() else {
            return;
        };
        // The note on the plan in flight stays until its switch has ended.
        if self.coordinator.phase() != Phase::Idle || self.pending.is_some() {
            return;
        }
        let conditions = Conditions {
            paused: self.notes.paused,
            switching: false,
            allowance: self.notes.allowance,
        };
        let verdict = self.planner.evaluate(now, &group.decided.map, conditions);
        self.notes.plan = Some(PlanNote::of(&verdict));
        self.notes.looked = Some(now);
        if let Verdict::Propose(plan) = verdict {
            self.plans += 1;
            let cost = PlanCost {
                id: OrderId::from(format!("{}-{}-{}", self.name, self.nonce, self.plans)),
                bytes: plan.bytes,
            };
            self.pending = Some((cost, *plan));
        }
    }

    fn pay(&self) -> Option<Action> {
        let (cost, _) = self.pending.as_ref()?;
        Some(Action::Submit(Command::Spend {
            group: self.name.clone(),
            hourly: self.hourly,
            plan: cost.clone(),
        }))
    }

    fn propose(&mut self, paid: &OrderId, now: Time) -> Vec<Action> {
        let Some((_, plan)) = self.pending.take_if(|(cost, _)| cost.id == *paid) else {
            return Vec::new();
        };
        self.coordinator.propose(plan.map, now).1
    }
}
