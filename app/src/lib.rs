//! Load balancer for expert-parallel model groups: roles, settings and commands.

pub mod agent;
pub mod control;
pub mod entry;
pub mod explain;
pub mod fleet;
pub mod lines;
pub mod local;
pub mod operator;
pub mod options;
pub mod run;
pub mod settings;
pub mod signal;
