//! Lists the platform's store completely, page by page.

use std::collections::HashSet;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;
use hyper::StatusCode;
use slog::info;
use teaselshunt_routing::EraOrder;

use super::snapshots::SearchResult;
use super::{Catalog, StoreError};
use crate::protocol::{Batch, StoreChange};

/// Time for a page of the list to begin to arrive, after which the store is asked again. Not sooner: a list is read over a
/// connection that is new or has just delivered, and hundreds of instances that start together read one.
const PAGE_TIMEOUT: Duration = Duration::from_millis(1500);
/// Most calls for one page at a time. The store may take that many times [`PAGE_TIMEOUT`] to respond.
const MAX_PAGE_CALLS: u32 = 4;
/// Most pages of one list; more than any deployment has.
const MAX_PAGES: usize = 200;

/// Progress of a complete listing of the store.
#[derive(Debug, Default)]
pub(super) struct ListProgress {
    /// Revision of the first page.
    revision: Option<u64>,
    /// Key after which the next page begins.
    after: Option<String>,
    /// Endpoints of the pages so far.
    pub(super) present: HashSet<Arc<str>>,
    /// Number of entries that were new or changed.
    changed: usize,
    /// Calls for the page that may go on at the same time, less one.
    further_calls: u32,
}

/// Result of reading one page.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Page {
    /// More pages follow.
    More,
    /// The page was the last one.
    Last,
    /// The page is of a later era than the pages before.
    Outdated,
}

impl Catalog {
    /// Lists the store completely, page by page. A failed call interrupts the listing, which continues at the
    /// page that failed.
    ///
    /// Every instance reads the first page, which holds the configuration: it must be applied within seconds.
    /// If more pages follow, a peer may have the rest.
    ///
    /// When many instances start at once, the store refuses calls beyond its rate limit. If each refusal
    /// restarted the listing, no instance would get beyond the first pages, all would send all requests to
    /// the same few endpoints, and hardly any caller would be served.
    pub(super) async fn list_all(&self) -> Result<(), StoreError> {
        for _ in 0..MAX_PAGES {
            let first = self.list_progress.borrow().after.is_none();
            match self.list_page().await {
                Ok(Page::Last) => {
                    self.announce_snapshot();
                    return Ok(());
                }
                Ok(Page::More) if first => {
                    self.publish_routes();
                    if self.fetch_snapshot(self.lost_revision.get(), false).await == SearchResult::Fetched {
                        return Ok(());
                    }
                }
                Ok(Page::More) => {}
                Ok(Page::Outdated) => return Ok(()),
                // An instance that starts while the store is unreachable uses the state of its peers.
                Err(error) if first && self.has_snapshot_sources() => {
                    self.fetch_snapshot(self.lost_revision.get(), true).await;
                    return Err(error);
                }
                Err(error) => return Err(error),
            }
        }
        Err(StoreError::TooManyPages)
    }

    async fn list_page(&self) -> Result<Page, StoreError> {
        let after = self.list_progress.borrow().after.clone();
        let called_at = self.node.clock.uptime();
        let era = self.era.get();
        let (status, body) = self.call_for_page(after.as_deref()).await?;
        if after.is_some() && era.compare(self.era.get()) == EraOrder::Newer {
            return Ok(Page::Outdated);
        }
        if status != StatusCode::OK {
            return Err(StoreError::Status(status));
        }
        let batch = self.node.protocol.read_list(&body).map_err(StoreError::InvalidResponse)?;
        if after.is_none() {
            self.record_missing_since();
        }
        if self.node.clock.uptime().saturating_sub(called_at) > PAGE_TIMEOUT {
            self.record_response_as_of(called_at);
        } else {
            self.record_response(called_at);
        }
        Ok(if self.apply_page(batch) { Page::Last } else { Page::More })
    }

    /// Asks for a page. The first failure comes soon, since peers may have what the store does not send. After a failure the store is
    /// asked again, over another connection, while earlier calls go on: a store that always responds late would never be read
    /// otherwise, and longer calls alone would notice a silent store's return late.
    async fn call_for_page(&self, after: Option<&str>) -> Result<(StatusCode, Bytes), StoreError> {
        let mut left = self.list_progress.borrow().further_calls;
        self.list_progress.borrow_mut().further_calls = (2 * left + 1).min(MAX_PAGE_CALLS - 1);
        let call = |left| self.call("list", self.node.protocol.list(after), PAGE_TIMEOUT * (left + 1));
        let mut calls = FuturesUnordered::from_iter([call(left)]);
        let mut again = Box::pin(tokio::time::sleep(PAGE_TIMEOUT));
        loop {
            tokio::select! {
                biased;
                Some(result) = calls.next() => if result.is_ok() || calls.is_empty() {
                    return result;
                },
                () = &mut again, if left > 0 => {
                    left -= 1;
                    self.node.pool.close_idle(self.node.settings.store_address);
                    calls.push(call(left));
                    again.set(tokio::time::sleep(PAGE_TIMEOUT));
                }
            }
        }
    }

    /// Applies a page; returns whether it was the last.
    fn apply_page(&self, batch: Batch) -> bool {
        let progress = &mut *self.list_progress.borrow_mut();
        // The pages are not one consistent snapshot: the watch finds the changes after the first page's
        // revision.
        let revision = *progress.revision.get_or_insert(batch.revision);
        for change in &batch.changes {
            match change {
                StoreChange::Endpoint(endpoint) => progress.present.insert(Arc::clone(&endpoint.id)),
                StoreChange::Invalid { endpoint: Some(id), .. } => progress.present.insert(Arc::clone(id)),
                StoreChange::Routes(_)
                | StoreChange::Removed(_)
                | StoreChange::Invalid { endpoint: None, .. } => continue,
            };
        }
        progress.after.clone_from(&batch.next_key);
        for change in batch.changes {
            match change {
                StoreChange::Endpoint(endpoint) => {
                    progress.changed += usize::from(self.apply_endpoint(endpoint, batch.revision));
                }
                change => self.apply_change(change, batch.revision),
            }
        }
        self.count_endpoints();
        if progress.after.is_some() {
            return false;
        }
        let ListProgress { present, changed, .. } = std::mem::take(progress);
        self.remove_missing(&present, revision);
        self.record_complete_list(revision);
        info!(self.node.log, "list"; "from" => "store", "revision" => revision, "endpoints" => present.len(),
            "changed" => changed);
        true
    }

    /// Records that the complete list is known as of a revision.
    pub(super) fn record_complete_list(&self, revision: u64) {
        self.revision.set(Some(revision));
        self.node.state.borrow_mut().list_complete = true;
        self.recent_changes.borrow_mut().start_at(revision);
    }

    pub(super) fn remove_missing(&self, present: &HashSet<Arc<str>>, revision: u64) {
        let missing = self.node.state.borrow().endpoints.missing_from(present);
        for id in missing {
            self.remove_endpoint(&id, revision);
        }
    }
}
