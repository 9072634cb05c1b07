//! Whether any endpoint may have begun a request.
//!
//! A caller that is told that its request has not run sends it again, so that the count may err to one side only. A run is
//! counted before the first of its bytes is passed to a connection, and taken back only once it is known that no byte was
//! written, or after the endpoint has stated that it has not run the request and will not. If the sender is dropped or
//! panics between the two, its run stays counted. At every moment the count is thus at least the number of runs that
//! endpoints may have begun. If it is 0, no endpoint has begun the request, and none will once its senders are dropped.
//!
//! The count may be too high for a moment: a run whose connection turned out to be closed is still counted while another
//! connection is opened for it. A prefill alone runs nothing and is not counted.

use std::cell::Cell;

/// Runs of one request that endpoints may have begun.
#[derive(Debug, Default)]
pub(crate) struct Runs(Cell<u32>);

impl Runs {
    /// Whether any endpoint may have begun the request.
    pub(crate) fn may_have_begun(&self) -> bool {
        self.0.get() > 0
    }

    /// A run that is to be sent, and is not counted yet.
    pub(crate) fn prepare(&self) -> Run<'_> {
        Run { runs: self, is_counted: Cell::new(false) }
    }
}

/// One run of a request. Dropping it leaves it counted if it was written.
#[derive(Debug)]
pub(crate) struct Run<'a> {
    runs: &'a Runs,
    is_counted: Cell<bool>,
}

impl Run<'_> {
    /// Records that the run is about to be written to a connection, perhaps again after one that was closed.
    pub(crate) fn begin(&self) {
        if !self.is_counted.replace(true) {
            self.runs.0.update(|runs| runs + 1);
        }
    }

    /// Records that no endpoint has begun the run, and none will.
    pub(crate) fn take_back(self) {
        if self.is_counted.get() {
            self.runs.0.update(|runs| runs - 1);
        }
    }
}
