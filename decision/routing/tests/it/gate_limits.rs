//! Property tests: a gate never runs more requests than the allowance, the ramp
//! and the completions since the start permit, under any sequence of requests,
//! credits, entry crashes, restarts and signals.

use std::time::Duration;

use pimentotide_model::{Incarnation, InstanceName, Time};
use pimentotide_routing::{Completed, CreditId, Gate, HealthSignal, Outcome, Permit};
use proptest::prelude::*;

use crate::fixture::{admission, at, demand, gate, good};

const LIMIT: u32 = 8;
const INITIAL: u32 = 1;
const COMPLETIONS: u32 = 2;
const MIN_WARMUP: Duration = Duration::from_secs(2);

#[derive(Clone, Debug)]
enum Step {
    Wait(u64),
    Send { entry: usize, credit: bool },
    Demand { entry: usize, count: u32 },
    Complete { which: usize, outcome: usize },
    Crash(usize),
    Restart,
    Signal(usize),
    Tick,
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        3 => (1_u64..400).prop_map(Step::Wait),
        8 => (0_usize..9, any::<bool>()).prop_map(|(entry, credit)| Step::Send { entry, credit }),
        4 => (0_usize..9, 0_u32..6).prop_map(|(entry, count)| Step::Demand { entry, count }),
        8 => (any::<usize>(), 0_usize..20)
            .prop_map(|(which, outcome)| Step::Complete { which, outcome }),
        1 => (0_usize..9).prop_map(Step::Crash),
        1 => Just(Step::Restart),
        1 => (0_usize..6).prop_map(Step::Signal),
        2 => Just(Step::Tick),
    ]
}

/// Reference model, independent of the gate's own counters.
struct Model {
    gate: Gate,
    now: Time,
    permits: Vec<Permit>,
    credits: Vec<(usize, CreditId)>,
    incarnation: Incarnation,
    started: Time,
    good: u32,
}

impl Model {
    fn new() -> Self {
        Self {
            gate: gate(),
            now: at(0),
            permits: Vec::new(),
            credits: Vec::new(),
            incarnation: Incarnation(1),
            started: at(0),
            good: 0,
        }
    }

    /// Returns the bound on running requests by the time and completions since the start.
    fn bound(&self) -> u32 {
        let part = self.now.since(self.started).as_secs_f64() / MIN_WARMUP.as_secs_f64();
        let ramp = INITIAL + (f64::from(LIMIT - INITIAL) * part.min(1.0)) as u32;
        ramp.min(INITIAL + self.good / COMPLETIONS)
    }

    fn run(&mut self, step: &Step) -> Result<(), TestCaseError> {
        match *step {
            Step::Wait(millis) => self.now += Duration::from_millis(millis),
            Step::Send { entry, credit } => self.send(entry, credit)?,
            Step::Demand { entry, count } => {
                let remaining = Duration::from_secs(5);
                let demand = vec![demand(&format!("w{}", entry % 4), remaining, count)];
                let grants = self.gate.demand(&name(entry), demand, self.now);
                self.store_credits(grants);
            }
            Step::Complete { which, outcome } => self.complete(which, outcome),
            Step::Crash(entry) => {
                self.credits.retain(|(e, _)| *e != entry);
                let grants = self.gate.remove_entry(&name(entry), self.now);
                self.store_credits(grants);
            }
            Step::Restart => {
                self.incarnation = self.incarnation.next();
                self.gate.restart(self.incarnation, self.now);
                self.started = self.now;
                self.good = 0;
            }
            Step::Signal(kind) => self.signal(kind),
            Step::Tick => {
                let grants = self.gate.tick(self.now);
                self.store_credits(grants);
            }
        }
        prop_assert_eq!(self.gate.running() as usize, self.permits.len());
        Ok(())
    }

    fn send(&mut self, entry: usize, credit: bool) -> Result<(), TestCaseError> {
        let mut request = admission(&format!("e{entry}"), &format!("w{}", entry % 4));
        let held = self.credits.iter().position(|(e, _)| *e == entry);
        if let Some(index) = held.filter(|_| credit) {
            request.credit = Some(self.credits.swap_remove(index).1);
        }
        if let Ok(permit) = self.gate.admit(&request, self.now) {
            self.permits.push(permit);
            let running = self.permits.len() as u32;
            prop_assert!(running <= self.gate.allowance(), "over the allowance");
            prop_assert!(running <= self.bound(), "{running} over {}", self.bound());
        }
        Ok(())
    }

    fn complete(&mut self, which: usize, outcome: usize) {
        if self.permits.is_empty() {
            return;
        }
        let permit = self.permits.swap_remove(which % self.permits.len());
        let outcome = match outcome {
            0 => Outcome::Failed,
            1 => Outcome::Cancelled,
            2 => Outcome::Overloaded,
            3 => Outcome::Cold,
            _ => Outcome::Good,
        };
        let current = permit.incarnation() == self.incarnation;
        if current && outcome == Outcome::Good {
            self.good += 1;
        }
        if current && outcome == Outcome::Cold {
            self.started = self.now;
            self.good = 0;
        }
        let done = Completed { outcome, ..good() };
        let grants = self.gate.complete(permit, done, self.now);
        self.store_credits(grants);
    }

    fn signal(&mut self, kind: usize) {
        let signal = match kind {
            0 => HealthSignal::Cold,
            1..=3 => HealthSignal::Failure,
            _ => HealthSignal::Overload,
        };
        if signal == HealthSignal::Cold {
            self.started = self.now;
            self.good = 0;
        }
        self.gate.observe(signal, self.now);
    }

    fn store_credits(&mut self, grants: Vec<pimentotide_routing::Grant>) {
        for grant in grants {
            let entry = grant.entry.as_str()[1..].parse().unwrap_or(0);
            self.credits.push((entry, grant.credit));
        }
    }
}

fn name(entry: usize) -> InstanceName {
    InstanceName::from(format!("e{entry}"))
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(400))]

    #[test]
    fn running_never_exceeds_the_allowance(steps in prop::collection::vec(step(), 1..300)) {
        let mut model = Model::new();
        for step in steps {
            model.run(&step)?;
        }
    }

    #[test]
    fn slots_of_silent_entries_are_freed(counts in prop::collection::vec(1_u32..9, 9)) {
        let mut model = Model::new();
        crate::fixture::warm(&mut model.gate);
        model.now = at(60_000);
        for (entry, count) in counts.into_iter().enumerate() {
            model.run(&Step::Demand { entry, count })?;
        }
        prop_assert!(model.gate.admit(&admission("e0", "w"), model.now).is_err());
        model.now += Duration::from_secs(2);
        model.gate.tick(model.now);
        for _ in 0..LIMIT {
            let permit = model.gate.admit(&admission("e0", "w"), model.now);
            prop_assert!(permit.is_ok());
        }
    }
}
