use std::time::Duration;

use medlarspool_mesh::MessageLimits;

/// The limits on what other daemons send. An entry has checked the limits for clients, perhaps those of another version
/// of the configuration, and ends a hop with its client's request.
pub(crate) const PEER_LIMITS: MessageLimits = MessageLimits {
    // A congested link may delay the rest of a head for longer than a client may take.
    header_timeout: Duration::from_mins(1),
    // A client may pause in a body for as long as its own limit allows. An idle connection has to outlast its time in
    // the pool of the entry, or a request could be sent on it while it closes.
    idle_timeout: Duration::from_mins(10),
    max_body_bytes: u64::MAX,
    // Headers of hops are added to those of the client.
    max_header_bytes: 1 << 20,
};
