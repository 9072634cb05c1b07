//! Bytes that are buffered for callers and endpoints, accounted in the instance's
//! [`BodyMemory`](teaselshunt_routing::BodyMemory).

use std::convert::Infallible;
use std::rc::Rc;

use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::Body;
use teaselshunt_routing::{BodyKind, MemoryFull};

use crate::node::Node;
use crate::response_reader::{Piece, ResponseEnd, ResponseReader};

/// Why a body was not read to its end.
#[derive(Debug)]
pub(crate) enum CollectError<E> {
    /// The body ended early or is invalid.
    Body(E),
    /// There is not enough memory for this many bytes of the body.
    Full(MemoryFull, usize),
}

/// Accounted buffer memory; dropping it releases the memory.
#[derive(Debug)]
pub(crate) struct BufferedBytes {
    node: Rc<Node>,
    kind: BodyKind,
    bytes: u64,
}

impl BufferedBytes {
    /// Starts with no bytes.
    pub(crate) fn new(node: &Rc<Node>, kind: BodyKind) -> Self {
        Self { node: Rc::clone(node), kind, bytes: 0 }
    }

    /// Accounts for further bytes.
    ///
    /// # Errors
    /// There is not enough memory. The bytes accounted before stay accounted.
    pub(crate) fn grow(&mut self, bytes: usize) -> Result<(), MemoryFull> {
        let bytes = bytes as u64;
        self.node.state.borrow_mut().memory.reserve(bytes, self.kind)?;
        self.bytes += bytes;
        Ok(())
    }

    /// Reads a body to its end, as far as there is memory for it.
    ///
    /// # Errors
    /// The body failed, or there is not enough memory.
    pub(crate) async fn collect<B>(&mut self, mut body: B) -> Result<Bytes, CollectError<B::Error>>
    where
        B: Body<Data = Bytes> + Unpin,
    {
        let mut complete = BytesMut::new();
        while let Some(frame) = body.frame().await {
            let data = frame.map_err(CollectError::Body)?.into_data().unwrap_or_default();
            let bytes = complete.len() + data.len();
            self.grow(data.len()).map_err(|full| CollectError::Full(full, bytes))?;
            complete.extend_from_slice(&data);
        }
        Ok(complete.freeze())
    }

    /// Reads the body of a response to its end, as far as there is memory for it.
    ///
    /// # Errors
    /// There is not enough memory.
    pub(crate) async fn collect_response(
        &mut self,
        body: &mut ResponseReader,
    ) -> Result<(Bytes, ResponseEnd), CollectError<Infallible>> {
        let mut complete = BytesMut::new();
        loop {
            let data = match body.next().await {
                Piece::Data(data, _) => data,
                Piece::End(end) => return Ok((complete.freeze(), end)),
            };
            let bytes = complete.len() + data.len();
            self.grow(data.len()).map_err(|full| CollectError::Full(full, bytes))?;
            complete.extend_from_slice(&data);
        }
    }
}

impl Drop for BufferedBytes {
    fn drop(&mut self) {
        self.node.state.borrow_mut().memory.release(self.bytes);
    }
}
