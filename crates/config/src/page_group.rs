use std::sync::{Arc, OnceLock};

use medlarspool_types::ConfigDigest;

use crate::page::Page;

/// The number of pages in a group, and the number of groups.
pub(crate) const FAN_OUT: usize = 32;

/// [`FAN_OUT`] pages and the cached digest of their digests. Changing a page clears the cache.
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

    /// Returns a page to change, and clears the cached digest; a page that another version shares is copied.
    pub(crate) fn page_mut(&mut self, index: usize) -> &mut Page {
        self.digest = OnceLock::new();
        Arc::make_mut(&mut self.pages[index])
    }

    pub(crate) fn cached_digest(&self) -> ConfigDigest {
        let digest = || digest_of(self.pages.iter().map(|page| page.cached_digest()));
        *self.digest.get_or_init(digest)
    }

    /// Computes the digest from the entries of all pages, without the caches.
    pub(crate) fn recomputed_digest(&self) -> ConfigDigest {
        digest_of(self.pages.iter().map(|page| page.recomputed_digest()))
    }
}

/// Returns the digest of several digests in their order.
pub(crate) fn digest_of(digests: impl IntoIterator<Item = ConfigDigest>) -> ConfigDigest {
    let bytes: Vec<u8> = digests
        .into_iter()
        .flat_map(|digest| digest.0.to_be_bytes())
        .collect();
    ConfigDigest::of(&bytes)
}
