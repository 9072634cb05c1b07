//! Parsing and validation of documents; every error is reported.

use std::collections::{HashMap, HashSet};
use std::fmt;

use schemars::{JsonSchema, schema_for};
use serde::de::DeserializeOwned;
use serde_json::Value;

use crate::{Configuration, Role, Settings};

/// Hexadecimal digits of a SHA-256 digest.
const KEY_DIGITS: usize = 64;

/// One error in a document.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ValidationError {
    /// JSON pointer to the value, empty for the document itself.
    pub path: String,
    /// What was found there and what is allowed.
    pub text: String,
}

impl fmt::Display for ValidationError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let path = if self.path.is_empty() { "/" } else { &self.path };
        write!(f, "{path}: {}", self.text)
    }
}

/// All errors in a document. Each names its path; the order is that of the checks and means nothing.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("{}", .0.iter().map(ToString::to_string).collect::<Vec<_>>().join("\n"))]
pub struct ValidationErrors(pub Vec<ValidationError>);

/// Parses a configuration version from JSON text.
///
/// # Errors
/// Every error found; a document with any error is refused.
pub fn parse_configuration(text: &str) -> Result<Configuration, ValidationErrors> {
    let configuration = parse::<Configuration>(text)?;
    let errors = ReferenceChecker::new(&configuration).check();
    if errors.is_empty() { Ok(configuration) } else { Err(ValidationErrors(errors)) }
}

/// Parses the settings of one instance from JSON text.
///
/// # Errors
/// Every error found.
pub fn parse_settings(text: &str) -> Result<Settings, ValidationErrors> {
    parse(text)
}

fn parse<T: JsonSchema + DeserializeOwned>(text: &str) -> Result<T, ValidationErrors> {
    let value: Value = serde_json::from_str(text).map_err(|e| single_error("", format!("not JSON: {e}")))?;
    let schema = serde_json::to_value(schema_for!(T)).expect("a derived schema is JSON");
    let validator = jsonschema::validator_for(&schema).expect("a derived schema is valid");
    let errors: Vec<ValidationError> = validator
        .iter_errors(&value)
        .map(|e| ValidationError { path: e.instance_path.to_string(), text: e.to_string() })
        .collect();
    if !errors.is_empty() {
        return Err(ValidationErrors(errors));
    }
    // The schema cannot express every format, such as an IP address and port, so deserialisation may still
    // fail.
    serde_json::from_value(value).map_err(|e| single_error("", e.to_string()))
}

fn single_error(path: &str, text: String) -> ValidationErrors {
    ValidationErrors(vec![ValidationError { path: path.to_owned(), text }])
}

/// Checks names and the references between parts of a configuration.
struct ReferenceChecker<'a> {
    configuration: &'a Configuration,
    errors: Vec<ValidationError>,
}

impl<'a> ReferenceChecker<'a> {
    fn new(configuration: &'a Configuration) -> Self {
        Self { configuration, errors: Vec::new() }
    }

    fn check(mut self) -> Vec<ValidationError> {
        let c = self.configuration;
        let domains = self.check_unique("domains", c.domains.iter().map(|d| d.name.as_str()));
        let sites = self.check_unique("sites", c.sites.iter().map(|s| s.name.as_str()));
        let classes = self.check_unique("classes", c.classes.iter().map(|x| x.name.as_str()));
        let pools = self.check_unique("pools", c.pools.iter().map(|p| p.name.as_str()));
        self.check_unique("models", c.models.iter().map(|m| m.name.as_str()));
        self.check_unique("endpoints", c.endpoints.iter().map(|e| e.name.as_str()));
        self.check_unique("services", c.services.iter().map(|s| s.name.as_str()));
        self.check_unique("teams", c.teams.iter().map(|t| t.name.as_str()));
        self.check_team_keys();
        for (i, pool) in c.pools.iter().enumerate() {
            for (j, class) in pool.classes.iter().enumerate() {
                self.check_defined(&classes, class, &format!("/pools/{i}/classes/{j}"));
            }
        }
        for (i, model) in c.models.iter().enumerate() {
            self.check_defined(&pools, &model.pool, &format!("/models/{i}/pool"));
            self.check_defined(&classes, &model.class, &format!("/models/{i}/class"));
            self.check_class_served(i);
        }
        for (i, endpoint) in c.endpoints.iter().enumerate() {
            self.check_defined(&domains, &endpoint.domain, &format!("/endpoints/{i}/domain"));
            self.check_defined(&sites, &endpoint.site, &format!("/endpoints/{i}/site"));
            self.check_defined(&pools, &endpoint.pool, &format!("/endpoints/{i}/pool"));
        }
        for (i, service) in c.services.iter().enumerate() {
            self.check_defined(&pools, &service.pool, &format!("/services/{i}/pool"));
            self.check_services_only(i);
        }
        for (i, link) in c.links.iter().enumerate() {
            self.check_defined(&domains, &link.from, &format!("/links/{i}/from"));
            self.check_defined(&domains, &link.to, &format!("/links/{i}/to"));
        }
        self.errors
    }

    /// Each key must be a digest and belong to one team: callers of a second team with the same key would be
    /// identified as the first team's.
    fn check_team_keys(&mut self) {
        let mut owners = HashMap::new();
        for (i, team) in self.configuration.teams.iter().enumerate() {
            for (j, key) in team.keys.iter().enumerate() {
                let path = format!("/teams/{i}/keys/{j}");
                if key.len() != KEY_DIGITS || !key.bytes().all(|b| matches!(b, b'0'..=b'9' | b'a'..=b'f')) {
                    // The value may be the key itself, so the message does not repeat it.
                    self.add(path, format!("not a digest; allowed: {KEY_DIGITS} digits of 0-9 and a-f"));
                    continue;
                }
                let owner = *owners.entry(key.as_str()).or_insert(team.name.as_str());
                if owner != team.name {
                    self.add(path, format!("team {owner:?} has this key as well; a key belongs to one team"));
                }
            }
        }
    }

    fn check_unique(&mut self, list: &str, names: impl Iterator<Item = &'a str>) -> HashSet<&'a str> {
        let mut seen = HashSet::new();
        for (i, name) in names.enumerate() {
            if !seen.insert(name) {
                self.add(format!("/{list}/{i}/name"), format!("{name:?} is used twice; names are unique"));
            }
        }
        seen
    }

    fn check_defined(&mut self, names: &HashSet<&str>, name: &str, path: &str) {
        if names.contains(name) {
            return;
        }
        let mut allowed: Vec<&str> = names.iter().copied().collect();
        allowed.sort_unstable();
        self.add(path.to_owned(), format!("{name:?} is not defined; allowed: {}", allowed.join(", ")));
    }

    /// A model's pool must serve the model's class; otherwise no endpoint could take its requests.
    fn check_class_served(&mut self, model: usize) {
        let model_entry = &self.configuration.models[model];
        let Some(pool) = self.configuration.pools.iter().find(|p| p.name == model_entry.pool) else {
            return;
        };
        if !pool.classes.contains(&model_entry.class) {
            let text = format!(
                "pool {:?} does not serve class {:?}; allowed: {}",
                pool.name,
                model_entry.class,
                pool.classes.join(", ")
            );
            self.add(format!("/models/{model}/class"), text);
        }
    }

    /// A service's pool must hold plain services only: an engine does not understand their calls.
    fn check_services_only(&mut self, service: usize) {
        let pool = &self.configuration.services[service].pool;
        let engine = self.configuration.endpoints.iter().find(|e| &e.pool == pool && e.role != Role::Service);
        if let Some(endpoint) = engine {
            let text =
                format!("pool {pool:?} holds the engine {:?}; allowed: role service only", endpoint.name);
            self.add(format!("/services/{service}/pool"), text);
        }
    }

    fn add(&mut self, path: String, text: String) {
        self.errors.push(ValidationError { path, text });
    }
}
