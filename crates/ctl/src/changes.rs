//! What lies between two versions of a configuration, in plain words.

use std::collections::BTreeMap;

use teaselshunt_settings::{Configuration, Endpoint, EndpointState};

/// Every difference that an operator would want to read before publishing.
pub fn describe_changes(old: &Configuration, new: &Configuration) -> Vec<String> {
    let mut lines = Vec::new();
    sites(old, new, &mut lines);
    endpoints(old, new, &mut lines);
    named("model", &names(&old.models, |m| &m.name), &names(&new.models, |m| &m.name), &mut lines);
    named("pool", &names(&old.pools, |p| &p.name), &names(&new.pools, |p| &p.name), &mut lines);
    named("class", &names(&old.classes, |c| &c.name), &names(&new.classes, |c| &c.name), &mut lines);
    named("service", &names(&old.services, |s| &s.name), &names(&new.services, |s| &s.name), &mut lines);
    named("team", &names(&old.teams, |t| &t.name), &names(&new.teams, |t| &t.name), &mut lines);
    if old.policy != new.policy {
        lines.push(format!("the policy changes from {:?} to {:?}", old.policy, new.policy));
    }
    if old.links != new.links {
        lines.push("the rates of links change".to_owned());
    }
    unserved(new, &mut lines);
    lines
}

fn sites(old: &Configuration, new: &Configuration, lines: &mut Vec<String>) {
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

fn endpoints(old: &Configuration, new: &Configuration, lines: &mut Vec<String>) {
    let before: BTreeMap<&str, &Endpoint> = old.endpoints.iter().map(|e| (e.name.as_str(), e)).collect();
    for endpoint in &new.endpoints {
        match before.get(endpoint.name.as_str()) {
            None => lines.push(format!("{} is new and takes work of {}", endpoint.name, endpoint.pool)),
            Some(was) => endpoint_changes(was, endpoint, lines),
        }
    }
    for gone in old.endpoints.iter().filter(|e| !new.endpoints.iter().any(|n| n.name == e.name)) {
        lines.push(format!("{} is gone; it finishes what it has", gone.name));
    }
}

fn endpoint_changes(was: &Endpoint, is: &Endpoint, lines: &mut Vec<String>) {
    let name = &is.name;
    if was.state != is.state {
        lines.push(match is.state {
            EndpointState::Draining => format!("{name} drains: it finishes what it has and gets nothing new"),
            EndpointState::Active => format!("{name} takes new work again"),
        });
    }
    if was.load != is.load {
        lines.push(format!(
            "{name} should load {:?} instead of {:?}; no orders are given yet",
            is.load, was.load
        ));
    }
    if was.slots != is.slots {
        lines.push(format!("{name} has {} slots instead of {}", is.slots, was.slots));
    }
    let rest = |e: &Endpoint| (e.address, e.domain.clone(), e.site.clone(), e.pool.clone(), e.role);
    if rest(was) != rest(is) {
        lines.push(format!("{name} moves: {:?} instead of {:?}", rest(is), rest(was)));
    }
}

fn names<T>(list: &[T], name: impl Fn(&T) -> &String) -> Vec<String> {
    list.iter().map(|item| name(item).clone()).collect()
}

fn named(kind: &str, old: &[String], new: &[String], lines: &mut Vec<String>) {
    for name in new.iter().filter(|n| !old.contains(n)) {
        lines.push(format!("{kind} {name} is new"));
    }
    for name in old.iter().filter(|n| !new.contains(n)) {
        lines.push(format!("{kind} {name} is gone"));
    }
}

/// Pools of models that would have no endpoint for one of the two steps.
fn unserved(new: &Configuration, lines: &mut Vec<String>) {
    use teaselshunt_settings::Role;
    let open = |e: &&Endpoint| {
        let share = new.sites.iter().find(|s| s.name == e.site).map_or(0, |s| s.share);
        e.state == EndpointState::Active && share > 0
    };
    for model in &new.models {
        for role in [Role::Prefill, Role::Decode] {
            let serves = |e: &Endpoint| e.pool == model.pool && e.role == role;
            if !new.endpoints.iter().filter(open).any(serves) {
                lines.push(format!(
                    "WARNING: model {} would have no {role:?} endpoint that takes work",
                    model.name
                ));
            }
        }
    }
}
