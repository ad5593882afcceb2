use std::time::Duration;

use medlarspool_calls::CallSettings;

/// Which decisions a modelled run makes, each beside its simplest baseline.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct CallsPolicies {
    /// How an upstream is chosen.
    pub choice: ChoicePolicy,
    /// What the figures are called by.
    pub name: &'static str,
    /// How requests wait.
    pub queue: QueuePolicy,
    /// How often a request is tried again.
    pub retry: RetryMode,
    /// What is left out of the choice.
    pub without: Option<ChoicePart>,
}

/// A part of the choice that can be left out.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ChoicePart {
    /// Ejection on own evidence.
    Ejection,
    /// The ramp of cold upstreams.
    SlowStart,
    /// The preference for the own zone.
    Zones,
}

/// How an upstream is chosen.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ChoicePolicy {
    /// The one with the least expected wait of two drawn.
    LeastWait,
    /// Any that membership has not declared dead.
    Random,
}

/// How requests wait at a gate.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum QueuePolicy {
    /// In weighted fair order, without those that can't meet their deadline.
    Fair,
    /// First come, first served, up to the same bound.
    Fifo,
}

/// How often a request is tried again.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RetryMode {
    /// Within the budget.
    Budget,
    /// At once, as often as tries are allowed.
    Unbounded,
}

impl CallsPolicies {
    /// Takes what is left out, out of the settings.
    pub(crate) fn apply_to(&self, settings: &mut CallSettings) {
        match self.without {
            Some(ChoicePart::Ejection) => settings.ejection_threshold = u32::MAX,
            Some(ChoicePart::SlowStart) => settings.slow_start = Duration::ZERO,
            Some(ChoicePart::Zones) | None => {}
        }
    }
}

impl CallsPolicies {
    /// The simplest of everything.
    pub const BASELINE: Self = Self {
        choice: ChoicePolicy::Random,
        name: "baseline",
        queue: QueuePolicy::Fifo,
        retry: RetryMode::Unbounded,
        without: None,
    };
    /// What the daemon does.
    pub const CHOSEN: Self = Self {
        choice: ChoicePolicy::LeastWait,
        name: "chosen",
        queue: QueuePolicy::Fair,
        retry: RetryMode::Budget,
        without: None,
    };
    /// The chosen ones but for the queue.
    pub const FIFO_QUEUE: Self = Self {
        name: "fifo_queue",
        queue: QueuePolicy::Fifo,
        ..Self::CHOSEN
    };
    /// The chosen ones but for ejection.
    pub const NO_EJECTION: Self = Self {
        name: "no_ejection",
        without: Some(ChoicePart::Ejection),
        ..Self::CHOSEN
    };
    /// The chosen ones but for the ramp.
    pub const NO_SLOW_START: Self = Self {
        name: "no_ramp",
        without: Some(ChoicePart::SlowStart),
        ..Self::CHOSEN
    };
    /// The chosen ones but for zones.
    pub const NO_ZONES: Self = Self {
        name: "no_zones",
        without: Some(ChoicePart::Zones),
        ..Self::CHOSEN
    };
    /// The chosen ones but for the choice.
    pub const RANDOM_CHOICE: Self = Self {
        choice: ChoicePolicy::Random,
        name: "random_choice",
        ..Self::CHOSEN
    };
    /// The chosen ones but for the budget.
    pub const UNBOUNDED_RETRY: Self = Self {
        name: "unbounded_retry",
        retry: RetryMode::Unbounded,
        ..Self::CHOSEN
    };
}
