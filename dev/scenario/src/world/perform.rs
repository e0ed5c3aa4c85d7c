//! What each statement does.

use std::time::Duration;

use pimentotide_storage::fake::Fault;

use super::{Item, NodeId, World};
use crate::script::{DiskFault, Link, RequestText, Statement, Step};

impl World {
    /// Carries a statement out.
    pub(super) fn perform(&mut self, step: &Step) -> Result<(), String> {
        let begun = self.hosts.iter().any(|h| h.life > 0);
        let silent = matches!(step.statement, Statement::Wait(_) | Statement::Begin);
        if begun && !silent {
            self.note(&step.text);
        }
        match &step.statement {
            Statement::Seed(_) => Ok(()),
            Statement::Instance { name, zone, disk } => {
                self.add_instance(name, zone, *disk);
                self.instances = self.hosts.len();
                Ok(())
            }
            Statement::Upstream(text) => {
                self.add_upstream(text);
                Ok(())
            }
            Statement::Group { name, zone, ranks } => {
                self.add_group(name, zone, *ranks);
                Ok(())
            }
            Statement::Service(text) => {
                self.services.insert(text.name.clone(), text.clone());
                Ok(())
            }
            Statement::Begin => self.begin(),
            Statement::Expect(expect) => self.judge(expect),
            other => self.act(other),
        }
    }

    fn act(&mut self, statement: &Statement) -> Result<(), String> {
        match statement {
            Statement::Wait(span) => self.run(*span),
            Statement::Start(name) => self.start(self.named(name)?),
            Statement::Stop(name) => self.stop(self.whole(name)?),
            Statement::Kill(name) => self.kill(self.named(name)?),
            Statement::KillAgent(name) => {
                let node = self.whole(name)?;
                self.kill_agent(node);
            }
            Statement::Pause(name, span) => {
                let node = self.named(name)?;
                self.hosts[node].paused = self.time + *span;
            }
            Statement::Cold(name) => self.turn_cold(self.whole(name)?),
            Statement::Cut(link) => self.links(link, true)?,
            Statement::Heal(Some(link)) => self.links(link, false)?,
            Statement::Heal(None) => self.network.heal_all(),
            Statement::Lose(share) => self.network.loss = *share,
            Statement::Duplicate(share) => self.network.duplicates = *share,
            Statement::Reorder(share) => self.network.late = *share,
            Statement::Delay(least, most) => self.network.delay = (*least, *least.max(most)),
            Statement::Disk(name, fault) => self.fail_disk(name, *fault)?,
            Statement::Clock(name, by) => {
                let node = self.named(name)?;
                self.hosts[node].clock.step(*by);
            }
            Statement::Order(text) => self.order(text)?,
            Statement::Resend(id, via) => self.resend(id, via.as_deref())?,
            Statement::Flood(count) => self.flood(*count),
            Statement::Request(text) => self.ask(text)?,
            Statement::Load {
                service,
                rate,
                span,
            } => {
                let left = (u64::from(*rate) * span.as_millis() as u64 / 1_000) as u32;
                let pause = Duration::from_secs(1) / *rate;
                self.offer(service.clone(), left, pause);
            }
            Statement::Poison(content) => {
                self.poisons.insert(content.clone());
            }
            Statement::Rebalance => self.rebalance(),
            Statement::Bypass(guard) => self.bypassed.push(*guard),
            _ => {}
        }
        Ok(())
    }

    fn named(&self, name: &str) -> Result<NodeId, String> {
        self.node(name)
            .ok_or_else(|| format!("no node is called {name:?}"))
    }

    /// A node that is no rank of a group.
    fn whole(&self, name: &str) -> Result<NodeId, String> {
        let node = self.named(name)?;
        if node < self.instances || self.engines.contains_key(&node) {
            return Ok(node);
        }
        Err("a rank can only be killed, started, paused or cut off".to_owned())
    }

    fn links(&mut self, link: &Link, cut: bool) -> Result<(), String> {
        let all: Vec<NodeId> = (0..self.hosts.len()).collect();
        let ends = |world: &Self, name: &Option<String>| match name {
            Some(name) => world.named(name).map(|n| vec![n]),
            None => Ok(all.clone()),
        };
        let (from, to) = (ends(self, &link.from)?, ends(self, &link.to)?);
        for a in &from {
            for b in &to {
                let mut set = |x: NodeId, y: NodeId| match cut {
                    true => self.network.cut(x, y),
                    false => self.network.heal(x, y),
                };
                set(*a, *b);
                if link.both {
                    set(*b, *a);
                }
            }
        }
        Ok(())
    }

    fn fail_disk(&mut self, name: &str, fault: DiskFault) -> Result<(), String> {
        let node = self.named(name)?;
        let disk = self.disks.get(&node).cloned();
        let disk = disk.ok_or_else(|| format!("{name} has no disk"))?;
        match fault {
            DiskFault::Fails => disk.arm(0, Fault::Fail),
            DiskFault::Fills => disk.arm(0, Fault::Fill),
            DiskFault::Crashes => disk.arm(1, Fault::Crash),
            DiskFault::Lost => {
                self.kill(node);
                disk.wipe();
                self.schedule(Duration::from_millis(50), Item::Start(node));
            }
        }
        Ok(())
    }

    /// Offers one request of a load and schedules the next, whatever becomes of it.
    pub(super) fn offer(&mut self, service: String, left: u32, pause: Duration) {
        if left == 0 {
            return;
        }
        let up = |n: &NodeId| self.hosts[*n].up && !self.hosts[*n].stopping;
        let entries: Vec<NodeId> = (0..self.instances).filter(up).collect();
        self.offered += 1;
        if let Some(node) = entries.get(self.offered as usize % entries.len().max(1)) {
            let text = RequestText {
                name: format!("{service}-{}", self.offered),
                service: service.clone(),
                via: self.hosts[*node].name.clone(),
                key: None,
                content: None,
            };
            let _ = self.ask(&text);
        }
        let left = left - 1;
        self.schedule(
            pause,
            Item::Offer {
                service,
                left,
                pause,
            },
        );
    }
}
