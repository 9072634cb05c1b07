//! Requests whose waits answer, fail, repeat, never end or panic, at drawn moments of a clock without a network.

use std::cell::RefCell;
use std::collections::HashSet;
use std::rc::Rc;
use std::time::Duration;

use quickcheck::{Arbitrary, Gen, QuickCheck};
use teaselshunt_core::Outcome;
use tokio::sync::oneshot;
use tokio::task::LocalSet;
use tokio::time::{Instant, sleep, sleep_until};

use super::{Cause, Limits, Unanswered, within};
use crate::runs::Runs;

/// Times are drawn up to this one, which is longer than any deadline.
const LONGEST_MS: u64 = 3_000;
/// Longer than any wait that ends.
const LATER: Duration = Duration::from_secs(10);

/// What a request waits for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Target {
    /// An endpoint that runs it; the run is written after a connection was opened.
    Endpoint { connect_ms: u64 },
    /// A call by a task of its own, which goes on without the request: a reservation, or a check of a link or peer.
    Call,
    /// A queue, a slow caller, a version of the configuration.
    Queue,
}

/// How a wait ends.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum End {
    Answered,
    /// A failure after which nothing is known.
    Broken,
    /// A statement that the request has not run.
    Refused,
    /// It is tried again and again.
    Repeats,
    Never,
    Panics,
    /// It never ends by itself, and what is dropped with it panics.
    NeverAndPanics,
}

#[derive(Debug, Clone, Copy)]
struct Wait {
    target: Target,
    end: End,
    time_ms: u64,
}

/// Waits one after the other, and others beside them, as of a hedge or a search.
#[derive(Debug, Clone)]
struct Plan {
    waits: Vec<Wait>,
    beside: Vec<Wait>,
    deadline_ms: u64,
    /// When the process is about to exit.
    exit_ms: Option<u64>,
}

fn time(g: &mut Gen) -> u64 {
    // Several waits that end at the same moment as the deadline are of interest.
    let rounded = *g.choose(&[1, 10, 500]).expect("a choice");
    u64::arbitrary(g) % LONGEST_MS / rounded * rounded
}

impl Arbitrary for Wait {
    fn arbitrary(g: &mut Gen) -> Self {
        let connect_ms = if bool::arbitrary(g) { 0 } else { time(g) / 4 };
        let targets =
            [Target::Endpoint { connect_ms }, Target::Endpoint { connect_ms }, Target::Call, Target::Queue];
        let ends = [
            End::Answered,
            End::Broken,
            End::Refused,
            End::Refused,
            End::Repeats,
            End::Never,
            End::Panics,
            End::NeverAndPanics,
        ];
        let (target, end) = (*g.choose(&targets).expect("a choice"), *g.choose(&ends).expect("a choice"));
        Self { target, end, time_ms: time(g) }
    }
}

impl Arbitrary for Plan {
    fn arbitrary(g: &mut Gen) -> Self {
        let waits =
            |g: &mut Gen, most: usize| (0..usize::arbitrary(g) % most).map(|_| Wait::arbitrary(g)).collect();
        Self {
            waits: waits(g, 6),
            beside: waits(g, 3),
            deadline_ms: 1 + time(g) / 2,
            exit_ms: bool::arbitrary(g).then(|| time(g)),
        }
    }

    fn shrink(&self) -> Box<dyn Iterator<Item = Self>> {
        let plan = self.clone();
        let without = (0..self.waits.len() + self.beside.len()).map(move |index| {
            let mut smaller = plan.clone();
            if index < smaller.waits.len() {
                smaller.waits.remove(index);
            } else {
                smaller.beside.remove(index - plan.waits.len());
            }
            smaller
        });
        Box::new(without)
    }
}

/// What endpoints know of a request.
#[derive(Debug, Default)]
struct Endpoints {
    /// Times at which a run was written.
    written: Vec<Instant>,
    /// Runs, by their number, that endpoints have not stated not to have run.
    begun: HashSet<usize>,
}

/// Panics when it is dropped.
struct PanicsOnDrop;

impl Drop for PanicsOnDrop {
    fn drop(&mut self) {
        if !std::thread::panicking() {
            panic_quietly("drop");
        }
    }
}

/// Panics without the message that the test's output would be full of.
fn panic_quietly(text: &'static str) -> ! {
    std::panic::resume_unwind(Box::new(text))
}

fn millis(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// The end of one wait; whether it was answered.
async fn ended(wait: Wait) -> bool {
    sleep(millis(wait.time_ms)).await;
    match wait.end {
        End::Answered => true,
        End::Broken | End::Refused => false,
        End::Repeats => loop {
            sleep(millis(50 + wait.time_ms)).await;
        },
        End::Never => std::future::pending().await,
        End::Panics => panic_quietly("wait"),
        End::NeverAndPanics => {
            let _guard = PanicsOnDrop;
            std::future::pending().await
        }
    }
}

/// Sends a run as `Node::send` does.
async fn send(runs: &Runs, endpoints: &RefCell<Endpoints>, wait: Wait, connect_ms: u64) -> bool {
    let run = runs.prepare();
    sleep(millis(connect_ms)).await;
    run.begin();
    let number = {
        let mut endpoints = endpoints.borrow_mut();
        endpoints.written.push(Instant::now());
        let number = endpoints.written.len();
        endpoints.begun.insert(number);
        number
    };
    let answered = ended(wait).await;
    if wait.end == End::Refused {
        endpoints.borrow_mut().begun.remove(&number);
        run.take_back();
    }
    answered
}

/// Whether the waits brought a response.
async fn handle(runs: &Runs, endpoints: &RefCell<Endpoints>, waits: &[Wait]) -> bool {
    for &wait in waits {
        match wait.target {
            Target::Endpoint { connect_ms } => {
                if send(runs, endpoints, wait, connect_ms).await {
                    return true;
                }
            }
            Target::Call => {
                let (sender, answer) = oneshot::channel();
                tokio::task::spawn_local(async move { sender.send(ended(wait).await) });
                // A call that panics drops its sender.
                answer.await.unwrap_or_else(|_| panic_quietly("call"));
            }
            Target::Queue => {
                ended(wait).await;
            }
        }
    }
    false
}

/// Plays a plan, and asserts what callers are promised.
async fn play(plan: Plan) {
    let start = Instant::now();
    let (runs, endpoints) = (Runs::default(), Rc::new(RefCell::new(Endpoints::default())));
    let deadline = start + millis(plan.deadline_ms);
    let limits = Limits::new(start.into_std(), deadline.into_std(), (deadline + LATER).into_std());
    let exit_at = plan.exit_ms.map(|exit_ms| start + millis(exit_ms));
    let exit = async {
        match exit_at {
            Some(at) => sleep_until(at).await,
            None => std::future::pending().await,
        }
    };
    let handling = async {
        let beside = async {
            if !handle(&runs, &endpoints, &plan.beside).await {
                std::future::pending::<()>().await;
            }
        };
        tokio::select! {
            answered = handle(&runs, &endpoints, &plan.waits) => answered,
            () = beside => true,
        }
    };
    let result = within(handling, &runs, Some(limits), exit).await;
    let ended = Instant::now();
    assert!(ended <= deadline && exit_at.is_none_or(|at| ended <= at), "the response is late: {plan:?}");
    if let Err(unanswered) = &result {
        assert_true(unanswered, limits, &endpoints.borrow(), &plan);
    }
    let written = endpoints.borrow().written.len();
    sleep(LATER).await;
    assert_eq!(endpoints.borrow().written.len(), written, "a run was sent after the response: {plan:?}");
}

/// Asserts that a response from outside states only what endpoints know.
fn assert_true(unanswered: &Unanswered, limits: Limits, endpoints: &Endpoints, plan: &Plan) {
    let (refusal, _) = unanswered.refusal(Some(limits));
    let answer = refusal.kind.answer();
    assert_eq!(unanswered.may_have_run, !endpoints.begun.is_empty(), "{plan:?}");
    let promises = matches!(answer.status, 408 | 421 | 429 | 503);
    assert_eq!(promises, answer.outcome == Outcome::NotRun, "{plan:?}");
    assert!(!promises || endpoints.begun.is_empty(), "refused as not run, and an endpoint has it: {plan:?}");
    if !matches!(unanswered.cause, Cause::Panic(_)) {
        assert_eq!(promises, endpoints.begun.is_empty(), "{plan:?}");
        assert_eq!(refusal.retry_after.is_some(), promises, "{plan:?}");
    }
}

/// Runs on a clock that goes on to the next timer at once.
fn on_paused_clock(test: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_time().start_paused(true).build();
    LocalSet::new().block_on(&runtime.expect("a runtime"), test);
}

/// Guards against requests without a response because something that they wait for never ends or panics, against a "not run" about a
/// request that an endpoint may have begun, and against runs that are sent after the response.
#[test]
fn each_request_has_one_true_response_by_its_deadline() {
    fn property(plan: Plan) -> bool {
        on_paused_clock(play(plan));
        true
    }
    QuickCheck::new().tests(5_000).quickcheck(property as fn(Plan) -> bool);
}

/// Guards against a run that is sent when the process has not run for a while and finds its request's deadline passed.
#[test]
fn a_request_whose_time_is_over_is_not_begun() {
    on_paused_clock(async {
        let now = Instant::now().into_std();
        let limits = Limits::new(now, now, now);
        let runs = Runs::default();
        let handling = async { runs.prepare().begin() };
        let result = within(handling, &runs, Some(limits), std::future::pending()).await;
        assert_eq!(result, Err(Unanswered { cause: Cause::Deadline, may_have_run: false }));
    });
}
