use std::{cell::Cell, rc::Rc};

/// A request that waits for a credit; counted for its account until the guard is dropped. The count is not a part of
/// the core, so dropping the guard needn't enter it.
pub(crate) struct QuotaWaiter(Rc<Cell<u32>>);

impl QuotaWaiter {
    pub(crate) fn new(count: Rc<Cell<u32>>) -> Self {
        count.set(count.get().saturating_add(1));
        Self(count)
    }
}

impl Drop for QuotaWaiter {
    fn drop(&mut self) {
        self.0.set(self.0.get().saturating_sub(1));
    }
}
