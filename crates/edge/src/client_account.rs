use std::rc::Rc;

use medlarspool_hop::HopAccount;
use medlarspool_mesh::{Account, KeyDigest};

/// The account of a client's request, by the key that it sent.
#[derive(Clone, Debug)]
pub(crate) struct ClientAccount {
    pub(crate) account: Rc<Account>,
    pub(crate) key: KeyDigest,
}

impl ClientAccount {
    /// Returns what the gate is told of the account.
    pub(crate) fn for_hop(&self) -> HopAccount {
        HopAccount {
            key: self.key,
            name: self.account.name.clone(),
        }
    }
}
