use std::sync::Arc;

use medlarspool_spread::DeltaUpdate;
use medlarspool_types::{ConfigDigest, ConfigHead, ConfigVersion};

/// The number of entries in the lists, one byte each; a change sets one of them.
const ENTRIES: usize = 64;

/// A store with the committed versions, whose reads fail while it is `down`.
#[derive(Debug)]
pub struct Store {
    pub down: bool,
    pub head_read_count: u64,
    pub list_read_count: u64,
    committed: Vec<Vec<u8>>,
}

impl Store {
    /// Commits the next version.
    pub fn commit(&mut self) -> ConfigHead {
        let version = self.committed.len();
        let mut lists = self.committed[version - 1].clone();
        lists[version * 7 % ENTRIES] = u8::try_from(version % 251).unwrap() + 1;
        self.committed.push(lists);
        self.head()
    }

    pub fn head(&self) -> ConfigHead {
        self.head_of(self.committed.len() - 1)
    }

    /// Returns the head of a committed version.
    pub fn head_of(&self, version: usize) -> ConfigHead {
        if version == 0 {
            return ConfigHead::default();
        }
        ConfigHead {
            version: ConfigVersion(version as u64),
            digest: ConfigDigest::of(&self.committed[version]),
        }
    }

    pub fn read_head(&mut self) -> Option<ConfigHead> {
        self.head_read_count += 1;
        (!self.down).then(|| self.head())
    }

    pub fn read_lists(&mut self, head: ConfigHead) -> Option<Vec<u8>> {
        self.list_read_count += 1;
        let lists = self.committed.get(usize::try_from(head.version.0).unwrap());
        lists.filter(|_| !self.down).cloned()
    }

    /// Returns the delta between two committed versions: pairs of an entry and its new value.
    pub fn update(&self, base: ConfigHead, head: ConfigHead) -> DeltaUpdate {
        let lists_of = |head: ConfigHead| &self.committed[usize::try_from(head.version.0).unwrap()];
        let changed = lists_of(base).iter().zip(lists_of(head)).enumerate();
        let delta: Vec<u8> = changed
            .filter(|(_, (old, new))| old != new)
            .flat_map(|(entry, (_, new))| [u8::try_from(entry).unwrap(), *new])
            .collect();
        DeltaUpdate {
            base,
            delta: Arc::from(delta),
            head,
        }
    }
}

impl Default for Store {
    fn default() -> Self {
        Self {
            committed: vec![vec![0; ENTRIES]],
            down: false,
            head_read_count: 0,
            list_read_count: 0,
        }
    }
}
