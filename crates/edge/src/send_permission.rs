/// Whether a request that has a slot may be sent to the target.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum SendPermission {
    Granted,
    /// Not while another request runs that is suspected of the same crash.
    Later,
    /// Never, since it crashes targets.
    Quarantined,
}
