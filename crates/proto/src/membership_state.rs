use medlarspool_membership::{AccusationKind, AnnouncedState, UpstreamState};
use prost::Enumeration;

/// An [`AccusationKind`] on the wire.
#[derive(Clone, Copy, Debug, Enumeration, Eq, Hash, Ord, PartialEq, PartialOrd)]
#[repr(i32)]
pub enum WireAccusationKind {
    /// Suspected.
    Suspect = 0,
    /// Held dead.
    Dead = 1,
}

/// An [`AnnouncedState`] on the wire.
#[derive(Clone, Copy, Debug, Enumeration, Eq, Hash, Ord, PartialEq, PartialOrd)]
#[repr(i32)]
pub enum WireAnnouncedState {
    /// Serving.
    Alive = 0,
    /// Finishing what is in flight.
    Leaving = 1,
    /// Stopped as planned.
    Left = 2,
}

/// An [`UpstreamState`] on the wire.
#[derive(Clone, Copy, Debug, Enumeration, Eq, Hash, Ord, PartialEq, PartialOrd)]
#[repr(i32)]
pub enum WireUpstreamState {
    /// Never announced.
    Absent = 0,
    /// Serving.
    Serving = 1,
    /// Did not renew.
    Lapsed = 2,
    /// Announced that it leaves.
    Leaving = 3,
    /// Refused a connection.
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
