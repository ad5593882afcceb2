use std::{collections::HashMap, rc::Rc};

use crate::{MessageLimits, Route};

/// One version of the configuration, put in force as a whole.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct MeshConfig {
    /// The path that tells a target's health, by service.
    pub health_paths: HashMap<Rc<str>, Rc<str>>,
    /// The limits on clients' messages.
    pub limits: MessageLimits,
    routes: HashMap<Rc<str>, Vec<Rc<Route>>>,
    /// The version; later ones are higher.
    pub version: u64,
}

impl MeshConfig {
    /// Builds the look-up table of a version.
    #[must_use]
    pub fn new(
        version: u64,
        routes: impl IntoIterator<Item = Route>,
        health_paths: HashMap<Rc<str>, Rc<str>>,
        limits: MessageLimits,
    ) -> Self {
        let mut by_host: HashMap<Rc<str>, Vec<Rc<Route>>> = HashMap::new();
        for route in routes {
            let host = by_host.entry(route.host.clone()).or_default();
            host.push(Rc::new(route));
        }
        for host in by_host.values_mut() {
            host.sort_by_key(|route| std::cmp::Reverse(route.prefix.len()));
        }
        Self {
            health_paths,
            limits,
            routes: by_host,
            version,
        }
    }

    /// Returns the route of the host with the longest prefix that begins the path.
    #[must_use]
    pub fn route(&self, host: &str, path: &str) -> Option<&Rc<Route>> {
        let routes = self.routes.get(host)?;
        routes.iter().find(|route| path.starts_with(&*route.prefix))
    }

    /// Returns the number of routes.
    #[must_use]
    pub fn route_count(&self) -> usize {
        self.routes.values().map(Vec::len).sum()
    }
}
