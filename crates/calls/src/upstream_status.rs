/// What membership reports of an upstream; it takes precedence over the entry's own measurements.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum UpstreamStatus {
    /// It may be given work.
    #[default]
    Alive,
    /// It is about to stop and gets no new work.
    Leaving,
    /// It may be dead and gets work only if no eligible upstream is left.
    Suspect,
}
