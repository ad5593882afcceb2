//! The operators' command: checks, commits and shows the two lists, and queries daemons.

mod arguments;
mod base_version;
mod check;
mod command_error;
mod console;
mod credential;
mod daemon_client;
mod dump;
mod edit;
mod explain;
mod fleet_status;
mod get;
mod history;
mod instance_status;
mod list_texts;
mod log_line;
mod put;
mod refused_config;
mod restore;
mod run;
mod status;
mod subcommand;
mod submit;
mod utc;

pub use crate::{
    command_error::CommandError, console::Console, fleet_status::FleetStatus,
    instance_status::InstanceStatus, refused_config::RefusedConfig, run::run,
};
