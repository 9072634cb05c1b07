//! The commands, one a file.

mod chaos;
mod plot;
mod policy;

use gumdrop::Options;

/// Why a command failed.
#[derive(Debug, thiserror::Error)]
pub(crate) enum CommandError {
    #[error("{0}")]
    Usage(String),
    #[error("{0} violations")]
    Violations(usize),
}

#[derive(Debug, Options)]
pub(crate) enum Command {
    #[options(help = "run random plans of faults and report violations, shrunk")]
    Chaos(chaos::Arguments),
    #[options(help = "measure the routing policy against plain ones")]
    Policy(policy::Arguments),
}

impl Command {
    pub(crate) fn run(self) -> Result<(), CommandError> {
        match self {
            Self::Chaos(arguments) => chaos::run(&arguments),
            Self::Policy(arguments) => policy::run(&arguments),
        }
    }
}
