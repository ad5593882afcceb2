use std::time::Duration;

use medlarspool_mesh::{CrashEvidence, ReportedCrash};

use crate::report_message::CrashMessage;

/// Encodes crashes; those that follow each other and are the same crash have one message.
pub(crate) fn encode_crashes(crashes: &[ReportedCrash]) -> Vec<CrashMessage> {
    let groups = crashes.chunk_by(|one, other| one.id == other.id);
    groups
        .map(|group| {
            let ages = group.iter().map(|crash| crash.age);
            CrashMessage {
                age_ms: ages
                    .max()
                    .map_or(0, |age| u64::try_from(age.as_millis()).unwrap_or(u64::MAX)),
                evidence: group.iter().map(|crash| number(crash.evidence)).collect(),
                fingerprints: group.iter().map(|crash| crash.fingerprint).collect(),
                id: group[0].id,
            }
        })
        .collect()
}

/// Decodes the requests of a crash. Evidence of a kind that this release doesn't know says no more than that they ran.
pub(crate) fn decode_crash(message: &CrashMessage) -> impl Iterator<Item = ReportedCrash> {
    let evidence = message.evidence.iter().map(|number| match number {
        1 => CrashEvidence::Shared,
        2 => CrashEvidence::Sole,
        3 => CrashEvidence::Cleared,
        _ => CrashEvidence::Ran,
    });
    let requests = message.fingerprints.iter().zip(evidence);
    requests.map(|(fingerprint, evidence)| ReportedCrash {
        age: Duration::from_millis(message.age_ms),
        evidence,
        fingerprint: *fingerprint,
        id: message.id,
    })
}

const fn number(evidence: CrashEvidence) -> u32 {
    match evidence {
        CrashEvidence::Cleared => 3,
        CrashEvidence::Ran => 0,
        CrashEvidence::Shared => 1,
        CrashEvidence::Sole => 2,
    }
}
