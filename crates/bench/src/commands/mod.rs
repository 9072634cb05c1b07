//! The commands, one a file.

mod chaos;
mod cost;
mod plot;
mod policy;
mod quotas;
mod rates;
mod slopes;

use std::sync::atomic::{AtomicU64, Ordering};

use gumdrop::Options;

/// Why a command failed.
#[derive(Debug, thiserror::Error)]
pub(crate) enum CommandError {
    #[error("{0}")]
    Usage(String),
    #[error("{0}")]
    System(#[from] std::io::Error),
    #[error("{0}")]
    Http(#[from] reqwest::Error),
    #[error("{0}")]
    Keys(#[from] teaselshunt_ctl::KeyError),
    #[error("{0} violations")]
    Violations(usize),
}

#[derive(Debug, Options)]
pub(crate) enum Command {
    #[options(help = "run random plans of faults and report violations, shrunk")]
    Chaos(chaos::Arguments),
    #[options(help = "measure the routing policy against plain ones")]
    Policy(policy::Arguments),
    #[options(help = "run random plans against the limits of teams")]
    Quotas(quotas::Arguments),
    #[options(help = "run random plans against the rates that endpoints name")]
    Rates(rates::Arguments),
    #[options(help = "measure how costs grow with endpoints and instances")]
    Slopes(slopes::Arguments),
    #[options(help = "measure the router's own cost against direct calls")]
    Cost(cost::Arguments),
}

impl Command {
    pub(crate) fn run(self) -> Result<(), CommandError> {
        match self {
            Self::Chaos(arguments) => chaos::run(&arguments),
            Self::Policy(arguments) => policy::run(&arguments),
            Self::Quotas(arguments) => quotas::run(&arguments),
            Self::Rates(arguments) => rates::run(&arguments),
            Self::Slopes(arguments) => {
                slopes::run(&arguments);
                Ok(())
            }
            Self::Cost(arguments) => cost::run(&arguments),
        }
    }
}

/// Does something for each of `count` seeds from `first` on, on so many threads, in no order.
fn for_seeds(first: u64, count: u64, threads: u64, act: impl Fn(u64) + Sync) {
    let next = AtomicU64::new(first);
    std::thread::scope(|scope| {
        for _ in 0..threads.max(1) {
            scope.spawn(|| {
                loop {
                    let seed = next.fetch_add(1, Ordering::Relaxed);
                    if seed >= first + count {
                        return;
                    }
                    act(seed);
                }
            });
        }
    });
}
