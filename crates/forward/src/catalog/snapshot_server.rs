//! Serves snapshots of the list to peers of the failure domain.

use std::cell::Cell;
use std::rc::Rc;

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::{Request, Response, StatusCode};
use teaselshunt_routing::tag;

use super::Catalog;
use super::snapshots::SNAPSHOT_PATH;
use crate::node::Node;

/// Snapshots served at a time. A transfer takes a fraction of a second on a slow link, and each recipient
/// becomes a snapshot source.
const MAX_TRANSFERS: u32 = 3;
/// A snapshot that is being sent; dropping it allows another one.
struct Transfer(Rc<Cell<u32>>);

impl Transfer {
    fn begin(transfers: &Rc<Cell<u32>>) -> Option<Self> {
        if transfers.get() >= MAX_TRANSFERS {
            return None;
        }
        transfers.set(transfers.get() + 1);
        Some(Self(Rc::clone(transfers)))
    }
}

impl Drop for Transfer {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

/// What one connection of a peer is sending; dropped once the connection has written it.
#[derive(Default)]
pub(crate) struct CurrentTransfer(Cell<Option<Transfer>>);

/// Serves snapshots of the list.
pub(crate) struct SnapshotServer {
    catalog: Rc<Catalog>,
    transfers: Rc<Cell<u32>>,
}

impl SnapshotServer {
    pub(crate) fn new(catalog: Rc<Catalog>) -> Self {
        Self { catalog, transfers: Rc::default() }
    }

    /// Responds to a peer of this instance's failure domain.
    pub(crate) fn respond(
        &self,
        node: &Node,
        request: &Request<Incoming>,
        current: &CurrentTransfer,
    ) -> Response<Full<Bytes>> {
        let parameters =
            request.uri().path().strip_prefix(SNAPSHOT_PATH).and_then(|rest| rest.split_once('/'));
        let Some((domain, since)) = parameters else { return empty_response(StatusCode::NOT_FOUND) };
        if domain.parse() != Ok(tag(&node.settings.domain)) {
            return empty_response(StatusCode::NOT_FOUND);
        }
        let Some(transfer) = Transfer::begin(&self.transfers) else {
            return empty_response(StatusCode::TOO_MANY_REQUESTS);
        };
        let Some(snapshot) = self.catalog.encode_snapshot(since.parse().ok()) else {
            return empty_response(StatusCode::SERVICE_UNAVAILABLE);
        };
        current.0.set(Some(transfer));
        Response::new(Full::new(Bytes::from(snapshot)))
    }
}

fn empty_response(status: StatusCode) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::default());
    *response.status_mut() = status;
    response
}
