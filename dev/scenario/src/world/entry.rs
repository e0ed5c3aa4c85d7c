//! Entries: receive requests from callers and keep the placer up to date.

use std::collections::BTreeMap;

use pimentotide_control::currency::WatchOutcome;
use pimentotide_control::directory::{Event, HEARTBEAT_INTERVAL, Presence, Report};
use pimentotide_model::{
    ErrorKind, Failure, Fingerprint, IdempotencyKey, Incarnation, LoadReport, ModelName, Priority,
    RequestMeta, ServiceKind, ServiceName, Time, UpstreamName, WorkspaceName, ZoneName,
};
use pimentotide_outcome::LedgerEpoch;
use pimentotide_routing::{Placer, PlacerSettings};

use super::history::CallerResult;
use super::packet::Packet;
use super::watcher::Watcher;
use super::{NodeId, World};
use crate::script::{Guard, RequestSpec};

/// State of a running entry.
pub(super) struct Entry {
    pub(super) watcher: Watcher,
    pub(super) placer: Placer,
    pub(super) epochs: BTreeMap<UpstreamName, LedgerEpoch>,
    next_heartbeat: Time,
}

impl World {
    pub(super) fn start_entry(&mut self, node: NodeId) {
        let now = self.local(node);
        let zone = ZoneName::from(self.hosts[node].zone.as_str());
        let settings = PlacerSettings::new(self.instance_name(node), zone);
        let entry = Entry {
            watcher: Watcher::new(self.disks.len(), node, now),
            placer: Placer::open(settings),
            epochs: BTreeMap::new(),
            next_heartbeat: now,
        };
        self.entries.insert(node, entry);
    }

    pub(super) fn tick_entry(&mut self, node: NodeId) {
        if !self.entries.contains_key(&node) {
            return;
        }
        self.tick_watcher(node);
        let now = self.local(node);
        let presence = Presence {
            instance: self.instance_name(node),
            zone: ZoneName::from(self.hosts[node].zone.as_str()),
            revision: self.entries[&node].watcher.watch.revision(),
            current: self.entries[&node].watcher.watch.is_current(now),
        };
        let entry = self.entries.get_mut(&node).expect("the entry runs");
        if now >= entry.next_heartbeat {
            entry.next_heartbeat = now + HEARTBEAT_INTERVAL;
            let replicas: Vec<NodeId> = self.disks.keys().copied().collect();
            for to in replicas {
                let report = Box::new(Report::Entry(presence.clone()));
                self.send(node, to, Packet::Report((Incarnation(0), 0), report));
            }
        }
        self.tick_streams(node, now);
        if self.hosts[node].stopping {
            let streams = self.streams.values().any(|s| s.entry == node);
            let once_requests = self.once_requests.values().any(|o| o.entry == node);
            if !streams && !once_requests || self.bypasses(Guard::Drain) {
                self.exit(node);
            }
        }
    }

    /// Applies a watch update to the gate policy of an agent or the placer of an entry.
    pub(super) fn watch_updated(
        &mut self,
        node: NodeId,
        outcome: WatchOutcome,
        events: Vec<Event>,
    ) {
        if node >= self.instances {
            return self.update_agent_policy(node);
        }
        let Some(entry) = self.entries.get_mut(&node) else {
            return;
        };
        if outcome == WatchOutcome::Changed
            && let Some(declarations) = entry.watcher.watch.declarations()
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

    pub(super) fn load_reported(
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

    pub(super) fn meta(&self, id: u64, spec: &RequestSpec, node: NodeId) -> RequestMeta {
        let service = &self.services[&spec.service];
        let content = spec.content.as_deref().unwrap_or(&spec.name);
        RequestMeta {
            id: super::stream::request_id(id),
            workspace: WorkspaceName::from("council"),
            service: ServiceName::from(spec.service.as_str()),
            model: (service.kind == ServiceKind::Model)
                .then(|| ModelName::from(spec.service.as_str())),
            version: None,
            adapter: None,
            priority: Priority(100),
            deadline: self.local(node) + service.deadline,
            idempotent: !service.once,
            key: spec.key.as_deref().map(IdempotencyKey::from),
            fingerprint: Fingerprint::of([content.as_bytes()]),
            prefix: Vec::new(),
            stream: !service.once,
        }
    }

    /// Sends a request of a caller to an entry.
    pub(super) fn send_request(&mut self, spec: &RequestSpec) -> Result<(), String> {
        let node = self.node(&spec.via).ok_or("no such instance")?;
        let service = self.services[&spec.service].clone();
        let key = service
            .once
            .then(|| spec.key.clone().unwrap_or_else(|| spec.name.clone()));
        self.history.request_offered(&spec.name, key.as_deref());
        let host = &self.hosts[node];
        if !host.up || host.stopping || node >= self.instances {
            let stopping = Failure::new(ErrorKind::Stopping, "instance accepts no new requests");
            self.answer_caller(&spec.name, CallerResult::Failure(stopping));
            return Ok(());
        }
        let id = self.next_id();
        let meta = self.meta(id, spec, node);
        let content = spec.content.clone().unwrap_or_else(|| spec.name.clone());
        if service.once {
            self.open_once(id, node, spec, meta, content, service.attempts);
            return Ok(());
        }
        self.open_stream(id, node, spec, meta, content, service.attempts);
        Ok(())
    }

    pub(super) fn answer_caller(&mut self, name: &str, result: CallerResult) {
        if let CallerResult::Failure(failure) = &result {
            let line = format!("{name}: {} (ran: {})", failure.kind, failure.ran);
            self.note(&line);
        }
        self.history.answered(self.time, name, result);
    }
}
