/// How a request uses the targets of a version that is being rolled out.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum CanaryChoice {
    /// The request goes to a stable target: it holds no exposure token, or it failed at a canary before.
    #[default]
    Avoided,
    /// The request holds an exposure token. It goes to one of `count` canaries, so that each is loaded like a stable
    /// target and faults under load show. With each `turn` the next ones are used, so that a fault of a single
    /// target isn't taken for one of the version.
    Concentrated {
        /// The number of canaries that are in use.
        count: usize,
        /// The number of the turn, the same at all daemons.
        turn: u64,
    },
    /// All requests go to new targets, and to old ones only if no new one is usable.
    Preferred,
    /// The request holds an exposure token and goes to any canary.
    Spread,
}
