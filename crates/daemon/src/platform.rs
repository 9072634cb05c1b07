//! Watches of the platform: the configuration and the list of instances. Read only.
//!
//! A watch waits at the service for up to [`WAIT`], so 380 instances with two watches each make under 200
//! calls a second of the 2,000 that the service takes. After a failure each instance waits a random time that
//! doubles up to [`BACKOFF_MAX`], so that the return of the service after an outage is met by a spread of
//! calls and not by all instances at once.

use std::net::SocketAddr;
use std::sync::atomic::Ordering;
use std::time::Duration;

use rand::Rng;
use reqwest::{Client, StatusCode};
use slog::{Logger, warn};
use teaselshunt_core::{ConfigurationCandidate, Event, InstanceList, Source};
use teaselshunt_wire::platform::{CONFIGURATION_PATH, INSTANCES_PATH};

use crate::control::Control;

/// How long a watch waits; well under the tenure that a fresh list gives to homes of idempotency keys.
const WAIT: Duration = Duration::from_secs(4);
/// How long a call may take over its wait.
const SLACK: Duration = Duration::from_secs(2);
/// Shortest time between two calls, also when a replica answers at once with what is known already.
const PACE: Duration = Duration::from_millis(200);
/// First and longest wait after a failure.
const BACKOFF: Duration = Duration::from_millis(250);
const BACKOFF_MAX: Duration = Duration::from_secs(5);

/// What is watched.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Document {
    Configuration,
    Instances,
}

/// Watches one document for as long as the process runs.
pub(crate) struct Watcher {
    pub(crate) document: Document,
    pub(crate) addresses: Vec<SocketAddr>,
    pub(crate) client: Client,
    pub(crate) control: Control,
    pub(crate) log: Logger,
}

/// A call that brought nothing.
#[derive(Debug, thiserror::Error)]
enum WatchError {
    #[error("{0}")]
    Http(#[from] reqwest::Error),
    #[error("status {0}")]
    Status(StatusCode),
    #[error("the list of instances cannot be read: {0}")]
    List(#[from] serde_json::Error),
}

impl Watcher {
    pub(crate) async fn run(self) {
        let mut failures = 0_u32;
        loop {
            let address = self.addresses[failures as usize % self.addresses.len()];
            match self.call(address).await {
                Ok(()) => {
                    failures = 0;
                    tokio::time::sleep(PACE).await;
                }
                Err(error) => {
                    // One line at the start of an outage, not one for each call.
                    if failures == 0 {
                        warn!(self.log, "the platform cannot be read"; "document" => ?self.document, "error" => %error);
                    }
                    failures += 1;
                    tokio::time::sleep(backoff(failures)).await;
                }
            }
        }
    }

    async fn call(&self, address: SocketAddr) -> Result<(), WatchError> {
        let (path, after) = match self.document {
            Document::Configuration => (CONFIGURATION_PATH, &self.control.published.version),
            Document::Instances => (INSTANCES_PATH, &self.control.published.revision),
        };
        let after = after.load(Ordering::Acquire);
        let read_started = self.control.clock.now();
        let url = format!("http://{address}{path}?after={after}&wait_ms={}", WAIT.as_millis());
        let response = self.client.get(url).timeout(WAIT + SLACK).send().await?;
        match response.status() {
            StatusCode::OK => {
                let text = response.text().await?;
                self.take(&text, read_started)?;
            }
            StatusCode::NO_CONTENT if self.document == Document::Instances => {
                self.control.send(Event::ListUnchanged { revision: after, read_started });
            }
            StatusCode::NO_CONTENT => {}
            status => return Err(WatchError::Status(status)),
        }
        Ok(())
    }

    fn take(&self, text: &str, read_started: std::time::Instant) -> Result<(), WatchError> {
        let source = Source::Platform;
        match self.document {
            Document::Configuration => self
                .control
                .send(Event::ConfigurationRead { candidate: ConfigurationCandidate::parse(text), source }),
            Document::Instances => {
                let list: InstanceList = serde_json::from_str(text)?;
                self.control.send(Event::ListRead { list, source, read_started });
            }
        }
        Ok(())
    }
}

fn backoff(failures: u32) -> Duration {
    let longest = (BACKOFF * 2_u32.pow(failures.min(6))).min(BACKOFF_MAX);
    longest.mul_f64(rand::rng().random_range(0.5..1.0))
}
