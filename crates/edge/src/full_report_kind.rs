/// Why a daemon tells another all that it may have missed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum FullReportKind {
    /// The other one has just come, or come back.
    Reply,
    /// It makes itself known and asks for an answer.
    Request,
}
