//! Reading the whole list from the platform's store, page by page.

use std::collections::HashSet;
use std::sync::Arc;
use std::time::Duration;

use hyper::StatusCode;
use slog::info;
use teaselshunt_routing::EraOrder;

use super::snapshots::Copied;
use super::{Catalog, StoreError};
use crate::protocol::{Batch, StoreChange};

/// Longest time for a page of the list.
const PAGE: Duration = Duration::from_millis(1500);
/// Pages of one list; more than any deployment has.
const PAGES: usize = 200;

/// A reading of the whole store that is in progress.
#[derive(Debug, Default)]
pub(super) struct Reading {
    /// Revision of the first page.
    revision: Option<u64>,
    /// Key after which the next page begins.
    after: Option<String>,
    /// Endpoints of the pages so far.
    pub(super) present: HashSet<Arc<str>>,
    /// Entries that said something new.
    changed: usize,
}

/// What was read of the whole store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Page {
    /// More pages follow.
    More,
    /// It was the last one.
    Last,
    /// It is of a later era than the pages before.
    Outdated,
}

impl Catalog {
    /// Reads the store whole, page by page. A call that fails ends it for now; it goes on at the page that failed.
    ///
    /// The first page holds the configuration, which binds within seconds, and is read by everybody. Where more pages
    /// follow, a peer may have the rest.
    ///
    /// When many instances start at once, the store refuses calls beyond its rate. With a new beginning after each
    /// refusal none of them got beyond the first pages, all sent everything to the same few endpoints, and hardly a
    /// caller was served.
    pub(super) async fn read_all(&self) -> Result<(), StoreError> {
        for _ in 0..PAGES {
            let first = self.reading.borrow().after.is_none();
            match self.read_page().await {
                Ok(Page::Last) => {
                    self.tell_whole();
                    return Ok(());
                }
                Ok(Page::More) if first => {
                    self.tell_routes();
                    if self.copy(self.lost.get(), false).await == Copied::Whole {
                        return Ok(());
                    }
                }
                Ok(Page::More) => {}
                Ok(Page::Outdated) => return Ok(()),
                // Whoever starts while the store is away knows what its peers know.
                Err(error) if first && self.has_holders() => {
                    self.copy(self.lost.get(), true).await;
                    return Err(error);
                }
                Err(error) => return Err(error),
            }
        }
        Err(StoreError::Pages)
    }

    async fn read_page(&self) -> Result<Page, StoreError> {
        let after = self.reading.borrow().after.clone();
        let asked = self.node.clock.uptime();
        let era = self.era.get();
        let call = self.node.protocol.list(after.as_deref());
        let (status, body) = self.call("list", call, PAGE).await?;
        if after.is_some() && era.compare(self.era.get()) == EraOrder::Newer {
            return Ok(Page::Outdated);
        }
        if status != StatusCode::OK {
            return Err(StoreError::Status(status));
        }
        let batch = self.node.protocol.read_list(&body).map_err(StoreError::Unreadable)?;
        if after.is_none() {
            self.note_absence();
        }
        self.answered(asked);
        Ok(if self.take_page(batch) { Page::Last } else { Page::More })
    }

    /// Takes a page over; says whether it was the last.
    fn take_page(&self, batch: Batch) -> bool {
        let reading = &mut *self.reading.borrow_mut();
        // Pages are no snapshot: what changes behind the first page's revision is found by the watch.
        let revision = *reading.revision.get_or_insert(batch.revision);
        for news in &batch.changes {
            match news {
                StoreChange::Endpoint(endpoint) => reading.present.insert(Arc::clone(&endpoint.id)),
                StoreChange::Invalid { endpoint: Some(id), .. } => reading.present.insert(Arc::clone(id)),
                StoreChange::Routes(_)
                | StoreChange::Removed(_)
                | StoreChange::Invalid { endpoint: None, .. } => continue,
            };
        }
        reading.after.clone_from(&batch.next_key);
        for news in batch.changes {
            match news {
                StoreChange::Endpoint(endpoint) => {
                    reading.changed += usize::from(self.apply_endpoint(endpoint, batch.revision));
                }
                news => self.apply_news(news, batch.revision),
            }
        }
        self.count_endpoints();
        if reading.after.is_some() {
            return false;
        }
        let Reading { present, changed, .. } = std::mem::take(reading);
        self.forget_absent(&present, revision);
        self.has_whole(revision);
        info!(self.node.log, "list"; "from" => "store", "revision" => revision, "endpoints" => present.len(),
            "changed" => changed);
        true
    }

    /// The list is known whole as of a revision.
    pub(super) fn has_whole(&self, revision: u64) {
        self.revision.set(Some(revision));
        self.node.state.borrow_mut().whole = true;
        self.changes.borrow_mut().start_at(revision);
    }

    pub(super) fn forget_absent(&self, present: &HashSet<Arc<str>>, revision: u64) {
        let absent = self.node.state.borrow().endpoints.missing_from(present);
        for id in absent {
            self.lose(&id, revision);
        }
    }
}
