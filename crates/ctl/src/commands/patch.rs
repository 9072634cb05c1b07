//! `patch`: applies a patch to a configuration to create the next version, and describes what changes.
//!
//! The command sends nothing. The operator passes the result to the platform.

use gumdrop::Options;
use serde_json::Value;
use teaselshunt_ctl::describe_changes;
use teaselshunt_settings::{Configuration, parse_configuration};

use super::{Failure, read};

#[derive(Debug, Options)]
pub(crate) struct Arguments {
    #[options(help = "print this help")]
    help: bool,
    #[options(required, help = "version that the patch was made against")]
    base: u64,
    #[options(help = "file to write the next version to, in place of standard output", meta = "FILE")]
    output: Option<String>,
    #[options(
        help = "the version that the patch was made against, to show what has changed since",
        meta = "FILE"
    )]
    was: Option<String>,
    #[options(free, help = "PATCH.json (RFC 6902) and CONFIG.json (the version published now)")]
    files: Vec<String>,
}

pub(crate) fn run(arguments: &Arguments) -> Result<(), Failure> {
    let [patch, configuration] = arguments.files.as_slice() else {
        return Err(Failure::Usage("two files are needed: PATCH.json CONFIG.json".to_owned()));
    };
    let text = read(configuration)?;
    let current = parse(configuration, &text)?;
    if current.version != arguments.base {
        return Err(wrong_base(arguments, &current)?);
    }
    let next = apply(patch, &text, current.version + 1)?;
    let parsed = parse(&format!("{configuration} with {patch}"), &next)?;
    eprintln!("version {} would become version {}:", current.version, parsed.version);
    let lines = describe_changes(&current, &parsed);
    for line in &lines {
        eprintln!("  {line}");
    }
    if lines.is_empty() {
        eprintln!("  nothing changes");
    }
    let Some(file) = &arguments.output else {
        println!("{next}");
        return Ok(());
    };
    std::fs::write(file, next).map_err(|error| Failure::File { path: file.clone(), error })
}

fn parse(path: &str, text: &str) -> Result<Configuration, Failure> {
    parse_configuration(text).map_err(|errors| Failure::Invalid { path: path.to_owned(), errors })
}

fn wrong_base(arguments: &Arguments, current: &Configuration) -> Result<Failure, Failure> {
    let mut text = format!(
        "the patch was made against version {}, but version {} is published; recreate the patch against the published version",
        arguments.base, current.version
    );
    if let Some(was) = &arguments.was {
        text.push_str("\nwhat has changed since:");
        for line in describe_changes(&parse(was, &read(was)?)?, current) {
            text.push_str("\n  ");
            text.push_str(&line);
        }
    }
    Ok(Failure::Usage(text))
}

fn apply(patch: &str, text: &str, version: u64) -> Result<String, Failure> {
    let failure = |error: &dyn std::fmt::Display| Failure::Usage(format!("{patch}: {error}"));
    let operations: json_patch::Patch = serde_json::from_str(&read(patch)?).map_err(|e| failure(&e))?;
    let mut value: Value = serde_json::from_str(text).map_err(|e| failure(&e))?;
    json_patch::patch(&mut value, &operations).map_err(|e| failure(&e))?;
    value["version"] = version.into();
    serde_json::to_string_pretty(&value).map_err(|e| failure(&e))
}
