//! Which team a key belongs to, and what its requests cost.

use std::sync::Arc;

use teaselshunt_teams::{ApiKey, KeyDigest, Team, Teams, Unit};

fn digest(key: &str) -> KeyDigest {
    ApiKey::new(key.to_owned()).digest()
}

fn team(name: &str, unit: Unit) -> Team {
    Team { name: Arc::from(name), priority: None, unit, limit: None }
}

fn teams(entries: &[(&str, &[&str])]) -> Teams {
    let entry = |(name, keys): &(&str, &[&str])| {
        (team(name, Unit::Requests), keys.iter().map(|key| digest(key)).collect::<Vec<_>>())
    };
    Teams::new(entries.iter().map(entry))
}

fn owner(teams: &Teams, key: &str) -> Option<String> {
    teams.find(digest(key)).map(|team| team.name.to_string())
}

#[test]
fn each_of_a_teams_keys_finds_it_and_no_other_does() {
    let teams = teams(&[("crew", &["a", "b"]), ("office", &["c"]), ("nobody", &[])]);
    assert_eq!(owner(&teams, "a").as_deref(), Some("crew"));
    assert_eq!(owner(&teams, "b").as_deref(), Some("crew"));
    assert_eq!(owner(&teams, "c").as_deref(), Some("office"));
    assert_eq!(owner(&teams, "d"), None);
    assert_eq!(owner(&teams, ""), None);
    assert_eq!(teams.iter().count(), 3);
}

/// Two teams list the same key in one version. Its callers belong to one team on every instance: the first
/// that lists the key.
#[test]
fn a_key_that_two_teams_list_belongs_to_the_first() {
    let teams = teams(&[("crew", &["a"]), ("office", &["a", "b"])]);
    assert_eq!(owner(&teams, "a").as_deref(), Some("crew"));
    assert_eq!(owner(&teams, "b").as_deref(), Some("office"));
    assert_eq!(teams.shared_keys(), 1);
}

#[test]
fn a_thousand_teams_are_found() {
    let names: Vec<String> = (0..1000).map(|n| format!("team {n}")).collect();
    let all = Teams::new(names.iter().map(|name| {
        let keys = (0..3).map(|k| digest(&format!("{name} key {k}"))).collect();
        (team(name, Unit::Requests), keys)
    }));
    for name in &names {
        assert_eq!(owner(&all, &format!("{name} key 2")).as_ref(), Some(name));
    }
}

#[test]
fn a_request_costs_its_tokens_or_the_plain_price() {
    let tokens = team("crew", Unit::Tokens { plain: 200 });
    assert_eq!(tokens.cost(Some(1540)), 1540);
    assert_eq!(tokens.cost(None), 200);
    let requests = team("crew", Unit::Requests);
    assert_eq!(requests.cost(Some(1540)), 1);
}
