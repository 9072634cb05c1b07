//! The control thread, which owns the decision core; no other thread accesses the core.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, PoisonError, RwLock};
use std::time::{Duration, Instant};

use slog::{Logger, crit};
use teaselshunt_core::{
    AttemptId, Clock, Effect, Event, Identity, Instance, InstanceId, InstanceView, Message, Refusal,
    RequestId, StoredResponse, Target, TeamDirectory, Ticket, Work,
};
use tokio::sync::{mpsc, oneshot, watch};

use crate::audit::AuditTrail;

/// Exit code after a broken invariant.
const EXIT_INVARIANT_BROKEN: i32 = 70;

/// A command of the core to the driver of a request. Mirrors the effects that carry a ticket.
#[derive(Debug)]
pub(crate) enum Command {
    Accepted(RequestId),
    Prefill {
        attempt: AttemptId,
        target: Target,
        /// Whether the stream of an earlier attempt goes on until that of this one begins.
        kept: bool,
        priority: u8,
        timeout: Duration,
    },
    Import {
        attempt: AttemptId,
        origin: Target,
        target: Target,
        timeout: Duration,
    },
    Decode {
        attempt: AttemptId,
        target: Target,
        resume: Option<AttemptId>,
        priority: u8,
        stall_timeout: Duration,
    },
    /// End the steps that seek another engine.
    Continue,
    /// `issued` is the time at which the core decided on the call.
    Call {
        attempt: AttemptId,
        target: Target,
        timeout: Duration,
        issued: Instant,
    },
    Refuse(Refusal),
    Replay(StoredResponse),
}

/// An action that the core requests from the process and that no driver performs.
#[derive(Debug)]
pub(crate) enum Action {
    Cancel { attempt: AttemptId, target: Target },
    Poll { target: Target },
    Send { to: InstanceId, name: Arc<str>, address: SocketAddr, message: Message },
}

#[derive(Debug)]
enum Input {
    Open { ticket: Ticket, work: Work, commands: mpsc::UnboundedSender<Command> },
    Event(Event),
    View(oneshot::Sender<InstanceView>),
    Models(oneshot::Sender<Vec<String>>),
}

/// State of the core that other threads read without a query to the control thread.
#[derive(Debug, Default)]
pub(crate) struct Published {
    /// Active configuration version.
    pub(crate) version: AtomicU64,
    /// List revision in use.
    pub(crate) revision: AtomicU64,
    team_directory: RwLock<Option<Arc<TeamDirectory>>>,
}

impl Published {
    /// Teams by API key; `None` if no team has a key and callers state their team themselves.
    pub(crate) fn team_directory(&self) -> Option<Arc<TeamDirectory>> {
        self.team_directory.read().unwrap_or_else(PoisonError::into_inner).clone()
    }

    fn set_team_directory(&self, directory: Option<TeamDirectory>) {
        *self.team_directory.write().unwrap_or_else(PoisonError::into_inner) = directory.map(Arc::new);
    }
}

/// Handle to the control thread. Cheap to clone.
#[derive(Debug, Clone)]
pub(crate) struct Control {
    inputs: mpsc::UnboundedSender<Input>,
    next_ticket: Arc<AtomicU64>,
    pub(crate) published: Arc<Published>,
    pub(crate) clock: Arc<dyn Clock>,
    stopped: watch::Receiver<bool>,
}

/// Connection of a request's driver to the core. A session that is dropped before [`Session::close`] reports
/// to the core that the caller has disconnected.
#[derive(Debug)]
pub(crate) struct Session {
    pub(crate) ticket: Ticket,
    pub(crate) commands: mpsc::UnboundedReceiver<Command>,
    control: Control,
    closed: bool,
}

impl Control {
    /// Sends an event to the core. The queue is closed only when the process exits.
    pub(crate) fn send(&self, event: Event) {
        let _ = self.inputs.send(Input::Event(event));
    }

    pub(crate) fn open_session(&self, work: Work) -> Session {
        let ticket = Ticket(self.next_ticket.fetch_add(1, Ordering::Relaxed));
        let (sender, commands) = mpsc::unbounded_channel();
        let _ = self.inputs.send(Input::Open { ticket, work, commands: sender });
        Session { ticket, commands, control: self.clone(), closed: false }
    }

    pub(crate) async fn view(&self) -> Option<InstanceView> {
        let (sender, receiver) = oneshot::channel();
        let _ = self.inputs.send(Input::View(sender));
        receiver.await.ok()
    }

    pub(crate) async fn models(&self) -> Vec<String> {
        let (sender, receiver) = oneshot::channel();
        let _ = self.inputs.send(Input::Models(sender));
        receiver.await.unwrap_or_default()
    }

    /// Waits until a graceful shutdown is complete.
    pub(crate) async fn stopped(&self) {
        let mut stopped = self.stopped.clone();
        // An error means that the control thread has ended, which counts as stopped as well.
        let _ = stopped.wait_for(|s| *s).await;
    }
}

impl Session {
    pub(crate) fn send(&self, event: Event) {
        self.control.send(event);
    }

    pub(crate) fn now(&self) -> Instant {
        self.control.clock.now()
    }

    /// Marks the request as answered, so that dropping the session reports no disconnect.
    pub(crate) fn close(&mut self) {
        self.closed = true;
    }
}

impl Drop for Session {
    fn drop(&mut self) {
        if !self.closed {
            self.control.send(Event::CallerGone { ticket: self.ticket });
        }
    }
}

/// Dependencies of the control thread.
#[derive(Debug)]
pub(crate) struct Dependencies {
    pub(crate) identity: Identity,
    pub(crate) seed: u64,
    pub(crate) clock: Arc<dyn Clock>,
    pub(crate) trail: Arc<AuditTrail>,
    pub(crate) actions: mpsc::UnboundedSender<Action>,
    pub(crate) log: Logger,
}

/// Starts the control thread.
///
/// # Errors
/// The operating system cannot create a thread or a timer.
pub(crate) fn start(dependencies: Dependencies) -> std::io::Result<Control> {
    let (inputs, receiver) = mpsc::unbounded_channel();
    let (stopped_sender, stopped) = watch::channel(false);
    let published = Arc::new(Published::default());
    let control = Control {
        inputs,
        next_ticket: Arc::new(AtomicU64::new(1)),
        published: Arc::clone(&published),
        clock: Arc::clone(&dependencies.clock),
        stopped,
    };
    let runtime = tokio::runtime::Builder::new_current_thread().enable_time().build()?;
    let log = dependencies.log.clone();
    let thread = ControlThread::new(dependencies, published, stopped_sender);
    std::thread::Builder::new().name("control".to_owned()).spawn(move || {
        let run = std::panic::AssertUnwindSafe(|| runtime.block_on(thread.run(receiver)));
        if std::panic::catch_unwind(run).is_err() {
            crit!(log, "invariant violated; the process exits");
            // The log line passes through a queue to another thread; the delay lets that thread write it.
            std::thread::sleep(Duration::from_millis(100));
            std::process::exit(EXIT_INVARIANT_BROKEN);
        }
    })?;
    Ok(control)
}

struct ControlThread {
    instance: Instance,
    clock: Arc<dyn Clock>,
    trail: Arc<AuditTrail>,
    actions: mpsc::UnboundedSender<Action>,
    /// Command queues of the drivers, by ticket.
    drivers: HashMap<Ticket, mpsc::UnboundedSender<Command>>,
    published: Arc<Published>,
    stopped: watch::Sender<bool>,
    /// Reused buffer for the effects of a step.
    effects: Vec<Effect>,
}

impl ControlThread {
    fn new(dependencies: Dependencies, published: Arc<Published>, stopped: watch::Sender<bool>) -> Self {
        let instance = Instance::new(dependencies.clock.now(), dependencies.identity, dependencies.seed);
        Self {
            instance,
            clock: dependencies.clock,
            trail: dependencies.trail,
            actions: dependencies.actions,
            drivers: HashMap::new(),
            published,
            stopped,
            effects: Vec::new(),
        }
    }

    async fn run(mut self, mut inputs: mpsc::UnboundedReceiver<Input>) {
        let mut ticks = tokio::time::interval(Instance::TICK);
        ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                input = inputs.recv() => match input {
                    Some(input) => self.handle_input(input),
                    None => return,
                },
                _ = ticks.tick() => self.step(Event::Tick),
            }
        }
    }

    fn handle_input(&mut self, input: Input) {
        match input {
            Input::Open { ticket, work, commands } => {
                self.drivers.insert(ticket, commands);
                self.step(Event::Arrived { ticket, work });
            }
            Input::Event(event) => self.step(event),
            Input::View(sender) => {
                let _ = sender.send(self.instance.view(self.clock.now()));
            }
            Input::Models(sender) => {
                let _ = sender.send(self.instance.models());
            }
        }
    }

    fn step(&mut self, event: Event) {
        let ended = match &event {
            Event::CallerGone { ticket } => Some(*ticket),
            Event::Finished { attempt, .. } | Event::Called { attempt, .. } => {
                Some(Ticket(attempt.request.sequence))
            }
            _ => None,
        };
        let mut effects = std::mem::take(&mut self.effects);
        self.instance.step(self.clock.now(), event, &mut effects);
        for effect in effects.drain(..) {
            self.perform_effect(effect);
        }
        self.effects = effects;
        if let Some(ticket) = ended {
            self.drivers.remove(&ticket);
        }
    }

    fn perform_effect(&mut self, effect: Effect) {
        match effect {
            Effect::Accept { ticket, request } => self.send_command(ticket, Command::Accepted(request)),
            Effect::Prefill { ticket, attempt, target, kept, priority, timeout } => {
                let kept = kept.is_some();
                self.send_command(ticket, Command::Prefill { attempt, target, kept, priority, timeout });
            }
            Effect::Continue { ticket, .. } => self.send_command(ticket, Command::Continue),
            Effect::Import { ticket, attempt, origin, target, timeout } => {
                self.send_command(ticket, Command::Import { attempt, origin, target, timeout });
            }
            Effect::Decode { ticket, attempt, target, resume, priority, stall_timeout } => {
                self.send_command(
                    ticket,
                    Command::Decode { attempt, target, resume, priority, stall_timeout },
                );
            }
            Effect::Call { ticket, attempt, target, timeout } => {
                let issued = self.clock.now();
                self.send_command(ticket, Command::Call { attempt, target, timeout, issued });
            }
            Effect::Refuse { ticket, refusal } => {
                self.send_command(ticket, Command::Refuse(refusal));
                self.drivers.remove(&ticket);
            }
            Effect::Replay { ticket, stored } => {
                self.send_command(ticket, Command::Replay(stored));
                self.drivers.remove(&ticket);
            }
            Effect::Cancel { attempt, target } => self.request_action(Action::Cancel { attempt, target }),
            Effect::Poll { target } => self.request_action(Action::Poll { target }),
            Effect::Send { to, name, address, message } => {
                self.request_action(Action::Send { to, name, address, message });
            }
            Effect::Audit(audit) => self.record_audit(&audit),
            Effect::Stopped => {
                self.stopped.send_replace(true);
            }
        }
    }

    fn record_audit(&self, audit: &teaselshunt_core::Audit) {
        self.trail.write(audit, |id| self.instance.name(id));
        match audit {
            teaselshunt_core::Audit::Accepted { version, .. } => {
                // API keys first: a thread that reads the new version must not use the keys of the previous
                // one.
                self.published.set_team_directory(self.instance.team_directory());
                self.published.version.store(*version, Ordering::Release);
            }
            teaselshunt_core::Audit::List { revision, .. } => {
                self.published.revision.store(*revision, Ordering::Release);
            }
            _ => {}
        }
    }

    /// Sends a command to the driver of a request. If the driver has ended, the command is dropped: the
    /// driver's session reports its end to the core.
    fn send_command(&self, ticket: Ticket, command: Command) {
        if let Some(commands) = self.drivers.get(&ticket) {
            let _ = commands.send(command);
        }
    }

    fn request_action(&self, action: Action) {
        let _ = self.actions.send(action);
    }
}
