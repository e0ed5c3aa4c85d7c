//! Entries: placement of idempotent requests and assembly of their answers.

use std::collections::BTreeMap;

use pimentotide_control::currency::WatchOutcome;
use pimentotide_control::directory::{Event, HEARTBEAT_INTERVAL, Presence, Report};
use pimentotide_model::{
    ErrorKind, Failure, Fingerprint, IdempotencyKey, Incarnation, LoadReport, ModelName, Priority,
    RequestMeta, ServiceKind, ServiceName, Time, UpstreamName, WorkspaceName, ZoneName,
};
use pimentotide_outcome::LedgerEpoch;
use pimentotide_routing::{Placer, PlacerSettings};

use super::holder::Holder;
use super::ledger::Told;
use super::parcel::Parcel;
use super::{NodeId, World};
use crate::script::{Guard, RequestText};

/// The process that callers reach.
pub(super) struct Entry {
    pub(super) holder: Holder,
    pub(super) placer: Placer,
    pub(super) epochs: BTreeMap<UpstreamName, LedgerEpoch>,
    beat: Time,
}

impl World {
    pub(super) fn start_entry(&mut self, node: NodeId) {
        let now = self.local(node);
        let zone = ZoneName::from(self.hosts[node].zone.as_str());
        let settings = PlacerSettings::new(self.instance_name(node), zone);
        let entry = Entry {
            holder: Holder::new(self.disks.len(), node, now),
            placer: Placer::open(settings),
            epochs: BTreeMap::new(),
            beat: now,
        };
        self.entries.insert(node, entry);
    }

    pub(super) fn tick_entry(&mut self, node: NodeId) {
        if !self.entries.contains_key(&node) {
            return;
        }
        self.tick_holder(node);
        let now = self.local(node);
        let presence = Presence {
            instance: self.instance_name(node),
            zone: ZoneName::from(self.hosts[node].zone.as_str()),
            revision: self.entries[&node].holder.watch.revision(),
            current: self.entries[&node].holder.watch.is_current(now),
        };
        let entry = self.entries.get_mut(&node).expect("the entry runs");
        if now >= entry.beat {
            entry.beat = now + HEARTBEAT_INTERVAL;
            let replicas: Vec<NodeId> = self.disks.keys().copied().collect();
            for to in replicas {
                let report = Box::new(Report::Entry(presence.clone()));
                self.send(node, to, Parcel::Report((Incarnation(0), 0), report));
            }
        }
        self.tick_flights(node, now);
        if self.hosts[node].stopping {
            let flights = self.flights.values().any(|f| f.entry == node);
            let onces = self.onces.values().any(|o| o.entry == node);
            if !flights && !onces || self.bypasses(Guard::Drain) {
                self.exit(node);
            }
        }
    }

    /// Takes news of the watch.
    pub(super) fn news(&mut self, node: NodeId, taken: WatchOutcome, events: Vec<Event>) {
        if node >= self.instances {
            return self.agent_news(node);
        }
        let Some(entry) = self.entries.get_mut(&node) else {
            return;
        };
        if taken == WatchOutcome::Changed
            && let Some(declarations) = entry.holder.watch.declarations()
        {
            entry.placer.declare(declarations.clone());
        }
        for event in events {
            match event {
                Event::Started(a) | Event::Changed(a) => entry.placer.announce(a),
                Event::Gone(name) => entry.placer.remove_upstream(&name),
            }
        }
    }

    pub(super) fn loaded(
        &mut self,
        from: NodeId,
        node: NodeId,
        report: &LoadReport,
        epoch: LedgerEpoch,
    ) {
        let now = self.local(node);
        let name = UpstreamName::from(self.hosts[from].name.as_str());
        if let Some(entry) = self.entries.get_mut(&node) {
            entry.placer.observe_report(&name, report, now);
            entry.epochs.insert(name, epoch);
        }
    }

    pub(super) fn meta(&self, id: u64, text: &RequestText, node: NodeId) -> RequestMeta {
        let service = &self.services[&text.service];
        let content = text.content.as_deref().unwrap_or(&text.name);
        RequestMeta {
            id: super::flight::request_id(id),
            workspace: WorkspaceName::from("council"),
            service: ServiceName::from(text.service.as_str()),
            model: (service.kind == ServiceKind::Model)
                .then(|| ModelName::from(text.service.as_str())),
            version: None,
            adapter: None,
            priority: Priority(100),
            deadline: self.local(node) + service.deadline,
            idempotent: !service.once,
            key: text.key.as_deref().map(IdempotencyKey::from),
            fingerprint: Fingerprint::of([content.as_bytes()]),
            prefix: Vec::new(),
            stream: !service.once,
        }
    }

    /// A caller asks an entry.
    pub(super) fn ask(&mut self, text: &RequestText) -> Result<(), String> {
        let node = self.node(&text.via).ok_or("no such instance")?;
        let service = self.services[&text.service].clone();
        let key = service
            .once
            .then(|| text.key.clone().unwrap_or_else(|| text.name.clone()));
        self.ledger.asked(&text.name, key.as_deref());
        let host = &self.hosts[node];
        if !host.up || host.stopping || node >= self.instances {
            let stopping = Failure::new(ErrorKind::Stopping, "takes no new work");
            self.tell_caller(&text.name, Told::Failure(stopping));
            return Ok(());
        }
        let id = self.fresh();
        let meta = self.meta(id, text, node);
        let content = text.content.clone().unwrap_or_else(|| text.name.clone());
        if service.once {
            self.open_once(id, node, text, meta, content, service.attempts);
            return Ok(());
        }
        self.open_flight(id, node, text, meta, content, service.attempts);
        Ok(())
    }

    pub(super) fn tell_caller(&mut self, name: &str, told: Told) {
        if let Told::Failure(failure) = &told {
            let text = format!("{name}: {} (ran: {})", failure.kind, failure.ran);
            self.note(&text);
        }
        self.ledger.answered(self.time, name, told);
    }
}
