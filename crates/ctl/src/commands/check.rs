//! `check`: settings or a configuration, with every mistake.

use gumdrop::Options;
use serde_json::Value;
use teaselshunt_settings::{parse_configuration, parse_settings};

use super::{Failure, read};

#[derive(Debug, Options)]
pub(crate) struct Arguments {
    #[options(help = "print this help")]
    help: bool,
    #[options(free, required, help = "settings or configuration (JSON)")]
    file: String,
}

pub(crate) fn run(arguments: &Arguments) -> Result<(), Failure> {
    let path = arguments.file.clone();
    let text = read(&path)?;
    // A configuration is told from settings by what only it must have; text that is neither is held against
    // the configuration, whose mistakes say what is missing.
    let value: Option<Value> = serde_json::from_str(&text).ok();
    let is_settings = value.is_some_and(|v| v.get("instance").is_some() || v.get("listen").is_some());
    let kind = if is_settings {
        parse_settings(&text).map(|_| "settings")
    } else {
        parse_configuration(&text).map(|_| "configuration")
    };
    let kind = kind.map_err(|mistakes| Failure::Mistakes { path: path.clone(), mistakes })?;
    println!("{path}: {kind} in order");
    Ok(())
}
