//! Gauges of the state of an entry.

use pimentotide_observe::Metrics;

use super::EntryState;

impl EntryState {
    /// Sets the gauges to the current state.
    pub(in super::super) fn measure(&self, metrics: &Metrics) {
        let now = self.now();
        let current = self.is_current();
        let inner = self.lock();
        let counts = inner.balancer.counts(now);
        let states = [
            ("usable", counts.usable),
            ("cold", counts.cold),
            ("ejected", counts.ejected),
            ("backoff", counts.backoff),
            ("limited", counts.limited),
            ("slow", counts.slow),
            ("out", counts.out),
        ];
        for (state, count) in states {
            metrics.gauge("entry.upstreams", ("state", state), count as u64);
        }
        for (service, left) in inner.budget.left(now) {
            metrics.gauge("entry.repeats_left", ("service", service), left);
        }
        let age = now.since(inner.confirmed_at).as_millis() as u64;
        let version = inner.table.as_ref().map_or(0, |t| t.declaration().version);
        let figures = [
            ("current", u64::from(current)),
            ("age_ms", age),
            ("version", version),
            ("revision", inner.seen.revision),
            ("entries", inner.entries.get(now) as u64),
        ];
        for (figure, value) in figures {
            metrics.gauge("entry.knowledge", ("figure", figure), value);
        }
        inner.admissions.measure(metrics, now);
        let suspects = inner.evidence.shared();
        let refused = [
            ("refused", suspects.refused.len()),
            ("refused_parts", suspects.refused_parts.len()),
        ];
        for (state, count) in refused {
            metrics.gauge("entry.suspects", ("state", state), count as u64);
        }
        metrics.gauge(
            "entry.open",
            ("scope", "requests"),
            self.open_requests() as u64,
        );
        metrics.gauge("entry.open", ("scope", "sends"), counts.in_flight as u64);
    }
}
