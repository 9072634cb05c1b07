//! `teaselshunt-standin`: stand-ins as processes, and a caller that checks the responses that it gets.

mod commands;

use std::process::ExitCode;

use gumdrop::Options;

use commands::Command;

#[derive(Debug, Options)]
struct Arguments {
    #[options(help = "print this help")]
    help: bool,
    #[options(command)]
    command: Option<Command>,
}

#[tokio::main]
async fn main() -> ExitCode {
    let arguments = Arguments::parse_args_default_or_exit();
    let Some(command) = arguments.command else {
        eprintln!("{}\n\ncommands:\n{}", Arguments::usage(), Command::usage());
        return ExitCode::from(2);
    };
    match command.run().await {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("teaselshunt-standin: {error}");
            ExitCode::FAILURE
        }
    }
}
