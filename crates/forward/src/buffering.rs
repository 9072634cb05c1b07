//! Bytes that are held for callers and endpoints, on the account of this instance's [`BodyMemory`](teaselshunt_routing::BodyMemory).

use std::rc::Rc;

use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::Body;
use teaselshunt_routing::{BodyKind, MemoryFull};

use crate::node::Node;

/// Why a body was not read to its end.
#[derive(Debug)]
pub(crate) enum CollectError<E> {
    /// It broke off, or is not as it should be.
    Body(E),
    /// There is no room for so many bytes of it.
    Full(MemoryFull, usize),
}

/// Room for bytes; dropping it gives it back.
#[derive(Debug)]
pub(crate) struct BufferedBytes {
    node: Rc<Node>,
    held: BodyKind,
    bytes: u64,
}

impl BufferedBytes {
    /// Room for nothing yet.
    pub(crate) fn new(node: &Rc<Node>, held: BodyKind) -> Self {
        Self { node: Rc::clone(node), held, bytes: 0 }
    }

    /// Takes room for so many bytes more.
    ///
    /// # Errors
    /// There is not enough; what was taken before stays taken.
    pub(crate) fn grow(&mut self, bytes: usize) -> Result<(), MemoryFull> {
        let bytes = bytes as u64;
        self.node.state.borrow_mut().memory.reserve(bytes, self.held)?;
        self.bytes += bytes;
        Ok(())
    }

    /// Reads a body to its end, as far as there is room for it.
    ///
    /// # Errors
    /// The body failed, or there is no room.
    pub(crate) async fn collect<B>(&mut self, mut body: B) -> Result<Bytes, CollectError<B::Error>>
    where
        B: Body<Data = Bytes> + Unpin,
    {
        let mut whole = BytesMut::new();
        while let Some(frame) = body.frame().await {
            let data = frame.map_err(CollectError::Body)?.into_data().unwrap_or_default();
            let bytes = whole.len() + data.len();
            self.grow(data.len()).map_err(|full| CollectError::Full(full, bytes))?;
            whole.extend_from_slice(&data);
        }
        Ok(whole.freeze())
    }
}

impl Drop for BufferedBytes {
    fn drop(&mut self) {
        self.node.state.borrow_mut().memory.release(self.bytes);
    }
}
