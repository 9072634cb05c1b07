//! The commands, one a file.

mod chaos;

use gumdrop::Options;

/// Why a command failed.
#[derive(Debug, thiserror::Error)]
pub(crate) enum CommandError {
    #[error("{0} violations")]
    Violations(usize),
}

#[derive(Debug, Options)]
pub(crate) enum Command {
    #[options(help = "run random plans of faults and report violations, shrunk")]
    Chaos(chaos::Arguments),
}

impl Command {
    pub(crate) fn run(self) -> Result<(), CommandError> {
        match self {
            Self::Chaos(arguments) => chaos::run(&arguments),
        }
    }
}
