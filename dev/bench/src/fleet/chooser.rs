//! Upstream selection in an entry: simple baseline policies and the placer.

use derive_more::Display;
use pimentotide_model::{LoadReport, RequestMeta, Time, UpstreamName};
use pimentotide_routing::{
    AttemptOutcome, CreditId, Finished, Placement, Placer, PlacerSettings, Ticket,
};
use rand::RngExt;
use rand_chacha::ChaCha8Rng;

/// Policy by which an entry selects an engine.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum Policy {
    /// Each engine in turn.
    #[display("round robin")]
    RoundRobin,
    /// Least loaded by the last reports.
    #[display("least reported")]
    LeastReported,
    /// Less loaded of two random engines, by the last reports.
    #[display("two, reported")]
    TwoReported,
    /// Less loaded of two random engines, by this entry's requests in flight.
    #[display("two, own")]
    TwoOwn,
    /// Production placer.
    #[display("placer")]
    Placer,
}

/// Destination of a request.
pub(super) enum Choice {
    /// An engine, with a ticket if the placer selected it.
    Engine(usize, Option<Ticket>),
    /// The queue of the entry.
    Queue,
}

/// Policy state of one entry.
#[derive(Debug)]
pub(super) struct Chooser {
    policy: Policy,
    pub(super) placer: Placer,
    names: Vec<UpstreamName>,
    reports: Vec<LoadReport>,
    in_flight: Vec<u32>,
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
            in_flight: vec![0; count],
            out: vec![false; count],
            turn,
            rng,
        }
    }

    pub(super) fn set_out(&mut self, engine: usize, out: bool) {
        self.out[engine] = out;
    }

    pub(super) fn report(&mut self, engine: usize, report: &LoadReport, taken_at: Time) {
        self.reports[engine] = *report;
        self.placer
            .observe_report(&self.names[engine], report, taken_at);
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
            Policy::LeastReported => self.least_loaded(&open),
            Policy::TwoReported => {
                let pair = self.draw_two(&open);
                self.least_loaded(&pair)
            }
            Policy::TwoOwn | Policy::Placer => {
                let pair = self.draw_two(&open);
                if self.in_flight[pair[1]] < self.in_flight[pair[0]] {
                    pair[1]
                } else {
                    pair[0]
                }
            }
        };
        self.in_flight[engine] += 1;
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
            self.in_flight[engine] += 1;
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
            None => self.in_flight[engine] -= 1,
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

    /// Engine with the least reported load; ties are broken at random.
    fn least_loaded(&mut self, open: &[usize]) -> usize {
        let load = |e: &usize| self.reports[*e].running + self.reports[*e].waiting;
        let least = open.iter().map(load).min().unwrap_or(0);
        let ties: Vec<usize> = open.iter().copied().filter(|e| load(e) == least).collect();
        ties[self.rng.random_range(0..ties.len())]
    }
}
