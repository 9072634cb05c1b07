//! Watches that are repeated over a second connection.
//!
//! A connection to the store can go dead without being closed, while new ones work. Nothing on the connection itself shows
//! it. There are two signs: the response is overdue, or a peer names a revision that a working watch would have reported.
//! Either way the store is asked once more over a new connection, without a wait, and the first response counts. The
//! first call goes on meanwhile: a response that is only slow is not lost.
//!
//! What a peer names is no more than a reason to ask. A false revision costs one call a watch.

use std::cell::Cell;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use hyper::StatusCode;
use slog::info;
use teaselshunt_routing::{Era, EraOrder, UpdateSource};
use tokio::sync::Notify;

use super::{CALL_SLACK, Catalog, StoreError};

/// The latest revision that a peer of any failure domain has named.
#[derive(Debug, Default)]
pub(super) struct PeerNews {
    latest: Cell<Option<(SocketAddr, u64)>>,
    arrived: Notify,
}

impl Catalog {
    /// Records the revision up to which a peer knows the store.
    pub(crate) fn observe_peer_revision(&self, from: SocketAddr, era: Option<u64>, revision: u64) {
        let Some(known) = self.revision.get() else { return };
        let latest = self.peer_news.latest.get().map_or(0, |(_, latest)| latest);
        let is_same_era = self.era.get().compare(Era::new(era)) == EraOrder::Same;
        // An instance that follows its readers hears of changes through them, which takes longer than a report.
        let may_ask = self.source.get() != UpdateSource::Peers;
        if may_ask && is_same_era && revision > known.max(latest) {
            self.peer_news.latest.set(Some((from, revision)));
            self.peer_news.arrived.notify_one();
        }
    }

    /// Watches the store. If the response is overdue, or if a peer knows later changes, the same is asked over a second
    /// connection, and the first response of both counts.
    pub(super) async fn watch_over_two(
        &self,
        revision: u64,
        wait: Duration,
    ) -> Result<(StatusCode, Bytes), StoreError> {
        let watch = self.node.protocol.watch(revision, wait);
        let mut first = std::pin::pin!(self.call("watch", watch, wait + CALL_SLACK));
        tokio::select! {
            biased;
            result = &mut first => return result,
            () = self.until_peer_is_ahead() => {}
            () = tokio::time::sleep(wait + self.read_times.overdue()) => {}
        }
        self.node.pool.close_idle(self.node.settings.store_address);
        let second = self.call("check", self.node.protocol.watch(revision, Duration::ZERO), CALL_SLACK);
        tokio::select! {
            biased;
            result = &mut first => result,
            result = second => match result {
                Ok(response) => {
                    self.node.metrics.store_calls.with_label_values(&["watch", "superseded"]).inc();
                    info!(self.node.log, "connection to the store replaced"; "revision" => revision);
                    Ok(response)
                }
                Err(_) => first.await,
            },
        }
    }

    /// Waits until a peer has known later changes for so long that a working watch would have reported them.
    async fn until_peer_is_ahead(&self) {
        loop {
            let known = self.revision.get();
            if let Some((peer, revision)) = self.peer_news.latest.get()
                && known.is_some_and(|known| revision > known)
            {
                tokio::time::sleep(self.read_times.overdue()).await;
                // Peers may name revisions that the store doesn't have.
                self.peer_news.latest.set(None);
                info!(self.node.log, "a peer knows later changes"; "peer" => %peer, "revision" => revision,
                    "known" => known);
                return;
            }
            self.peer_news.arrived.notified().await;
        }
    }
}
