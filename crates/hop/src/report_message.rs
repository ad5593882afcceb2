//! The Protobuf messages of a report datagram, derived here so that no code generator is needed.

use prost::Message;

/// The encoded form of a [`crate::Report`].
#[derive(Clone, PartialEq, Message)]
pub(crate) struct ReportMessage {
    #[prost(string, tag = "1")]
    pub(crate) address: String,
    #[prost(string, tag = "2")]
    pub(crate) availability_zone: String,
    #[prost(uint64, tag = "3")]
    pub(crate) incarnation: u64,
    #[prost(uint64, tag = "4")]
    pub(crate) report_number: u64,
    #[prost(bool, tag = "5")]
    pub(crate) serving: bool,
    #[prost(uint32, repeated, tag = "6")]
    pub(crate) load: Vec<u32>,
    #[prost(message, optional, tag = "7")]
    pub(crate) target: Option<TargetMessage>,
    #[prost(uint64, tag = "8")]
    pub(crate) config_version: u64,
    // Tag 9 is unused: it held the requests that ran at crashes without saying what that means.
    #[prost(string, repeated, tag = "10")]
    pub(crate) known_peers: Vec<String>,
    // Tag 11 is unused: it held the number of the last report received, which no daemon read.
    #[prost(message, optional, tag = "12")]
    pub(crate) receiver_target: Option<TargetMessage>,
    #[prost(bool, tag = "13")]
    pub(crate) reply_requested: bool,
    // 0: can't relay the configuration, 1: relays it, 2: can relay it. Earlier versions send 0 or 1.
    #[prost(uint32, tag = "14")]
    pub(crate) relay: u32,
    // One more than the era, so that 0 means that the sender doesn't know it.
    #[prost(uint64, tag = "15")]
    pub(crate) store_era_and_one: u64,
    #[prost(uint64, tag = "16")]
    pub(crate) receiver_incarnation: u64,
    #[prost(message, repeated, tag = "17")]
    pub(crate) rollouts: Vec<RolloutMessage>,
    // Empty for a target that ran nothing yet, and missing if the daemon doesn't tell the runs.
    #[prost(message, optional, tag = "18")]
    pub(crate) runs: Option<RunsMessage>,
    #[prost(bool, tag = "19")]
    pub(crate) knows_rollouts: bool,
    #[prost(uint64, tag = "20")]
    pub(crate) decides_in_ms: u64,
    // Tags 40 to 42 are unused: they held the votes of earlier releases, which grant credits by them.
    #[prost(uint32, tag = "43")]
    pub(crate) quota_partitions: u32,
    #[prost(message, repeated, tag = "46")]
    pub(crate) crashes: Vec<CrashMessage>,
    // 0 if the sender doesn't tell when it sent the report.
    #[prost(fixed64, tag = "44")]
    pub(crate) sent_by_clock: u64,
    #[prost(uint64, tag = "45")]
    pub(crate) sent_at_us: u64,
    // A datagram with one of the next four fields is not a report and has no other field.
    #[prost(message, optional, tag = "30")]
    pub(crate) confirmation_question: Option<ConfirmationQuestionMessage>,
    #[prost(message, optional, tag = "31")]
    pub(crate) confirmation_answer: Option<ConfirmationAnswerMessage>,
    #[prost(message, optional, tag = "32")]
    pub(crate) quota_question: Option<QuotaQuestionMessage>,
    #[prost(message, optional, tag = "33")]
    pub(crate) quota_grant: Option<QuotaGrantMessage>,
}

/// The encoded form of what a crash says about the requests that ran at the target: an entry of both lists for each.
#[derive(Clone, PartialEq, Message)]
pub(crate) struct CrashMessage {
    #[prost(fixed64, tag = "1")]
    pub(crate) id: u64,
    #[prost(uint64, tag = "2")]
    pub(crate) age_ms: u64,
    #[prost(fixed64, repeated, tag = "3")]
    pub(crate) fingerprints: Vec<u64>,
    // 0: ran, 1: shared, 2: sole, 3: cleared.
    #[prost(uint32, repeated, tag = "4")]
    pub(crate) evidence: Vec<u32>,
}

/// The encoded form of a [`crate::ConfirmationAnswer`].
#[derive(Clone, Copy, PartialEq, Message)]
pub(crate) struct ConfirmationAnswerMessage {
    #[prost(uint64, tag = "1")]
    pub(crate) nonce: u64,
    #[prost(uint64, tag = "2")]
    pub(crate) store_era: u64,
    #[prost(uint64, tag = "3")]
    pub(crate) version: u64,
    #[prost(uint64, tag = "4")]
    pub(crate) age_ms: u64,
    #[prost(uint64, tag = "5")]
    pub(crate) store_version: u64,
}

/// The encoded form of a [`crate::ConfirmationQuestion`].
#[derive(Clone, Copy, PartialEq, Message)]
pub(crate) struct ConfirmationQuestionMessage {
    #[prost(uint64, tag = "1")]
    pub(crate) nonce: u64,
}

/// The encoded form of a `RolloutStatus`.
#[derive(Clone, PartialEq, Message)]
pub(crate) struct RolloutMessage {
    #[prost(string, tag = "1")]
    pub(crate) service: String,
    #[prost(string, tag = "2")]
    pub(crate) to: String,
    #[prost(uint64, tag = "3")]
    pub(crate) duration_ns: u64,
    #[prost(uint64, tag = "4")]
    pub(crate) era: u64,
    #[prost(uint64, tag = "5")]
    pub(crate) version: u64,
    #[prost(uint32, tag = "6")]
    pub(crate) state: u32,
    #[prost(uint32, tag = "7")]
    pub(crate) share_per_mille: u32,
    #[prost(uint64, tag = "8")]
    pub(crate) age_ms: u64,
    #[prost(bool, tag = "9")]
    pub(crate) is_stored: bool,
}

/// The encoded form of the routes of a `TargetEvidence`; the rest of it is in the record of the target.
#[derive(Clone, PartialEq, Message)]
pub(crate) struct RunsMessage {
    #[prost(message, repeated, tag = "1")]
    pub(crate) routes: Vec<RouteRunsMessage>,
}

/// The encoded form of the `RunCounts` of one route. Only the buckets from the first to the last one with runs are
/// sent, so that a report stays short.
#[derive(Clone, PartialEq, Message)]
pub(crate) struct RouteRunsMessage {
    #[prost(fixed64, tag = "1")]
    pub(crate) route: u64,
    #[prost(uint32, tag = "2")]
    pub(crate) failures: u32,
    #[prost(uint32, tag = "3")]
    pub(crate) first_bucket: u32,
    #[prost(uint32, repeated, tag = "4")]
    pub(crate) run_times: Vec<u32>,
}

/// The encoded form of a [`crate::QuotaMessage::Grant`].
#[derive(Clone, PartialEq, Message)]
pub(crate) struct QuotaGrantMessage {
    #[prost(string, tag = "1")]
    pub(crate) account: String,
    #[prost(fixed64, tag = "2")]
    pub(crate) nonce: u64,
    #[prost(uint32, tag = "3")]
    pub(crate) granted: u32,
    #[prost(uint64, tag = "4")]
    pub(crate) retry_after_ms: u64,
}

/// The encoded form of a [`crate::QuotaMessage::Question`].
#[derive(Clone, PartialEq, Message)]
pub(crate) struct QuotaQuestionMessage {
    #[prost(string, tag = "1")]
    pub(crate) account: String,
    #[prost(uint32, tag = "2")]
    pub(crate) wanted: u32,
    #[prost(fixed64, tag = "3")]
    pub(crate) nonce: u64,
    #[prost(uint64, tag = "4")]
    pub(crate) config_version: u64,
    // One more than the number, so that 0 means the question of an earlier release.
    #[prost(uint32, tag = "5")]
    pub(crate) partition_and_one: u32,
}

/// The encoded form of a `TargetRecord`.
#[derive(Clone, PartialEq, Message)]
pub(crate) struct TargetMessage {
    #[prost(string, tag = "1")]
    pub(crate) id: String,
    #[prost(string, tag = "2")]
    pub(crate) service: String,
    #[prost(uint64, tag = "3")]
    pub(crate) born_ms: u64,
    #[prost(uint64, tag = "4")]
    pub(crate) sequence: u64,
    #[prost(uint32, tag = "5")]
    pub(crate) slots: u32,
    #[prost(uint32, tag = "6")]
    pub(crate) state: u32,
    #[prost(string, tag = "7")]
    pub(crate) version: String,
}
