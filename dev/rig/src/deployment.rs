//! The deployment under test: processes of the shipped binary and stand-in upstreams.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::Command;
use std::time::{Duration, Instant};

use pimentotide_model::{ModelName, ServiceName, VersionName};
use pimentotide_standin::{Control, Engine, EngineOptions, Ledger};
use serde_json::Value;

use crate::options::Options;
use crate::settings::{DECLARATIONS, Instance, Role, instances, settings_text, zones};
use pimentotide_process::{Process, Usage};

/// Timeout for a deployment to become ready.
const READY_TIMEOUT: Duration = Duration::from_secs(30);

/// Interval between two checks for readiness.
const READY_POLL_INTERVAL: Duration = Duration::from_millis(100);

const MODEL: &str = "rig";
const SERVICE: &str = "register";

/// A running deployment.
pub(crate) struct Deployment {
    binary: PathBuf,
    folder: tempfile::TempDir,
    instances: Vec<Instance>,
    zones: Vec<String>,
    /// Running processes by instance, with the time of their start.
    processes: BTreeMap<String, (Process, Instant)>,
    engines: BTreeMap<String, Engine>,
    /// Ledgers of engines that were stopped.
    stopped_ledgers: Vec<Ledger>,
}

impl Deployment {
    /// Starts all processes and upstreams, and applies the declarations.
    pub(crate) async fn spawn(options: &Options, binary: &Path) -> Result<Self, String> {
        let folder = tempfile::tempdir().map_err(|e| e.to_string())?;
        let mut deployment = Self {
            binary: binary.to_owned(),
            folder,
            instances: instances(options.deployment),
            zones: zones(options.deployment)
                .iter()
                .map(|z| (*z).to_owned())
                .collect(),
            processes: BTreeMap::new(),
            engines: BTreeMap::new(),
            stopped_ledgers: Vec::new(),
        };
        deployment.write_settings()?;
        deployment.start_missing()?;
        let file = deployment.folder.path().join("declarations.yaml");
        std::fs::write(&file, DECLARATIONS).map_err(|e| e.to_string())?;
        let file = file.to_string_lossy().into_owned();
        deployment.run_command(&["profile", "apply", &file]).await?;
        Ok(deployment)
    }

    /// Waits until the control replicas report every entry and every upstream.
    pub(crate) async fn wait_until_ready(&mut self) -> Result<(), String> {
        let end = Instant::now() + READY_TIMEOUT;
        let expected = self.engines.len();
        let entries = self.entry_addresses().len();
        loop {
            let status = self.status().await.unwrap_or_default();
            let count = |key: &str| status[key].as_array().map_or(0, Vec::len);
            let mut processes = self.processes.iter_mut();
            let exited = processes.find_map(|(name, (p, _))| p.has_exited().then_some(name));
            if let Some(name) = exited {
                // Another deployment on the same addresses would answer the status request instead.
                return Err(format!("{name} has exited; are its addresses in use?"));
            }
            if count("upstreams") >= expected && count("entries") >= entries {
                return Ok(());
            }
            if Instant::now() >= end {
                return Err(format!("the deployment did not become ready: {status}"));
            }
            tokio::time::sleep(READY_POLL_INTERVAL).await;
        }
    }

    /// Starts every process and upstream that is not running.
    pub(crate) fn start_missing(&mut self) -> Result<(), String> {
        for instance in &self.instances {
            if !self.processes.contains_key(&instance.name) {
                let settings = self.folder.path().join(format!("{}.yaml", instance.name));
                let process = Process::spawn(&self.binary, "run", &settings)?;
                self.processes
                    .insert(instance.name.clone(), (process, Instant::now()));
            }
            if let Role::Agent { upstream, plain } = &instance.role
                && !self.engines.contains_key(upstream)
            {
                let engine =
                    Engine::spawn(engine_options(instance, *plain)).map_err(|e| e.to_string())?;
                self.engines.insert(upstream.clone(), engine);
            }
        }
        Ok(())
    }

    /// Kills a process; does nothing if it is not running.
    pub(crate) fn kill(&mut self, name: &str) {
        if let Some((mut process, _)) = self.processes.remove(name) {
            process.kill();
        }
    }

    /// Kills all processes and upstreams of a zone.
    pub(crate) async fn kill_zone(&mut self, zone: &str) {
        let killed: Vec<_> = self
            .instances
            .iter()
            .filter(|i| i.zone == zone)
            .cloned()
            .collect();
        for instance in &killed {
            self.kill(&instance.name);
        }
        for instance in killed {
            if let Role::Agent { upstream, .. } = instance.role
                && let Some(engine) = self.engines.remove(&upstream)
            {
                engine.control(Control {
                    restart: true,
                    ..Control::default()
                });
                self.stopped_ledgers.push(engine.ledger());
                engine.stop(false).await;
            }
        }
    }

    /// Stops a process gracefully; fails if it is not running or exits with an error.
    pub(crate) async fn stop_process(&mut self, name: &str) -> Result<(), String> {
        let Some((mut process, _)) = self.processes.remove(name) else {
            return Err(format!("{name} is not running"));
        };
        match process.stop().await {
            Some(0) => Ok(()),
            code => Err(format!("{name} exited with code {code:?}")),
        }
    }

    /// Suspends a process.
    pub(crate) fn pause(&self, name: &str) {
        if let Some((process, _)) = self.processes.get(name) {
            process.pause();
        }
    }

    /// Resumes a suspended process.
    pub(crate) fn resume(&self, name: &str) {
        if let Some((process, _)) = self.processes.get(name) {
            process.resume();
        }
    }

    /// Sets the faults of the first model engine.
    pub(crate) fn control_engine(&self, control: Control) {
        let name = self.model_agent();
        let upstream = name.trim_end_matches("-agent");
        if let Some(engine) = self.engines.get(upstream) {
            engine.control(control);
        }
    }

    /// Runs an operator's command with the binary under test.
    pub(crate) async fn run_command(&self, arguments: &[&str]) -> Result<(), String> {
        let mut command = Command::new(&self.binary);
        command.args(arguments);
        for address in self.operator_addresses() {
            command.arg("--operator").arg(address.to_string());
        }
        command.args(["--timeout", "20"]);
        let run = tokio::task::spawn_blocking(move || command.output());
        let output = run
            .await
            .map_err(|e| e.to_string())?
            .map_err(|e| e.to_string())?;
        if output.status.success() {
            return Ok(());
        }
        Err(format!(
            "{arguments:?}: {}",
            String::from_utf8_lossy(&output.stderr)
        ))
    }

    /// Name of the control replica that leads; fails without a leader.
    pub(crate) async fn leader(&self) -> Result<String, String> {
        let status = self
            .status()
            .await
            .ok_or("no control replica returned a status")?;
        let leader = status["cluster"]["leader"].as_str();
        leader
            .map(str::to_owned)
            .ok_or_else(|| "the control replicas have no leader".to_owned())
    }

    /// Names of the zones.
    pub(crate) fn zones(&self) -> Vec<String> {
        self.zones.clone()
    }

    /// Names of the instances with a control replica.
    pub(crate) fn replicas(&self) -> Vec<String> {
        let disks = self
            .instances
            .iter()
            .filter(|i| i.role == Role::Entry { disk: true });
        disks.map(|i| i.name.clone()).collect()
    }

    /// An entry of the first zone without a control replica.
    pub(crate) fn plain_entry(&self) -> String {
        self.first_instance(|role| *role == Role::Entry { disk: false })
    }

    /// The agent of a model engine in the first zone.
    pub(crate) fn model_agent(&self) -> String {
        self.first_instance(|role| matches!(role, Role::Agent { plain: false, .. }))
    }

    /// Addresses of all entries for callers.
    pub(crate) fn entry_addresses(&self) -> Vec<SocketAddr> {
        let entries = self
            .instances
            .iter()
            .filter(|i| matches!(i.role, Role::Entry { .. }));
        entries.map(Instance::caller_address).collect()
    }

    /// Ledgers of all engines, running and stopped.
    pub(crate) fn ledgers(&self) -> Vec<Ledger> {
        let running = self.engines.values().map(Engine::ledger);
        running
            .chain(self.stopped_ledgers.iter().cloned())
            .collect()
    }

    /// Processor time and memory of each running process.
    pub(crate) fn usage(&self) -> BTreeMap<String, Usage> {
        let used = self.processes.iter();
        used.filter_map(|(name, (p, since))| Some((name.clone(), p.usage(since.elapsed())?)))
            .collect()
    }

    /// Kills all processes and stops all upstreams.
    pub(crate) async fn stop(mut self) {
        self.processes.clear();
        for engine in std::mem::take(&mut self.engines).into_values() {
            engine.stop(false).await;
        }
    }

    fn first_instance<F>(&self, matches: F) -> String
    where
        F: Fn(&Role) -> bool,
    {
        let found = self.instances.iter().find(|i| matches(&i.role));
        found.map(|i| i.name.clone()).unwrap_or_default()
    }

    fn operator_addresses(&self) -> Vec<SocketAddr> {
        let replicas = self
            .instances
            .iter()
            .filter(|i| i.role == Role::Entry { disk: true });
        replicas.map(Instance::operator_address).collect()
    }

    async fn status(&self) -> Option<Value> {
        for address in self.operator_addresses() {
            let client = awc::Client::default();
            let sent = client.get(format!("http://{address}/status")).send().await;
            if let Ok(mut answer) = sent
                && answer.status().is_success()
            {
                return answer.json().await.ok();
            }
        }
        None
    }

    fn write_settings(&self) -> Result<(), String> {
        for instance in &self.instances {
            let data = self.folder.path().join(format!("{}-data", instance.name));
            let text = settings_text(instance, &self.instances, &data.to_string_lossy());
            let path = self.folder.path().join(format!("{}.yaml", instance.name));
            std::fs::write(path, text).map_err(|e| e.to_string())?;
        }
        Ok(())
    }
}

fn engine_options(instance: &Instance, plain: bool) -> EngineOptions {
    let base = if plain {
        EngineOptions::plain(vec![ServiceName::from(SERVICE)])
    } else {
        EngineOptions::model(ModelName::from(MODEL), VersionName::from("1"))
    };
    EngineOptions {
        agent: Some(instance.announce_address()),
        ..base
    }
}
