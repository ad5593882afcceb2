use std::time::Duration;

use medlarspool_spread::{SpreadMode, SpreadPreference, SpreadSettings};

/// What the bench of convergence compares.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ConvergenceStrategy {
    /// The shared budget with the defaults that weigh control bytes more.
    ControlBytes,
    /// The shared budget with the defaults that weigh convergence more.
    Convergence,
    /// The baseline, in which each daemon polls.
    Poll,
}

impl ConvergenceStrategy {
    /// Every way, the baseline first.
    pub const ALL: [Self; 3] = [Self::Poll, Self::Convergence, Self::ControlBytes];

    /// Returns the name that figures are printed by.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::ControlBytes => "control_bytes",
            Self::Convergence => "convergence",
            Self::Poll => "poll",
        }
    }

    /// Returns whether the bounds count, as they do for what ships.
    #[must_use]
    pub const fn is_bounded(self) -> bool {
        !matches!(self, Self::Poll)
    }

    /// Returns the settings; a fleet that starts for a bench needs no long spread of first reads.
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
