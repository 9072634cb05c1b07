//! `platform`: runs a stand-in platform in a process.

use std::net::SocketAddr;

use gumdrop::Options;
use teaselshunt_standin::Platform;

use super::{CommandError, read_file, wait_for_shutdown_signal};

#[derive(Debug, Options)]
pub(crate) struct Arguments {
    #[options(help = "print this help")]
    help: bool,
    #[options(required, help = "IP address and port to listen on")]
    listen: Option<SocketAddr>,
    #[options(required, help = "configuration to publish (JSON)")]
    configuration: String,
    #[options(required, help = "list of instances to publish (JSON)")]
    instances: String,
}

pub(crate) async fn run(arguments: Arguments) -> Result<(), CommandError> {
    let configuration = read_file(&arguments.configuration)?;
    let instances = read_file(&arguments.instances)?;
    let listen = arguments.listen.ok_or_else(|| CommandError::Failed("--listen is required".to_owned()))?;
    let platform = Platform::start(listen, &configuration).await?;
    let list: serde_json::Value = serde_json::from_str(&instances)?;
    let revision = list["revision"].as_u64().unwrap_or(0);
    platform.publish_instances(revision, &instances);
    wait_for_shutdown_signal().await
}
