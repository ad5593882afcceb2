use std::sync::{Arc, OnceLock};

use medlarspool_types::ConfigDigest;

use crate::CustomerEntry;

/// The bytes of an entry's digest input apart from its texts: two lengths and the credential's hash.
const FIXED_ENTRY_BYTES: usize = 40;

/// A few customers with their digest, which is cached until one of them changes.
#[derive(Clone, Debug, Default)]
pub(crate) struct Page {
    digest: OnceLock<ConfigDigest>,
    entries: Vec<Arc<CustomerEntry>>,
}

impl Page {
    pub(crate) fn new(entries: Vec<Arc<CustomerEntry>>) -> Self {
        Self {
            digest: OnceLock::new(),
            entries,
        }
    }

    pub(crate) fn entries(&self) -> &[Arc<CustomerEntry>] {
        &self.entries
    }

    /// Returns the entries to change, and clears the cached digest.
    pub(crate) fn entries_mut(&mut self) -> &mut Vec<Arc<CustomerEntry>> {
        self.digest = OnceLock::new();
        &mut self.entries
    }

    pub(crate) fn cached_digest(&self) -> ConfigDigest {
        *self.digest.get_or_init(|| self.recomputed_digest())
    }

    /// Computes the digest from the entries, without the cache.
    pub(crate) fn recomputed_digest(&self) -> ConfigDigest {
        let mut bytes = Vec::with_capacity(
            self.entries
                .iter()
                .map(|entry| digest_input_bytes(entry))
                .sum(),
        );
        for entry in &self.entries {
            push_text(&mut bytes, entry.customer.as_str());
            push_text(&mut bytes, entry.plan.as_str());
            bytes.extend_from_slice(&entry.credential_sha256.0);
        }
        ConfigDigest::of(&bytes)
    }
}

fn digest_input_bytes(entry: &CustomerEntry) -> usize {
    FIXED_ENTRY_BYTES + entry.customer.as_str().len() + entry.plan.as_str().len()
}

/// Appends a text after its length in four bytes, so that different entries have different digest inputs.
fn push_text(bytes: &mut Vec<u8>, text: &str) {
    let length = u32::try_from(text.len()).unwrap_or(u32::MAX);
    bytes.extend_from_slice(&length.to_be_bytes());
    bytes.extend_from_slice(text.as_bytes());
}
