//! Deployments to simulate: those of the first users, from their example settings, and a scaled one.

use teaselshunt_core::{InstanceEntry, InstanceList};
use teaselshunt_settings::{Configuration, Domain, Endpoint, Model, Pool, Role, parse_configuration};

/// A configuration, its instances, and the kinds of requests that its callers send.
#[derive(Debug, Clone)]
pub struct Deployment {
    /// Configuration with version 1.
    pub configuration: Configuration,
    /// Entry instances.
    pub instances: Vec<InstanceEntry>,
    /// Models of long requests; every model gets an equal share of the requests.
    pub long_models: &'static [&'static str],
    /// Model of quick requests.
    pub quick_model: &'static str,
    /// Service with non-idempotent calls.
    pub service: &'static str,
}

fn deployment(
    configuration: &str,
    list: &str,
    long_models: &'static [&'static str],
    quick_model: &'static str,
    service: &'static str,
) -> Deployment {
    let configuration = parse_configuration(configuration).expect("the example configuration is valid");
    let list: InstanceList = serde_json::from_str(list).expect("the example list is JSON");
    Deployment { configuration, instances: list.instances, long_models, quick_model, service }
}

/// A deployment of any size: instances and endpoints are spread over five domains, there is one pool for
/// every 24 endpoints, and a third of the endpoints of a pool are for prefill.
pub fn scaled(instances: usize, endpoints: usize) -> Deployment {
    let mut deployment = britasol();
    let c = &mut deployment.configuration;
    let domain = |i: usize| format!("domain-{}", i % 5);
    c.domains = (0..5).map(|i| Domain { name: domain(i), region: format!("region-{}", i % 2) }).collect();
    let pools = endpoints.div_ceil(24).max(1);
    let pool = |i: usize| format!("pool-{}", i % pools);
    let classes = vec!["summary".to_owned()];
    c.pools = (0..pools).map(|i| Pool { name: pool(i), classes: classes.clone() }).collect();
    c.models = (0..pools)
        .map(|i| Model { name: format!("model-{i}"), pool: pool(i), class: "summary".to_owned() })
        .collect();
    let template = c.endpoints[0].clone();
    c.endpoints = (0..endpoints)
        .map(|i| {
            let role = if (i / pools).is_multiple_of(3) { Role::Prefill } else { Role::Decode };
            let slots = if role == Role::Prefill { 4 } else { 20 };
            let name = format!("endpoint-{i}");
            Endpoint { name, domain: domain(i), pool: pool(i), role, slots, ..template.clone() }
        })
        .collect();
    c.services.clear();
    c.links.clear();
    let template = deployment.instances[0].clone();
    deployment.instances = (0..instances)
        .map(|i| InstanceEntry { name: format!("entry-{i}"), domain: domain(i), ..template.clone() })
        .collect();
    deployment
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
