use std::rc::Rc;

use crate::VersionUse;

/// Which versions of a service may get requests.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct ServiceVersions {
    /// The version that is being rolled out.
    pub(crate) canary: Option<Rc<str>>,
    /// Versions that were rolled back or replaced.
    pub(crate) excluded: Vec<Rc<str>>,
    /// The only version in use, outside a rollout.
    pub(crate) only: Option<Rc<str>>,
}

impl ServiceVersions {
    /// Returns what a target of this version may be used for.
    #[must_use]
    pub fn use_of(&self, version: &str) -> VersionUse {
        if self.canary.as_deref() == Some(version) {
            return VersionUse::Canary;
        }
        let is_only = self.only.as_deref().is_none_or(|only| only == version);
        if is_only && !self.excluded.iter().any(|excluded| **excluded == *version) {
            VersionUse::Stable
        } else {
            VersionUse::Excluded
        }
    }
}
