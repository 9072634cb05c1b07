//! Bytes that are buffered for callers and endpoints, accounted in the instance's
//! [`BodyMemory`](teaselshunt_routing::BodyMemory).

use std::convert::Infallible;
use std::rc::Rc;

use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::Body;
use teaselshunt_completeness::Framing;
use teaselshunt_routing::{BodyKind, MemoryFull};

use crate::node::Node;
use crate::response_reader::{Piece, ResponseEnd, ResponseReader};

/// Most bytes by which the buffer of a response grows at a time.
const MAX_GROWTH_BYTES: usize = 1 << 20;

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
    /// Whether it is that of a response that is received to its end before it is passed on.
    is_whole: bool,
}

impl BufferedBytes {
    /// Starts with no bytes.
    pub(crate) fn new(node: &Rc<Node>, kind: BodyKind) -> Self {
        Self { node: Rc::clone(node), kind, bytes: 0, is_whole: false }
    }

    /// Starts with no bytes of a response that is received to its end before it is passed on.
    pub(crate) fn of_whole(node: &Rc<Node>) -> Self {
        Self { node: Rc::clone(node), kind: BodyKind::Response, bytes: 0, is_whole: true }
    }

    /// Accounts for further bytes.
    ///
    /// # Errors
    /// There is not enough memory. The bytes accounted before stay accounted.
    pub(crate) fn grow(&mut self, bytes: usize) -> Result<(), MemoryFull> {
        let bytes = bytes as u64;
        let memory = &mut self.node.state.borrow_mut().memory;
        if self.is_whole {
            memory.reserve_whole(bytes, self.bytes)?;
        } else {
            memory.reserve(bytes, self.kind)?;
        }
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
        let mut complete = Vec::new();
        loop {
            let data = match body.next().await {
                Piece::Data(data, _) => data,
                Piece::End(end) => return Ok((complete.into(), end)),
            };
            self.make_room(&mut complete, data.len(), body.framing())
                .map_err(|full| CollectError::Full(full, complete.len() + data.len()))?;
            complete.extend_from_slice(&data);
        }
    }

    /// Allocates memory for `further` bytes of a body. What is accounted is what is allocated, which would be twice the
    /// length if the buffer grew by itself.
    fn make_room(
        &mut self,
        buffer: &mut Vec<u8>,
        further: usize,
        framing: Framing,
    ) -> Result<(), MemoryFull> {
        let (needed, capacity) = (buffer.len() + further, buffer.capacity());
        if needed <= capacity {
            return Ok(());
        }
        let mut most = capacity + capacity.min(MAX_GROWTH_BYTES);
        if let Framing::Length(length) = framing {
            most = most.min(usize::try_from(length).unwrap_or(usize::MAX));
        }
        let mut granted = most.max(needed);
        if self.grow(granted - capacity).is_err() {
            granted = needed;
            self.grow(granted - capacity)?;
        }
        buffer.reserve_exact(granted - buffer.len());
        Ok(())
    }
}

impl Drop for BufferedBytes {
    fn drop(&mut self) {
        let memory = &mut self.node.state.borrow_mut().memory;
        if self.is_whole {
            memory.release_whole(self.bytes);
        } else {
            memory.release(self.bytes);
        }
    }
}
