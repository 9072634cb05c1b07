//! Watches the configuration and the list of instances at the platform. Read only.
//!
//! A watch is a long poll of up to [`LONG_POLL_WAIT`]. 380 instances with two watches each therefore make
//! fewer than 200 calls a second, of the 2,000 that the service supports. After a failure each instance waits
//! for a random backoff, which doubles up to [`MAX_BACKOFF`]: when the service is available again after an
//! outage, the calls are spread over time instead of arriving from all instances at once.

use std::net::SocketAddr;
use std::sync::atomic::Ordering;
use std::time::Duration;

use rand::Rng;
use reqwest::{Client, StatusCode};
use slog::{Logger, warn};
use teaselshunt_core::{ConfigurationCandidate, Event, InstanceList, Source};
use teaselshunt_wire::platform::{CONFIGURATION_PATH, INSTANCES_PATH};

use crate::control::Control;

/// Longest wait of a long poll; well below the grant lease that a fresh list gives to the homes of
/// idempotency keys.
const LONG_POLL_WAIT: Duration = Duration::from_secs(4);
/// Time that a call may take in addition to the wait of its long poll.
const CALL_MARGIN: Duration = Duration::from_secs(2);
/// Shortest time between two calls. It also holds if a replica answers immediately with a document that the
/// instance has already.
const MIN_CALL_INTERVAL: Duration = Duration::from_millis(200);
/// Base of the backoff after a failure, which doubles with each failure.
const BASE_BACKOFF: Duration = Duration::from_millis(250);
/// Longest backoff.
const MAX_BACKOFF: Duration = Duration::from_secs(5);

/// A document of the platform that is watched.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Document {
    Configuration,
    Instances,
}

/// Watches one document until the process exits.
pub(crate) struct Watcher {
    pub(crate) document: Document,
    pub(crate) addresses: Vec<SocketAddr>,
    pub(crate) client: Client,
    pub(crate) control: Control,
    pub(crate) log: Logger,
}

/// Why a call failed.
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
                    tokio::time::sleep(MIN_CALL_INTERVAL).await;
                }
                Err(error) => {
                    // One log line at the start of an outage instead of one for each call.
                    if failures == 0 {
                        warn!(self.log, "cannot read a platform document"; "document" => ?self.document, "error" => %error);
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
        let url = format!("http://{address}{path}?after={after}&wait_ms={}", LONG_POLL_WAIT.as_millis());
        let response = self.client.get(url).timeout(LONG_POLL_WAIT + CALL_MARGIN).send().await?;
        match response.status() {
            StatusCode::OK => {
                let text = response.text().await?;
                self.handle_document(&text, read_started)?;
            }
            StatusCode::NO_CONTENT if self.document == Document::Instances => {
                self.control.send(Event::ListUnchanged { revision: after, read_started });
            }
            StatusCode::NO_CONTENT => {}
            status => return Err(WatchError::Status(status)),
        }
        Ok(())
    }

    fn handle_document(&self, text: &str, read_started: std::time::Instant) -> Result<(), WatchError> {
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
    let longest = (BASE_BACKOFF * 2_u32.pow(failures.min(6))).min(MAX_BACKOFF);
    longest.mul_f64(rand::rng().random_range(0.5..1.0))
}
