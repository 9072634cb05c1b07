//! `drain`: starts a graceful shutdown of one instance, as SIGTERM does.

use std::net::SocketAddr;

use gumdrop::Options;

use super::{Failure, client};

#[derive(Debug, Options)]
pub(crate) struct Arguments {
    #[options(help = "print this help")]
    help: bool,
    #[options(free, required, help = "operators' address of the instance, IP:PORT")]
    instance: Option<SocketAddr>,
}

pub(crate) async fn run(arguments: &Arguments) -> Result<(), Failure> {
    let address = arguments.instance.ok_or_else(|| Failure::Usage("no instance was given".to_owned()))?;
    let response = client(address)?.post(format!("http://{address}/drain")).send().await;
    response
        .and_then(reqwest::Response::error_for_status)
        .map_err(|error| Failure::Unreachable { address, error })?;
    println!("{address} is stopping; it finishes its requests and ends");
    Ok(())
}
