use std::{net::IpAddr, rc::Rc, time::Instant};

use medlarspool_adapter::{decode_api_key, headers};
use medlarspool_hop::{HopAccount, RefusalReason};
use medlarspool_mesh::{MeshConfig, Route};

use crate::{
    caller::Caller, client_account::ClientAccount, header_list::HeaderList, node::Node,
    origin::Origin, running_work::RunningWork,
};

const ACCOUNT_HEADERS: [&str; 2] = [headers::ACCOUNT, headers::AUTHORIZATION];

/// Returns whether a request has a client's key, or its own word on its account.
pub(crate) fn has_account_headers(received: &HeaderList) -> bool {
    let mut names = ACCOUNT_HEADERS.into_iter();
    names.any(|name| received.get(name).is_some())
}

/// Removes a client's key, and its own word on its account, where the configuration has accounts.
pub(crate) fn remove_account_headers(config: &MeshConfig, received: &mut HeaderList) {
    if config.account_count() > 0 {
        received.remove_named(&ACCOUNT_HEADERS);
    }
}

impl Node {
    /// Returns who may have sent a request that came from an address and has a deadline, if it names one.
    ///
    /// Clients may share the instance, and so its address, with the target. But a call exists only while a run makes it,
    /// and expires with it at the latest.
    pub(crate) fn origin(&self, client_ip: IpAddr, deadline: Option<Instant>) -> Origin {
        if client_ip != self.settings.target_address.ip() {
            return Origin::OtherInstance;
        }
        let may_make_it =
            |work: &RunningWork| deadline.is_none_or(|deadline| work.may_make_call(deadline));
        if self.running.values().any(may_make_it) {
            Origin::OwnInstance
        } else {
            Origin::OwnClient
        }
    }

    /// Returns who sent a request, by its origin and the key in its headers.
    ///
    /// Targets' calls have no key, so where there are accounts, a request with a key is a client's. Other requests that
    /// may be calls count as such: a call that is taken for a client's waits behind the requests that wait for it. No
    /// request from the own instance is refused for want of a key, since a call that was read late seems to be a client's.
    ///
    /// # Errors
    ///
    /// Returns the reason to refuse the request if it needs a key and has no valid one, or if the configuration was not
    /// confirmed for so long that it doesn't tell valid keys from removed ones.
    pub(crate) fn authenticate(
        &self,
        config: &MeshConfig,
        route: &Route,
        origin: Origin,
        received: &HeaderList,
    ) -> Result<Caller, RefusalReason> {
        let has_key = received.get(headers::AUTHORIZATION).is_some();
        let has_accounts = config.account_count() > 0;
        let needs_key = has_accounts && !route.is_public;
        match origin {
            Origin::OwnClient if needs_key && !has_key => return Ok(Caller::Target),
            Origin::OwnInstance if !(has_accounts && has_key) => return Ok(Caller::Target),
            Origin::OtherInstance | Origin::OwnClient | Origin::OwnInstance => {}
        }
        if !needs_key {
            return Ok(Caller::Client(None));
        }
        let mut values = received.get_all(headers::AUTHORIZATION);
        let (Some(value), None) = (values.next(), values.next()) else {
            return Err(RefusalReason::Unauthorized);
        };
        let key = decode_api_key(value).ok_or(RefusalReason::Unauthorized)?;
        if !self.permits_keys() {
            return Err(RefusalReason::Unconfirmed);
        }
        let account = config.account(&key).ok_or(RefusalReason::Unauthorized)?;
        let account = account.clone();
        Ok(Caller::Client(Some(ClientAccount { account, key })))
    }

    /// Checks at the gate that the present configuration permits the key of a request, and was confirmed so recently
    /// that it still may. Returns the name of the account for the target.
    ///
    /// # Errors
    ///
    /// Returns the reason not to run the request.
    pub(crate) fn check_account(&self, account: &HopAccount) -> Result<Rc<str>, RefusalReason> {
        let config = self.config.as_ref().ok_or(RefusalReason::NoConfig)?;
        if !self.permits_keys() {
            return Err(RefusalReason::Unconfirmed);
        }
        if config.account_count() == 0 {
            // The entry's configuration may be the first one with accounts, or the last one.
            return Ok(account.name.clone());
        }
        let known = config
            .account(&account.key)
            .ok_or(RefusalReason::UnknownKey)?;
        Ok(known.name.clone())
    }
}
