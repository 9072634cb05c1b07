//! `fleet`: runs every endpoint of a configuration in one process.

use gumdrop::Options;
use teaselshunt_settings::{Role, parse_configuration};
use teaselshunt_standin::{Engine, EngineOptions, Service};

use super::{CommandError, read_file, wait_for_shutdown_signal};

#[derive(Debug, Options)]
pub(crate) struct Arguments {
    #[options(help = "print this help")]
    help: bool,
    #[options(required, help = "configuration whose endpoints to run (JSON)")]
    configuration: String,
    #[options(help = "run engines as fast as real ones instead of as fast as tests need")]
    real: bool,
}

pub(crate) async fn run(arguments: Arguments) -> Result<(), CommandError> {
    let path = arguments.configuration;
    let configuration =
        parse_configuration(&read_file(&path)?).map_err(|errors| CommandError::Invalid { path, errors })?;
    let mut engines = Vec::new();
    let mut services = Vec::new();
    for endpoint in &configuration.endpoints {
        if endpoint.role == Role::Service {
            services.push(Service::start(endpoint.address).await?);
            continue;
        }
        let options = if arguments.real {
            EngineOptions::realistic(endpoint.role, endpoint.slots)
        } else {
            EngineOptions { slots: endpoint.slots, ..EngineOptions::fast(endpoint.role) }
        };
        engines.push(Engine::start(endpoint.address, options).await?);
    }
    wait_for_shutdown_signal().await
}
