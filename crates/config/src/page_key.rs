use std::cmp::Ordering;

use medlarspool_types::CustomerId;
use xxhash_rust::xxh3::xxh3_64;

use crate::{CredentialHash, CustomerEntry, page_group::FAN_OUT};

/// The field of a customer's entry by which a set of pages is divided, sorted and searched.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum KeyField {
    Credential,
    Customer,
}

/// The value of the key field, by which an entry is looked up.
#[derive(Clone, Copy, Debug)]
pub(crate) enum PageKey<'key> {
    Credential(&'key CredentialHash),
    Customer(&'key CustomerId),
}

/// The position of a page: its group, and its index in the group.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PageLocation {
    pub(crate) group: usize,
    pub(crate) page: usize,
}

impl KeyField {
    pub(crate) fn key(self, entry: &CustomerEntry) -> PageKey<'_> {
        match self {
            Self::Credential => PageKey::Credential(&entry.credential_sha256),
            Self::Customer => PageKey::Customer(&entry.customer),
        }
    }
}

impl PageKey<'_> {
    /// Returns the position of the key's page; it depends only on the key, so that equal lists have equal
    /// pages.
    pub(crate) fn location(&self) -> PageLocation {
        let hash = match self {
            Self::Credential(hash) => xxh3_64(&hash.0),
            Self::Customer(customer) => xxh3_64(customer.as_str().as_bytes()),
        };
        let page_index = usize::try_from(hash % (FAN_OUT * FAN_OUT) as u64).unwrap_or(0);
        PageLocation {
            group: page_index / FAN_OUT,
            page: page_index % FAN_OUT,
        }
    }

    /// Returns the order of an entry's key relative to this key.
    pub(crate) fn compare(&self, entry: &CustomerEntry) -> Ordering {
        match self {
            Self::Credential(hash) => entry.credential_sha256.cmp(hash),
            Self::Customer(customer) => entry.customer.cmp(customer),
        }
    }
}
