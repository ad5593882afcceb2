use std::{net::SocketAddr, rc::Rc};

use crate::{app::App, release::Release};

/// A request in flight to a daemon; counted in the directory until the guard is dropped.
pub(crate) struct InFlightGuard<'a> {
    pub(crate) address: SocketAddr,
    pub(crate) app: &'a Rc<App>,
    /// Whether the request counts as a download, too.
    pub(crate) is_download: bool,
}

impl Drop for InFlightGuard<'_> {
    fn drop(&mut self) {
        self.app.core.release(Release::InFlight {
            address: self.address,
            is_download: self.is_download,
        });
    }
}
