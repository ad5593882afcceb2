use medlarspool_config::{CustomerEntry, Lists};
use medlarspool_types::{ConfigDigest, CustomerId};

/// The intended mean number of customers on a page. The number of pages is a power of two, so the mean is between
/// half and twice of this; lists of fewer customers have one page.
const CUSTOMERS_PER_PAGE: usize = 32;
/// The bytes of framing that one entry and its fields have on the wire.
const ENTRY_FRAMING_BYTES: usize = 8;

/// The customers list divided into pages by a hash of the customer, with a digest of each page and of each
/// group of pages.
///
/// This follows the set of signatures of PAPER-recovery-triple-modular-redund-797a.md, section 3.2
/// (Pittelli and Garcia-Molina 1987): one signature of the whole detects a difference, and further ones
/// locate it.
#[derive(Debug)]
pub struct PageDigests<'lists> {
    /// The digest of each page.
    digests: Vec<u64>,
    /// The digest of each group's page digests.
    group_digests: Vec<u64>,
    /// The entries of each page, in the order of [`Lists::customers`].
    pages: Vec<Vec<&'lists CustomerEntry>>,
}

impl<'lists> PageDigests<'lists> {
    /// The size of one digest on the wire, in bytes.
    pub const DIGEST_BYTES: usize = 8;

    /// Divides the customers of `lists` into this many pages. Digests can be compared only between two sides
    /// that use the same number of pages.
    #[must_use]
    pub fn of(lists: &'lists Lists, page_count: usize) -> Self {
        let mut page_entries = vec![Vec::new(); page_count];
        for entry in lists.customers() {
            page_entries[page_of(&entry.customer, page_count)].push(entry);
        }
        let digests: Vec<u64> = page_entries.iter().map(|page| digest_of(page)).collect();
        let group_digests = digests
            .chunks(group_size(page_count))
            .map(|group| {
                let bytes: Vec<u8> = group
                    .iter()
                    .flat_map(|digest| digest.to_be_bytes())
                    .collect();
                short_digest(&bytes)
            })
            .collect();
        Self {
            digests,
            group_digests,
            pages: page_entries,
        }
    }

    /// Returns the number of pages for lists of this many customers, a power of two.
    #[must_use]
    pub fn page_count(customer_count: usize) -> usize {
        (customer_count / CUSTOMERS_PER_PAGE)
            .max(1)
            .next_power_of_two()
    }

    /// Returns the digest of each group of pages; the requesting side sends these first.
    #[must_use]
    pub fn group_digests(&self) -> &[u64] {
        &self.group_digests
    }

    /// Returns the indices of all pages in the groups whose digests differ between the two sides. Only for
    /// these are the digests of the pages sent.
    #[must_use]
    pub fn pages_to_compare(&self, other: &Self) -> Vec<usize> {
        let size = group_size(self.digests.len());
        (0..self.digests.len())
            .filter(|page| self.group_digests[page / size] != other.group_digests[page / size])
            .collect()
    }

    /// Returns the indices of those candidate pages whose digests differ between the two sides.
    #[must_use]
    pub fn differing_pages(&self, other: &Self, candidates: &[usize]) -> Vec<usize> {
        candidates
            .iter()
            .copied()
            .filter(|page| self.digests[*page] != other.digests[*page])
            .collect()
    }

    /// Returns the entries of the page with this index; there may be none.
    #[must_use]
    pub fn page_entries(&self, page: usize) -> &[&'lists CustomerEntry] {
        &self.pages[page]
    }

    /// Returns the size of a page's entries on the wire, in bytes.
    #[must_use]
    pub fn page_bytes(&self, page: usize) -> usize {
        self.pages[page]
            .iter()
            .map(|entry| entry_bytes(entry))
            .sum()
    }
}

fn digest_of(page: &[&CustomerEntry]) -> u64 {
    let mut bytes = Vec::new();
    for entry in page {
        bytes.extend_from_slice(entry.customer.as_str().as_bytes());
        bytes.push(0);
        bytes.extend_from_slice(entry.plan.as_str().as_bytes());
        bytes.extend_from_slice(&entry.credential_sha256.0);
    }
    short_digest(&bytes)
}

fn entry_bytes(entry: &CustomerEntry) -> usize {
    let text_bytes = entry.customer.as_str().len() + entry.plan.as_str().len();
    ENTRY_FRAMING_BYTES + text_bytes + entry.credential_sha256.0.len()
}

fn group_size(page_count: usize) -> usize {
    page_count.isqrt().max(1)
}

fn page_of(customer: &CustomerId, page_count: usize) -> usize {
    let page_count = u64::try_from(page_count).unwrap_or(u64::MAX);
    usize::try_from(short_digest(customer.as_str().as_bytes()) % page_count).unwrap_or_default()
}

fn short_digest(bytes: &[u8]) -> u64 {
    let digest = ConfigDigest::of(bytes).0;
    u64::try_from(digest & u128::from(u64::MAX)).unwrap_or_default()
}
