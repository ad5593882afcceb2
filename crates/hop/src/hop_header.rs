//! The headers that a daemon adds to a request for the daemon beside a target, and to its answer.

/// Marks a request that asks only for the fate of an earlier hop; holds the incarnation of the daemon
/// that the hop was sent to, since a later one knows nothing of it.
pub const ATTACH: &str = "Medlarspool-Attach";
/// Fingerprint of the request, in hexadecimal digits.
pub const FINGERPRINT: &str = "Medlarspool-Fingerprint";
/// The numbers of a target's load, separated by commas.
pub const LOAD: &str = "Medlarspool-Load";
/// How many milliseconds the request may wait at the gate.
pub const MAX_WAIT_MS: &str = "Medlarspool-Patience-Ms";
/// Why a gate refused a request.
pub const REFUSED: &str = "Medlarspool-Refused";
/// Route key, repeat, rank, target latency and assumed run in milliseconds; separated by commas.
pub const ROUTE: &str = "Medlarspool-Route";
/// Marks a request that has arrived at a target before.
pub const RETRY: &str = "Medlarspool-Repeat";
/// How many microseconds the target took.
pub const RUN_US: &str = "Medlarspool-Run-Us";
/// The id of the target that is to run the request.
pub const TARGET: &str = "Medlarspool-Target";
/// Whether the request may have run.
pub const VERDICT: &str = "Medlarspool-Verdict";
/// What all of these headers begin with, in lower case; clients' own ones are dropped.
pub const PREFIX: &str = "medlarspool-";
