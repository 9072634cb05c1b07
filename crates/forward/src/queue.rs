//! Carries out the order in which generations of this instance get decode engines
//! (`teaselshunt_routing::Waiters`).
//!
//! A search joins the queue of its service and sleeps until it is offered an engine. An offer is the account of
//! the work that the engine is about to get. It ends its account when it is dropped, so that the offer of a
//! search whose caller disconnects goes to the next one.

use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use prometheus::IntGauge;
use rand::Rng;
use teaselshunt_routing::{
    EndpointKey, Endpoints, Fit, LatePrompts, Need, Obstacle, PrefillEstimate, Room, Route, SERVE_INTERVAL,
    Service, Stage, WaiterKey, Waiting,
};
use tokio::sync::oneshot;
use tokio::time::{sleep, timeout, timeout_at};

use crate::in_flight::{self, InFlightWork};
use crate::node::{Job, Node, State};
use crate::reservations::{CapacitySearch, PromptState};
use crate::trace::Trace;

/// Pause after the queues were served. With hundreds of peers, reports that change something arrive more often
/// than a round through the queues is worth.
const SERVE_PAUSE: Duration = Duration::from_millis(10);

/// What a search for a decode engine needs to know of its request.
#[derive(Debug)]
pub(crate) struct PendingSearch {
    route: Arc<Route>,
    service: Arc<Service>,
    prompt: PromptState,
    prompt_tokens: u64,
    /// Engines not to ask again.
    tried: Vec<EndpointKey>,
    /// Takes the next offer.
    offer: Option<oneshot::Sender<InFlightWork>>,
}

/// Serves the queues until the process ends.
pub(crate) async fn run(node: Rc<Node>) {
    loop {
        let changed = node.queue_wakeup.notified();
        if node.state.borrow().waiters.is_empty() {
            changed.await;
        } else {
            // The queues are served both after a change and after the timeout.
            let _ = timeout(SERVE_INTERVAL, changed).await;
        }
        let services: Vec<_> = node.state.borrow().waiters.services().cloned().collect();
        for service in services {
            serve(&node, &service);
        }
        sleep(SERVE_PAUSE).await;
    }
}

/// Has the queues served soon, because capacity may have become free or a request waits.
pub(crate) fn wake(node: &Node) {
    if !node.state.borrow().waiters.is_empty() {
        node.queue_wakeup.notify_one();
    }
}

/// Serves the queue of a service.
fn serve(node: &Rc<Node>, service: &str) {
    let now = node.now();
    let offers: Vec<_> = {
        let state = &mut *node.state.borrow_mut();
        let State { waiters, endpoints, prefill_estimates, rng, .. } = state;
        let estimate = prefill_estimates.get(service).copied().unwrap_or_default();
        let late = LatePrompts::default();
        let mut view = View { now, endpoints, estimate, late, domain: &node.settings.domain };
        let offers = waiters.offers(now, service, |waiting, room| view.fit(waiting, room, rng));
        let take = |(key, engine)| {
            let (tokens, search) = waiters.search_mut(key)?;
            Some((search.offer.take(), node.begun_work(engine, tokens)))
        };
        offers.into_iter().filter_map(take).collect()
    };
    for (sender, work) in offers {
        // A search whose caller has disconnected takes no offer, and dropping the work wakes the queue.
        let _ = sender.map(|sender| sender.send(work));
    }
}

/// Serves the queue of a service for a request that may have an offer now, or has this done soon.
///
/// Each round goes through the whole queue. If each arrival of a burst took one, the cost would be arrivals times
/// waiting requests, while the requests ahead of most arrivals have found nothing a moment ago.
fn serve_for(node: &Rc<Node>, service: &str, key: WaiterKey) {
    let is_first = node.state.borrow().waiters.is_first(key);
    if is_first {
        serve(node, service);
    } else {
        wake(node);
    }
}

/// What a decision about one search is made from.
struct View<'a> {
    now: Instant,
    endpoints: &'a mut Endpoints,
    estimate: PrefillEstimate,
    late: LatePrompts,
    domain: &'a str,
}

impl View<'_> {
    /// Looks for a decode engine for one request, and counts the request there. A late request also needs
    /// headroom for another request of its size.
    fn fit(
        &mut self,
        waiting: &Waiting<PendingSearch>,
        room: Room<EndpointKey>,
        rng: &mut impl Rng,
    ) -> Fit<EndpointKey> {
        let (search, tokens) = (&waiting.search, waiting.tokens);
        let local_prefill = search.prompt == PromptState::LocalPrefill;
        // Only a prompt that a prefill engine has yet to prefill waits in the queue of the prefill engines.
        if search.prompt == PromptState::NotPrefilled && !self.prefill_in_time(waiting, rng) {
            return Fit::Blocked;
        }
        let tried: Vec<_> = search.tried.iter().copied().chain(room.kept).collect();
        let need = Need {
            stage: Some(Stage::Decode),
            tried: &tried,
            tokens,
            limit: search.service.engine.map(|engine| engine.tokens),
            headroom: room.headroom,
            local_prefill,
            ..Need::of(&waiting.service, self.domain)
        };
        let fit = self.endpoints.fit(self.now, need, rng);
        match fit {
            Fit::Engine(key) => in_flight::begin(self.endpoints, self.now, key, tokens),
            // A request with conditions of its own may not be able to use the engine with the most room.
            Fit::Full { .. } if local_prefill || !search.tried.is_empty() => {
                return Fit::Full { nearest: None };
            }
            Fit::Full { .. } | Fit::Blocked => {}
        }
        fit
    }

    /// Whether the prompt can still be prefilled in time.
    fn prefill_in_time(&mut self, waiting: &Waiting<PendingSearch>, rng: &mut impl Rng) -> bool {
        let (stage, tokens) = (Some(Stage::Prefill), waiting.search.prompt_tokens);
        let need = Need { stage, tokens, ..Need::of(&waiting.service, self.domain) };
        let limit = waiting.policy.prefill_limit(&waiting.search.route);
        self.endpoints.prefill_in_time(self.now, need, (self.estimate, limit), &mut self.late, rng)
    }
}

/// A generation in the queue of its service. Dropping it ends the wait, and records it in the request's log
/// line.
#[derive(Debug)]
pub(crate) struct Waiter<'a> {
    node: &'a Rc<Node>,
    trace: &'a Trace,
    service: Arc<str>,
    key: WaiterKey,
    offer: oneshot::Receiver<InFlightWork>,
    joined: Instant,
    paused_until: Option<Instant>,
    /// Set once the request has to wait.
    waiting: Option<Position>,
}

/// Where in the queue a wait began.
#[derive(Debug)]
struct Position {
    number: usize,
    gauge: IntGauge,
}

impl<'a> Waiter<'a> {
    /// Joins the queue. A request that nobody waits before, and that need not wait, has an offer then.
    pub(crate) fn join(
        node: &'a Rc<Node>,
        job: &Job,
        trace: &'a Trace,
        search: CapacitySearch<'_>,
        tokens: u64,
    ) -> Self {
        let (joined, service) = (node.now(), Arc::clone(&job.service.name));
        let (sender, offer) = oneshot::channel();
        let pending = PendingSearch {
            route: Arc::clone(&job.route),
            service: Arc::clone(&job.service),
            prompt: search.prompt,
            prompt_tokens: job.prompt_tokens(),
            tried: search.tried.to_vec(),
            offer: Some(sender),
        };
        let key = node.state.borrow_mut().waiters.push(Waiting {
            service: Arc::clone(&service),
            priority: job.priority,
            policy: search.wait_policy,
            is_promised: job.promised,
            since: joined,
            tokens,
            search: pending,
        });
        serve_for(node, &service, key);
        Self { node, trace, service, key, offer, joined, paused_until: None, waiting: None }
    }

    /// Takes the offer, if there is one.
    pub(crate) fn take_offer(&mut self) -> Option<InFlightWork> {
        self.offer.try_recv().ok()
    }

    /// Returns to the queue after an engine refused, and takes no offer for a time.
    pub(crate) fn postpone(&mut self, pause: Duration) {
        let (sender, offer) = oneshot::channel();
        self.offer = offer;
        let until = {
            let waiters = &mut self.node.state.borrow_mut().waiters;
            if let Some((_, search)) = waiters.search_mut(self.key) {
                search.offer = Some(sender);
            }
            waiters.postpone(self.key, self.node.now() + pause)
        };
        self.paused_until = Some(until).filter(|_| !pause.is_zero());
        if pause.is_zero() {
            serve_for(self.node, &self.service, self.key);
        }
    }

    /// Replaces the engines that are not offered.
    pub(crate) fn set_tried(&self, tried: Vec<EndpointKey>) {
        if let Some((_, search)) = self.node.state.borrow_mut().waiters.search_mut(self.key) {
            search.tried = tried;
        }
    }

    /// Why there is no offer.
    pub(crate) fn obstacle(&self) -> Obstacle {
        self.node.state.borrow().waiters.obstacle(self.key)
    }

    /// Whether the request, which has just joined, is known to have no chance.
    pub(crate) fn is_hopeless(&self) -> bool {
        let (now, state) = (self.node.now(), &mut *self.node.state.borrow_mut());
        let freed = state.endpoints.freed(now, &self.service);
        state.waiters.is_hopeless(now, self.key, freed)
    }

    /// Records that the request has to wait. Returns whether it was not known before.
    pub(crate) fn record_wait(&mut self, job: &Job) -> bool {
        if self.waiting.is_some() {
            return false;
        }
        let (ahead, _) = self.node.state.borrow().waiters.ahead(self.key);
        let gauge = self.node.metrics.waiting_requests(&self.service, &job.priority.text());
        gauge.inc();
        self.waiting = Some(Position { number: ahead + 1, gauge });
        // While nobody waits, the queues are served after changes only. What this request waits for may end by
        // time alone, such as a cooldown.
        wake(self.node);
        true
    }

    /// Waits for an offer, or until about `check` has passed, when the caller is to look whether the wait still
    /// makes sense.
    pub(crate) async fn wait(&mut self, check: Duration, until: Instant) -> Option<InFlightWork> {
        let now = self.node.now();
        let wake_at = match self.paused_until {
            Some(paused_until) => paused_until.max(now),
            None => (now + check).min(until),
        };
        if let Ok(offer) = timeout_at(wake_at.into(), &mut self.offer).await {
            return offer.ok();
        }
        if self.paused_until.take().is_some() {
            if self.node.now() >= until {
                // There is no time for another round.
                serve(self.node, &self.service);
            } else {
                serve_for(self.node, &self.service, self.key);
            }
        }
        self.take_offer()
    }
}

impl Drop for Waiter<'_> {
    fn drop(&mut self) {
        let waiting = self.node.state.borrow_mut().waiters.remove(self.key);
        drop(waiting);
        if let Some(Position { number, gauge }) = self.waiting.take() {
            gauge.dec();
            let waited = self.node.now().duration_since(self.joined).as_millis();
            let outcome = format!("position:{number},waited:{waited}ms");
            self.trace.record_step("queue", &self.service, &outcome);
            // The room that the request held is free for those behind it.
            wake(self.node);
        }
    }
}
