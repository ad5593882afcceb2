//! Converts crash notices to wire messages and back.

use medlarspool_calls::{CrashId, Fingerprint, QuarantineNotice};
use medlarspool_proto::{CrashNotice, WireCrash};

pub(crate) fn wire_notice(notice: &QuarantineNotice) -> CrashNotice {
    match notice {
        QuarantineNotice::Cleared {
            crashes,
            fingerprint,
        } => CrashNotice {
            cleared: true,
            crashes: crashes.iter().map(wire_crash).collect(),
            fingerprints: vec![wire_fingerprint(*fingerprint)],
        },
        QuarantineNotice::Crashed {
            crash,
            fingerprints,
        } => CrashNotice {
            cleared: false,
            crashes: vec![wire_crash(crash)],
            fingerprints: fingerprints.iter().copied().map(wire_fingerprint).collect(),
        },
    }
}

/// Returns `None` if the notice is malformed, if it reports a crash without an id, or if it clears a
/// fingerprint without naming one.
pub(crate) fn notice(wire: &CrashNotice) -> Option<QuarantineNotice> {
    let crashes: Option<Vec<CrashId>> = wire.crashes.iter().map(crash).collect();
    let fingerprints: Option<Vec<Fingerprint>> = wire
        .fingerprints
        .iter()
        .map(|bytes| fingerprint(bytes))
        .collect();
    let (mut crashes, fingerprints) = (crashes?, fingerprints?);
    if wire.cleared {
        let fingerprint = *fingerprints.first()?;
        return Some(QuarantineNotice::Cleared {
            crashes,
            fingerprint,
        });
    }
    Some(QuarantineNotice::Crashed {
        crash: crashes.pop()?,
        fingerprints,
    })
}

fn crash(wire: &WireCrash) -> Option<CrashId> {
    Some(CrashId {
        instance: wire.instance.parse().ok()?,
        number: wire.number,
    })
}

fn fingerprint(bytes: &[u8]) -> Option<Fingerprint> {
    Some(Fingerprint(u128::from_be_bytes(bytes.try_into().ok()?)))
}

fn wire_crash(crash: &CrashId) -> WireCrash {
    WireCrash {
        instance: crash.instance.as_str().to_owned(),
        number: crash.number,
    }
}

fn wire_fingerprint(fingerprint: Fingerprint) -> Vec<u8> {
    fingerprint.0.to_be_bytes().to_vec()
}
