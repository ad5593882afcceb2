use std::sync::{Arc, OnceLock};

use medlarspool_types::ConfigDigest;

use crate::page::Page;

/// The number of pages in a group, and of groups.
pub(crate) const FAN_OUT: usize = 32;

/// A few pages and the digest of their digests.
#[derive(Clone, Debug)]
pub(crate) struct PageGroup {
    digest: OnceLock<ConfigDigest>,
    pages: Vec<Arc<Page>>,
}

impl PageGroup {
    pub(crate) fn new(pages: Vec<Arc<Page>>) -> Self {
        Self {
            digest: OnceLock::new(),
            pages,
        }
    }

    pub(crate) fn pages(&self) -> &[Arc<Page>] {
        &self.pages
    }

    /// Returns a page to change; it is copied if another version shares it.
    pub(crate) fn page_mut(&mut self, at: usize) -> &mut Page {
        self.digest = OnceLock::new();
        Arc::make_mut(&mut self.pages[at])
    }

    pub(crate) fn cached_digest(&self) -> ConfigDigest {
        let digest = || digest_of(self.pages.iter().map(|page| page.cached_digest()));
        *self.digest.get_or_init(digest)
    }

    pub(crate) fn recomputed_digest(&self) -> ConfigDigest {
        digest_of(self.pages.iter().map(|page| page.recomputed_digest()))
    }
}

/// Returns the digest of several digests.
pub(crate) fn digest_of(digests: impl IntoIterator<Item = ConfigDigest>) -> ConfigDigest {
    let bytes: Vec<u8> = digests
        .into_iter()
        .flat_map(|digest| digest.0.to_be_bytes())
        .collect();
    ConfigDigest::of(&bytes)
}
