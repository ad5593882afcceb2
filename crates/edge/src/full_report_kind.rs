/// Why a daemon sends a full report to another one.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum FullReportKind {
    /// The receiver is new, was silent, or asked for a full report.
    Reply,
    /// The sender introduces itself and asks for a full report in return.
    Request,
}
