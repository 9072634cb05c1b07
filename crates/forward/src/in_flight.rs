//! Accounts of what this instance has in progress at endpoints. Each is an object that ends its account when it
//! is dropped.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Instant;

use teaselshunt_routing::{EndpointKey, Endpoints};

use crate::node::Node;
use crate::queue;

/// Accounting of one request's work at an endpoint. Dropping it removes the work from the account.
#[derive(Debug)]
pub(crate) struct InFlightWork {
    node: Rc<Node>,
    endpoint: EndpointKey,
    tokens: u64,
    /// Whether the request may have reached the endpoint. Until then dropping it also refunds the endpoint's
    /// rate limit.
    pub(crate) sent: Cell<bool>,
}

impl InFlightWork {
    pub(crate) const fn endpoint(&self) -> EndpointKey {
        self.endpoint
    }

    /// Tokens that are accounted for.
    pub(crate) const fn tokens(&self) -> u64 {
        self.tokens
    }

    /// Raises the accounted tokens to `tokens` in total, if that is more than so far.
    pub(crate) fn grow(&mut self, tokens: u64) {
        let more = tokens.saturating_sub(self.tokens);
        if more > 0 {
            self.node.state.borrow_mut().endpoints.add_tokens(self.endpoint, more);
            self.tokens = tokens;
            self.node.gossip_wakeup.notify_one();
        }
    }
}

impl Drop for InFlightWork {
    fn drop(&mut self) {
        let now = self.node.now();
        {
            let endpoints = &mut self.node.state.borrow_mut().endpoints;
            endpoints.end(now, self.endpoint, self.tokens);
            if self.sent.get() {
                endpoints.observe_freed(now, self.endpoint, self.tokens);
            } else {
                endpoints.refund_rate(now, self.endpoint);
            }
        }
        self.node.gossip_wakeup.notify_one();
        queue::wake(&self.node);
    }
}

/// A local prefill that is in progress at a decode engine. Dropping it ends the local prefill in the account.
#[derive(Debug)]
pub(crate) struct LocalPrefill {
    node: Rc<Node>,
    endpoint: EndpointKey,
}

impl Drop for LocalPrefill {
    fn drop(&mut self) {
        self.node.state.borrow_mut().endpoints.end_local_prefill(self.endpoint);
        self.node.gossip_wakeup.notify_one();
        queue::wake(&self.node);
    }
}

/// Counts work that is about to be sent to an endpoint. [`Node::begun_work`] returns its account.
pub(crate) fn begin(endpoints: &mut Endpoints, now: Instant, endpoint: EndpointKey, tokens: u64) {
    endpoints.begin(now, endpoint, tokens);
    endpoints.charge_rate(now, endpoint);
}

impl Node {
    /// Begins to account for work that is about to be sent to an endpoint.
    pub(crate) fn begin_work(self: &Rc<Self>, endpoint: EndpointKey, tokens: u64) -> InFlightWork {
        begin(&mut self.state.borrow_mut().endpoints, self.now(), endpoint, tokens);
        self.begun_work(endpoint, tokens)
    }

    /// The account of work that [`begin`] has begun.
    pub(crate) fn begun_work(self: &Rc<Self>, endpoint: EndpointKey, tokens: u64) -> InFlightWork {
        self.gossip_wakeup.notify_one();
        InFlightWork { node: Rc::clone(self), endpoint, tokens, sent: Cell::new(false) }
    }

    /// Records that a decode engine begins a local prefill. Reports to peers include it until the guard is
    /// dropped.
    pub(crate) fn begin_local_prefill(self: &Rc<Self>, endpoint: EndpointKey) -> LocalPrefill {
        self.state.borrow_mut().endpoints.begin_local_prefill(endpoint);
        self.gossip_wakeup.notify_one();
        LocalPrefill { node: Rc::clone(self), endpoint }
    }
}
