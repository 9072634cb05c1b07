//! `check`: validates settings or a configuration and prints every error.

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
    // Fields that only settings have tell them apart from a configuration. A document that is neither is
    // validated as a configuration, whose errors say what is missing.
    let value: Option<Value> = serde_json::from_str(&text).ok();
    let is_settings = value.is_some_and(|v| v.get("instance").is_some() || v.get("listen").is_some());
    let kind = if is_settings {
        parse_settings(&text).map(|_| "settings")
    } else {
        parse_configuration(&text).map(|_| "configuration")
    };
    let kind = kind.map_err(|errors| Failure::Invalid { path: path.clone(), errors })?;
    println!("{path}: {kind} in order");
    Ok(())
}
