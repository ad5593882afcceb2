/// Whom a daemon gets its confirmations from.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ConfirmationRole {
    /// From a relay of its availability zone, or another one.
    Follower,
    /// From the store, by its own feed. The lead is the lead relay, or the first daemon where there is no relay.
    Lead,
    /// From the lead.
    Relay,
}
