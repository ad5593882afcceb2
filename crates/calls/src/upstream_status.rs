/// What membership says of an upstream; it overrules all own evidence.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum UpstreamStatus {
    /// It may be given work.
    #[default]
    Alive,
    /// It is about to stop and gets no new work.
    Leaving,
    /// It may be dead and gets no work unless all others are worse.
    Suspect,
}
