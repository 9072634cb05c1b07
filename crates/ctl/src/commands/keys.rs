//! `keys`: generates a certificate authority, and a certificate and key for each instance.

use std::path::Path;

use gumdrop::Options;
use teaselshunt_ctl::generate_keys;

use super::Failure;

#[derive(Debug, Options)]
pub(crate) struct Arguments {
    #[options(help = "print this help")]
    help: bool,
    #[options(required, help = "directory to write to; an existing authority in it is reused")]
    directory: String,
    #[options(free, help = "names of instances")]
    instances: Vec<String>,
}

pub(crate) fn run(arguments: &Arguments) -> Result<(), Failure> {
    generate_keys(Path::new(&arguments.directory), &arguments.instances)?;
    println!("{} keys written to {}", arguments.instances.len(), arguments.directory);
    Ok(())
}
