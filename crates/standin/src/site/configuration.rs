//! The configuration that tests and the soak use.

use serde_json::{Value, json};

/// Configuration `version`: `/once/`, `/safe/` to a plain service, `/stream/`, `/resume/` to engines, and a route that only
/// this version has.
pub fn site_configuration(version: u64) -> Value {
    let own = format!("/v{version}/");
    let route = |prefix: &str, kind: &str, service: &str, attempts: u32, resumable: bool| {
        json!({ "name": prefix.trim_matches('/'), "host": "site.example", "prefix": prefix, "kind": kind,
            "timeout_ms": 10_000, "goal_ms": 200, "gap_goal_ms": 300, "priority": 1, "service": service,
            "attempts": attempts, "resumable": resumable })
    };
    json!({ "version": version, "routes": [
            route("/once/", "non_idempotent", "desk", 2, false),
            route("/safe/", "idempotent", "desk", 2, false),
            route("/stream/", "streaming", "model", 1, false),
            route("/resume/", "streaming", "model", 2, true),
            route(&own, "idempotent", "desk", 2, false),
        ], "services": [
            { "name": "desk", "health_path": "/healthz", "max_conns": 100 },
            { "name": "model", "health_path": "/healthz", "max_conns": 100, "engine": { "slots": 8,
                "kv_tokens": 20_000, "kv_token_bytes": 1, "handle_ttl_s": 0.5, "reconfig_s": 1.0,
                "hold_ms": 2000.0 } },
        ], "limits": { "header_bytes": 16384, "body_bytes": 65536, "header_ms": 3000, "idle_ms": 15000 } })
}

/// A team of the configuration with teams: its name, the key that its callers show, and the requests a second and at once that it may send.
#[derive(Debug, Clone, Copy)]
pub struct SiteTeam {
    /// Its name.
    pub name: &'static str,
    /// Its key.
    pub key: &'static str,
    /// Requests a second, and as many at once; 0 for no limit.
    pub rate_per_s: u64,
}

/// A team without a limit.
pub const UNLIMITED_TEAM: SiteTeam =
    SiteTeam { name: "crew", key: "soak-key-crew-7b2ex5wa5xwy", rate_per_s: 0 };
/// A team that asks for far more than its limit.
pub const FLOODING_TEAM: SiteTeam = SiteTeam { name: "flood", key: "soak-key-flood-hks8nbk", rate_per_s: 20 };

/// The configuration with these two teams: callers of all routes show a key.
pub(crate) fn site_teams(version: u64) -> Value {
    let team = |team: SiteTeam| {
        json!({ "name": team.name, "keys": [team.key], "priority": 1, "unit": "requests", "rate_per_s": team.rate_per_s,
            "burst": team.rate_per_s })
    };
    let mut configuration = site_configuration(version);
    configuration["tenants"] = json!([team(UNLIMITED_TEAM), team(FLOODING_TEAM)]);
    configuration
}
