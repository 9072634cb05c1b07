//! Streams whose engine is silent, and that are kept until another engine responds.

use std::time::Duration;

use teaselshunt_core::{
    AttemptId, Effect, EndpointId, EngineLoad, ErrorKind, Event, Fingerprint, StepFailure, StoredResponse,
    Ticket,
};

use teaselshunt_settings::{EndpointState, Role};

use crate::support::{SingleInstance, import, prefill};

const STALL: Duration = Duration::from_secs(2);
/// Tokens that the caller has when the engine falls silent.
const OFFSET: u32 = 5;

/// A stream whose engine is silent.
struct SilentStream {
    instance: SingleInstance,
    attempt: AttemptId,
    engine: EndpointId,
}

fn decode(effects: &[Effect]) -> Option<(AttemptId, EndpointId)> {
    effects.iter().find_map(|e| match e {
        Effect::Decode { attempt, target, .. } => Some((*attempt, target.id)),
        _ => None,
    })
}

fn cancels(effects: &[Effect], attempt: AttemptId) -> bool {
    effects.iter().any(|e| matches!(e, Effect::Cancel { attempt: a, .. } if *a == attempt))
}

fn continues(effects: &[Effect], attempt: AttemptId) -> bool {
    effects.iter().any(|e| matches!(e, Effect::Continue { attempt: a, .. } if *a == attempt))
}

fn refusal(effects: &[Effect]) -> Option<ErrorKind> {
    effects.iter().find_map(|e| match e {
        Effect::Refuse { refusal, .. } => Some(refusal.kind),
        _ => None,
    })
}

impl SilentStream {
    /// A stream that was resumed at its engine and has stalled again.
    fn start() -> Self {
        Self::start_at(SingleInstance::start())
    }

    fn start_at(mut instance: SingleInstance) -> Self {
        let attempt = instance.arrive(1);
        instance.step(Event::Prefilled { attempt, bytes: 1, cached: 0 });
        let effects = instance.step(Event::Imported { attempt });
        let (attempt, engine) = decode(&effects).expect("the stream begins");
        let mut stream = Self { instance, attempt, engine };
        let (attempt, resumed_at) = decode(&stream.stall(attempt)).expect("the stream is resumed");
        assert_eq!(resumed_at, engine, "only its connection may be dead");
        stream.attempt = attempt;
        stream
    }

    fn stall(&mut self, attempt: AttemptId) -> Vec<Effect> {
        self.instance.pass(STALL);
        self.instance.step(Event::Failed { attempt, failure: StepFailure::Stalled, offset: OFFSET })
    }

    /// All other engines report their load.
    fn others_answer(&mut self) {
        for endpoint in self.instance.configuration.endpoints.clone() {
            let endpoint = EndpointId::of(&endpoint.name);
            if endpoint != self.engine {
                self.instance.step(Event::Reported { endpoint, report: EngineLoad::default() });
            }
        }
    }

    /// Begins a search for another engine, and returns its attempt.
    fn search(&mut self) -> AttemptId {
        self.others_answer();
        let attempt = self.attempt;
        let effects = self.stall(attempt);
        assert!(!cancels(&effects, attempt) && refusal(&effects).is_none(), "{effects:?}");
        let keeps = |e: &Effect| matches!(e, Effect::Prefill { kept: Some(kept), .. } if *kept == attempt);
        assert!(effects.iter().any(keeps), "{effects:?}");
        prefill(&effects).expect("a search")
    }

    /// The same, up to the stream at the other engine, which has not responded yet.
    fn search_to_decode(&mut self) -> (AttemptId, EndpointId) {
        let attempt = self.search();
        let effects = self.instance.step(Event::Prefilled { attempt, bytes: 1, cached: 0 });
        assert_ne!(import(&effects), Some(self.engine));
        decode(&self.instance.step(Event::Imported { attempt })).expect("the other stream")
    }

    /// Asserts that nothing is held any more: a graceful shutdown would panic otherwise.
    fn assert_released(mut self) {
        self.instance.step(Event::Stop);
        let mut stopped = false;
        for _ in 0..40 {
            self.instance.pass(Duration::from_millis(50));
            stopped |= self.instance.step(Event::Tick).contains(&Effect::Stopped);
        }
        assert!(stopped, "a request is left");
    }
}

/// Guards against a stream that leaves an engine which is silent together with all others, against one that stays at
/// an engine that is silent alone, and against a run that is ended before another engine responds.
#[test]
fn a_stream_leaves_a_silent_engine_once_another_responds() {
    let mut stream = SilentStream::start();
    let (attempt, silent) = (stream.attempt, stream.engine);
    for _ in 0..9 {
        let effects = stream.stall(attempt);
        assert!(effects.iter().all(|e| matches!(e, Effect::Poll { .. })), "{effects:?}");
        let effects = stream.instance.step(Event::Unreported { endpoint: silent, silent: true });
        assert_eq!(refusal(&effects), None, "a silent engine has not crashed");
    }
    let (other, at) = stream.search_to_decode();
    assert_ne!(at, silent);
    let effects = stream.instance.step(Event::Began { attempt: other });
    let ends = |e: &Effect| matches!(e, Effect::Cancel { attempt: a, target } if *a == attempt && target.id == silent);
    assert!(effects.iter().any(ends), "{effects:?}");
    let late = stream.instance.step(Event::Advanced { attempt, offset: OFFSET + 1 });
    assert_eq!(late, [], "the run was replaced");
    stream.instance.step(Event::Finished { attempt: other, offset: 100, stored: None });
    stream.assert_released();
}

/// Guards against a stream that is lost, or held twice, when its engine goes on during a search: whatever the search
/// does at that moment is cancelled, and its later results count for nothing.
#[test]
fn a_kept_run_that_goes_on_ends_the_search() {
    for steps in 0..3 {
        let mut stream = SilentStream::start();
        let kept = stream.attempt;
        let search = if steps == 2 { stream.search_to_decode().0 } else { stream.search() };
        if steps == 1 {
            stream.instance.step(Event::Prefilled { attempt: search, bytes: 1, cached: 0 });
        }
        let effects = stream.instance.step(Event::Advanced { attempt: kept, offset: OFFSET + 1 });
        assert!(cancels(&effects, search) && continues(&effects, kept), "{steps}: {effects:?}");
        let late = [
            Event::Prefilled { attempt: search, bytes: 1, cached: 0 },
            Event::Imported { attempt: search },
            Event::Began { attempt: search },
            Event::Failed { attempt: search, failure: StepFailure::Broken, offset: OFFSET },
        ];
        for event in late {
            assert_eq!(stream.instance.step(event), [], "{steps}");
        }
        // A later stall is a new one, after which the stream is resumed.
        let (resumed, at) = decode(&stream.stall_at(kept, OFFSET + 1)).expect("resumed");
        assert_eq!(at, stream.engine);
        let stored = None::<StoredResponse>;
        stream.instance.step(Event::Finished { attempt: resumed, offset: 100, stored });
        stream.assert_released();
    }
}

impl SilentStream {
    fn stall_at(&mut self, attempt: AttemptId, offset: u32) -> Vec<Effect> {
        self.instance.pass(STALL);
        self.instance.step(Event::Failed { attempt, failure: StepFailure::Stalled, offset })
    }
}

/// Guards against a response that breaks off because the search for another engine failed, while the engine of the
/// stream may go on; and against more runs than attempts.
#[test]
fn a_failed_search_leaves_the_run_as_it_was() {
    let mut stream = SilentStream::start();
    let kept = stream.attempt;
    let (mut effects, mut searches) = (Vec::new(), 0);
    loop {
        stream.others_answer();
        effects.extend(stream.stall(kept));
        while let Some(attempt) = prefill(&effects) {
            searches += 1;
            let failure = StepFailure::TimedOut;
            effects = stream.instance.step(Event::Failed { attempt, failure, offset: OFFSET });
            assert!(!cancels(&effects, kept) && refusal(&effects).is_none(), "{effects:?}");
        }
        if searches == 0 || !continues(&effects, kept) {
            break;
        }
        effects.clear();
    }
    let attempts = stream.instance.configuration.policy.attempts;
    assert!(searches > 0 && searches + kept.number <= attempts, "{searches} searches");
    let effects = stream.instance.step(Event::Finished { attempt: kept, offset: 100, stored: None });
    assert_eq!(refusal(&effects), None);
    stream.assert_released();
}

/// Guards against a search that ends with the run that it is to replace.
#[test]
fn a_search_goes_on_when_the_kept_run_breaks() {
    let mut stream = SilentStream::start();
    let kept = stream.attempt;
    let (other, _) = stream.search_to_decode();
    let failure = StepFailure::Broken;
    let effects = stream.instance.step(Event::Failed { attempt: kept, failure, offset: OFFSET });
    assert!(cancels(&effects, kept) && !cancels(&effects, other), "{effects:?}");
    stream.instance.step(Event::Finished { attempt: other, offset: 100, stored: None });
    stream.assert_released();
}

/// Guards against work that goes on at two engines for a caller that has been refused or has left.
#[test]
fn both_runs_end_with_the_request() {
    for leaves in [false, true] {
        let mut stream = SilentStream::start();
        let kept = stream.attempt;
        let (other, _) = stream.search_to_decode();
        let effects = if leaves {
            stream.instance.step(Event::CallerGone { ticket: Ticket(1) })
        } else {
            stream.instance.pass(Duration::from_mins(1));
            let effects = stream.instance.step(Event::Tick);
            assert_eq!(refusal(&effects), Some(ErrorKind::DeadlinePassed));
            effects
        };
        assert!(cancels(&effects, kept) && cancels(&effects, other), "{effects:?}");
        stream.assert_released();
    }
}

/// Guards against a stream that breaks off because no engine has room for it within the wait of its class, although
/// its caller waits.
#[test]
fn a_broken_stream_waits_for_capacity_until_its_deadline() {
    for recovers in [false, true] {
        let mut instance = SingleInstance::start();
        instance.change(|c| c.classes.iter_mut().for_each(|class| class.wait_ms = 2_000));
        let attempt = instance.arrive(1);
        instance.step(Event::Prefilled { attempt, bytes: 1, cached: 0 });
        let (mut attempt, _) =
            decode(&instance.step(Event::Imported { attempt })).expect("the stream begins");
        instance.step(Event::Advanced { attempt, offset: OFFSET });
        // No engine has room any more.
        let slots = |instance: &mut SingleInstance, full: bool| {
            instance.change(|c| {
                for endpoint in c.endpoints.iter_mut().filter(|e| e.role == Role::Decode) {
                    endpoint.slots = if full { 1 } else { 20 };
                }
            });
        };
        slots(&mut instance, true);
        for ticket in 2..20 {
            instance.ask(ticket, Fingerprint(ticket));
        }
        for _ in 0..2 {
            let failure = StepFailure::Broken;
            let effects = instance.step(Event::Failed { attempt, failure, offset: OFFSET });
            attempt = decode(&effects).map_or(attempt, |(resumed, _)| resumed);
        }
        let mut effects = Vec::new();
        let own = |effects: &[Effect]| {
            let refused = |e: &Effect| matches!(e, Effect::Refuse { ticket: Ticket(1), .. });
            effects.iter().any(refused)
        };
        for _ in 0..400 {
            instance.pass(Duration::from_millis(50));
            effects.extend(instance.step(Event::Tick));
            assert!(!own(&effects), "the stream breaks off");
        }
        if recovers {
            slots(&mut instance, false);
            for ticket in 2..20 {
                instance.step(Event::CallerGone { ticket: Ticket(ticket) });
            }
        }
        effects.clear();
        for _ in 0..1_000 {
            instance.pass(Duration::from_millis(50));
            effects.extend(instance.step(Event::Tick));
            for endpoint in instance.configuration.endpoints.clone() {
                let endpoint = EndpointId::of(&endpoint.name);
                effects.extend(instance.step(Event::Reported { endpoint, report: EngineLoad::default() }));
            }
        }
        let begins = |e: &Effect| matches!(e, Effect::Prefill { ticket: Ticket(1), .. });
        assert_eq!(effects.iter().any(begins), recovers);
        assert!(own(&effects), "the deadline ends it");
    }
}

/// Guards against requests that are refused behind a search, although the engine of the kept run, which the search leaves out, has
/// room for them. The instance chooses engines itself, as it does while the owner of a pool does not answer.
#[test]
fn a_search_for_another_engine_holds_up_no_other_request() {
    let mut stream = SilentStream::start_at(SingleInstance::choosing());
    let (kept, engine) = (stream.attempt, stream.engine);
    // Work moves to another site, and only the engine of the stream takes new work.
    stream.instance.change(|c| {
        for endpoint in c.endpoints.iter_mut().filter(|e| e.role == Role::Decode) {
            if EndpointId::of(&endpoint.name) != engine {
                endpoint.state = EndpointState::Draining;
            }
        }
    });
    let report = EngineLoad::default();
    stream.instance.step(Event::Reported { endpoint: engine, report });
    let effects = stream.stall(kept);
    assert!(!cancels(&effects, kept) && refusal(&effects).is_none(), "{effects:?}");
    let mut effects = stream.instance.ask(2, Fingerprint(2));
    for _ in 0..20 {
        stream.instance.pass(Duration::from_millis(50));
        effects.extend(stream.instance.step(Event::Tick));
    }
    let begins = |e: &Effect| matches!(e, Effect::Prefill { ticket: Ticket(2), .. });
    assert!(effects.iter().any(begins), "{effects:?}");
}
