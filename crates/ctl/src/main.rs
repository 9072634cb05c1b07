//! `teaselctl`: the operators' tool. It reads files and queries single instances; it writes no shared state.

mod commands;

use std::process::ExitCode;

use gumdrop::Options;

use commands::{Command, Failure};

#[derive(Debug, Options)]
struct Arguments {
    #[options(help = "print this help")]
    help: bool,
    #[options(help = "print the version", short = "V")]
    version: bool,
    #[options(command)]
    command: Option<Command>,
}

#[tokio::main(flavor = "current_thread")]
async fn main() -> ExitCode {
    let arguments = Arguments::parse_args_default_or_exit();
    if arguments.version {
        println!("teaselctl {}", env!("CARGO_PKG_VERSION"));
        return ExitCode::SUCCESS;
    }
    let Some(command) = arguments.command else {
        eprintln!("usage: teaselctl COMMAND\n\n{}\n\ncommands:\n{}", Arguments::usage(), Command::usage());
        return ExitCode::from(Failure::USAGE);
    };
    match command.run().await {
        Ok(()) => ExitCode::SUCCESS,
        Err(failure) => {
            eprintln!("{failure}");
            ExitCode::from(failure.code())
        }
    }
}
