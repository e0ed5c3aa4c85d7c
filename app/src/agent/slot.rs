//! The upstream in an agent's slot, with its gate and its ledger of claims.

use std::collections::VecDeque;
use std::sync::Arc;

use pimentotide_instance::work::WorkOrder;
use pimentotide_model::{ErrorKind, Failure, Fingerprint, Incarnation, Revision, Time};
use pimentotide_outcome::{AgentLedger, Begin, Conclusion, LedgerEpoch, LedgerLimits, Outcome};
use pimentotide_routing::{Admission, Gate, GatePolicy, GateSettings, Permit as GatePermit};
use pimentotide_upstream::{CacheEvent, EngineState};
use tokio::sync::OnceCell;

use super::permit::Permit;

/// Cache events kept for entries that have not asked for them yet.
const MAX_EVENTS: usize = 4096;

/// What becomes of a request that arrives.
pub(super) enum Arrival {
    /// It is passed on.
    Admitted(Permit),
    /// It ran before; its answer is given again.
    Ran(Arc<Outcome>),
    /// It did not run, and will not.
    Refused(Failure),
    /// It may have run.
    Failed(Failure),
}

/// The upstream in the agent's slot.
pub(super) struct Slot {
    pub(super) ledger: AgentLedger,
    pub(super) engine: EngineState,
    pub(super) gate: Gate,
    pub(super) revision: Revision,
    /// Incarnation under which the directory knows this start of the upstream.
    pub(super) alias: Incarnation,
    pub(super) events: VecDeque<CacheEvent>,
    /// Latest death that is suspected.
    pub(super) death: Death,
}

/// Death of an upstream that a broken connection may mean.
#[derive(Clone, Default)]
pub(super) struct Death {
    /// Start that may have ended.
    pub(super) incarnation: Incarnation,
    /// Whether the death has been reported.
    pub(super) reported: Arc<OnceCell<()>>,
    /// Contents that were running.
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
            death: Death::default(),
            engine,
        }
    }

    /// Takes in what the upstream says of itself.
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
    /// Enters a claim into the ledger; none if the request is to run.
    pub(super) fn begin_claim(&mut self, order: &WorkOrder, now: Time) -> Option<Arrival> {
        if order.idempotent {
            return None;
        }
        let Some(held) = &order.claim else {
            let detail = "a request that may run only once needs a claim";
            return Some(Arrival::Refused(Failure::new(
                ErrorKind::InvalidRequest,
                detail,
            )));
        };
        match self.ledger.begin(held.claim, &held.place, now) {
            Begin::Run => None,
            Begin::NotRun(reason) => {
                let detail = format!("the claim will not run here: {reason:?}");
                Some(Arrival::Refused(Failure::new(
                    ErrorKind::NoUpstream,
                    detail,
                )))
            }
            Begin::Running => Some(Arrival::Failed(running_already())),
            Begin::Finished(outcome) => Some(Arrival::Ran(outcome)),
            Begin::Lost => {
                let detail = "the claim may have run here";
                Some(Arrival::Failed(Failure::new(
                    ErrorKind::OutcomeUnknown,
                    detail,
                )))
            }
        }
    }

    /// Records how a claimed request ended.
    pub(super) fn finish_claim(&mut self, order: &WorkOrder, end: Conclusion, now: Time) {
        if let Some(held) = &order.claim {
            self.ledger.finish(held.claim, end, now);
        }
    }

    /// Admits a request or says why not.
    pub(super) fn admit(&mut self, order: &WorkOrder, now: Time) -> Result<GatePermit, Failure> {
        let known = [Incarnation(self.engine.started), self.alias];
        if !known.contains(&order.incarnation) {
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

/// Refusal of a request that was passed on before.
pub(super) fn running_already() -> Failure {
    Failure::new(ErrorKind::StillRunning, "the request runs here already")
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
