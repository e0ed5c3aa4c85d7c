//! Sequences of faults within the stated losses.

use std::fmt;
use std::time::Duration;

use pimentotide_model::Time;

use super::{Cluster, DISK_RESTART};

/// Time for which a successor has to be up until the host that it replaces does not count, and a
/// host until its lost disk does not.
const CATCH_UP: Duration = Duration::from_secs(4);
/// Time within which a leader commits again after the last host is back.
const RECOVERY: Duration = Duration::from_secs(12);
/// Time within which exactly the hosts that are left vote.
const REPAIR: Duration = Duration::from_secs(20);
/// Longer than an election; shorter than the silence after which a voter is removed.
const FREEZE: Duration = Duration::from_millis(900);
const COMMIT_LIMIT: Duration = Duration::from_millis(50);

/// Host at which a fault strikes, by its role at that time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Target {
    Leader,
    /// The host that was added last.
    Newest,
    /// One of the others.
    Other(usize),
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Step {
    Add,
    /// The host ends for good.
    End(Target),
    LoseDisk(Target),
    /// A disk is lost, and all other hosts lose power at that moment.
    LoseDiskAndPower(Target),
    LosePower,
    Transfer,
    /// The host stands still for a moment.
    Freeze(Target),
    /// The process ends; its unsynced writes are lost.
    Restart(Target),
    Compact,
}

/// Steps, each with the time in milliseconds since the one before.
pub(crate) type Case = [(u64, Step)];

/// A cluster with the losses that count.
#[derive(Clone)]
struct Run {
    cluster: Cluster,
    loss: usize,
    newest: Option<usize>,
    /// Starts of the hosts that replace none yet.
    successors: Vec<Time>,
    /// Number of hosts that have ended without a successor.
    unreplaced: usize,
    /// Times until which a loss counts.
    counted: Vec<Time>,
    steps: Vec<(u64, Step)>,
}

/// Sequences that broke a rule.
#[derive(Default)]
pub(crate) struct Findings {
    pub(crate) cases: usize,
    /// Something acknowledged was lost, or two replicas led.
    pub(crate) unsafe_cases: Vec<(Vec<(u64, Step)>, String)>,
    /// No leader came back, or the membership was not repaired.
    pub(crate) stuck_cases: Vec<(Vec<(u64, Step)>, String)>,
}

impl Findings {
    /// Returns whether there were cases and none broke a rule.
    pub(crate) fn is_sound(&self) -> bool {
        self.cases > 0 && self.unsafe_cases.is_empty() && self.stuck_cases.is_empty()
    }
}

impl fmt::Display for Findings {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (lost, stuck) = (self.unsafe_cases.len(), self.stuck_cases.len());
        write!(f, "{} cases, {lost} unsafe, {stuck} stuck", self.cases)?;
        let all = self.unsafe_cases.iter().chain(&self.stuck_cases);
        let mut shown: Vec<_> = all.collect();
        shown.sort_by_key(|(steps, _)| {
            (steps.len(), steps.iter().map(|(wait, _)| wait).sum::<u64>())
        });
        for (steps, reason) in shown.iter().take(5) {
            write!(f, "\n{reason}: &{steps:?}")?;
        }
        Ok(())
    }
}

/// Returns the choices of one more step, or none after the last.
pub(crate) type Choices<'a> = &'a dyn Fn(&Case) -> Vec<(u64, Step)>;

/// Runs every sequence of `choices` within the losses.
pub(crate) fn search(loss: usize, choices: Choices<'_>) -> Findings {
    let mut findings = Findings::default();
    Run::new(loss).explore(choices, &mut findings);
    findings
}

/// Runs one sequence.
pub(crate) fn replay(loss: usize, case: &Case) -> Findings {
    let next = |steps: &Case| case.get(steps.len()).copied().into_iter().collect();
    search(loss, &next)
}

impl Run {
    fn new(loss: usize) -> Self {
        Self {
            cluster: Cluster::with_loss(loss),
            loss,
            newest: None,
            successors: Vec::new(),
            unreplaced: 0,
            counted: Vec::new(),
            steps: Vec::new(),
        }
    }

    fn explore(self, choices: Choices<'_>, findings: &mut Findings) {
        let next = choices(&self.steps);
        if next.is_empty() {
            findings.cases += 1;
            let steps = self.steps.clone();
            let (violation, result) = self.finish();
            if let Some(rule) = violation {
                findings.unsafe_cases.push((steps, rule));
            } else if let Err(reason) = result {
                findings.stuck_cases.push((steps, reason));
            }
            return;
        }
        for (wait, step) in next {
            let mut run = self.clone();
            if run.perform(wait, step) {
                run.explore(choices, findings);
            }
        }
    }

    /// Waits until the losses allow the step, then for `wait` milliseconds, and performs it.
    ///
    /// Returns false if the losses never do, or no host plays the role.
    fn perform(&mut self, wait: u64, step: Step) -> bool {
        self.steps.push((wait, step));
        let wait = Duration::from_millis(wait);
        let at = self.cluster.time + wait;
        let counts = match step {
            Step::End(_) => self.successors.first().is_none_or(|s| at < *s + CATCH_UP),
            Step::LoseDisk(_) | Step::LoseDiskAndPower(_) => true,
            _ => false,
        };
        if counts && !self.wait_for_losses() {
            return false;
        }
        self.cluster.run(wait);
        if !self.strikes_with_the_last(wait) {
            // What is acknowledged right before a fault must outlast it.
            self.cluster.commit(COMMIT_LIMIT);
        }
        self.strike(step).is_some()
    }

    /// Whether this step and the one before are faults of the same moment.
    fn strikes_with_the_last(&self, wait: Duration) -> bool {
        let [.., (_, before), _] = &self.steps[..] else {
            return false;
        };
        wait.is_zero() && matches!(before, Step::LoseDisk(_))
    }

    /// Runs until one more loss may strike; returns false if none may before a host is added.
    fn wait_for_losses(&mut self) -> bool {
        if self.unreplaced >= self.loss {
            return false;
        }
        let free = self.loss - self.unreplaced;
        self.counted.retain(|t| *t > self.cluster.time);
        self.counted.sort_unstable();
        if self.counted.len() >= free {
            let next = self.counted[self.counted.len() - free];
            self.cluster.run(next.since(self.cluster.time));
        }
        true
    }

    /// Performs the step; returns `None` if no host plays the role.
    fn strike(&mut self, step: Step) -> Option<()> {
        let cluster = &mut self.cluster;
        let now = cluster.time;
        match step {
            Step::Add => {
                self.newest = Some(cluster.add());
                if self.unreplaced > 0 {
                    self.unreplaced -= 1;
                    self.counted.push(now + CATCH_UP);
                } else {
                    self.successors.push(now);
                }
            }
            Step::End(target) => {
                let host = self.host(target)?;
                self.cluster.end(host);
                if self.successors.is_empty() {
                    self.unreplaced += 1;
                } else {
                    self.counted.push(self.successors.remove(0) + CATCH_UP);
                }
            }
            Step::LoseDisk(target) | Step::LoseDiskAndPower(target) => {
                let host = self.host(target)?;
                self.cluster.lose_disk(host);
                self.counted.push(now + DISK_RESTART + CATCH_UP);
                if matches!(step, Step::LoseDiskAndPower(_)) {
                    self.cluster.lose_power();
                }
            }
            Step::LosePower => cluster.lose_power(),
            Step::Transfer => {
                let leader = self.host(Target::Leader)?;
                let event = pimentotide_consensus::Event::Transfer;
                self.cluster.deliver_event(leader, event);
            }
            Step::Freeze(target) => {
                let host = self.host(target)?;
                self.cluster.freeze(host, FREEZE);
            }
            Step::Restart(target) => {
                let host = self.host(target)?;
                self.cluster.kill(host);
            }
            Step::Compact => cluster.compact(),
        }
        Some(())
    }

    fn host(&self, target: Target) -> Option<usize> {
        let up = |n: &usize| self.cluster.node(*n).is_some();
        let leader = self.cluster.last_leader().filter(up);
        match target {
            Target::Leader => leader,
            Target::Newest => self.newest.filter(|n| up(n) && leader != Some(*n)),
            Target::Other(number) => (0..self.cluster.hosts.len())
                .filter(|n| up(n) && leader != Some(*n) && self.newest != Some(*n))
                .nth(number),
        }
    }

    /// Returns the first safety rule that was broken, and whether the cluster recovered.
    fn finish(mut self) -> (Option<String>, Result<(), String>) {
        let result = self.recover();
        (self.cluster.check.violation.take(), result)
    }

    fn recover(&mut self) -> Result<(), String> {
        let cluster = &mut self.cluster;
        let back_at = cluster.back_at.max(cluster.time);
        while !cluster.commit(Duration::from_millis(500)) {
            if cluster.time >= back_at + RECOVERY {
                return Err("no leader commits".to_owned());
            }
        }
        while !(cluster.is_repaired() && cluster.agrees()) {
            if cluster.time >= back_at + REPAIR {
                return Err("not all hosts vote alone".to_owned());
            }
            cluster.run(Duration::from_millis(100));
        }
        Ok(())
    }
}
