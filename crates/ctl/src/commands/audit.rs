//! `audit`: the audit trail of one instance.

use std::net::SocketAddr;

use gumdrop::Options;

use super::{Failure, get};

#[derive(Debug, Options)]
pub(crate) struct Arguments {
    #[options(help = "print this help")]
    help: bool,
    #[options(free, required, help = "operators' address of the instance, IP:PORT")]
    instance: Option<SocketAddr>,
    #[options(help = "first line wanted, by its sequence number")]
    from: u64,
}

pub(crate) async fn run(arguments: &Arguments) -> Result<(), Failure> {
    let address = arguments.instance.ok_or_else(|| Failure::Usage("no instance was given".to_owned()))?;
    let response = get(address, &format!("/audit?from={}", arguments.from)).await?;
    let text = response.text().await.map_err(|error| Failure::Unreachable { address, error })?;
    print!("{text}");
    Ok(())
}
