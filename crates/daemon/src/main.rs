//! `teaselshuntd`: the program of one entry instance.

use std::process::ExitCode;

use gumdrop::Options;
use teaselshunt_settings::parse_settings;

/// Exit code for invalid arguments or settings.
const EXIT_USAGE: u8 = 2;

#[derive(Debug, Options)]
struct Arguments {
    #[options(help = "print this help")]
    help: bool,
    #[options(help = "print the version", short = "V")]
    version: bool,
    #[options(free, help = "settings file (JSON)")]
    settings: Option<String>,
}

fn main() -> ExitCode {
    let arguments = Arguments::parse_args_default_or_exit();
    if arguments.version {
        println!("teaselshuntd {}", env!("CARGO_PKG_VERSION"));
        return ExitCode::SUCCESS;
    }
    let Some(path) = arguments.settings else {
        eprintln!("usage: teaselshuntd SETTINGS.json\n\n{}", Arguments::usage());
        return ExitCode::from(EXIT_USAGE);
    };
    let text = match std::fs::read_to_string(&path) {
        Ok(text) => text,
        Err(error) => {
            eprintln!("{path}: {error}");
            return ExitCode::from(EXIT_USAGE);
        }
    };
    let settings = match parse_settings(&text) {
        Ok(settings) => settings,
        Err(errors) => {
            eprintln!("{path}: invalid settings:\n{errors}");
            return ExitCode::from(EXIT_USAGE);
        }
    };
    match teaselshunt_daemon::run(settings) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("teaselshuntd: {error}");
            ExitCode::FAILURE
        }
    }
}
