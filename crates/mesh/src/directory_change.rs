/// What a daemon's report brought.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct DirectoryChange {
    /// The daemon was unknown.
    pub daemon_added: bool,
    /// Its target can be chosen now, which it couldn't before.
    pub target_became_usable: bool,
}
