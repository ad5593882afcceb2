//! The headers that a daemon adds to a request that it sends to the daemon beside a target, and the headers of
//! the reply.

/// The digest of the client's key and the name of its account; absent for requests that need no key.
pub const ACCOUNT: &str = "Medlarspool-Account";
/// How long after the arrival of its request a gate wrote an interim response, in milliseconds.
pub const AGE_MS: &str = "Medlarspool-Age-Ms";
/// Marks a request that only queries the fate of an earlier hop; holds the incarnation of the daemon that the
/// hop was sent to, since a later incarnation has no record of it.
pub const ATTACH: &str = "Medlarspool-Attach";
/// The services that a run of the route calls: names, calls per run and shares of failed calls, the latter two in
/// thousandths; absent if it is not known to call any.
pub const CALLS: &str = "Medlarspool-Calls";
/// Fingerprint of the request, by which crashes are counted against it; in hexadecimal digits.
pub const FINGERPRINT: &str = "Medlarspool-Fingerprint";
/// What the entry knows of the target's limit, as the number of `TargetLimit::to_number`; absent unless there is a
/// limit.
pub const LIMIT: &str = "Medlarspool-Limit";
/// The numbers of a target's load in the order of `TargetLoad::to_numbers`, separated by commas.
pub const LOAD: &str = "Medlarspool-Load";
/// How long the request may wait at the gate, in milliseconds.
pub const MAX_WAIT_MS: &str = "Medlarspool-Patience-Ms";
/// Why the reply has no response of the target: the request was refused, or its outcome is unknown.
pub const REFUSED: &str = "Medlarspool-Refused";
/// Route key in hexadecimal digits, 1 for an idempotent request or 0 for others, rank, target latency, assumed
/// run time, and 1 for a call of a running request; separated by commas, times in milliseconds.
pub const ROUTE: &str = "Medlarspool-Route";
/// Marks a retry whose calls are to be charged to the retry budget, since the entry did not know them.
pub const RETRY: &str = "Medlarspool-Repeat";
/// The run time at the target, in microseconds; absent unless the target responded with a status below 500.
pub const RUN_US: &str = "Medlarspool-Run-Us";
/// When the request was sent, as the text of a `SendStamp`; absent in requests of earlier releases.
pub const SENT: &str = "Medlarspool-Sent";
/// The id of the target that is to run the request.
pub const TARGET: &str = "Medlarspool-Target";
/// Whether the request ran, may have run, or didn't run.
pub const VERDICT: &str = "Medlarspool-Verdict";
/// The prefix of all these headers, in lower case; headers with this prefix in clients' requests are dropped.
pub const PREFIX: &str = "medlarspool-";
