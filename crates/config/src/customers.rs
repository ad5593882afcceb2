use std::{slice, sync::Arc};

use crate::{CustomerEntry, page::Page, page_group::PageGroup};

/// An iterator over the customers of the lists, in an order that depends only on their ids.
#[derive(Clone, Debug)]
pub struct Customers<'lists> {
    entries: slice::Iter<'lists, Arc<CustomerEntry>>,
    groups: slice::Iter<'lists, Arc<PageGroup>>,
    pages: slice::Iter<'lists, Arc<Page>>,
    /// The number of entries that are still to come.
    remaining_count: usize,
}

impl<'lists> Customers<'lists> {
    pub(crate) fn new(groups: &'lists [Arc<PageGroup>], count: usize) -> Self {
        Self {
            entries: [].iter(),
            groups: groups.iter(),
            pages: [].iter(),
            remaining_count: count,
        }
    }
}

impl ExactSizeIterator for Customers<'_> {}

impl<'lists> Iterator for Customers<'lists> {
    type Item = &'lists CustomerEntry;

    fn next(&mut self) -> Option<Self::Item> {
        loop {
            if let Some(entry) = self.entries.next() {
                self.remaining_count -= 1;
                return Some(entry);
            }
            if let Some(page) = self.pages.next() {
                self.entries = page.entries().iter();
            } else {
                self.pages = self.groups.next()?.pages().iter();
            }
        }
    }

    fn size_hint(&self) -> (usize, Option<usize>) {
        (self.remaining_count, Some(self.remaining_count))
    }
}
