use std::sync::Arc;

use medlarspool_types::ConfigDigest;

use crate::{
    CustomerEntry,
    customers::Customers,
    page::Page,
    page_group::{FAN_OUT, PageGroup, digest_of},
    page_key::{KeyField, PageKey},
};

/// All customers, divided into pages that versions share, so that a small change copies few of them.
///
/// The hash of an entry's key decides its page; a page is sorted by the same key.
#[derive(Clone, Debug)]
pub(crate) struct CustomerPages {
    count: usize,
    groups: Vec<Arc<PageGroup>>,
    key_field: KeyField,
}

impl CustomerPages {
    pub(crate) fn new(key_field: KeyField, entries: &[Arc<CustomerEntry>]) -> Self {
        let mut pages = vec![Vec::new(); FAN_OUT * FAN_OUT];
        for entry in entries {
            let location = key_field.key(entry).location();
            pages[location.group * FAN_OUT + location.page].push(Arc::clone(entry));
        }
        for page in &mut pages {
            page.shrink_to_fit();
            page.sort_by(|one, other| key_field.key(other).compare(one));
        }
        let empty = Arc::new(Page::default());
        let pages = pages.into_iter().map(|page| match page.as_slice() {
            [] => Arc::clone(&empty),
            _ => Arc::new(Page::new(page)),
        });
        let pages: Vec<_> = pages.collect();
        let groups = pages
            .chunks(FAN_OUT)
            .map(|group| Arc::new(PageGroup::new(group.into())));
        Self {
            count: entries.len(),
            groups: groups.collect(),
            key_field,
        }
    }

    /// Finds two entries with the same key.
    pub(crate) fn find_duplicate(&self) -> Option<[&CustomerEntry; 2]> {
        let pages = self.groups.iter().flat_map(|group| group.pages());
        let mut pairs = pages.flat_map(|page| page.entries().windows(2));
        let same =
            |pair: &&[Arc<CustomerEntry>]| self.key_field.key(&pair[1]).compare(&pair[0]).is_eq();
        pairs.find(same).map(|pair| [&*pair[0], &*pair[1]])
    }

    pub(crate) fn find(&self, key: PageKey<'_>) -> Option<&CustomerEntry> {
        let location = key.location();
        let entries = self.groups[location.group].pages()[location.page].entries();
        let found = entries.binary_search_by(|entry| key.compare(entry));
        found.ok().map(|index| &*entries[index])
    }

    /// Inserts an entry and returns the one with the same key that it replaced.
    pub(crate) fn insert(&mut self, entry: &Arc<CustomerEntry>) -> Option<Arc<CustomerEntry>> {
        let key = self.key_field.key(entry);
        let entries = Self::entries_mut(&mut self.groups, key);
        match entries.binary_search_by(|existing| key.compare(existing)) {
            Ok(index) => Some(std::mem::replace(&mut entries[index], Arc::clone(entry))),
            Err(index) => {
                entries.insert(index, Arc::clone(entry));
                self.count += 1;
                None
            }
        }
    }

    pub(crate) fn remove(&mut self, key: PageKey<'_>) -> Option<Arc<CustomerEntry>> {
        self.find(key)?;
        let entries = Self::entries_mut(&mut self.groups, key);
        let index = entries
            .binary_search_by(|existing| key.compare(existing))
            .ok()?;
        self.count -= 1;
        Some(entries.remove(index))
    }

    pub(crate) fn iter(&self) -> Customers<'_> {
        Customers::new(&self.groups, self.count)
    }

    /// Returns the digest; only pages that changed since they were last digested are digested again.
    pub(crate) fn cached_digest(&self) -> ConfigDigest {
        digest_of(self.groups.iter().map(|group| group.cached_digest()))
    }

    /// Returns the digest, computed from every entry.
    pub(crate) fn recomputed_digest(&self) -> ConfigDigest {
        digest_of(self.groups.iter().map(|group| group.recomputed_digest()))
    }

    /// Returns the entries that `other` lacks or has with other fields.
    ///
    /// Pages and groups that both share in memory are skipped without a comparison.
    pub(crate) fn differing_from<'pages>(
        &'pages self,
        other: &'pages Self,
    ) -> impl Iterator<Item = &'pages CustomerEntry> {
        let groups = self.groups.iter().zip(&other.groups);
        let groups = groups.filter(|(own, others)| !Arc::ptr_eq(own, others));
        let pages = groups.flat_map(|(own, others)| own.pages().iter().zip(others.pages()));
        let pages = pages.filter(|(own, others)| !Arc::ptr_eq(own, others));
        let entries = pages.flat_map(|(own, _)| own.entries());
        entries
            .map(|entry| &**entry)
            .filter(|entry| other.find(self.key_field.key(entry)) != Some(entry))
    }

    /// Returns the number of pages that both share in memory.
    pub(crate) fn shared_pages(&self, other: &Self) -> usize {
        let groups = self.groups.iter().zip(&other.groups);
        let pages = groups.flat_map(|(own, others)| own.pages().iter().zip(others.pages()));
        pages
            .filter(|(own, others)| Arc::ptr_eq(own, others))
            .count()
    }

    /// Returns the entries of a key's page to change; what other versions share is copied first.
    fn entries_mut<'groups>(
        groups: &'groups mut [Arc<PageGroup>],
        key: PageKey<'_>,
    ) -> &'groups mut Vec<Arc<CustomerEntry>> {
        let location = key.location();
        let group = Arc::make_mut(&mut groups[location.group]);
        group.page_mut(location.page).entries_mut()
    }
}
