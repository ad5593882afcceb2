//! The paths of calls between daemons other than forwarded requests.

/// Returns the configuration in force, as the store returned it, compressed with deflate.
pub const CONFIG: &str = "/medlarspool/config";
