//! The control thread: it owns the decision core and is the only one that touches it.

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

use crate::audit::Trail;

/// Exit code after a broken invariant.
const BROKEN: i32 = 70;

/// What the core wants of a request's driver. Mirrors the effects that carry a ticket.
#[derive(Debug)]
pub(crate) enum Command {
    Accepted(RequestId),
    Prefill {
        attempt: AttemptId,
        target: Target,
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
        stall: Duration,
    },
    /// `issued` is when the core decided on the call.
    Call {
        attempt: AttemptId,
        target: Target,
        timeout: Duration,
        issued: Instant,
    },
    Refuse(Refusal),
    Replay(StoredResponse),
}

/// What the core wants of the rest of the process.
#[derive(Debug)]
pub(crate) enum Chore {
    Cancel { attempt: AttemptId, target: Target },
    Poll { target: Target },
    Send { to: InstanceId, name: Arc<str>, address: SocketAddr, message: Message },
}

#[derive(Debug)]
enum Input {
    Open { ticket: Ticket, work: Work, commands: mpsc::UnboundedSender<Command> },
    Event(Event),
    Snapshot(oneshot::Sender<InstanceView>),
    Models(oneshot::Sender<Vec<String>>),
}

/// Numbers that other threads read without asking the control thread.
#[derive(Debug, Default)]
pub(crate) struct Published {
    /// Configuration version in force.
    pub(crate) version: AtomicU64,
    /// List revision in use.
    pub(crate) revision: AtomicU64,
    directory: RwLock<Option<Arc<TeamDirectory>>>,
}

impl Published {
    /// Who holds which key; `None` where callers name their team themselves.
    pub(crate) fn directory(&self) -> Option<Arc<TeamDirectory>> {
        self.directory.read().unwrap_or_else(PoisonError::into_inner).clone()
    }

    fn set_directory(&self, directory: Option<TeamDirectory>) {
        *self.directory.write().unwrap_or_else(PoisonError::into_inner) = directory.map(Arc::new);
    }
}

/// A way to the control thread. Cheap to clone.
#[derive(Debug, Clone)]
pub(crate) struct Control {
    inputs: mpsc::UnboundedSender<Input>,
    next_ticket: Arc<AtomicU64>,
    pub(crate) published: Arc<Published>,
    pub(crate) clock: Arc<dyn Clock>,
    stopped: watch::Receiver<bool>,
}

/// One request of a caller. Dropping it tells the core that the caller is gone, unless it was closed.
#[derive(Debug)]
pub(crate) struct Session {
    pub(crate) ticket: Ticket,
    pub(crate) commands: mpsc::UnboundedReceiver<Command>,
    control: Control,
    closed: bool,
}

impl Control {
    /// Sends an event. The queue is only closed when the process ends.
    pub(crate) fn send(&self, event: Event) {
        let _ = self.inputs.send(Input::Event(event));
    }

    pub(crate) fn open(&self, work: Work) -> Session {
        let ticket = Ticket(self.next_ticket.fetch_add(1, Ordering::Relaxed));
        let (sender, commands) = mpsc::unbounded_channel();
        let _ = self.inputs.send(Input::Open { ticket, work, commands: sender });
        Session { ticket, commands, control: self.clone(), closed: false }
    }

    pub(crate) async fn snapshot(&self) -> Option<InstanceView> {
        let (sender, receiver) = oneshot::channel();
        let _ = self.inputs.send(Input::Snapshot(sender));
        receiver.await.ok()
    }

    pub(crate) async fn models(&self) -> Vec<String> {
        let (sender, receiver) = oneshot::channel();
        let _ = self.inputs.send(Input::Models(sender));
        receiver.await.unwrap_or_default()
    }

    /// Waits for the end of a planned stop.
    pub(crate) async fn stopped(&self) {
        let mut stopped = self.stopped.clone();
        // An error means that the control thread has ended, which is a stop as well.
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

    /// The request has had its final answer.
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

/// What the control thread is made of.
#[derive(Debug)]
pub(crate) struct Parts {
    pub(crate) identity: Identity,
    pub(crate) seed: u64,
    pub(crate) clock: Arc<dyn Clock>,
    pub(crate) trail: Arc<Trail>,
    pub(crate) chores: mpsc::UnboundedSender<Chore>,
    pub(crate) log: Logger,
}

/// Starts the control thread.
///
/// # Errors
/// The operating system gives no thread.
pub(crate) fn start(parts: Parts) -> std::io::Result<Control> {
    let (inputs, receiver) = mpsc::unbounded_channel();
    let (stop, stopped) = watch::channel(false);
    let published = Arc::new(Published::default());
    let control = Control {
        inputs,
        next_ticket: Arc::new(AtomicU64::new(1)),
        published: Arc::clone(&published),
        clock: Arc::clone(&parts.clock),
        stopped,
    };
    let runtime = tokio::runtime::Builder::new_current_thread().enable_time().build()?;
    let log = parts.log.clone();
    let thread = Thread::new(parts, published, stop);
    std::thread::Builder::new().name("control".to_owned()).spawn(move || {
        let run = std::panic::AssertUnwindSafe(|| runtime.block_on(thread.run(receiver)));
        if std::panic::catch_unwind(run).is_err() {
            crit!(log, "an invariant is broken; the process ends");
            // The log line is on its way through a queue.
            std::thread::sleep(Duration::from_millis(100));
            std::process::exit(BROKEN);
        }
    })?;
    Ok(control)
}

struct Thread {
    instance: Instance,
    clock: Arc<dyn Clock>,
    trail: Arc<Trail>,
    chores: mpsc::UnboundedSender<Chore>,
    callers: HashMap<Ticket, mpsc::UnboundedSender<Command>>,
    published: Arc<Published>,
    stop: watch::Sender<bool>,
    effects: Vec<Effect>,
}

impl Thread {
    fn new(parts: Parts, published: Arc<Published>, stop: watch::Sender<bool>) -> Self {
        let instance = Instance::new(parts.clock.now(), parts.identity, parts.seed);
        Self {
            instance,
            clock: parts.clock,
            trail: parts.trail,
            chores: parts.chores,
            callers: HashMap::new(),
            published,
            stop,
            effects: Vec::new(),
        }
    }

    async fn run(mut self, mut inputs: mpsc::UnboundedReceiver<Input>) {
        let mut ticks = tokio::time::interval(Instance::TICK);
        ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                input = inputs.recv() => match input {
                    Some(input) => self.take(input),
                    None => return,
                },
                _ = ticks.tick() => self.step(Event::Tick),
            }
        }
    }

    fn take(&mut self, input: Input) {
        match input {
            Input::Open { ticket, work, commands } => {
                self.callers.insert(ticket, commands);
                self.step(Event::Arrived { ticket, work });
            }
            Input::Event(event) => self.step(event),
            Input::Snapshot(sender) => {
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
            self.perform(effect);
        }
        self.effects = effects;
        if let Some(ticket) = ended {
            self.callers.remove(&ticket);
        }
    }

    fn perform(&mut self, effect: Effect) {
        match effect {
            Effect::Accept { ticket, request } => self.command(ticket, Command::Accepted(request)),
            Effect::Prefill { ticket, attempt, target, priority, timeout } => {
                self.command(ticket, Command::Prefill { attempt, target, priority, timeout });
            }
            Effect::Import { ticket, attempt, origin, target, timeout } => {
                self.command(ticket, Command::Import { attempt, origin, target, timeout });
            }
            Effect::Decode { ticket, attempt, target, resume, priority, stall_timeout } => {
                self.command(
                    ticket,
                    Command::Decode { attempt, target, resume, priority, stall: stall_timeout },
                );
            }
            Effect::Call { ticket, attempt, target, timeout } => {
                let issued = self.clock.now();
                self.command(ticket, Command::Call { attempt, target, timeout, issued });
            }
            Effect::Refuse { ticket, refusal } => {
                self.command(ticket, Command::Refuse(refusal));
                self.callers.remove(&ticket);
            }
            Effect::Replay { ticket, stored } => {
                self.command(ticket, Command::Replay(stored));
                self.callers.remove(&ticket);
            }
            Effect::Cancel { attempt, target } => self.chore(Chore::Cancel { attempt, target }),
            Effect::Poll { target } => self.chore(Chore::Poll { target }),
            Effect::Send { to, name, address, message } => {
                self.chore(Chore::Send { to, name, address, message });
            }
            Effect::Audit(audit) => self.audit(&audit),
            Effect::Stopped => {
                self.stop.send_replace(true);
            }
        }
    }

    fn audit(&self, audit: &teaselshunt_core::Audit) {
        self.trail.write(audit, |id| self.instance.name(id));
        match audit {
            teaselshunt_core::Audit::Accepted { version, .. } => {
                // Keys first: whoever sees the version must not meet the keys of the one before.
                self.published.set_directory(self.instance.team_directory());
                self.published.version.store(*version, Ordering::Release);
            }
            teaselshunt_core::Audit::List { revision, .. } => {
                self.published.revision.store(*revision, Ordering::Release);
            }
            _ => {}
        }
    }

    /// A driver that has ended meanwhile has told the core so, or will.
    fn command(&self, ticket: Ticket, command: Command) {
        if let Some(commands) = self.callers.get(&ticket) {
            let _ = commands.send(command);
        }
    }

    fn chore(&self, chore: Chore) {
        let _ = self.chores.send(chore);
    }
}
