use std::time::Duration;

use medlarspool_spread::{SpreadMode, SpreadPreference, SpreadSettings};

/// A spread strategy that the convergence bench measures.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ConvergenceStrategy {
    /// The shared budget with the defaults that prefer fewer control bytes.
    ControlBytes,
    /// The shared budget with the defaults that prefer faster convergence.
    Convergence,
    /// The baseline, in which each daemon polls the store.
    Poll,
}

impl ConvergenceStrategy {
    /// All strategies, the baseline first.
    pub const ALL: [Self; 3] = [Self::Poll, Self::Convergence, Self::ControlBytes];

    /// Returns the prefix of the printed figures' names.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::ControlBytes => "control_bytes",
            Self::Convergence => "convergence",
            Self::Poll => "poll",
        }
    }

    /// Returns whether bounds apply to the strategy's figures; they don't to the baseline, which isn't shipped.
    #[must_use]
    pub const fn is_bounded(self) -> bool {
        !matches!(self, Self::Poll)
    }

    /// Returns the strategy's settings. First reads are spread over 1 s only, since a fleet that
    /// starts for a bench needs no longer spread.
    #[must_use]
    pub fn settings(self) -> SpreadSettings {
        let preference = match self {
            Self::ControlBytes => SpreadPreference::ControlBytes,
            Self::Convergence | Self::Poll => SpreadPreference::Convergence,
        };
        let mode = match self {
            Self::ControlBytes | Self::Convergence => SpreadMode::SharedBudget,
            Self::Poll => SpreadMode::Poll,
        };
        SpreadSettings {
            join_spread: Duration::from_secs(1),
            mode,
            ..SpreadSettings::for_preference(preference)
        }
    }
}
