use std::{net::SocketAddr, rc::Rc};

use crate::{TargetLoad, TargetRecord};

/// What a daemon tells of itself.
#[derive(Clone, Debug, PartialEq)]
pub struct PeerRecord {
    /// The availability zone of its instance.
    pub availability_zone: Rc<str>,
    /// The version of the daemon's configuration; 0 if it has none.
    pub config_version: u64,
    /// The daemon's address for other daemons.
    pub address: SocketAddr,
    /// The start of the daemon's life, in Unix milliseconds, raised above those of earlier lives.
    pub incarnation: u64,
    /// Whether the daemon follows the store over a fast link, so that others can follow it instead.
    pub relays_config: bool,
    /// Increases with each report of one life.
    pub report_number: u64,
    /// Whether the daemon takes work, which a daemon that is stopping doesn't.
    pub serving: bool,
    /// How busy its target is.
    pub load: TargetLoad,
    /// Its target, if it has a usable one.
    pub target: Option<TargetRecord>,
}
