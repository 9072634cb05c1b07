//! The commands of the program, each in its own module.

mod chaos;
mod contention;
mod cost;
mod links;
mod parts;
mod plot;
mod policy;
mod quotas;
mod rates;
mod slopes;
mod upkeep;

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
    #[options(help = "run random fault plans and report violations with shrunk plans")]
    Chaos(chaos::Arguments),
    #[options(help = "compare the routing policy with simple policies")]
    Policy(policy::Arguments),
    #[options(help = "test the limits of teams with random plans")]
    Quotas(quotas::Arguments),
    #[options(help = "test the rates that endpoints advertise with random plans")]
    Rates(rates::Arguments),
    #[options(help = "test the decisions under overload with random plans")]
    Contention(contention::Arguments),
    #[options(help = "measure how costs grow with the number of endpoints and instances")]
    Slopes(slopes::Arguments),
    #[options(help = "measure the control work of one instance on the users' platform")]
    Upkeep(upkeep::Arguments),
    #[options(help = "measure the overhead of the router compared with direct calls")]
    Cost(cost::Arguments),
    #[options(help = "measure what callers of instances without links to endpoints see")]
    Links(links::Arguments),
    #[options(help = "measure what callers see while engines crash under a part of prompts")]
    Parts(parts::Arguments),
}

impl Command {
    pub(crate) fn run(self) -> Result<(), CommandError> {
        match self {
            Self::Chaos(arguments) => chaos::run(&arguments),
            Self::Policy(arguments) => policy::run(&arguments),
            Self::Quotas(arguments) => quotas::run(&arguments),
            Self::Rates(arguments) => rates::run(&arguments),
            Self::Contention(arguments) => contention::run(&arguments),
            Self::Slopes(arguments) => {
                slopes::run(&arguments);
                Ok(())
            }
            Self::Upkeep(arguments) => {
                upkeep::run(&arguments);
                Ok(())
            }
            Self::Cost(arguments) => cost::run(&arguments),
            Self::Links(arguments) => links::run(&arguments),
            Self::Parts(arguments) => parts::run(&arguments),
        }
    }
}

/// Calls `act` for `count` seeds from `first` on. The seeds are distributed over the threads in no particular
/// order.
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
