//! The first users' deployments, as their example settings have them.

use teaselshunt_core::{Entry, Listed};
use teaselshunt_settings::{Configuration, parse_configuration};

/// A configuration, its instances, and the kinds of work that its callers send.
#[derive(Debug, Clone)]
pub struct Deployment {
    /// Version 1.
    pub configuration: Configuration,
    /// Entry instances.
    pub instances: Vec<Entry>,
    /// Model of long work, with its share of requests.
    pub long: &'static [&'static str],
    /// Model of quick work.
    pub quick: &'static str,
    /// Service whose calls may not be repeated.
    pub service: &'static str,
}

fn deployment(
    configuration: &str,
    list: &str,
    long: &'static [&'static str],
    quick: &'static str,
    service: &'static str,
) -> Deployment {
    let configuration = parse_configuration(configuration).expect("the example configuration checks");
    let list: Listed = serde_json::from_str(list).expect("the example list is JSON");
    Deployment { configuration, instances: list.instances, long, quick, service }
}

/// Cooperativa Britadeira Sertão Solidário: four failure domains, eight instances.
pub fn britasol() -> Deployment {
    deployment(
        include_str!("../../../../examples/britasol/configuration.json"),
        include_str!("../../../../examples/britasol/instances.json"),
        &["laudo-summary", "laudo-quote"],
        "balcao-lookup",
        "bookings",
    )
}

/// Pindan Apron Billing: three failure domains, seven instances.
pub fn pindan() -> Deployment {
    deployment(
        include_str!("../../../../examples/pindan/configuration.json"),
        include_str!("../../../../examples/pindan/instances.json"),
        &["fee-writer-invoice", "fee-writer-explanation"],
        "quote-desk-parking",
        "fees",
    )
}
