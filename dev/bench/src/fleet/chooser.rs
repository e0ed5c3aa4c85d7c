//! Policies compared: three simple ones and the placer.

use derive_more::Display;
use pimentotide_model::{LoadReport, RequestMeta, Time, UpstreamName};
use pimentotide_routing::{
    AttemptOutcome, CreditId, Finished, Placement, Placer, PlacerSettings, Ticket,
};
use rand::RngExt;
use rand_chacha::ChaCha8Rng;

/// How an entry chooses.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum Policy {
    /// Each engine in turn.
    #[display("round robin")]
    RoundRobin,
    /// Least load by the last report.
    #[display("least reported")]
    LeastReported,
    /// Better of two draws by the last report.
    #[display("two, reported")]
    TwoReported,
    /// Better of two draws by own requests in flight.
    #[display("two, own")]
    TwoOwn,
    /// The placer of the product.
    #[display("placer")]
    Placer,
}

/// Where a request goes.
pub(super) enum Choice {
    /// To an engine, with the booking of the placer.
    Engine(usize, Option<Ticket>),
    /// Into the queue.
    Queue,
}

/// Choice in one entry.
#[derive(Debug)]
pub(super) struct Chooser {
    policy: Policy,
    pub(super) placer: Placer,
    names: Vec<UpstreamName>,
    reports: Vec<LoadReport>,
    own: Vec<u32>,
    out: Vec<bool>,
    turn: usize,
    rng: ChaCha8Rng,
}

impl Chooser {
    pub(super) fn new(
        policy: Policy,
        settings: PlacerSettings,
        names: Vec<UpstreamName>,
        turn: usize,
        rng: ChaCha8Rng,
    ) -> Self {
        let count = names.len();
        Self {
            policy,
            placer: Placer::open(settings),
            names,
            reports: vec![LoadReport::default(); count],
            own: vec![0; count],
            out: vec![false; count],
            turn,
            rng,
        }
    }

    pub(super) fn set_out(&mut self, engine: usize, out: bool) {
        self.out[engine] = out;
    }

    pub(super) fn report(&mut self, engine: usize, report: &LoadReport, taken: Time) {
        self.reports[engine] = *report;
        self.placer
            .observe_report(&self.names[engine], report, taken);
    }

    pub(super) fn choose(&mut self, meta: &RequestMeta, tried: &[usize], now: Time) -> Choice {
        if self.policy == Policy::Placer {
            return self.place(meta, tried, now);
        }
        let open: Vec<usize> = (0..self.names.len())
            .filter(|e| !self.out[*e] && !tried.contains(e))
            .collect();
        if open.is_empty() {
            return Choice::Queue;
        }
        let engine = match self.policy {
            Policy::RoundRobin => self.next_turn(&open),
            Policy::LeastReported => self.least(&open),
            Policy::TwoReported => {
                let two = self.draw_two(&open);
                self.least(&two)
            }
            Policy::TwoOwn | Policy::Placer => {
                let two = self.draw_two(&open);
                if self.own[two[1]] < self.own[two[0]] {
                    two[1]
                } else {
                    two[0]
                }
            }
        };
        self.own[engine] += 1;
        Choice::Engine(engine, None)
    }

    pub(super) fn redeem(
        &mut self,
        meta: &RequestMeta,
        engine: usize,
        credit: CreditId,
        now: Time,
    ) -> Option<Choice> {
        if self.policy != Policy::Placer {
            self.own[engine] += 1;
            return Some(Choice::Engine(engine, None));
        }
        let decision = self.placer.redeem(meta, &self.names[engine], credit, now)?;
        Some(Choice::Engine(engine, Some(decision.ticket)))
    }

    pub(super) fn finish(
        &mut self,
        engine: usize,
        ticket: Option<Ticket>,
        meta: &RequestMeta,
        done: &Finished,
        now: Time,
    ) {
        match ticket {
            Some(ticket) => self.placer.finish(ticket, meta, done, now),
            None => self.own[engine] -= 1,
        }
        if let AttemptOutcome::Refused(Some(report)) = &done.outcome {
            self.reports[engine] = *report;
        }
    }

    fn place(&mut self, meta: &RequestMeta, tried: &[usize], now: Time) -> Choice {
        let tried: Vec<UpstreamName> = tried.iter().map(|e| self.names[*e].clone()).collect();
        match self.placer.place(meta, &tried, now, &mut self.rng) {
            Placement::Chosen(decision) => {
                let engine = self.names.iter().position(|n| *n == decision.upstream);
                Choice::Engine(engine.unwrap_or(0), Some(decision.ticket))
            }
            Placement::Wait(_) | Placement::Refused(_) => Choice::Queue,
        }
    }

    fn next_turn(&mut self, open: &[usize]) -> usize {
        self.turn += 1;
        open[self.turn % open.len()]
    }

    fn draw_two(&mut self, open: &[usize]) -> [usize; 2] {
        [0, 1].map(|_| open[self.rng.random_range(0..open.len())])
    }

    /// Least reported load; ties are broken at random.
    fn least(&mut self, open: &[usize]) -> usize {
        let load = |e: &usize| self.reports[*e].running + self.reports[*e].waiting;
        let least = open.iter().map(load).min().unwrap_or(0);
        let ties: Vec<usize> = open.iter().copied().filter(|e| load(e) == least).collect();
        ties[self.rng.random_range(0..ties.len())]
    }
}
