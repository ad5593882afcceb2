/// The run time of recently started requests that are alike in their order.
#[derive(Clone, Debug)]
pub(crate) struct StartGroup {
    pub(crate) is_call: bool,
    /// Whether the requests could no longer be answered in time when they started.
    pub(crate) is_late: bool,
    pub(crate) rank: u32,
    /// The expected run time, in seconds; earlier starts count less.
    pub(crate) time_s: f64,
}
