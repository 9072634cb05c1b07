//! The commands, one a file.

mod audit;
mod check;
mod drain;
mod keys;
mod patch;
mod status;
mod team_key;

use std::net::SocketAddr;

use gumdrop::Options;
use teaselshunt_settings::ValidationErrors;

/// Why a command failed.
#[derive(Debug, thiserror::Error)]
pub(crate) enum Failure {
    #[error("{path}: {error}")]
    File { path: String, error: std::io::Error },
    #[error("{path}: {} found:\n{mistakes}", count(.mistakes))]
    Mistakes { path: String, mistakes: ValidationErrors },
    #[error("{0}")]
    Usage(String),
    #[error("{address} cannot be asked: {error}")]
    Unreachable { address: SocketAddr, error: reqwest::Error },
    #[error(transparent)]
    Keys(#[from] teaselshunt_ctl::KeyError),
}

impl Failure {
    /// Exit code for mistakes in arguments or documents.
    pub(crate) const USAGE: u8 = 2;
    const OTHER: u8 = 1;

    pub(crate) fn code(&self) -> u8 {
        match self {
            Self::File { .. } | Self::Mistakes { .. } | Self::Usage(_) => Self::USAGE,
            Self::Unreachable { .. } | Self::Keys(_) => Self::OTHER,
        }
    }
}

fn count(mistakes: &ValidationErrors) -> String {
    match mistakes.0.len() {
        1 => "1 mistake".to_owned(),
        n => format!("{n} mistakes"),
    }
}

#[derive(Debug, Options)]
pub(crate) enum Command {
    #[options(help = "check settings or a configuration and name every mistake")]
    Check(check::Arguments),
    #[options(help = "make the next version out of a patch, and say what it changes")]
    Patch(patch::Arguments),
    #[options(help = "show what instances see: versions, members, endpoints, the move")]
    Status(status::Arguments),
    #[options(help = "print an instance's audit trail")]
    Audit(audit::Arguments),
    #[options(help = "ask an instance for a planned stop")]
    Drain(drain::Arguments),
    #[options(help = "make an authority and keys for instances")]
    Keys(keys::Arguments),
    #[options(help = "make a key of a team, and its digest for the configuration")]
    TeamKey(team_key::Arguments),
}

impl Command {
    pub(crate) async fn run(self) -> Result<(), Failure> {
        match self {
            Self::Check(arguments) => check::run(&arguments),
            Self::Patch(arguments) => patch::run(&arguments),
            Self::Status(arguments) => status::run(&arguments).await,
            Self::Audit(arguments) => audit::run(&arguments).await,
            Self::Drain(arguments) => drain::run(&arguments).await,
            Self::Keys(arguments) => keys::run(&arguments),
            Self::TeamKey(arguments) => {
                team_key::run(&arguments);
                Ok(())
            }
        }
    }
}

fn read(path: &str) -> Result<String, Failure> {
    std::fs::read_to_string(path).map_err(|error| Failure::File { path: path.to_owned(), error })
}

/// Asks an instance's operators' listener.
async fn get(address: SocketAddr, path: &str) -> Result<reqwest::Response, Failure> {
    let client = client(address)?;
    let asked = client.get(format!("http://{address}{path}")).send().await;
    asked
        .and_then(reqwest::Response::error_for_status)
        .map_err(|error| Failure::Unreachable { address, error })
}

fn client(address: SocketAddr) -> Result<reqwest::Client, Failure> {
    let builder = reqwest::Client::builder().no_proxy().timeout(std::time::Duration::from_secs(5));
    builder.build().map_err(|error| Failure::Unreachable { address, error })
}
