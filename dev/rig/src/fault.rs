//! Faults that the rig applies.

use derive_more::Display;
use pimentotide_standin::Control;

use crate::deployment::Deployment;

/// One fault, which begins and heals.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub(crate) enum Fault {
    /// Nothing happens.
    #[display("none")]
    None,
    /// Operators take the first zone out and bring it back.
    #[display("zone-out")]
    ZoneOut,
    /// Everything in the first zone is killed and started again.
    #[display("zone-kill")]
    ZoneKill,
    /// One entry without a disk is killed and started again.
    #[display("entry-kill")]
    EntryKill,
    /// One agent is killed and started again.
    #[display("agent-kill")]
    AgentKill,
    /// The leading control replica is killed and started again.
    #[display("leader-kill")]
    LeaderKill,
    /// One engine restarts cold without warning.
    #[display("engine-restart")]
    EngineRestart,
    /// One engine accepts work and makes no progress.
    #[display("engine-stall")]
    EngineStall,
    /// One entry is stopped gracefully and started again.
    #[display("entry-stop")]
    EntryStop,
    /// One entry is frozen and goes on.
    #[display("entry-pause")]
    EntryPause,
    /// All control replicas but one are killed and started again.
    #[display("control-kill")]
    ControlKill,
}

impl Fault {
    /// All faults.
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

/// Applies a fault.
pub(crate) async fn begin(fault: Fault, deployment: &mut Deployment) -> Result<(), String> {
    let zone = deployment.zones()[0].clone();
    match fault {
        Fault::None => {}
        Fault::ZoneOut => deployment.operate(&["zone", "out", &zone]).await?,
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

/// Heals a fault.
pub(crate) async fn heal(fault: Fault, deployment: &mut Deployment) -> Result<(), String> {
    let zone = deployment.zones()[0].clone();
    match fault {
        Fault::None | Fault::EngineRestart => {}
        Fault::ZoneOut => deployment.operate(&["zone", "in", &zone]).await?,
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
