use std::{fmt, str::FromStr};

use medlarspool_types::{Address, CallId, Incarnation, InstanceId};

use crate::{CallError, Fingerprint};

/// The row that records which attempt holds an idempotency key; it is written before the attempt may
/// run.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ClaimRow {
    /// The attempt that holds the key.
    pub attempt: CallId,
    /// The fingerprint of the request that the key was used with.
    pub fingerprint: Fingerprint,
    /// The instance whose gate received the attempt.
    pub gate: InstanceId,
    /// The address at which that gate is asked for the attempt's fate.
    pub gate_address: Address,
    /// The incarnation of that gate's process.
    pub gate_incarnation: Incarnation,
}

impl fmt::Display for ClaimRow {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            formatter,
            "{} {} {} {} {}",
            self.attempt, self.fingerprint, self.gate, self.gate_address, self.gate_incarnation
        )
    }
}

impl FromStr for ClaimRow {
    type Err = CallError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        parse(text).ok_or_else(|| CallError::ClaimRow(text.into()))
    }
}

fn parse(text: &str) -> Option<ClaimRow> {
    let mut fields = text.split(' ');
    let row = ClaimRow {
        attempt: CallId(u128::from_str_radix(fields.next()?, 16).ok()?),
        fingerprint: Fingerprint(u128::from_str_radix(fields.next()?, 16).ok()?),
        gate: fields.next()?.parse().ok()?,
        gate_address: fields.next()?.parse().ok()?,
        gate_incarnation: Incarnation(fields.next()?.parse().ok()?),
    };
    fields.next().is_none().then_some(row)
}
