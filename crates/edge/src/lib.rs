//! The daemon on the users' platform: accepts clients' requests, forwards each to the daemon beside a chosen
//! target, and runs it there.
//!
//! The daemon that accepts a client's request is its entry. The daemon beside the target is its gate, which
//! queues and admits requests. A hop is the request on its way from the entry to the gate; if both are the
//! same daemon, there is none. The target beside a daemon is its own target. Daemons send each other reports
//! in UDP datagrams. They read the configuration from the platform's store or from each other, and keep one
//! row each in the store.
//!
//! Everything but the log's writer runs on one thread: a current-thread `tokio` runtime, which also drives
//! the `stakker` actor `Node`. See `docs/design/platform.md`.

mod administration;
mod admission;
mod app;
mod attempts;
mod background_task;
mod body_decoder;
mod body_framing;
mod body_source;
mod boot_clock;
mod byte_stream;
mod caller;
mod client_account;
mod config_sync;
mod confirmation;
mod confirmation_sync;
mod connection_pool;
mod contain;
mod control;
mod core;
mod edge_error;
mod entry;
mod entry_call;
mod exchange;
mod exchange_error;
mod failure;
mod fault_injection;
mod fault_point;
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
mod in_flight_guard;
mod incoming_request;
mod lease_result;
mod lease_rows;
mod lease_step;
mod line_log;
mod listen;
mod log_line;
mod loss_detection;
mod message_head;
mod metric_registry;
mod metrics;
mod next_step;
mod node;
mod node_accounts;
mod node_confirmation;
mod node_crashes;
mod node_gate;
mod node_leases;
mod node_quotas;
mod node_reports;
mod node_rollouts;
mod node_timer;
mod node_timers;
mod origin;
mod outgoing_request;
mod own_exchange;
mod panic_backtrace;
mod panic_hook;
mod peer_limits;
mod peer_sync;
mod pending_hops;
mod pending_question;
mod probe;
mod quota_account;
mod quota_admission;
mod quota_step;
mod quota_waiter;
mod quotas;
mod read_ahead;
mod readiness;
mod refused_config;
mod release;
mod reply;
mod reply_head;
mod reply_turns;
mod reports;
mod request_scope;
mod response;
mod response_body;
mod response_buffers;
mod rollout_metrics;
mod rollout_tracker;
mod run_key;
mod run_outcome;
mod run_report;
mod run_site;
mod run_table;
mod running_work;
mod send_permission;
mod server_connection;
mod server_kind;
mod server_options;
mod silence_limit;
mod slot_guard;
mod state_dump;
mod status_rows;
mod status_write;
mod stop_bounds;
mod stop_phase;
mod stop_times;
mod store_answer;
mod store_client;
mod store_era_watch;
mod store_error;
mod target_headers;
mod target_run;
mod ticket_guard;
mod units;
mod waiter;

pub use edge_error::EdgeError;
#[cfg(feature = "fault-injection")]
pub use fault_injection::delay_symbols;
#[cfg(feature = "fault-injection")]
pub use fault_point::FaultPoint;
#[cfg(feature = "fault-injection")]
pub use run_site::run_site_with_faults;
pub use run_site::{check_site_settings, run_site};
