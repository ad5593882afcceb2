//! Decides which target gets a request, when the request runs and whether it is retried.
//!
//! Nothing here opens a socket or reads a clock, so each policy is tested under the load that it is made for.
//! See `docs/design/platform.md`.

mod announced_state;
mod announcement;
mod called_service;
mod called_services;
mod crash_list;
mod directory;
mod directory_change;
mod gate_decision;
mod gate_queue;
mod gate_request;
mod latency_goal;
mod mesh_config;
mod message_limits;
mod own_target;
mod peer;
mod peer_record;
mod request_rate;
mod retry_budget;
mod retry_safety;
mod route;
mod route_costs;
mod route_key;
mod run_times;
mod site_settings;
mod target_choice;
mod target_load;
mod target_notice;
mod target_query;
mod target_record;
mod weighted_round_robin;
mod weighted_service;

pub use announced_state::AnnouncedState;
pub use announcement::Announcement;
pub use called_service::CalledService;
pub use called_services::CalledServices;
pub use crash_list::CrashList;
pub use directory::Directory;
pub use directory_change::DirectoryChange;
pub use gate_decision::GateDecision;
pub use gate_queue::GateQueue;
pub use gate_request::GateRequest;
pub use latency_goal::LatencyGoal;
pub use mesh_config::MeshConfig;
pub use message_limits::MessageLimits;
pub use own_target::OwnTarget;
pub use peer::Peer;
pub use peer_record::PeerRecord;
pub use request_rate::RequestRate;
pub use retry_budget::RetryBudget;
pub use retry_safety::RetrySafety;
pub use route::Route;
pub use route_costs::RouteCosts;
pub use route_key::RouteKey;
pub use run_times::RunTimes;
pub use site_settings::SiteSettings;
pub use target_choice::TargetChoice;
pub use target_load::TargetLoad;
pub use target_notice::TargetNotice;
pub use target_query::TargetQuery;
pub use target_record::TargetRecord;
pub use weighted_round_robin::WeightedRoundRobin;
pub use weighted_service::WeightedService;
