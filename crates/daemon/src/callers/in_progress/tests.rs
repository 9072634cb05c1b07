//! Requests whose work waits for something that does not end.

use std::time::Duration;

use poem::Response;
use poem::http::StatusCode;
use prometheus::IntCounter;
use slog::{Discard, Logger, o};
use teaselshunt_core::ErrorKind;
use tokio::time::Instant;

use super::{InProgress, OVERDUE_AFTER, Passage, RefusalResponse};

/// What the work of a request does.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Wait {
    Responds,
    Refuses,
    Panics,
    NeverEnds,
    /// Ends only after the deadline.
    EndsLate,
}

/// What happened to its last step before.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Step {
    None,
    WaitsForKey,
    Sending,
    NotStarted,
    MayHaveRun,
}

const WAITS: [Wait; 5] = [Wait::Responds, Wait::Refuses, Wait::Panics, Wait::NeverEnds, Wait::EndsLate];
const STEPS: [Step; 5] = [Step::None, Step::WaitsForKey, Step::Sending, Step::NotStarted, Step::MayHaveRun];

fn in_progress() -> (InProgress, IntCounter) {
    let overdue = IntCounter::new("overdue", "overdue").expect("a valid name");
    (InProgress::new(Logger::root(Discard, o!()), overdue.clone()), overdue)
}

async fn work(passage: Passage, wait: Wait, step: Step) -> Result<Response, RefusalResponse> {
    let progress = &passage.progress;
    match step {
        Step::None => {}
        Step::WaitsForKey => progress.claim(),
        Step::Sending | Step::NotStarted | Step::MayHaveRun => assert!(progress.begin_step()),
    }
    match step {
        Step::NotStarted => progress.end_step(true),
        Step::MayHaveRun => progress.end_step(false),
        _ => {}
    }
    match wait {
        Wait::Responds => Ok(Response::builder().body("whole")),
        Wait::Refuses => Err(RefusalResponse::new(ErrorKind::Overloaded, "full")),
        Wait::Panics => panic!("a fault of the handler"),
        Wait::NeverEnds => std::future::pending().await,
        Wait::EndsLate => {
            tokio::time::sleep_until(passage.deadline + Duration::from_mins(10)).await;
            Ok(Response::builder().body("late"))
        }
    }
}

fn outcome(response: &Response) -> Option<&str> {
    response.header("x-teaselshunt-outcome")
}

/// Guards against requests without a response: whatever their work waits for, they have one by the deadline or by the
/// end of the process, and "not run" is said only where nothing can have run.
#[tokio::test]
async fn every_request_gets_one_true_response() {
    for ends in [false, true] {
        for (wait, step) in WAITS.into_iter().flat_map(|wait| STEPS.map(|step| (wait, step))) {
            let (in_progress, _) = in_progress();
            let allowed = if ends { Duration::from_hours(1) } else { Duration::from_millis(5) };
            let answer = in_progress.answer(allowed, |passage| work(passage, wait, step));
            let end = async {
                if ends {
                    in_progress.end_all().await;
                }
            };
            let (response, ()) = tokio::join!(answer, end);
            let case = format!("{wait:?}, {step:?}, {ends}: {response:?}");
            let not_run = matches!(step, Step::None | Step::NotStarted);
            let expected = match wait {
                Wait::Responds => (StatusCode::OK, None),
                Wait::Refuses => (StatusCode::TOO_MANY_REQUESTS, Some("not-run")),
                Wait::Panics => (StatusCode::INTERNAL_SERVER_ERROR, Some("unknown")),
                _ if ends && not_run => (StatusCode::SERVICE_UNAVAILABLE, Some("not-run")),
                _ if ends => (StatusCode::BAD_GATEWAY, Some("unknown")),
                _ if not_run => (StatusCode::GATEWAY_TIMEOUT, Some("not-run")),
                _ => (StatusCode::GATEWAY_TIMEOUT, Some("unknown")),
            };
            assert_eq!((response.status(), outcome(&response)), expected, "{case}");
            let is_open = matches!(wait, Wait::NeverEnds | Wait::EndsLate);
            let returns = response.header("retry-after").is_some();
            assert!(!is_open || returns == not_run, "{case}");
            assert!(in_progress.0.lock().entries.is_empty(), "{case}");
        }
    }
}

/// Guards against a step that is sent after the caller was told that nothing has run.
#[tokio::test]
async fn nothing_is_sent_after_a_request_was_answered_as_not_run() {
    let (in_progress, _) = in_progress();
    let (sender, receiver) = tokio::sync::oneshot::channel();
    let answer = in_progress.answer(Duration::from_millis(5), |passage| {
        let _ = sender.send(std::sync::Arc::clone(&passage.progress));
        async move {
            let _passage = passage;
            std::future::pending().await
        }
    });
    assert_eq!(outcome(&answer.await), Some("not-run"));
    assert!(!receiver.await.expect("the work began").begin_step());
}

/// Guards against a driver whose panic leaves no trace and its caller without a response.
#[tokio::test]
async fn a_driver_that_panics_ends_its_output() {
    let (in_progress, _) = in_progress();
    let response = in_progress.answer(Duration::from_hours(1), |passage| async move {
        let (output, receiver) = tokio::sync::oneshot::channel::<()>();
        passage.spawn_driver(async move {
            let _output = output;
            panic!("a fault of the driver");
        });
        receiver.await.map_err(|_| RefusalResponse::new(ErrorKind::Internal, "the driver ended"))?;
        Ok(Response::builder().body("whole"))
    });
    assert_eq!(response.await.status(), StatusCode::INTERNAL_SERVER_ERROR);
}

/// Guards against requests that outlive their deadline unseen, and against one line for each look.
#[tokio::test]
async fn a_request_that_outlives_its_deadline_is_counted_once() {
    let (in_progress, overdue) = in_progress();
    let passage = in_progress.begin(Duration::ZERO);
    in_progress.log_overdue(Instant::now());
    assert_eq!(overdue.get(), 0);
    let later = passage.deadline + OVERDUE_AFTER + Duration::from_millis(1);
    for _ in 0..3 {
        in_progress.log_overdue(later);
    }
    assert_eq!(overdue.get(), 1);
    drop(passage);
    assert!(in_progress.0.lock().entries.is_empty());
}
