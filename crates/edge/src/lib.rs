//! The daemon on the users' platform: takes requests, hands them to the daemon beside a target, and
//! runs them there.
//!
//! One thread, one loop: a current-thread `tokio` runtime, with the `stakker` core of [`Node`] pumped
//! from it. See `docs/design/platform.md`.

mod administration;
mod admission;
mod app;
mod body_decoder;
mod body_framing;
mod body_source;
mod byte_stream;
mod config_compression;
mod config_sync;
mod connection_pool;
mod control;
mod core;
mod edge_error;
mod entry;
mod entry_call;
mod exchange;
mod exchange_error;
mod failure;
mod fetch;
mod fleet_status;
mod forwarded_request;
mod full_report_kind;
mod gate;
mod gate_call;
mod gate_reply;
mod gate_server;
mod header_list;
mod hop;
mod hop_route;
mod http_error;
mod incoming_request;
mod line_log;
mod listen;
mod message_head;
mod metric_registry;
mod metrics;
mod node;
mod node_gate;
mod node_reports;
mod outgoing_request;
mod own_exchange;
mod peer_sync;
mod probe;
mod readiness;
mod reply;
mod reply_head;
mod reports;
mod response;
mod response_body;
mod run_outcome;
mod run_site;
mod run_table;
mod running_work;
mod server_connection;
mod server_options;
mod silence_limit;
mod slot_guard;
mod state_dump;
mod stop_phase;
mod store_client;
mod store_error;
mod target_run;
mod ticket_guard;
mod units;
mod waiter;

pub use edge_error::EdgeError;
pub use run_site::{check_site_settings, run_site};
