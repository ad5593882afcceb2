/// How busy a target is, as its gate counts it.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct TargetLoad {
    /// The requests that the target runs.
    pub running: u32,
    /// The requests that wait at the gate.
    pub waiting: u32,
    /// How long a request that comes now would wait, in microseconds.
    pub wait_us: u32,
    /// How many runs of 256 failed or were turned away by the target lately.
    pub failing_of_256: u32,
}
