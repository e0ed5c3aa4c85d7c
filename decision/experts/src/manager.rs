//! Manager of one group: plans better maps, charges their cost and switches.
//!
//! The manager combines planner and coordinator on the instance that coordinates
//! a group. A plan is charged to the group's bucket before it is proposed. While
//! operators have paused the group, no plan is made, and a staged map that is not
//! decided yet is abandoned.

use std::time::Duration;

use pimentotide_model::{Declarations, GroupName, OrderId, Time};

use crate::{
    Action, Budget, Command, Conditions, Coordinator, GroupStatus, ManagerNotes, Message, Phase,
    Plan, PlanCost, PlanNote, Planner, Refusal, Reply, StepSample, TokenCounts, Verdict,
};

/// Interval between two evaluations of the current map.
const EVALUATION_INTERVAL: Duration = Duration::from_secs(10);

/// Limits that apply to a group at one tick.
#[derive(Clone, Copy, Debug)]
pub struct ManagerLimits<'a> {
    /// Current declarations.
    pub declarations: &'a Declarations,
    /// Budget as applied by this replica.
    pub budget: &'a Budget,
    /// Bytes that rebalancing may move per hour.
    pub hourly: u64,
}

/// Manager of one group.
#[derive(Clone, Debug)]
pub struct Manager {
    name: GroupName,
    nonce: u64,
    coordinator: Coordinator,
    planner: Planner,
    /// Plan whose cost is submitted to the log, but not charged yet.
    pending: Option<(PlanCost, Plan)>,
    /// Number of plans since the start; distinguishes their identifiers.
    plans: u64,
    notes: ManagerNotes,
    hourly: u64,
}

impl Manager {
    /// Combines a coordinator and a planner of the group `name`.
    ///
    /// `nonce` differs at each start, like that of the coordinator.
    pub fn new(name: GroupName, nonce: u64, coordinator: Coordinator, planner: Planner) -> Self {
        Self {
            name,
            nonce,
            coordinator,
            planner,
            pending: None,
            plans: 0,
            notes: ManagerNotes::default(),
            hourly: 0,
        }
    }

    /// Coordinator of the group's switches.
    pub fn coordinator(&self) -> &Coordinator {
        &self.coordinator
    }

    /// Outcome of the last evaluation, for the log line of the decision.
    pub fn plan(&self) -> Option<&PlanNote> {
        self.notes.plan.as_ref()
    }

    /// Records token counts; false if they were not used.
    pub fn observe_tokens(&mut self, counts: &TokenCounts) -> bool {
        self.planner.observe_tokens(counts)
    }

    /// Records a step time; false if it was not used.
    pub fn observe_step(&mut self, sample: &StepSample) -> bool {
        self.planner.observe_step(sample)
    }

    /// Resends unanswered messages and commands, and evaluates the current map when due.
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
            .evaluated_at
            .is_none_or(|at| now.since(at) >= EVALUATION_INTERVAL)
        {
            self.evaluate(now);
        }
        actions.extend(self.submit_spend());
        actions
    }

    /// Receives a message; only a rank's status is used.
    pub fn receive(&mut self, message: Message, now: Time) -> Vec<Action> {
        if let Message::Status(status) = &message {
            let previous = self.coordinator.ranks().get(usize::from(status.rank));
            let previous = previous.and_then(|s| s.as_ref()).map(|s| s.incarnation);
            if previous.is_some_and(|p| p < status.incarnation) {
                self.planner.reset_rank(status.rank);
            }
        }
        self.coordinator.receive(message, now)
    }

    /// Receives the reply of the log to a command of this manager.
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

    /// Status for operators; `None` until the coordinator has read the group.
    pub fn status(&mut self, budget: &Budget, now: Time) -> Option<GroupStatus> {
        let notes = self.notes.clone();
        let (name, coordinator) = (&self.name, &self.coordinator);
        GroupStatus::collect(name, coordinator, &mut self.planner, budget, notes, now)
    }

    fn evaluate(&mut self, now: Time) {
        let Some(group) = self.coordinator.group() else {
            return;
        };
        // The outcome of the plan in flight is kept until its switch has ended.
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
        self.notes.evaluated_at = Some(now);
        if let Verdict::Propose(plan) = verdict {
            self.plans += 1;
            let cost = PlanCost {
                id: OrderId::from(format!("{}-{}-{}", self.name, self.nonce, self.plans)),
                bytes: plan.bytes,
            };
            self.pending = Some((cost, *plan));
        }
    }

    fn submit_spend(&self) -> Option<Action> {
        let (cost, _) = self.pending.as_ref()?;
        Some(Action::Submit(Command::Spend {
            group: self.name.clone(),
            hourly: self.hourly,
            plan: cost.clone(),
        }))
    }

    fn propose(&mut self, id: &OrderId, now: Time) -> Vec<Action> {
        let Some((_, plan)) = self.pending.take_if(|(cost, _)| cost.id == *id) else {
            return Vec::new();
        };
        self.coordinator.propose(plan.map, now).1
    }
}
