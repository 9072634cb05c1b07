//! The commands, one per file.

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
    #[error("{path}: {} found:\n{errors}", error_count(.errors))]
    Invalid { path: String, errors: ValidationErrors },
    #[error("{0}")]
    Usage(String),
    #[error("request to {address} failed: {error}")]
    Unreachable { address: SocketAddr, error: reqwest::Error },
    #[error("no instance responded with its status")]
    NoStatus,
    #[error(transparent)]
    Keys(#[from] teaselshunt_ctl::KeyError),
}

impl Failure {
    /// Exit code for errors in arguments or documents.
    pub(crate) const USAGE: u8 = 2;
    const OTHER: u8 = 1;

    pub(crate) fn code(&self) -> u8 {
        match self {
            Self::File { .. } | Self::Invalid { .. } | Self::Usage(_) => Self::USAGE,
            Self::Unreachable { .. } | Self::NoStatus | Self::Keys(_) => Self::OTHER,
        }
    }
}

fn error_count(errors: &ValidationErrors) -> String {
    match errors.0.len() {
        1 => "1 error".to_owned(),
        n => format!("{n} errors"),
    }
}

#[derive(Debug, Options)]
pub(crate) enum Command {
    #[options(help = "validate settings or a configuration and print every error")]
    Check(check::Arguments),
    #[options(help = "apply a patch to create the next version, and print what changes")]
    Patch(patch::Arguments),
    #[options(help = "print what instances report: versions, members, endpoints, progress of a move")]
    Status(status::Arguments),
    #[options(help = "print an instance's audit trail")]
    Audit(audit::Arguments),
    #[options(help = "start a graceful shutdown of an instance")]
    Drain(drain::Arguments),
    #[options(help = "generate a certificate authority and keys for instances")]
    Keys(keys::Arguments),
    #[options(help = "generate a key for a team, and its digest for the configuration")]
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

/// Queries the operators' listener of an instance.
async fn get(address: SocketAddr, path: &str) -> Result<reqwest::Response, Failure> {
    let client = client(address)?;
    let response = client.get(format!("http://{address}{path}")).send().await;
    response
        .and_then(reqwest::Response::error_for_status)
        .map_err(|error| Failure::Unreachable { address, error })
}

fn client(address: SocketAddr) -> Result<reqwest::Client, Failure> {
    let builder = reqwest::Client::builder().no_proxy().timeout(std::time::Duration::from_secs(5));
    builder.build().map_err(|error| Failure::Unreachable { address, error })
}
