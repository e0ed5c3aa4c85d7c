//! Watch sessions of entries and agents with the control replicas.

use pimentotide_control::currency::{
    LONG_POLL_MARGIN, LONG_POLL_TIMEOUT, Rotation, Watch, WatchAnswer, WatchOutcome, WatchRequest,
};
use pimentotide_control::directory::View;
use pimentotide_model::{Time, UpstreamName};

use super::packet::Packet;
use super::{NodeId, World};
use crate::script::Guard;

/// Client side of a watch session.
pub(super) struct Watcher {
    pub(super) watch: Watch,
    pub(super) view: View,
    rotation: Rotation,
    session: u64,
    sent_at: Option<Time>,
    next_request: Time,
}

impl Watcher {
    pub(super) fn new(replicas: usize, seed: usize, now: Time) -> Self {
        Self {
            watch: Watch::default(),
            view: View::default(),
            rotation: Rotation::new(replicas, seed),
            session: 0,
            sent_at: None,
            next_request: now,
        }
    }
}

impl World {
    pub(super) fn watcher_mut(&mut self, node: NodeId) -> Option<&mut Watcher> {
        if node < self.instances {
            return self.entries.get_mut(&node).map(|e| &mut e.watcher);
        }
        self.agents.get_mut(&node).map(|a| &mut a.watcher)
    }

    /// Sends the next watch request; rotates to another replica after a timeout.
    pub(super) fn tick_watcher(&mut self, node: NodeId) {
        let now = self.local(node);
        let session = self.next_id();
        let name = self.instance_name(node);
        let agent = node >= self.instances;
        let replicas: Vec<NodeId> = self.disks.keys().copied().collect();
        let Some(watcher) = self.watcher_mut(node) else {
            return;
        };
        if watcher
            .sent_at
            .is_some_and(|s| now.since(s) >= LONG_POLL_TIMEOUT + LONG_POLL_MARGIN)
        {
            watcher.sent_at = None;
            watcher.view.detach();
            watcher.next_request = now + watcher.rotation.fail();
        }
        if watcher.sent_at.is_some() || now < watcher.next_request {
            return;
        }
        watcher.sent_at = Some(now);
        watcher.session = session;
        let request = WatchRequest {
            upstream: agent.then(|| UpstreamName::from(name.as_str())),
            instance: name,
            held: watcher.watch.held(),
            mark: watcher.view.mark().filter(|_| !agent),
            directory: !agent,
            eager: true,
        };
        let to = replicas[watcher.rotation.position()];
        self.send(node, to, Packet::WatchRequest(session, Box::new(request)));
    }

    pub(super) fn watch_answered(
        &mut self,
        node: NodeId,
        session: u64,
        answer: Option<Box<WatchAnswer>>,
    ) {
        let now = self.local(node);
        let accepts_older = self.bypasses(Guard::Revisions);
        let Some(watcher) = self.watcher_mut(node) else {
            return;
        };
        let Some(sent) = watcher.sent_at.filter(|_| watcher.session == session) else {
            return;
        };
        watcher.sent_at = None;
        let Some(answer) = answer else {
            watcher.view.detach();
            watcher.next_request = now + watcher.rotation.fail();
            return;
        };
        watcher.rotation.succeed();
        watcher.next_request = now + LONG_POLL_TIMEOUT / 2;
        let before = watcher.watch.revision();
        if accepts_older && answer.revision < before {
            watcher.watch = Watch::default();
        }
        let outcome = watcher.watch.receive(sent, &answer);
        let after = watcher.watch.revision();
        if outcome == WatchOutcome::Repair {
            watcher.next_request = now;
        }
        let events = answer
            .directory
            .as_ref()
            .map(|update| watcher.view.receive(update))
            .unwrap_or_default();
        let name = self.hosts[node].name.clone();
        self.history
            .watcher_updated(self.time, &name, before, after);
        self.watch_updated(node, outcome, events);
    }
}
