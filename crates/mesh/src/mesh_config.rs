use std::{
    collections::{HashMap, HashSet},
    rc::Rc,
};

use crate::{Account, KeyDigest, MessageLimits, Route, RouteKey};

/// One version of the configuration, which is applied as a whole.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct MeshConfig {
    /// The clients' accounts, by name.
    accounts: HashMap<Rc<str>, Rc<Account>>,
    /// The accounts by the digests of their keys.
    accounts_by_key: HashMap<KeyDigest, Rc<Account>>,
    /// The routes whose responses are large.
    download_routes: HashSet<RouteKey>,
    /// The health check path of targets, by service.
    pub health_paths: HashMap<Rc<str>, Rc<str>>,
    /// The limits on clients' requests.
    pub limits: MessageLimits,
    /// The routes of each host, longest prefix first.
    routes: HashMap<Rc<str>, Vec<Rc<Route>>>,
    /// The version, which increases with each change.
    pub version: u64,
}

impl MeshConfig {
    /// Builds a version of the configuration from its routes, in any order.
    #[must_use]
    pub fn new(
        version: u64,
        routes: impl IntoIterator<Item = Route>,
        health_paths: HashMap<Rc<str>, Rc<str>>,
        limits: MessageLimits,
    ) -> Self {
        let mut by_host: HashMap<Rc<str>, Vec<Rc<Route>>> = HashMap::new();
        let mut download_routes = HashSet::new();
        for route in routes {
            if route.is_download {
                download_routes.insert(route.key);
            }
            let host_routes = by_host.entry(route.host.clone()).or_default();
            host_routes.push(Rc::new(route));
        }
        for host_routes in by_host.values_mut() {
            host_routes.sort_by_key(|route| std::cmp::Reverse(route.prefix.len()));
        }
        Self {
            accounts: HashMap::new(),
            accounts_by_key: HashMap::new(),
            download_routes,
            health_paths,
            limits,
            routes: by_host,
            version,
        }
    }

    /// Adds a client's account with the digests of its keys. A key that an earlier account has stays with that one.
    pub fn add_account(&mut self, account: Account, keys: impl IntoIterator<Item = KeyDigest>) {
        let account = Rc::new(account);
        for key in keys {
            self.accounts_by_key
                .entry(key)
                .or_insert_with(|| account.clone());
        }
        self.accounts.insert(account.name.clone(), account);
    }

    /// Returns the account that a key belongs to.
    #[must_use]
    pub fn account(&self, key: &KeyDigest) -> Option<&Rc<Account>> {
        self.accounts_by_key.get(key)
    }

    /// Returns the account of a name.
    #[must_use]
    pub fn account_named(&self, name: &str) -> Option<&Rc<Account>> {
        self.accounts.get(name)
    }

    /// Returns whether any account has a limit.
    #[must_use]
    pub fn has_limits(&self) -> bool {
        let mut accounts = self.accounts.values();
        accounts.any(|account| account.rate_per_s > 0.0)
    }

    /// Returns whether any route's responses are large.
    #[must_use]
    pub fn has_downloads(&self) -> bool {
        !self.download_routes.is_empty()
    }

    /// Returns whether the responses of a route are large.
    #[must_use]
    pub fn is_download(&self, route: RouteKey) -> bool {
        self.download_routes.contains(&route)
    }

    /// Returns the number of accounts. Where there is none, requests need no key.
    #[must_use]
    pub fn account_count(&self) -> usize {
        self.accounts.len()
    }

    /// Returns the host's route with the longest prefix that matches the path.
    #[must_use]
    pub fn route(&self, host: &str, path: &str) -> Option<&Rc<Route>> {
        let routes = self.routes.get(host)?;
        routes.iter().find(|route| path.starts_with(&*route.prefix))
    }

    /// Returns the number of routes of all hosts.
    #[must_use]
    pub fn route_count(&self) -> usize {
        self.routes.values().map(Vec::len).sum()
    }
}
