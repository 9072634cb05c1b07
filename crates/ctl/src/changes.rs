//! Differences between two versions of a configuration, in words.

use std::collections::BTreeMap;

use teaselshunt_settings::{Configuration, Endpoint, EndpointState};

/// Describes every difference that an operator needs to know before publishing.
pub fn describe_changes(old: &Configuration, new: &Configuration) -> Vec<String> {
    let mut lines = Vec::new();
    describe_sites(old, new, &mut lines);
    describe_endpoints(old, new, &mut lines);
    describe_names("model", &names(&old.models, |m| &m.name), &names(&new.models, |m| &m.name), &mut lines);
    describe_names("pool", &names(&old.pools, |p| &p.name), &names(&new.pools, |p| &p.name), &mut lines);
    describe_names("class", &names(&old.classes, |c| &c.name), &names(&new.classes, |c| &c.name), &mut lines);
    describe_names(
        "service",
        &names(&old.services, |s| &s.name),
        &names(&new.services, |s| &s.name),
        &mut lines,
    );
    describe_names("team", &names(&old.teams, |t| &t.name), &names(&new.teams, |t| &t.name), &mut lines);
    if old.policy != new.policy {
        lines.push(format!("the policy changes from {:?} to {:?}", old.policy, new.policy));
    }
    if old.links != new.links {
        lines.push("the rates of links change".to_owned());
    }
    warn_of_unserved_models(new, &mut lines);
    lines
}

fn describe_sites(old: &Configuration, new: &Configuration, lines: &mut Vec<String>) {
    let before: BTreeMap<&str, u32> = old.sites.iter().map(|s| (s.name.as_str(), s.share)).collect();
    for site in &new.sites {
        match before.get(site.name.as_str()) {
            None => lines.push(format!("site {} is new, with a share of {}", site.name, site.share)),
            Some(share) if *share != site.share => {
                lines.push(format!("the share of site {} moves from {share} to {}", site.name, site.share));
            }
            Some(_) => {}
        }
    }
}

fn describe_endpoints(old: &Configuration, new: &Configuration, lines: &mut Vec<String>) {
    let before: BTreeMap<&str, &Endpoint> = old.endpoints.iter().map(|e| (e.name.as_str(), e)).collect();
    for endpoint in &new.endpoints {
        match before.get(endpoint.name.as_str()) {
            None => lines.push(format!("{} is new and takes work of {}", endpoint.name, endpoint.pool)),
            Some(old) => describe_endpoint(old, endpoint, lines),
        }
    }
    for removed in old.endpoints.iter().filter(|e| !new.endpoints.iter().any(|n| n.name == e.name)) {
        lines.push(format!("{} is removed; it finishes its requests", removed.name));
    }
}

fn describe_endpoint(old: &Endpoint, new: &Endpoint, lines: &mut Vec<String>) {
    let name = &new.name;
    if old.state != new.state {
        lines.push(match new.state {
            EndpointState::Draining => {
                format!("{name} drains: it finishes its requests and gets no new ones")
            }
            EndpointState::Active => format!("{name} takes new work again"),
        });
    }
    if old.load != new.load {
        lines.push(format!(
            "{name} should load {:?} instead of {:?}; no orders are sent yet",
            new.load, old.load
        ));
    }
    if old.slots != new.slots {
        lines.push(format!("{name} has {} slots instead of {}", new.slots, old.slots));
    }
    let placement = |e: &Endpoint| (e.address, e.domain.clone(), e.site.clone(), e.pool.clone(), e.role);
    if placement(old) != placement(new) {
        lines.push(format!("{name} moves: {:?} instead of {:?}", placement(new), placement(old)));
    }
}

fn names<T>(list: &[T], name: impl Fn(&T) -> &String) -> Vec<String> {
    list.iter().map(|item| name(item).clone()).collect()
}

fn describe_names(kind: &str, old: &[String], new: &[String], lines: &mut Vec<String>) {
    for name in new.iter().filter(|n| !old.contains(n)) {
        lines.push(format!("{kind} {name} is new"));
    }
    for name in old.iter().filter(|n| !new.contains(n)) {
        lines.push(format!("{kind} {name} is removed"));
    }
}

/// Warns of models whose pool would have no endpoint for one of the two steps.
fn warn_of_unserved_models(new: &Configuration, lines: &mut Vec<String>) {
    use teaselshunt_settings::Role;
    let takes_work = |e: &&Endpoint| {
        let share = new.sites.iter().find(|s| s.name == e.site).map_or(0, |s| s.share);
        e.state == EndpointState::Active && share > 0
    };
    for model in &new.models {
        for role in [Role::Prefill, Role::Decode] {
            let serves = |e: &Endpoint| e.pool == model.pool && e.role == role;
            if !new.endpoints.iter().filter(takes_work).any(serves) {
                lines.push(format!(
                    "WARNING: model {} would have no {role:?} endpoint that takes work",
                    model.name
                ));
            }
        }
    }
}
