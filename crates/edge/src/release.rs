use std::{net::SocketAddr, time::Duration};

/// What a dropped guard gives back to the node; see [`Core::release`](crate::core::Core::release).
#[derive(Clone, Copy, Debug)]
pub(crate) enum Release {
    /// A request that was in flight to a daemon.
    InFlight {
        address: SocketAddr,
        is_download: bool,
    },
    /// The slot of a run.
    Slot {
        expected_run_time: Duration,
        run_number: u64,
    },
    /// A place in the gate's queue.
    Ticket { ticket: u64 },
}
