//! `medlarspoold`: the daemon that runs beside each upstream.
//!
//! As an entry it accepts callers' requests, chooses an upstream and retries. As a gate it queues requests
//! for its own upstream and limits how many run at once. One control thread runs an actor for the
//! membership and the spreading of configuration changes. See `docs/design/daemon.md`.

mod administration;
mod announcement;
mod announcements;
mod arguments;
mod bounded_server;
mod call_decisions;
mod caller_reply;
mod caller_request;
mod claim_job;
mod claim_outcome;
mod claim_worker;
mod claims;
mod control;
mod control_message;
mod crash_codec;
mod crash_guard;
mod daemon;
mod daemon_error;
mod datagram_socket;
mod directory;
mod entry;
mod fate_codec;
mod fleet_heads;
mod gate;
mod gate_queue;
mod hop;
mod hop_result;
mod http_reply;
mod local_upstream;
mod membership_agent;
mod membership_seeds;
mod metrics;
mod peer_connection;
mod peer_pool;
mod peer_service;
mod periodic_connector;
mod platform_job;
mod platform_worker;
mod queue_decision;
mod refusal_codec;
mod run;
mod settings;
mod settings_fault;
mod shared_state;
mod spread_agent;
mod spread_apply;
mod spread_options;
mod spread_state;
mod upstream_client;
mod upstream_outcome;
mod upstream_record;
mod worker_shares;

pub use crate::{
    announcement::Announcement, daemon::Daemon, daemon_error::DaemonError,
    periodic_connector::PeriodicConnector, run::run, settings::Settings,
    spread_options::SpreadOptions,
};
