//! The upstream of an agent, with its gate and its ledger of claims.

use std::collections::VecDeque;
use std::sync::Arc;

use pimentotide_instance::work::WorkOrder;
use pimentotide_model::{ErrorKind, Failure, Fingerprint, Incarnation, Revision, Time};
use pimentotide_outcome::{AgentLedger, Begin, Conclusion, LedgerEpoch, LedgerLimits, Outcome};
use pimentotide_routing::{Admission, Gate, GatePolicy, GateSettings, Permit as GatePermit};
use pimentotide_upstream::{CacheEvent, EngineState};
use tokio::sync::OnceCell;

use super::permit::Permit;

/// Maximum number of cache events kept for entries to request.
const MAX_EVENTS: usize = 4096;

/// Outcome of the admission of a request.
pub(super) enum AdmitOutcome {
    /// The request is forwarded.
    Admitted(Permit),
    /// The request ran before; its stored answer is sent.
    Replayed(Arc<Outcome>),
    /// The request did not run here, and will not.
    Refused(Failure),
    /// The request is running or may have run.
    Failed(Failure),
}

/// The upstream of the agent.
pub(super) struct Slot {
    pub(super) ledger: AgentLedger,
    pub(super) engine: EngineState,
    pub(super) gate: Gate,
    pub(super) revision: Revision,
    /// Incarnation under which the directory lists the current start of the upstream.
    pub(super) alias: Incarnation,
    pub(super) events: VecDeque<CacheEvent>,
    /// Latest suspected crash.
    pub(super) suspected: SuspectedCrash,
}

/// Crash of an upstream that a broken connection may indicate.
#[derive(Clone, Default)]
pub(super) struct SuspectedCrash {
    /// Incarnation that may have crashed.
    pub(super) incarnation: Incarnation,
    /// Initialized once the crash has been reported.
    pub(super) reported: Arc<OnceCell<()>>,
    /// Fingerprints of the requests that were running.
    pub(super) suspects: Vec<Fingerprint>,
}

impl Slot {
    /// Opens a slot for an upstream that has announced itself.
    pub(super) fn open(
        engine: EngineState,
        policy: GatePolicy,
        epoch: LedgerEpoch,
        now: Time,
    ) -> Self {
        let incarnation = Incarnation(engine.started);
        let revision = policy.revision;
        let settings = GateSettings {
            incarnation,
            capacity: engine.capacity,
            policy,
        };
        Self {
            ledger: AgentLedger::open(epoch, incarnation, LedgerLimits::default()),
            gate: Gate::open(settings, now),
            revision,
            alias: Incarnation::default(),
            events: engine.cache.iter().copied().collect(),
            suspected: SuspectedCrash::default(),
            engine,
        }
    }

    /// Applies an announcement of the upstream; a later start counts as a restart.
    pub(super) fn update(&mut self, mut engine: EngineState, now: Time) {
        let events = std::mem::take(&mut engine.cache);
        if engine.started > self.engine.started {
            let incarnation = Incarnation(engine.started);
            self.gate.restart(incarnation, now);
            self.ledger.upstream_crashed(now);
            self.ledger.upstream_started(incarnation);
            self.events.clear();
        }
        self.gate.observe_waiting(engine.waiting);
        self.events.extend(events);
        let excess = self.events.len().saturating_sub(MAX_EVENTS);
        self.events.drain(..excess);
        self.engine = engine;
    }
    /// Enters a claim into the ledger; returns `None` if the request is to run.
    pub(super) fn begin_claim(&mut self, order: &WorkOrder, now: Time) -> Option<AdmitOutcome> {
        if order.idempotent {
            return None;
        }
        let Some(held) = &order.claim else {
            let detail = "a request that is not idempotent needs a claim";
            return Some(AdmitOutcome::Refused(Failure::new(
                ErrorKind::InvalidRequest,
                detail,
            )));
        };
        match self.ledger.begin(held.claim, &held.place, now) {
            Begin::Run => None,
            Begin::NotRun(reason) => {
                let detail = format!("the claim is rejected here: {reason:?}");
                Some(AdmitOutcome::Refused(Failure::new(
                    ErrorKind::NoUpstream,
                    detail,
                )))
            }
            Begin::Running => Some(AdmitOutcome::Failed(already_running())),
            Begin::Finished(outcome) => Some(AdmitOutcome::Replayed(outcome)),
            Begin::Lost => {
                let detail = "the claim may have run here";
                Some(AdmitOutcome::Failed(Failure::new(
                    ErrorKind::OutcomeUnknown,
                    detail,
                )))
            }
        }
    }

    /// Records the conclusion of a claimed request.
    pub(super) fn finish_claim(&mut self, order: &WorkOrder, conclusion: Conclusion, now: Time) {
        if let Some(held) = &order.claim {
            self.ledger.finish(held.claim, conclusion, now);
        }
    }

    /// Admits a request for the current incarnation or its alias.
    pub(super) fn admit(&mut self, order: &WorkOrder, now: Time) -> Result<GatePermit, Failure> {
        let accepted = [Incarnation(self.engine.started), self.alias];
        if !accepted.contains(&order.incarnation) {
            return Err(Failure::new(
                ErrorKind::NoUpstream,
                "the upstream has restarted",
            ));
        }
        self.gate.admit(&admission(order), now).map_err(|refusal| {
            Failure::new(
                refusal.kind,
                format!("refused by the gate: {}", refusal.kind),
            )
        })
    }
}

/// Failure of a duplicate of a running request.
pub(super) fn already_running() -> Failure {
    Failure::new(
        ErrorKind::StillRunning,
        "the request is already running here",
    )
}

fn admission(order: &WorkOrder) -> Admission {
    Admission {
        entry: order.entry.clone(),
        request: order.id,
        service: order.service.clone(),
        workspace: order.workspace.clone(),
        priority: order.priority,
        remaining: order.remaining,
        revision: order.revision,
        credit: order.credit,
    }
}
