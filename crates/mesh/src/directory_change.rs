/// What a received report changed in the directory.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct DirectoryChange {
    /// The daemon was unknown before.
    pub daemon_added: bool,
    /// The daemon's target can be chosen now and could not before.
    pub target_became_usable: bool,
}
