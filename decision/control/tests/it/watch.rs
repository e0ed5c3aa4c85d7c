//! Currency leases: revisions never decrease, and a holder with a valid lease is current.

use std::time::Duration;

use pimentotide_control::currency::{
    Confirmation, FenceGate, LEASE, RETRY_PAUSE, Rotation, Update, Watch, WatchAnswer,
    WatchOutcome, WatchRequest, grant, has_update,
};
use pimentotide_control::directory::Registry;
use pimentotide_control::{Document, Machine};
use pimentotide_model::{AdminState, ErrorKind, Fence, LeaseExpiryPolicy, Revision, Time};
use proptest::prelude::*;

use crate::common::{apply, declare, drafting, order, zone};

fn request(watch: &Watch) -> WatchRequest {
    WatchRequest {
        instance: "entry-1".into(),
        upstream: None,
        held: watch.held(),
        mark: None,
        directory: false,
        eager: false,
    }
}

fn ask(machine: &Machine, watch: &Watch, now: Time) -> Result<WatchAnswer, ErrorKind> {
    let registry = Registry::new(1, now);
    grant(
        machine,
        &registry,
        Confirmation { started: now },
        &request(watch),
        now,
    )
}

fn renew(machine: &Machine, watch: &mut Watch, now: Time) -> WatchOutcome {
    let answer = ask(machine, watch, now).unwrap();
    watch.receive(now, &answer)
}

fn change(machine: &mut Machine, count: u64) {
    for _ in 0..count {
        let next = machine.revision().0;
        let standing = if next.is_multiple_of(2) {
            AdminState::Out
        } else {
            AdminState::In
        };
        declare(
            machine,
            Time::ZERO,
            &order(&format!("o{next}"), None, zone("a", standing)),
        );
    }
}

fn with_policy(lapse: LeaseExpiryPolicy) -> Machine {
    let mut machine = Machine::default();
    let mut document: Document = drafting();
    document.profiles.get_mut("drafting").unwrap().lapse = lapse;
    declare(
        &mut machine,
        Time::ZERO,
        &order("a", None, apply(document, false)),
    );
    machine
}

#[test]
fn restart_after_a_thousand_changes_takes_one_exchange() {
    let mut machine = Machine::default();
    let mut watch = Watch::default();
    renew(&machine, &mut watch, Time::ZERO);
    change(&mut machine, 1_000);
    for mut follower in [Watch::default(), watch] {
        let answer = ask(&machine, &follower, Time::ZERO).unwrap();
        assert!(matches!(answer.update, Update::Whole(_)));
        assert_eq!(follower.receive(Time::ZERO, &answer), WatchOutcome::Changed);
        assert_eq!(follower.revision(), Revision(1_000));
    }
}

#[test]
fn few_changes_are_sent_as_changes() {
    let mut machine = Machine::default();
    let mut watch = Watch::default();
    renew(&machine, &mut watch, Time::ZERO);
    assert_eq!(
        renew(&machine, &mut watch, Time::ZERO),
        WatchOutcome::Renewed
    );
    change(&mut machine, 3);
    let registry = Registry::new(1, Time::ZERO);
    assert!(has_update(
        &machine,
        &registry,
        &request(&watch),
        Time::ZERO
    ));
    let answer = ask(&machine, &watch, Time::ZERO).unwrap();
    assert!(matches!(&answer.update, Update::Changes(changes) if changes.len() == 3));
    assert_eq!(watch.receive(Time::ZERO, &answer), WatchOutcome::Changed);
    assert!(!has_update(
        &machine,
        &registry,
        &request(&watch),
        Time::ZERO
    ));
}

#[test]
fn damaged_change_is_repaired_by_a_whole_update() {
    let mut machine = Machine::default();
    let mut watch = Watch::default();
    renew(&machine, &mut watch, Time::ZERO);
    change(&mut machine, 2);
    let mut answer = ask(&machine, &watch, Time::ZERO).unwrap();
    if let Update::Changes(changes) = &mut answer.update {
        changes[0].action = zone("b", AdminState::Out);
    }
    assert_eq!(watch.receive(Time::ZERO, &answer), WatchOutcome::Repair);
    assert_eq!(watch.revision(), Revision(0));
    assert_eq!(watch.held(), None);
    assert_eq!(
        renew(&machine, &mut watch, Time::ZERO),
        WatchOutcome::Changed
    );
    assert_eq!(watch.declarations(), Some(machine.declarations()));
}

#[test]
fn lease_counts_from_the_confirmation() {
    let machine = Machine::default();
    let now = Time::from_millis(10_000);
    let registry = Registry::new(1, now);
    let lease = |age: Duration| {
        let confirmation = Confirmation { started: now - age };
        let watch = Watch::default();
        grant(&machine, &registry, confirmation, &request(&watch), now).map(|a| a.lease)
    };
    assert_eq!(lease(Duration::from_secs(1)), Ok(Duration::from_secs(2)));
    assert_eq!(lease(LEASE), Err(ErrorKind::NotCurrent));
}

#[test]
fn replica_behind_the_holder_renews_no_lease() {
    let mut machine = Machine::default();
    let behind = machine.clone();
    change(&mut machine, 1);
    let mut watch = Watch::default();
    renew(&machine, &mut watch, Time::ZERO);
    assert_eq!(
        ask(&behind, &watch, Time::ZERO),
        Err(ErrorKind::StaleRevision)
    );
    let old = ask(&behind, &Watch::default(), Time::from_millis(500)).unwrap();
    assert_eq!(
        watch.receive(Time::from_millis(500), &old),
        WatchOutcome::Stale
    );
    assert_eq!(watch.revision(), Revision(1));
    assert_eq!(watch.expiry(), Time::ZERO + LEASE);
}

#[test]
fn expired_lease_refuses_or_serves_by_profile_policy() {
    let service = "draft".into();
    for (policy, expected) in [
        (LeaseExpiryPolicy::Refuse, Err(ErrorKind::NotCurrent)),
        (LeaseExpiryPolicy::Serve, Ok(())),
    ] {
        let mut machine = with_policy(policy);
        let mut watch = Watch::default();
        let admit = |watch: &Watch, now| watch.admit(&service, &"a".into(), &"u".into(), now);
        assert_eq!(admit(&watch, Time::ZERO), Err(ErrorKind::NotCurrent));
        renew(&machine, &mut watch, Time::ZERO);
        let last = Time::ZERO + LEASE - Duration::from_micros(1);
        assert_eq!(admit(&watch, last), Ok(()));
        assert_eq!(admit(&watch, Time::ZERO + LEASE), expected);
        declare(
            &mut machine,
            Time::ZERO,
            &order("b", None, zone("a", AdminState::Out)),
        );
        renew(&machine, &mut watch, Time::ZERO);
        assert_eq!(admit(&watch, Time::ZERO), Err(ErrorKind::OutOfService));
        assert_eq!(
            admit(&watch, Time::ZERO + LEASE),
            Err(ErrorKind::OutOfService)
        );
    }
}

#[test]
fn newer_revision_of_a_peer_marks_the_holder_as_behind() {
    let mut machine = Machine::default();
    let mut watch = Watch::default();
    change(&mut machine, 1);
    assert!(watch.observe_revision(Revision(1)));
    assert!(!watch.observe_revision(Revision(1)));
    assert!(watch.is_behind());
    renew(&machine, &mut watch, Time::ZERO);
    assert!(!watch.is_behind());
}

#[test]
fn next_replica_is_asked_at_once_until_all_have_failed() {
    let mut rotation = Rotation::new(3, 4);
    assert_eq!(rotation.position(), 1);
    let pauses = [
        rotation.fail(),
        rotation.fail(),
        rotation.fail(),
        rotation.fail(),
    ];
    assert_eq!(
        pauses,
        [Duration::ZERO, Duration::ZERO, RETRY_PAUSE, Duration::ZERO]
    );
    assert_eq!(rotation.position(), 2);
    rotation.succeed();
    assert_eq!(rotation.fail(), Duration::ZERO);
}

#[test]
fn restarted_agent_rejects_orders_until_it_receives_the_floor() {
    let mut gate = FenceGate::default();
    assert_eq!(gate.accept(Fence(9)), Err(ErrorKind::NotCurrent));
    gate.raise_floor(Fence(5));
    assert_eq!(gate.accept(Fence(4)), Err(ErrorKind::Fenced));
    assert_eq!(gate.accept(Fence(7)), Ok(()));
    gate.raise_floor(Fence(6));
    assert_eq!(gate.accept(Fence(6)), Err(ErrorKind::Fenced));
    assert_eq!(gate.accept(Fence(7)), Ok(()));
}

/// Step of a deployment of one holder and three replicas.
#[derive(Clone, Copy, Debug)]
enum Step {
    /// Commits an order.
    Commit,
    /// A replica applies everything committed.
    CatchUp(usize),
    /// A replica confirms with a quorum, if it has applied everything.
    Confirm(usize),
    /// The holder sends a request to a replica; the answer is then in flight.
    Ask(usize),
    /// An answer in flight arrives; if the flag is set, it stays in flight as a duplicate.
    Arrive(prop::sample::Index, bool),
    /// Advances the time by milliseconds.
    Pass(u64),
    /// The holder restarts with empty state.
    Restart,
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        3 => Just(Step::Commit),
        4 => (0..3_usize).prop_map(Step::CatchUp),
        4 => (0..3_usize).prop_map(Step::Confirm),
        6 => (0..3_usize).prop_map(Step::Ask),
        6 => (any::<prop::sample::Index>(), any::<bool>()).prop_map(|(i, k)| Step::Arrive(i, k)),
        4 => (1..1_500_u64).prop_map(Step::Pass),
        1 => Just(Step::Restart),
    ]
}

#[derive(Default)]
struct Deployment {
    now: Time,
    log: Machine,
    commits: Vec<Time>,
    replicas: [Machine; 3],
    confirmed: [Option<Confirmation>; 3],
    watch: Watch,
    in_flight: Vec<(Time, WatchAnswer)>,
}

impl Deployment {
    fn run(&mut self, step: Step) {
        match step {
            Step::Commit => {
                change(&mut self.log, 1);
                self.commits.push(self.now);
            }
            Step::CatchUp(i) => self.replicas[i] = self.log.clone(),
            Step::Confirm(i) if self.replicas[i] == self.log => {
                self.confirmed[i] = Some(Confirmation { started: self.now });
            }
            Step::Confirm(_) => {}
            Step::Ask(i) => self.ask(i),
            Step::Arrive(index, keep) if !self.in_flight.is_empty() => {
                let index = index.index(self.in_flight.len());
                let (sent, answer) = self.in_flight[index].clone();
                if !keep {
                    self.in_flight.remove(index);
                }
                self.watch.receive(sent, &answer);
            }
            Step::Arrive(..) => {}
            Step::Pass(millis) => self.now += Duration::from_millis(millis),
            Step::Restart => {
                self.watch = Watch::default();
                self.in_flight.clear();
            }
        }
    }

    fn ask(&mut self, replica: usize) {
        let Some(confirmation) = self.confirmed[replica] else {
            return;
        };
        let registry = Registry::new(1, self.now);
        let request = request(&self.watch);
        let machine = &self.replicas[replica];
        if let Ok(answer) = grant(machine, &registry, confirmation, &request, self.now) {
            self.in_flight.push((self.now, answer));
        }
    }

    /// Lowest revision that a holder with a valid lease must have.
    fn required(&self) -> Revision {
        let due = |at: &&Time| **at + LEASE <= self.now;
        Revision(self.commits.iter().filter(due).count() as u64)
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(256))]

    /// With lost, repeated and reordered answers, lagging replicas and restarts, the
    /// revision never decreases and a current holder has all orders older than a lease.
    #[test]
    fn current_holder_has_every_order_older_than_a_lease(
        steps in prop::collection::vec(step(), 1..120),
    ) {
        let mut deployment = Deployment::default();
        let mut revision = Revision(0);
        for step in steps {
            deployment.run(step);
            if matches!(step, Step::Restart) {
                revision = Revision(0);
            }
            let now = deployment.watch.revision();
            prop_assert!(now >= revision, "revision decreased from {} to {}", revision, now);
            revision = now;
            if deployment.watch.is_current(deployment.now) {
                prop_assert!(revision >= deployment.required());
            }
        }
    }
}
