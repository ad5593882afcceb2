use std::time::Duration;

use medlarspool_calls::CallSettings;

/// The policies of a modelled run; each can be replaced by a simple baseline.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct CallsPolicies {
    /// How an upstream is chosen.
    pub choice: ChoicePolicy,
    /// The name in the figures.
    pub name: &'static str,
    /// How requests wait at a gate.
    pub queue: QueuePolicy,
    /// How often a request is retried.
    pub retry: RetryMode,
    /// The part of the choice that is disabled, if any.
    pub without: Option<ChoicePart>,
}

/// A part of the choice of an upstream that can be disabled.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ChoicePart {
    /// The ejection of an upstream that fails calls of this entry.
    Ejection,
    /// The slow start of new upstreams.
    SlowStart,
    /// The preference for upstreams in the entry's own zone.
    Zones,
}

/// How an upstream is chosen.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ChoicePolicy {
    /// The upstream with the lower expected latency of two that are drawn at random.
    LeastWait,
    /// Any upstream that membership has not declared dead, at random.
    Random,
}

/// How requests wait at a gate.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum QueuePolicy {
    /// In weighted fair order; requests that can't meet their deadline are refused.
    Fair,
    /// First in, first out, up to the same queue length.
    Fifo,
}

/// How often a request is retried.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RetryMode {
    /// Up to the maximum number of attempts, and only while the retry budget allows it.
    Budget,
    /// Without a budget, up to the maximum number of attempts.
    Unbounded,
}

impl CallsPolicies {
    /// Disables the part [`Self::without`] of the choice in the settings. They have no switch for the zone
    /// preference, which the model's entries disable instead.
    pub(crate) fn apply_to(&self, settings: &mut CallSettings) {
        match self.without {
            Some(ChoicePart::Ejection) => settings.ejection_threshold = u32::MAX,
            Some(ChoicePart::SlowStart) => settings.slow_start = Duration::ZERO,
            Some(ChoicePart::Zones) | None => {}
        }
    }
}

impl CallsPolicies {
    /// The baseline of every policy: random choice, FIFO queue and unbounded retries.
    pub const BASELINE: Self = Self {
        choice: ChoicePolicy::Random,
        name: "baseline",
        queue: QueuePolicy::Fifo,
        retry: RetryMode::Unbounded,
        without: None,
    };
    /// The policies of the daemon.
    pub const CHOSEN: Self = Self {
        choice: ChoicePolicy::LeastWait,
        name: "chosen",
        queue: QueuePolicy::Fair,
        retry: RetryMode::Budget,
        without: None,
    };
    /// The daemon's policies with a FIFO queue.
    pub const FIFO_QUEUE: Self = Self {
        name: "fifo_queue",
        queue: QueuePolicy::Fifo,
        ..Self::CHOSEN
    };
    /// The daemon's policies without ejection.
    pub const NO_EJECTION: Self = Self {
        name: "no_ejection",
        without: Some(ChoicePart::Ejection),
        ..Self::CHOSEN
    };
    /// The daemon's policies without slow start.
    pub const NO_SLOW_START: Self = Self {
        name: "no_ramp",
        without: Some(ChoicePart::SlowStart),
        ..Self::CHOSEN
    };
    /// The daemon's policies without a preference for the own zone.
    pub const NO_ZONES: Self = Self {
        name: "no_zones",
        without: Some(ChoicePart::Zones),
        ..Self::CHOSEN
    };
    /// The daemon's policies with a random choice.
    pub const RANDOM_CHOICE: Self = Self {
        choice: ChoicePolicy::Random,
        name: "random_choice",
        ..Self::CHOSEN
    };
    /// The daemon's policies without a retry budget.
    pub const UNBOUNDED_RETRY: Self = Self {
        name: "unbounded_retry",
        retry: RetryMode::Unbounded,
        ..Self::CHOSEN
    };
}
