//! The decisions about each call: admission, choice of upstream, queueing, retries, fates, claims
//! for idempotency keys and quarantine.
//!
//! Nothing here opens a socket, starts a thread or reads a clock: each decision takes `now` and,
//! where it is random, a seeded generator. See `docs/design/calls.md`.

mod admission;
mod admission_refusal;
mod announced_upstream;
mod arrival;
mod batch_outcome;
mod call_error;
mod call_outcome;
mod call_settings;
mod channel_id;
mod choice;
mod claim_batch;
mod claim_key;
mod claim_policy;
mod claim_result;
mod claim_row;
mod claim_step;
mod claim_sweep;
mod claim_write;
mod claim_write_outcome;
mod crash_id;
mod crash_publication;
mod decaying_mean;
mod decision;
mod decision_log;
mod decision_reason;
mod ejection;
mod failed_attempt;
mod fair_queue;
mod fate;
mod fate_question;
mod fate_reply;
mod fate_table;
mod fingerprint;
mod gate;
mod gate_action;
mod gate_work;
mod give_up_reason;
mod idempotency;
mod load_report;
mod quarantine;
mod quarantine_check;
mod quarantine_notice;
mod question_kind;
mod refusal;
mod refusal_reason;
mod request_context;
mod retry_budget;
mod retry_decision;
mod retry_policy;
mod run_outcome;
mod slot;
mod stored_claim_row;
mod upstream;
mod upstream_pool;
mod upstream_status;
mod upstream_table;

pub use crate::{
    admission::Admission, admission_refusal::AdmissionRefusal,
    announced_upstream::AnnouncedUpstream, arrival::Arrival, batch_outcome::BatchOutcome,
    call_error::CallError, call_outcome::CallOutcome, call_settings::CallSettings,
    channel_id::ChannelId, choice::Choice, claim_batch::ClaimBatch, claim_key::ClaimKey,
    claim_policy::ClaimPolicy, claim_result::ClaimResult, claim_row::ClaimRow,
    claim_step::ClaimStep, claim_sweep::ClaimSweep, claim_write::ClaimWrite,
    claim_write_outcome::ClaimWriteOutcome, crash_id::CrashId, crash_publication::CrashPublication,
    decaying_mean::DecayingMean, decision::Decision, decision_log::DecisionLog,
    decision_reason::DecisionReason, ejection::Ejection, failed_attempt::FailedAttempt,
    fair_queue::FairQueue, fate::Fate, fate_question::FateQuestion, fate_reply::FateReply,
    fate_table::FateTable, fingerprint::Fingerprint, gate::Gate, gate_action::GateAction,
    gate_work::GateWork, give_up_reason::GiveUpReason, idempotency::Idempotency,
    load_report::LoadReport, quarantine::Quarantine, quarantine_check::QuarantineCheck,
    quarantine_notice::QuarantineNotice, question_kind::QuestionKind, refusal::Refusal,
    refusal_reason::RefusalReason, request_context::RequestContext, retry_budget::RetryBudget,
    retry_decision::RetryDecision, retry_policy::RetryPolicy, run_outcome::RunOutcome, slot::Slot,
    stored_claim_row::StoredClaimRow, upstream::Upstream, upstream_pool::UpstreamPool,
    upstream_status::UpstreamStatus, upstream_table::UpstreamTable,
};
