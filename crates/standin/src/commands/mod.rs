//! The commands, each in a file of its own.

mod ask;
mod fleet;
mod platform;

use gumdrop::Options;

/// Why a command failed.
#[derive(Debug, thiserror::Error)]
pub(crate) enum CommandError {
    #[error("{path}: {error}")]
    File { path: String, error: std::io::Error },
    #[error("{path}: invalid configuration:\n{errors}")]
    Invalid { path: String, errors: teaselshunt_settings::ValidationErrors },
    #[error("{0}")]
    Listen(#[from] std::io::Error),
    #[error("{0}")]
    Http(#[from] reqwest::Error),
    #[error("{0}")]
    Json(#[from] serde_json::Error),
    #[error("{0}")]
    Failed(String),
}

#[derive(Debug, Options)]
pub(crate) enum Command {
    #[options(help = "run the platform: publishes a configuration and a list of instances")]
    Platform(platform::Arguments),
    #[options(help = "run every endpoint of a configuration")]
    Fleet(fleet::Arguments),
    #[options(help = "send realistic requests to entry instances and check every response")]
    Ask(ask::Arguments),
}

impl Command {
    pub(crate) async fn run(self) -> Result<(), CommandError> {
        match self {
            Self::Platform(arguments) => platform::run(arguments).await,
            Self::Fleet(arguments) => fleet::run(arguments).await,
            Self::Ask(arguments) => ask::run(arguments).await,
        }
    }
}

fn read_file(path: &str) -> Result<String, CommandError> {
    std::fs::read_to_string(path).map_err(|error| CommandError::File { path: path.to_owned(), error })
}

/// Waits for SIGTERM or SIGINT.
async fn wait_for_shutdown_signal() -> Result<(), CommandError> {
    use tokio::signal::unix::{SignalKind, signal};
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    Ok(())
}
