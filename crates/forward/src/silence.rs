//! Watches a stream whose engine may be silent. The decisions are in `teaselshunt-routing`.

use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use rand::seq::IteratorRandom;
use slog::debug;
use teaselshunt_routing::{EndpointKey, Silence, SilenceStep, Stage};

use crate::calls::CALL_TIMEOUT;
use crate::node::{Job, Node};

/// Time without the first event after which another engine is searched. Most callers leave at about this time.
const FIRST_EVENT_PATIENCE: Duration = Duration::from_secs(4);

/// The silence of one stream.
pub(crate) struct SilenceWatch<'a> {
    node: &'a Rc<Node>,
    job: &'a Job,
    /// The engine that runs the stream.
    engine: EndpointKey,
    /// `None` for a stream that looks for no other engine.
    silence: Option<Silence>,
}

impl<'a> SilenceWatch<'a> {
    /// Watches a stream whose response begins now.
    pub(crate) fn of_stream(node: &'a Rc<Node>, job: &'a Job, engine: EndpointKey, may_resume: bool) -> Self {
        let gap = job.route.gap.filter(|_| may_resume);
        let silence = gap.map(|gap| Silence::of_stream(node.now(), gap));
        Self { node, job, engine, silence }
    }

    /// Watches a request that is sent now.
    pub(crate) fn before_first_event(
        node: &'a Rc<Node>,
        job: &'a Job,
        engine: EndpointKey,
        may_resume: bool,
    ) -> Self {
        let silence = may_resume.then(|| Silence::before_first_event(node.now(), FIRST_EVENT_PATIENCE));
        Self { node, job, engine, silence }
    }

    /// Records that something of the stream has arrived.
    pub(crate) fn end(&mut self) {
        if let Some(silence) = &mut self.silence {
            silence.end(self.node.now());
        }
    }

    /// Looks for no other engine any more.
    pub(crate) fn disable(&mut self) {
        self.silence = None;
    }

    /// Waits until the silence is to be looked at.
    pub(crate) async fn is_due(&self) {
        match &self.silence {
            Some(silence) => tokio::time::sleep_until(silence.next_look().into()).await,
            None => std::future::pending().await,
        }
    }

    /// Waits until the engine is unlikely to respond first: it is silent alone, or its link is lost. Returns which.
    pub(crate) async fn until_unlikely(&mut self) -> &'static str {
        if self.silence.is_none() {
            return std::future::pending().await;
        }
        loop {
            tokio::select! {
                () = self.node.until_link_lost(self.engine) => return "link_lost",
                () = self.is_due() => {}
            }
            if self.look() == SilenceStep::Replace {
                return "silent";
            }
        }
    }

    /// Looks at the silence, and asks an engine whether it responds if nothing else shows that.
    pub(crate) fn look(&mut self) -> SilenceStep {
        let Some(silence) = &mut self.silence else { return SilenceStep::Wait };
        let now = self.node.now();
        let heard = self.node.state.borrow().signs.heard(&self.job.service.name);
        let step = silence.look(now, heard);
        if step == SilenceStep::Ask {
            ask(self.node, &self.job.service.name, self.engine);
        }
        step
    }
}

/// Asks any decode engine of a service but `silent` for a report. Whatever it responds is a sign of life.
fn ask(node: &Rc<Node>, service: &Arc<str>, silent: EndpointKey) {
    let now = node.now();
    let until = now + CALL_TIMEOUT;
    let engine = {
        let state = &mut *node.state.borrow_mut();
        if !state.signs.may_ask(now, service, until) {
            return;
        }
        let silent = state.endpoints.get(silent).map(|engine| &*engine.id);
        let others = state.endpoints.open(now, service);
        let others = others.filter(|e| e.stage == Some(Stage::Decode) && Some(&*e.id) != silent);
        others.choose(&mut state.rng).and_then(|engine| state.endpoints.key_of(&engine.id))
    };
    if let Some(engine) = engine {
        let node = Rc::clone(node);
        tokio::task::spawn_local(async move { request_report(&node, engine, until).await });
    }
}

async fn request_report(node: &Node, engine: EndpointKey, until: Instant) {
    let Some((address, id)) = node.locate(engine) else { return };
    let call = node.protocol.report(&id);
    if let Err(failure) = node.call_endpoint(engine, address, call, until).await {
        debug!(node.log, "an engine that was asked for its report has not responded";
            "endpoint" => &*id, "failure" => failure.text());
    }
}
