//! Complete events of a stream, and where the stream can resume.

use bytes::{Bytes, BytesMut};
use hyper::header::HeaderValue;
use teaselshunt_completeness::Scan;

use crate::resume::ResumePoint;

/// Splits a stream into complete events and remembers the id of the last one.
#[derive(Debug, Default)]
pub(super) struct Events {
    /// Bytes of an event whose end has not arrived.
    partial: BytesMut,
    last_id: Option<String>,
    /// Whether any event was relayed.
    relayed: bool,
}

impl Events {
    /// Where the stream can resume; `None` if the caller has events without ids, or with one that cannot be sent.
    pub(super) fn resume_point(&self) -> Option<ResumePoint> {
        match &self.last_id {
            Some(id) => HeaderValue::from_str(id).ok().map(ResumePoint::After),
            None if self.relayed => None,
            None => Some(ResumePoint::Start),
        }
    }

    /// Id of the last event that was relayed.
    pub(super) fn last_id(&self) -> Option<&str> {
        self.last_id.as_deref()
    }

    /// Forgets the begin of an event whose engine does not go on.
    pub(super) fn drop_partial(&mut self) {
        self.partial.clear();
    }

    /// Appends bytes and returns those of the events that are now complete, and of the comments between them.
    pub(super) fn take_complete(&mut self, mut data: Bytes, scan: Scan) -> Bytes {
        let Some(boundary) = scan.boundary else {
            self.partial.extend_from_slice(&data);
            return Bytes::new();
        };
        let rest = data.split_off(boundary);
        let complete = if self.partial.is_empty() {
            data
        } else {
            self.partial.extend_from_slice(&data);
            self.partial.split().freeze()
        };
        self.partial.extend_from_slice(&rest);
        self.relayed |= scan.events > 0;
        let text = String::from_utf8_lossy(&complete);
        if let Some(id) = text.rsplit(['\n', '\r']).find_map(|line| line.strip_prefix("id:")) {
            self.last_id = Some(id.trim().to_owned());
        }
        complete
    }
}
