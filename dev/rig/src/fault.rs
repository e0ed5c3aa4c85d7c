//! Faults that the rig injects into a deployment.

use derive_more::Display;
use pimentotide_standin::Control;

use crate::deployment::Deployment;

/// A fault with its name on the command line.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub(crate) enum Fault {
    /// No fault.
    #[display("none")]
    None,
    /// An operator takes the first zone out of service and returns it.
    #[display("zone-out")]
    ZoneOut,
    /// All processes and upstreams of the first zone are killed and restarted.
    #[display("zone-kill")]
    ZoneKill,
    /// One entry without a disk is killed and restarted.
    #[display("entry-kill")]
    EntryKill,
    /// One agent is killed and restarted.
    #[display("agent-kill")]
    AgentKill,
    /// The instance of the leading control replica is killed and restarted.
    #[display("leader-kill")]
    LeaderKill,
    /// One engine restarts cold without warning.
    #[display("engine-restart")]
    EngineRestart,
    /// One engine accepts work and makes no progress.
    #[display("engine-stall")]
    EngineStall,
    /// One entry is stopped gracefully and restarted.
    #[display("entry-stop")]
    EntryStop,
    /// One entry is suspended and resumed.
    #[display("entry-pause")]
    EntryPause,
    /// All control replicas but one are killed and restarted.
    #[display("control-kill")]
    ControlKill,
}

impl Fault {
    /// All faults, in the order of the help text.
    pub(crate) const ALL: [Self; 11] = [
        Self::None,
        Self::ZoneOut,
        Self::ZoneKill,
        Self::EntryKill,
        Self::AgentKill,
        Self::LeaderKill,
        Self::EngineRestart,
        Self::EngineStall,
        Self::EntryStop,
        Self::EntryPause,
        Self::ControlKill,
    ];
}

/// Injects a fault.
pub(crate) async fn inject(fault: Fault, deployment: &mut Deployment) -> Result<(), String> {
    let zone = deployment.zones()[0].clone();
    match fault {
        Fault::None => {}
        Fault::ZoneOut => deployment.run_command(&["zone", "out", &zone]).await?,
        Fault::ZoneKill => deployment.kill_zone(&zone).await,
        Fault::EntryKill => deployment.kill(&deployment.plain_entry()),
        Fault::AgentKill => deployment.kill(&deployment.model_agent()),
        Fault::LeaderKill => {
            let leader = deployment.leader().await?;
            deployment.kill(&leader);
        }
        Fault::EngineRestart => {
            deployment.control_engine(Control {
                restart: true,
                ..Control::default()
            });
        }
        Fault::EngineStall => {
            deployment.control_engine(Control {
                stall: true,
                ..Control::default()
            });
        }
        Fault::EntryStop => deployment.stop_process(&deployment.plain_entry()).await?,
        Fault::EntryPause => deployment.pause(&deployment.plain_entry()),
        Fault::ControlKill => {
            for name in deployment.replicas().into_iter().skip(1) {
                deployment.kill(&name);
            }
        }
    }
    Ok(())
}

/// Ends a fault and restarts what it stopped.
pub(crate) async fn heal(fault: Fault, deployment: &mut Deployment) -> Result<(), String> {
    let zone = deployment.zones()[0].clone();
    match fault {
        Fault::None | Fault::EngineRestart => {}
        Fault::ZoneOut => deployment.run_command(&["zone", "in", &zone]).await?,
        Fault::EngineStall => deployment.control_engine(Control::default()),
        Fault::EntryPause => deployment.resume(&deployment.plain_entry()),
        Fault::ZoneKill
        | Fault::EntryKill
        | Fault::AgentKill
        | Fault::LeaderKill
        | Fault::EntryStop
        | Fault::ControlKill => deployment.start_missing()?,
    }
    Ok(())
}
