//! Executes the statements of a script.

use std::time::Duration;

use pimentotide_storage::fake::Fault;

use super::{NodeId, SimEvent, World};
use crate::script::{DiskFault, Link, RequestSpec, Statement, Step};

impl World {
    /// Executes a statement.
    ///
    /// # Errors
    ///
    /// Fails if an expectation is not met or a name does not fit the statement.
    pub(super) fn perform(&mut self, step: &Step) -> Result<(), String> {
        let begun = self.hosts.iter().any(|h| h.generation > 0);
        let untraced = matches!(step.statement, Statement::Wait(_) | Statement::Begin);
        if begun && !untraced {
            self.note(&step.text);
        }
        match &step.statement {
            Statement::Seed(_) => Ok(()),
            Statement::Instance { name, zone, disk } => {
                self.add_instance(name, zone, *disk);
                self.instances = self.hosts.len();
                Ok(())
            }
            Statement::Upstream(spec) => {
                self.add_upstream(spec);
                Ok(())
            }
            Statement::Group { name, zone, ranks } => {
                self.add_group(name, zone, *ranks);
                Ok(())
            }
            Statement::Service(spec) => {
                self.services.insert(spec.name.clone(), spec.clone());
                Ok(())
            }
            Statement::Begin => self.begin(),
            Statement::Expect(expect) => self.check_expectation(expect),
            other => self.execute(other),
        }
    }

    fn execute(&mut self, statement: &Statement) -> Result<(), String> {
        match statement {
            Statement::Wait(span) => self.run(*span),
            Statement::Start(name) => self.start(self.named(name)?),
            Statement::Stop(name) => self.stop(self.instance_or_upstream(name)?),
            Statement::Kill(name) => self.kill(self.named(name)?),
            Statement::KillAgent(name) => {
                let node = self.instance_or_upstream(name)?;
                self.kill_agent(node);
            }
            Statement::Pause(name, span) => {
                let node = self.named(name)?;
                self.hosts[node].paused_until = self.time + *span;
            }
            Statement::Cold(name) => self.restart_cold(self.instance_or_upstream(name)?),
            Statement::Cut(link) => self.set_links(link, true)?,
            Statement::Heal(Some(link)) => self.set_links(link, false)?,
            Statement::Heal(None) => self.network.heal_all(),
            Statement::Lose(share) => self.network.loss = *share,
            Statement::Duplicate(share) => self.network.duplicates = *share,
            Statement::Reorder(share) => self.network.reorder = *share,
            Statement::Delay(min, max) => self.network.delay = (*min, *min.max(max)),
            Statement::Disk(name, fault) => self.fail_disk(name, *fault)?,
            Statement::Clock(name, by) => {
                let node = self.named(name)?;
                self.hosts[node].clock.step(*by);
            }
            Statement::Order(spec) => self.order(spec)?,
            Statement::Resend(id, via) => self.resend(id, via.as_deref())?,
            Statement::Flood(count) => self.flood(*count),
            Statement::Request(spec) => self.send_request(spec)?,
            Statement::Load {
                service,
                rate,
                span,
            } => {
                let left = (u64::from(*rate) * span.as_millis() as u64 / 1_000) as u32;
                let pause = Duration::from_secs(1) / *rate;
                self.offer_load(service.clone(), left, pause);
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

    /// Returns an instance or an upstream, but not a rank of a group.
    fn instance_or_upstream(&self, name: &str) -> Result<NodeId, String> {
        let node = self.named(name)?;
        if node < self.instances || self.engines.contains_key(&node) {
            return Ok(node);
        }
        Err("a rank can only be killed, started, paused or cut off".to_owned())
    }

    fn set_links(&mut self, link: &Link, cut: bool) -> Result<(), String> {
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
                self.schedule(Duration::from_millis(50), SimEvent::Start(node));
            }
        }
        Ok(())
    }

    /// Sends one request of a load and schedules the next, whether or not it is answered.
    pub(super) fn offer_load(&mut self, service: String, left: u32, pause: Duration) {
        if left == 0 {
            return;
        }
        let up = |n: &NodeId| self.hosts[*n].up && !self.hosts[*n].stopping;
        let entries: Vec<NodeId> = (0..self.instances).filter(up).collect();
        self.offered += 1;
        if let Some(node) = entries.get(self.offered as usize % entries.len().max(1)) {
            let spec = RequestSpec {
                name: format!("{service}-{}", self.offered),
                service: service.clone(),
                via: self.hosts[*node].name.clone(),
                key: None,
                content: None,
            };
            let _ = self.send_request(&spec);
        }
        let left = left - 1;
        self.schedule(
            pause,
            SimEvent::Offer {
                service,
                left,
                pause,
            },
        );
    }
}
