use displaydoc::Display;
use serde::{Deserialize, Serialize};

/// Says whether a request may have run at its upstream.
///
/// Only the gate that received the request may return [`Verdict::NotRun`], and it fences the request
/// first. See `docs/design/calls.md`.
#[derive(
    Clone, Copy, Debug, Deserialize, Display, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
#[serde(rename_all = "snake_case")]
pub enum Verdict {
    /// may-have-run
    MayHaveRun,
    /// not-run
    NotRun,
    /// ran
    Ran,
}
