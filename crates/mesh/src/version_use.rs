/// What a target of some version may be used for.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum VersionUse {
    /// It gets requests that hold an exposure token, since the version is being rolled out.
    Canary,
    /// It gets no request.
    Excluded,
    /// It gets requests, since the version is in use.
    Stable,
}
