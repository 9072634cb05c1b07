//! The configurations that tests and the soak use.

use serde_json::{Value, json};

/// Configuration `version`, with routes `/once/` and `/safe/` to a plain service, `/stream/` and `/resume/` to engines,
/// and a route that only this version has. Their priority is 1. Both services also have a more urgent and a less urgent
/// route: `/urgent/`, `/background/`, `/urgent-stream/` and `/background-stream/`.
pub fn site_configuration(version: u64) -> Value {
    let version_route = format!("/v{version}/");
    let prioritized = |prefix: &str,
                       kind: &str,
                       service: &str,
                       attempts: u32,
                       resumable: bool,
                       priority: u8| {
        json!({ "name": prefix.trim_matches('/'), "host": "site.example", "prefix": prefix, "kind": kind,
            "timeout_ms": 10_000, "goal_ms": 200, "gap_goal_ms": 300, "priority": priority, "service": service,
            "attempts": attempts, "resumable": resumable })
    };
    let route = |prefix: &str, kind: &str, service: &str, attempts: u32, resumable: bool| {
        prioritized(prefix, kind, service, attempts, resumable, 1)
    };
    json!({ "version": version, "routes": [
            route("/once/", "non_idempotent", "desk", 2, false),
            route("/safe/", "idempotent", "desk", 2, false),
            route("/stream/", "streaming", "model", 1, false),
            route("/resume/", "streaming", "model", 2, true),
            route(&version_route, "idempotent", "desk", 2, false),
            prioritized("/urgent/", "non_idempotent", "desk", 2, false, 0),
            prioritized("/background/", "non_idempotent", "desk", 2, false, 3),
            prioritized("/urgent-stream/", "streaming", "model", 1, false, 0),
            prioritized("/background-stream/", "streaming", "model", 1, false, 3),
        ], "services": [
            { "name": "desk", "health_path": "/healthz", "max_conns": 100 },
            { "name": "model", "health_path": "/healthz", "max_conns": 100, "engine": { "slots": 8,
                "kv_tokens": 20_000, "kv_token_bytes": 1, "handle_ttl_s": 0.5, "reconfig_s": 1.0,
                "hold_ms": 2000.0 } },
        ], "limits": { "header_bytes": 16384, "body_bytes": 65536, "header_ms": 3000, "idle_ms": 15000 } })
}

/// A team of the configuration with teams.
#[derive(Debug, Clone, Copy)]
pub struct SiteTeam {
    /// Name of the team.
    pub name: &'static str,
    /// Key that the team's callers send.
    pub key: &'static str,
    /// Rate limit in requests a second, and the size of a burst in requests; 0 for no limit.
    pub rate_per_s: u64,
}

/// A team without a limit.
pub const UNLIMITED_TEAM: SiteTeam =
    SiteTeam { name: "crew", key: "soak-key-crew-7b2ex5wa5xwy", rate_per_s: 0 };
/// A team whose callers send far more than its limit.
pub const FLOODING_TEAM: SiteTeam = SiteTeam { name: "flood", key: "soak-key-flood-hks8nbk", rate_per_s: 20 };

/// Another team without a limit, of the same priority.
pub const RIVAL_TEAM: SiteTeam = SiteTeam { name: "rival", key: "soak-key-rival-5d0hq2mzkw", rate_per_s: 0 };

/// The configuration with these teams; callers of all routes send a key.
pub(crate) fn site_configuration_with_teams(version: u64) -> Value {
    let team = |team: SiteTeam| {
        json!({ "name": team.name, "keys": [team.key], "priority": 1, "unit": "requests", "rate_per_s": team.rate_per_s,
            "burst": team.rate_per_s })
    };
    let mut configuration = site_configuration(version);
    configuration["tenants"] = json!([team(UNLIMITED_TEAM), team(FLOODING_TEAM), team(RIVAL_TEAM)]);
    configuration
}
