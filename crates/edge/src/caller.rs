use crate::client_account::ClientAccount;

/// Who sent a request to this daemon, as far as it can be told; see docs/design/platform.md.
pub(crate) enum Caller {
    /// A client; its account is known if its request needs a key.
    Client(Option<ClientAccount>),
    /// The own target, for a request that it runs, or a client beside it whose request could be such a call.
    Target,
}
