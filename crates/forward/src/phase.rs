//! Progress of a graceful shutdown.

use tokio::sync::watch;

/// How far a graceful shutdown has come.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Phase {
    /// No shutdown has begun.
    Serving,
    /// The readiness check fails, so that the balancer sends no new callers; callers that connect anyway are
    /// served.
    Leaving,
    /// Idle connections are closed; requests in progress finish.
    Closing,
    /// New requests that may take seconds are refused; short requests are served.
    Refusing,
    /// All new requests are refused.
    Ending,
    /// Requests in progress whose responses have not begun get one that says whether they may have run.
    Answering,
    /// The process exits. What is still in progress is broken off.
    Exiting,
}

/// Waits until a shutdown has reached a phase.
///
/// This is a separate function because the return value of `wait_for` holds a lock on the phase. If the lock
/// were held until a connection ends, the next change of phase would block the whole process, and streams in
/// progress would freeze until the process is killed.
pub(crate) async fn reached(mut phase: watch::Receiver<Phase>, awaited: Phase) {
    // An error means that the process is ending.
    let _ = phase.wait_for(|phase| *phase >= awaited).await;
}
