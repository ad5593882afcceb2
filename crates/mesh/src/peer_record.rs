use std::{net::SocketAddr, rc::Rc};

use crate::{TargetLoad, TargetRecord};

/// What a daemon reports about itself.
#[derive(Clone, Debug, PartialEq)]
pub struct PeerRecord {
    /// The availability zone of its instance.
    pub availability_zone: Rc<str>,
    /// The version of the daemon's configuration; 0 if it has none.
    pub config_version: u64,
    /// The daemon's address for other daemons.
    pub address: SocketAddr,
    /// Whether the daemon's link is fast enough to poll the store for others.
    pub can_relay_config: bool,
    /// The daemon's incarnation: its start in Unix milliseconds, raised above earlier incarnations if needed.
    pub incarnation: u64,
    /// Whether the daemon polls the store, so that others can get the configuration from it.
    pub relays_config: bool,
    /// Increases with each report of one incarnation.
    pub report_number: u64,
    /// Whether the daemon accepts requests, which it doesn't while it is stopping.
    pub serving: bool,
    /// The load of its target when the record was made.
    pub load: TargetLoad,
    /// The record of its target, usable or not; none if it has no record.
    pub target: Option<TargetRecord>,
}
