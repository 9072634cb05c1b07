//! API keys and rate limits of teams, on the callers' listener.

use reqwest::RequestBuilder;
use serde_json::json;
use teaselshunt_teams::ApiKey;

use crate::support::{Daemon, Fleet, until};

const CREW_KEY: &str = "crew-key-0q9rm4tz7b2ex5wa5xwyhks8nbk";
const UNKNOWN_KEY: &str = "unknown-key-asnmgkcuyj8pjbvk9m68";

fn digest(key: &str) -> String {
    ApiKey::new(key.to_owned()).digest().to_hex()
}

/// Configures a team with an API key and, if `burst` is given, a rate limit in requests. Waits until the
/// configuration is active.
async fn configure_team(fleet: &mut Fleet, daemons: &[Daemon], burst: Option<u32>) {
    let limit = burst.map(|burst| json!({ "unit": "requests", "rate": 1, "burst": burst }));
    let team = json!({ "name": "crew", "weight": 1, "keys": [digest(CREW_KEY)], "limit": limit });
    let version = fleet.patch(|c| c["teams"] = json!([team]));
    for daemon in daemons {
        until("the team is configured", || async { fleet.status(daemon).await["version"] == version }).await;
    }
}

fn with_key(request: RequestBuilder, key: &str) -> RequestBuilder {
    request.header("authorization", format!("Bearer {key}"))
}

/// Once a team has API keys, callers without a key are refused on every path, regardless of the team that
/// they state, and none of their requests runs. The endpoint receives the team of the key, and not the key.
#[tokio::test(flavor = "multi_thread")]
async fn callers_must_present_a_key_if_teams_have_keys() {
    let mut fleet = Fleet::start(1).await;
    let daemons = fleet.start_daemons().await;
    let daemon = &daemons[0];
    assert_eq!(fleet.booking(daemon, "open").send().await.unwrap().status(), 200);
    configure_team(&mut fleet, &daemons, None).await;
    let refused = fleet.booking(daemon, "none").header("openai-organization", "crew").send().await.unwrap();
    assert_eq!(refused.status(), 401);
    assert_eq!(refused.headers()["x-teaselshunt-outcome"], "not-run");
    assert_eq!(with_key(fleet.booking(daemon, "none"), UNKNOWN_KEY).send().await.unwrap().status(), 401);
    assert_eq!(
        with_key(fleet.completion(daemon, "a", false), UNKNOWN_KEY).send().await.unwrap().status(),
        401
    );
    let models = fleet.client.get(format!("http://{}/v1/models", daemon.callers));
    assert_eq!(models.send().await.unwrap().status(), 401);
    assert_eq!(fleet.executions("none"), 0);
    let booking = with_key(fleet.booking(daemon, "keyed"), CREW_KEY).header("openai-organization", "another");
    assert_eq!(booking.send().await.unwrap().status(), 200);
    let run = fleet.service.executions().pop().unwrap();
    assert_eq!((run.team.as_deref(), run.key), (Some("crew"), None));
    assert_eq!(with_key(fleet.completion(daemon, "a", false), CREW_KEY).send().await.unwrap().status(), 200);
    fleet.patch(|c| c["services"][0]["public"] = true.into());
    until("the service is public", || async {
        fleet.booking(daemon, "public").send().await.unwrap().status() == 200
    })
    .await;
    assert!(!fleet.log(0).contains(CREW_KEY) && !fleet.log(0).contains(UNKNOWN_KEY));
}

/// Guards against a limit that each instance grants in full. A team sends its requests through three
/// instances in turn. It gets its burst once, and not once per instance. Further requests are refused as not
/// run, with a `Retry-After` delay.
#[tokio::test(flavor = "multi_thread")]
async fn instances_share_a_teams_limit() {
    let mut fleet = Fleet::start(3).await;
    let daemons = fleet.start_daemons().await;
    configure_team(&mut fleet, &daemons, Some(12)).await;
    let started = std::time::Instant::now();
    let (mut served, mut refused) = (0, None);
    for number in 0..36 {
        let booking =
            with_key(fleet.booking(&daemons[number % 3], "limited"), CREW_KEY).send().await.unwrap();
        if booking.status() == 200 {
            served += 1;
        } else {
            refused = Some(booking);
        }
        // Members receive spending reports within some tens of milliseconds.
        tokio::time::sleep(std::time::Duration::from_millis(30)).await;
    }
    let refused = refused.expect("36 requests exceed the limit");
    assert_eq!(refused.status(), 429);
    assert_eq!(refused.headers()["x-teaselshunt-outcome"], "not-run");
    assert!(refused.headers().contains_key("retry-after"));
    assert_eq!(fleet.executions("limited"), served);
    // The burst, one request a second, and the same burst again, which late reports may admit on a busy
    // machine.
    let max_served = 12.0 + started.elapsed().as_secs_f64() + 12.0;
    assert!(
        served >= 3 && served as f64 <= max_served,
        "{served} of 36 served; instances that do not share the limit serve all"
    );
    let status = fleet.status(&daemons[0]).await;
    assert_eq!(status["teams"][0]["name"], "crew");
}
