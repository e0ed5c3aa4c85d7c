//! Sequences of faults within the stated losses.

use std::fmt;
use std::ops::Range;
use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::losses::Losses;
use super::{Cluster, Disorder};

/// Time within which a leader commits again after the last host is back.
const RECOVERY: Duration = Duration::from_secs(12);
/// Time within which exactly the hosts that are left vote.
const REPAIR: Duration = Duration::from_secs(20);
/// Longer than an election; shorter than the silence after which a voter is removed.
const FREEZE: Duration = Duration::from_millis(900);
/// Longer than several elections.
const CUT: Duration = Duration::from_secs(3);
/// Longer than the silence after which some voters act by a grant.
const LONG_FREEZE: Duration = Duration::from_secs(5);
/// Time after which a host that has lost its disk is back.
pub(crate) const DISK_RESTART: Duration = Duration::from_secs(1);
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
    /// The host is stopped for good.
    Stop(Target),
    LoseDisk(Target),
    /// A disk is lost, and all other hosts lose power at that moment.
    LoseDiskAndPower(Target),
    LosePower,
    Transfer,
    /// The host stands still for a moment.
    Freeze(Target),
    /// The leader and half of the others are cut off from the rest for a moment.
    Cut,
    /// The process ends; its unsynced writes are lost.
    Restart(Target),
    Compact,
    /// The leader and half of the others, or the rest, stand still for a while.
    FreezeHalf {
        leader: bool,
    },
    /// All arbiters restart and lose what they granted.
    RestartArbiters,
    /// All arbiters end for good.
    EndArbiters,
    /// All hosts and all arbiters lose power.
    LosePowerEverywhere,
    /// A disk is lost, and all other hosts and all arbiters lose power at that moment.
    LoseDiskAndPowerEverywhere(Target),
}

/// Hosts that end for good in random sequences.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Ends {
    /// Those that are replaced, without notice.
    Replaced,
    /// Those that are replaced, and others as losses, without notice.
    Any,
    /// Those that are replaced are stopped; others end without notice, as losses, and are replaced after that.
    Stopped,
}

/// Steps, each with the time in milliseconds since the one before.
pub(crate) type Case = [(u64, Step)];

/// A cluster with the losses that count.
#[derive(Clone)]
struct Run {
    cluster: Cluster,
    losses: Losses,
    ends: Ends,
    newest: Option<usize>,
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

/// Runs random sequences within the losses, on a network and disks that are disturbed until their end.
///
pub(crate) fn wander(loss: usize, seeds: Range<u64>, disorder: Disorder, ends: Ends) -> Findings {
    let mut findings = Findings::default();
    let mut start = Run::new(loss);
    start.ends = ends;
    for seed in seeds {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut run = start.clone();
        run.cluster.disturb(seed, disorder);
        for _ in 0..rng.random_range(3..10) {
            let (wait, step) = run.random_step(&mut rng);
            if !run.perform(wait, step) {
                run.steps.pop();
            }
        }
        while run.losses.lacks_successor() {
            run.perform(100, Step::Add);
        }
        run.cluster.calm();
        run.conclude(&format!("seed {seed}: "), &mut findings);
    }
    findings
}

impl Run {
    fn new(loss: usize) -> Self {
        Self {
            cluster: Cluster::with_loss(loss),
            losses: Losses::new(loss),
            ends: Ends::Any,
            newest: None,
            steps: Vec::new(),
        }
    }

    fn explore(self, choices: Choices<'_>, findings: &mut Findings) {
        let next = choices(&self.steps);
        if next.is_empty() {
            self.conclude("", findings);
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
            Step::End(target) | Step::Stop(target) => self.losses.end_counts(self.host(target), at),
            Step::LoseDisk(_) | Step::LoseDiskAndPower(_) | Step::LoseDiskAndPowerEverywhere(_) => {
                true
            }
            _ => false,
        };
        let now = self.cluster.time;
        let free_at = if counts {
            self.losses.free_at(now)
        } else {
            Some(now)
        };
        let Some(free_at) = free_at else {
            return false;
        };
        self.cluster.run(free_at.since(now) + wait);
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

    /// Performs the step; returns `None` if no host plays the role.
    fn strike(&mut self, step: Step) -> Option<()> {
        let cluster = &mut self.cluster;
        let now = cluster.time;
        match step {
            Step::Add => {
                let host = cluster.add();
                self.newest = Some(host);
                self.losses.add(host, now);
            }
            Step::End(target) => {
                let host = self.host(target)?;
                // The role may have passed to another host.
                let free = self.losses.free_at(now) == Some(now) && self.ends != Ends::Replaced;
                let counts = self.losses.end_counts(Some(host), now);
                // A host that ends without notice while its successor is up may stop counting at once. No
                // rule tells that from a cut: see the design note.
                let unnoticed = self.ends == Ends::Stopped && self.losses.has_spare();
                if counts && (!free || unnoticed) {
                    return None;
                }
                if self.ends == Ends::Stopped && !counts {
                    self.cluster.stop(host);
                } else {
                    self.cluster.end(host);
                }
                self.losses.end(host, now);
            }
            Step::Stop(target) => {
                let host = self.host(target)?;
                if self.losses.end_counts(Some(host), now) {
                    return None;
                }
                self.cluster.stop(host);
                self.losses.end(host, now);
            }
            Step::LoseDisk(target)
            | Step::LoseDiskAndPower(target)
            | Step::LoseDiskAndPowerEverywhere(target) => {
                let host = self.host(target)?;
                self.cluster.lose_disk(host, DISK_RESTART);
                self.losses.lose_disk(host, now, now + DISK_RESTART);
                if !matches!(step, Step::LoseDisk(_)) {
                    self.cluster.lose_power();
                }
                if matches!(step, Step::LoseDiskAndPowerEverywhere(_)) {
                    self.cluster.restart_arbiters();
                }
            }
            Step::LosePower => cluster.lose_power(),
            Step::LosePowerEverywhere => {
                cluster.lose_power();
                cluster.restart_arbiters();
            }
            Step::RestartArbiters => cluster.restart_arbiters(),
            Step::EndArbiters => cluster.end_arbiters(),
            Step::Transfer => {
                let leader = self.host(Target::Leader)?;
                let event = pimentotide_consensus::Event::Transfer;
                self.cluster.deliver_event(leader, event);
            }
            Step::Freeze(target) => {
                let host = self.host(target)?;
                self.cluster.freeze(host, FREEZE);
            }
            Step::Cut => {
                let half = self.halves()?.0;
                self.cluster.cut(half.into_iter().collect(), CUT);
            }
            Step::FreezeHalf { leader } => {
                let (with_leader, others) = self.halves()?;
                for host in if leader { with_leader } else { others } {
                    self.cluster.freeze(host, LONG_FREEZE);
                }
            }
            Step::Restart(target) => {
                let host = self.host(target)?;
                self.cluster.kill(host);
            }
            Step::Compact => cluster.compact(),
        }
        Some(())
    }

    /// Returns the leader with half of the others, and the rest.
    fn halves(&self) -> Option<(Vec<usize>, Vec<usize>)> {
        let leader = self.host(Target::Leader)?;
        let up = |n: &usize| *n != leader && self.cluster.node(*n).is_some();
        let others: Vec<_> = (0..self.cluster.hosts.len()).filter(up).collect();
        let (half, rest) = others.split_at(others.len() / 2);
        Some(([half, &[leader]].concat(), rest.to_vec()))
    }

    fn host(&self, target: Target) -> Option<usize> {
        // A host that is stopped counts as ended.
        let up = |n: &usize| {
            self.cluster.node(*n).is_some() && self.cluster.hosts[*n].stops_at.is_none()
        };
        let leader = self.cluster.last_leader().filter(up);
        match target {
            Target::Leader => leader,
            Target::Newest => self.newest.filter(|n| up(n) && leader != Some(*n)),
            Target::Other(number) => (0..self.cluster.hosts.len())
                .filter(|n| up(n) && leader != Some(*n) && self.newest != Some(*n))
                .nth(number),
        }
    }

    fn random_step(&self, rng: &mut ChaCha8Rng) -> (u64, Step) {
        let max_wait = [20, 500, 5_000][rng.random_range(0..3)];
        let wait = rng.random_range(0..max_wait);
        let target = match rng.random_range(0..5) {
            0 | 1 => Target::Leader,
            2 => Target::Newest,
            other => Target::Other(other - 3),
        };
        let step = match rng.random_range(0..12) {
            // Two replacements at once have tests of their own.
            0..3 if !self.losses.has_spare() => Step::Add,
            0..5 => Step::End(target),
            5 | 6 => Step::LoseDisk(target),
            7 => Step::LoseDiskAndPower(target),
            8 => Step::LosePower,
            9 => Step::Freeze(target),
            10 => Step::Transfer,
            _ => Step::Compact,
        };
        (wait, step)
    }

    /// Lets the cluster recover, and records what rule was broken.
    fn conclude(mut self, prefix: &str, findings: &mut Findings) {
        findings.cases += 1;
        let result = self.cluster.recover();
        if let Some(rule) = self.cluster.check.violation.take() {
            let finding = (self.steps, format!("{prefix}{rule}"));
            findings.unsafe_cases.push(finding);
        } else if let Err(reason) = result {
            let finding = (self.steps, format!("{prefix}{reason}"));
            findings.stuck_cases.push(finding);
        }
    }
}

impl Cluster {
    /// Runs until a leader commits and exactly the hosts that are left vote; fails if it takes too long.
    pub(crate) fn recover(&mut self) -> Result<(), String> {
        let back_at = self.back_at.max(self.time);
        while !self.commit(Duration::from_millis(500)) {
            if self.time >= back_at + RECOVERY {
                return Err("no leader commits".to_owned());
            }
        }
        while !(self.is_repaired() && self.agrees()) {
            if self.time >= back_at + REPAIR {
                return Err("not all hosts vote alone".to_owned());
            }
            self.run(Duration::from_millis(100));
        }
        Ok(())
    }
}
