use medlarspool_membership::{AccusationKind, AnnouncedState, UpstreamState};
use prost::Enumeration;

/// An [`AccusationKind`] on the wire.
#[derive(Clone, Copy, Debug, Enumeration, Eq, Hash, Ord, PartialEq, PartialOrd)]
#[repr(i32)]
pub enum WireAccusationKind {
    /// The member did not answer probes.
    Suspect = 0,
    /// The member did not refute a suspicion in time.
    Dead = 1,
}

/// An [`AnnouncedState`] on the wire.
#[derive(Clone, Copy, Debug, Enumeration, Eq, Hash, Ord, PartialEq, PartialOrd)]
#[repr(i32)]
pub enum WireAnnouncedState {
    /// The daemon serves.
    Alive = 0,
    /// The daemon takes no new work and finishes the calls in flight.
    Leaving = 1,
    /// The daemon has stopped as planned.
    Left = 2,
}

/// An [`UpstreamState`] on the wire.
#[derive(Clone, Copy, Debug, Enumeration, Eq, Hash, Ord, PartialEq, PartialOrd)]
#[repr(i32)]
pub enum WireUpstreamState {
    /// No upstream has been announced.
    Absent = 0,
    /// The upstream serves.
    Serving = 1,
    /// The upstream did not renew its announcement in time.
    Lapsed = 2,
    /// The upstream announced that it leaves.
    Leaving = 3,
    /// The upstream refused a connection.
    Refusing = 4,
}

impl From<AccusationKind> for WireAccusationKind {
    fn from(kind: AccusationKind) -> Self {
        match kind {
            AccusationKind::Dead => Self::Dead,
            AccusationKind::Suspect => Self::Suspect,
        }
    }
}

impl From<AnnouncedState> for WireAnnouncedState {
    fn from(state: AnnouncedState) -> Self {
        match state {
            AnnouncedState::Alive => Self::Alive,
            AnnouncedState::Leaving => Self::Leaving,
            AnnouncedState::Left => Self::Left,
        }
    }
}

impl From<UpstreamState> for WireUpstreamState {
    fn from(state: UpstreamState) -> Self {
        match state {
            UpstreamState::Absent => Self::Absent,
            UpstreamState::Lapsed => Self::Lapsed,
            UpstreamState::Leaving => Self::Leaving,
            UpstreamState::Refusing => Self::Refusing,
            UpstreamState::Serving => Self::Serving,
        }
    }
}

impl From<WireAccusationKind> for AccusationKind {
    fn from(kind: WireAccusationKind) -> Self {
        match kind {
            WireAccusationKind::Dead => Self::Dead,
            WireAccusationKind::Suspect => Self::Suspect,
        }
    }
}

impl From<WireAnnouncedState> for AnnouncedState {
    fn from(state: WireAnnouncedState) -> Self {
        match state {
            WireAnnouncedState::Alive => Self::Alive,
            WireAnnouncedState::Leaving => Self::Leaving,
            WireAnnouncedState::Left => Self::Left,
        }
    }
}

impl From<WireUpstreamState> for UpstreamState {
    fn from(state: WireUpstreamState) -> Self {
        match state {
            WireUpstreamState::Absent => Self::Absent,
            WireUpstreamState::Lapsed => Self::Lapsed,
            WireUpstreamState::Leaving => Self::Leaving,
            WireUpstreamState::Refusing => Self::Refusing,
            WireUpstreamState::Serving => Self::Serving,
        }
    }
}
