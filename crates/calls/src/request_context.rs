use std::{fmt, str::FromStr, time::Duration};

use medlarspool_types::{CallId, ConfigVersion};

use crate::CallError;

/// The greatest depth of a chain of calls; a deeper chain is assumed to be a loop.
const MAX_DEPTH: u8 = 16;

/// The context of a request. Each hop passes it on, and so does an upstream with the calls that it makes
/// while it runs the request.
///
/// It is one header of the form `deadline-ms;depth;retry-per-mille;version;parent`. Times are relative, so
/// the clocks of two machines are never compared.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct RequestContext {
    /// How many calls are above this one; 0 at the entry that the external caller reached.
    pub depth: u8,
    /// The call whose run made this one.
    pub parent: Option<CallId>,
    /// The time left until the first caller stops waiting.
    pub remaining: Duration,
    /// The thousandths of a retry that the retry budgets from this hop on may still take; see
    /// [`crate::RetryBudget`].
    pub retry_per_mille: u32,
    /// The configuration version by which the request was admitted.
    pub version: ConfigVersion,
}

impl RequestContext {
    /// The name of the header that carries it.
    pub const HEADER: &str = "medlarspool-context";

    /// Returns the context for a call made at this hop, `elapsed` after `remaining` was determined.
    #[must_use]
    pub fn next_hop(&self, call: CallId, elapsed: Duration) -> Self {
        Self {
            depth: self.depth.saturating_add(1),
            parent: Some(call),
            remaining: self.remaining.saturating_sub(elapsed),
            ..*self
        }
    }

    /// Returns whether the chain of calls is deeper than allowed.
    #[must_use]
    pub const fn is_too_deep(&self) -> bool {
        self.depth > MAX_DEPTH
    }
}

impl fmt::Display for RequestContext {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let remaining_ms = self.remaining.as_millis();
        write!(
            formatter,
            "{remaining_ms};{};{};{};",
            self.depth, self.retry_per_mille, self.version
        )?;
        match self.parent {
            Some(parent) => parent.fmt(formatter),
            None => Ok(()),
        }
    }
}

impl FromStr for RequestContext {
    type Err = CallError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        parse(text).ok_or_else(|| CallError::Context(text.into()))
    }
}

fn parse(text: &str) -> Option<RequestContext> {
    let mut fields = text.trim().split(';');
    let remaining_ms = fields.next()?.parse().ok()?;
    let depth = fields.next()?.parse().ok()?;
    let retry_per_mille = fields.next()?.parse().ok()?;
    let version = fields.next()?.parse().ok()?;
    let parent = match fields.next()? {
        "" => None,
        id => Some(CallId(u128::from_str_radix(id, 16).ok()?)),
    };
    if fields.next().is_some() {
        return None;
    }
    Some(RequestContext {
        depth,
        parent,
        remaining: Duration::from_millis(remaining_ms),
        retry_per_mille,
        version: ConfigVersion(version),
    })
}
