//! Watch sessions of entries and agents.

use pimentotide_control::currency::{
    LONG_POLL_MARGIN, LONG_POLL_TIMEOUT, Rotation, Watch, WatchAnswer, WatchOutcome, WatchRequest,
};
use pimentotide_control::directory::View;
use pimentotide_model::{Time, UpstreamName};

use super::parcel::Parcel;
use super::{NodeId, World};
use crate::script::Guard;

/// A holder's side of the watch.
pub(super) struct Holder {
    pub(super) watch: Watch,
    pub(super) view: View,
    rotation: Rotation,
    session: u64,
    sent: Option<Time>,
    due: Time,
}

impl Holder {
    pub(super) fn new(replicas: usize, seed: usize, now: Time) -> Self {
        Self {
            watch: Watch::default(),
            view: View::default(),
            rotation: Rotation::new(replicas, seed),
            session: 0,
            sent: None,
            due: now,
        }
    }
}

impl World {
    pub(super) fn holder_mut(&mut self, node: NodeId) -> Option<&mut Holder> {
        if node < self.instances {
            return self.entries.get_mut(&node).map(|e| &mut e.holder);
        }
        self.agents.get_mut(&node).map(|a| &mut a.holder)
    }

    /// Asks for news, and gives up on a replica that does not answer.
    pub(super) fn tick_holder(&mut self, node: NodeId) {
        let now = self.local(node);
        let session = self.fresh();
        let name = self.instance_name(node);
        let agent = node >= self.instances;
        let replicas: Vec<NodeId> = self.disks.keys().copied().collect();
        let Some(holder) = self.holder_mut(node) else {
            return;
        };
        if holder
            .sent
            .is_some_and(|s| now.since(s) >= LONG_POLL_TIMEOUT + LONG_POLL_MARGIN)
        {
            holder.sent = None;
            holder.view.detach();
            holder.due = now + holder.rotation.fail();
        }
        if holder.sent.is_some() || now < holder.due {
            return;
        }
        holder.sent = Some(now);
        holder.session = session;
        let request = WatchRequest {
            upstream: agent.then(|| UpstreamName::from(name.as_str())),
            instance: name,
            held: holder.watch.held(),
            mark: holder.view.mark().filter(|_| !agent),
            directory: !agent,
            eager: true,
        };
        let to = replicas[holder.rotation.position()];
        self.send(node, to, Parcel::WatchAsk(session, Box::new(request)));
    }

    pub(super) fn watch_done(
        &mut self,
        node: NodeId,
        session: u64,
        answer: Option<Box<WatchAnswer>>,
    ) {
        let now = self.local(node);
        let skips = self.bypasses(Guard::Revisions);
        let Some(holder) = self.holder_mut(node) else {
            return;
        };
        let Some(sent) = holder.sent.filter(|_| holder.session == session) else {
            return;
        };
        holder.sent = None;
        let Some(answer) = answer else {
            holder.view.detach();
            holder.due = now + holder.rotation.fail();
            return;
        };
        holder.rotation.succeed();
        holder.due = now + LONG_POLL_TIMEOUT / 2;
        let before = holder.watch.revision();
        if skips && answer.revision < before {
            holder.watch = Watch::default();
        }
        let taken = holder.watch.receive(sent, &answer);
        let after = holder.watch.revision();
        if taken == WatchOutcome::Repair {
            holder.due = now;
        }
        let events = answer
            .directory
            .as_ref()
            .map(|update| holder.view.receive(update))
            .unwrap_or_default();
        let name = self.hosts[node].name.clone();
        self.ledger.held(self.time, &name, before, after);
        self.news(node, taken, events);
    }
}
