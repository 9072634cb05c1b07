//! Bytes that are held for callers and endpoints, on the account of this instance's [`Memory`](teaselshunt_routing::Memory).

use std::rc::Rc;

use teaselshunt_routing::{Full, Held};

use crate::node::Node;

/// Room for bytes; dropping it gives it back.
#[derive(Debug)]
pub(crate) struct Holding {
    node: Rc<Node>,
    held: Held,
    bytes: u64,
}

impl Holding {
    /// Room for nothing yet.
    pub(crate) fn new(node: &Rc<Node>, held: Held) -> Self {
        Self { node: Rc::clone(node), held, bytes: 0 }
    }

    /// Takes room for so many bytes more.
    ///
    /// # Errors
    /// There is not enough; what was taken before stays taken.
    pub(crate) fn grow(&mut self, bytes: usize) -> Result<(), Full> {
        let bytes = bytes as u64;
        let memory = &mut self.node.state.borrow_mut().memory;
        memory.take(bytes, self.held)?;
        self.bytes += bytes;
        self.node.metrics.held.set(memory.held() as i64);
        Ok(())
    }
}

impl Drop for Holding {
    fn drop(&mut self) {
        let memory = &mut self.node.state.borrow_mut().memory;
        memory.give_back(self.bytes);
        self.node.metrics.held.set(memory.held() as i64);
    }
}
