/// What became of an attempt, as a gate reports it to another daemon.
///
/// A missing value is decoded as [`WireFate::MayHaveRun`], which promises nothing.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, prost::Enumeration)]
#[repr(i32)]
pub enum WireFate {
    /// It was started and how it ended is unknown, or the gate can't know whether it was started.
    MayHaveRun = 0,
    /// It ran, but its answer is no longer retained.
    AnswerGone = 1,
    /// The gate has no record of it.
    NeverSeen = 2,
    /// It did not run and never will.
    NotRun = 3,
    /// It ran and its answer is retained.
    Ran = 4,
    /// It is queued or running.
    Underway = 5,
}
