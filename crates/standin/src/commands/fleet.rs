//! `fleet`: every endpoint of a configuration in one process.

use gumdrop::Options;
use teaselshunt_settings::{Role, parse_configuration};
use teaselshunt_standin::{Engine, EngineOptions, Service};

use super::{CommandError, end, read};

#[derive(Debug, Options)]
pub(crate) struct Arguments {
    #[options(help = "print this help")]
    help: bool,
    #[options(required, help = "configuration whose endpoints to run (JSON)")]
    configuration: String,
    #[options(help = "go at the pace of real engines instead of as fast as tests want")]
    real: bool,
}

pub(crate) async fn run(arguments: Arguments) -> Result<(), CommandError> {
    let path = arguments.configuration;
    let configuration =
        parse_configuration(&read(&path)?).map_err(|mistakes| CommandError::Mistakes { path, mistakes })?;
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
    end().await
}
