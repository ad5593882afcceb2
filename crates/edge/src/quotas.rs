use std::{collections::HashMap, rc::Rc};

use medlarspool_mesh::{BootTime, QuotaLeases};

use crate::quota_account::QuotaAccount;

/// What a daemon knows of accounts' quotas.
#[derive(Default)]
pub(crate) struct Quotas {
    /// The accounts that clients of this daemon use.
    pub(crate) accounts: HashMap<Rc<str>, QuotaAccount>,
    /// Present only while the configuration has accounts with limits.
    pub(crate) leases: Option<QuotaLeases>,
    /// The bits of the partitions in the latest scheduled report.
    pub(crate) reported_bits: u32,
    /// When the task that keeps the leases wakes up by itself; none while it waits to be notified.
    pub(crate) wakes_at: Option<BootTime>,
}
