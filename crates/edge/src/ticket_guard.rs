use std::rc::Rc;

use crate::{app::App, release::Release};

/// A place in the gate's queue; released on drop.
pub(crate) struct TicketGuard {
    pub(crate) app: Rc<App>,
    pub(crate) ticket: u64,
}

impl Drop for TicketGuard {
    fn drop(&mut self) {
        self.app.core.release(Release::Ticket {
            ticket: self.ticket,
        });
    }
}
