//! Stand-ins for the platform and the upstreams around a fleet, and code that benches share; not shipped.

mod administration_page;
mod call_load;
mod call_load_result;
mod caller_reply;
mod calls_chain;
mod calls_deployment;
mod calls_draws;
mod calls_entry;
mod calls_event;
mod calls_events;
mod calls_fault;
mod calls_gate;
mod calls_model;
mod calls_names;
mod calls_policies;
mod calls_report;
mod calls_request;
mod calls_scenario;
mod calls_tally;
mod calls_upstream;
mod child_process;
mod convergence_command;
mod convergence_daemon;
mod convergence_faults;
mod convergence_fleet;
mod convergence_layout;
mod convergence_network;
mod convergence_processes;
mod convergence_record;
mod convergence_run;
mod convergence_store;
mod convergence_strategy;
mod curve_chart;
mod daemon_cost;
mod daemon_cost_fleet;
mod daemon_spec;
mod figure;
mod figure_file;
mod figures;
mod linear_fit;
mod local_daemon;
mod loopback;
mod membership_fleet;
mod membership_node;
mod membership_pair;
mod membership_processes;
mod membership_run;
mod membership_traffic;
mod metered_platform;
mod overnight_callers;
mod overnight_fault;
mod overnight_kind;
mod overnight_plan;
mod overnight_report;
mod overnight_request;
mod overnight_run;
mod page_digests;
mod process_daemon;
mod process_fleet;
mod process_sample;
mod program_paths;
mod promise_count;
mod repair_cost;
mod repair_method;
mod repair_trial;
mod run_ledger;
mod sample_lists;
mod scraped_metrics;
mod stand_in_platform;
mod stand_in_platform_error;
mod stand_in_upstream;
mod stated_limits;
mod upstream_behaviour;
mod upstream_settings;
mod version_watch;

pub use crate::{
    call_load::CallLoad,
    call_load_result::CallLoadResult,
    caller_reply::CallerReply,
    calls_chain::CallsChain,
    calls_deployment::{CallsDeployment, ModelUpstream},
    calls_fault::CallsFault,
    calls_gate::CallsGate,
    calls_model::CallsModel,
    calls_policies::{CallsPolicies, ChoicePart, ChoicePolicy, QueuePolicy, RetryMode},
    calls_report::CallsReport,
    calls_scenario::CallsScenario,
    child_process::ChildProcess,
    convergence_faults::ConvergenceFaults,
    convergence_fleet::ConvergenceFleet,
    convergence_layout::ConvergenceLayout,
    convergence_network::ConvergenceNetwork,
    convergence_processes::measure_process_convergence,
    convergence_record::ConvergenceRecord,
    convergence_run::{ConvergenceRun, link_name},
    convergence_store::ConvergenceStore,
    convergence_strategy::ConvergenceStrategy,
    curve_chart::{CurveChart, CurvePoint, CurveSeries},
    daemon_cost::{DaemonCost, wait_for_version},
    daemon_cost_fleet::add_daemons_without_upstream,
    daemon_spec::{DaemonSpec, FLEET_KEY, OPERATOR_TOKEN, PLATFORM_TOKEN},
    figure::Figure,
    figure_file::FigureFile,
    figures::Figures,
    linear_fit::LinearFit,
    local_daemon::{LocalDaemon, wait_until_ready},
    loopback::free_address,
    membership_fleet::{MembershipFleet, MembershipObservation},
    membership_node::MembershipNode,
    membership_pair::{MembershipPair, add_members, sample_member},
    membership_processes::MembershipProcesses,
    membership_run::MembershipRun,
    membership_traffic::MembershipTraffic,
    metered_platform::MeteredPlatform,
    overnight_callers::OvernightCallers,
    overnight_fault::OvernightFault,
    overnight_kind::OvernightKind,
    overnight_plan::OvernightPlan,
    overnight_report::OvernightReport,
    overnight_request::OvernightRequest,
    overnight_run::OvernightRun,
    page_digests::PageDigests,
    process_daemon::ProcessDaemon,
    process_fleet::ProcessFleet,
    process_sample::ProcessSample,
    program_paths::ProgramPaths,
    promise_count::PromiseCount,
    repair_cost::RepairCost,
    repair_method::RepairMethod,
    repair_trial::RepairTrial,
    run_ledger::{LedgerRun, RunLedger, epoch_ms},
    sample_lists::SampleLists,
    scraped_metrics::ScrapedMetrics,
    stand_in_platform::StandInPlatform,
    stand_in_platform_error::StandInPlatformError,
    stand_in_upstream::StandInUpstream,
    stated_limits::{
        CHANGES_PER_DAY, DAEMONS_IN_TWO_YEARS, MAX_CONTROL_BYTES_PER_S, MAX_CORE_PERCENT,
        MAX_RESIDENT_MB, MAX_STORE_READS_PER_S, MAX_STORE_WRITES_PER_S,
    },
    upstream_behaviour::UpstreamBehaviour,
    upstream_settings::UpstreamSettings,
    version_watch::{VersionCount, VersionWatch},
};
