/// What became of a try, on the wire; a missing one reads as "may have run", which claims least.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, prost::Enumeration)]
#[repr(i32)]
pub enum WireFate {
    /// The gate can't know.
    MayHaveRun = 0,
    /// It ran and its answer is no longer kept.
    AnswerGone = 1,
    /// The gate has no record of it.
    NeverSeen = 2,
    /// It did not run and is fenced.
    NotRun = 3,
    /// It ran and its answer is kept.
    Ran = 4,
    /// It waits or runs.
    Underway = 5,
}
