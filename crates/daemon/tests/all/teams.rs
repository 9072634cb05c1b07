//! Keys and limits of teams on the product's own interface.

use reqwest::RequestBuilder;
use serde_json::json;
use teaselshunt_teams::ApiKey;

use crate::support::{Daemon, Fleet, until};

const CREW: &str = "crew-key-0q9rm4tz7b2ex5wa5xwyhks8nbk";
const UNKNOWN: &str = "unknown-key-asnmgkcuyj8pjbvk9m68";

fn digest(key: &str) -> String {
    ApiKey::new(key.to_owned()).digest().to_hex()
}

/// Gives a fleet a team with a key, and with a limit in requests if one is given, and waits until it is in force.
async fn with_team(fleet: &mut Fleet, daemons: &[Daemon], burst: Option<u32>) {
    let limit = burst.map(|burst| json!({ "unit": "requests", "rate": 1, "burst": burst }));
    let team = json!({ "name": "crew", "weight": 1, "keys": [digest(CREW)], "limit": limit });
    let version = fleet.patch(|c| c["teams"] = json!([team]));
    for daemon in daemons {
        until("the team is in force", || async { fleet.status(daemon).await["version"] == version }).await;
    }
}

fn with_key(request: RequestBuilder, key: &str) -> RequestBuilder {
    request.header("authorization", format!("Bearer {key}"))
}

/// Once a team has keys, callers without one are refused on every path, whatever team they name, and nothing of theirs runs.
/// The endpoint sees the team of the key, and not the key.
#[tokio::test(flavor = "multi_thread")]
async fn callers_show_a_key_where_teams_have_keys() {
    let mut fleet = Fleet::start(1).await;
    let daemons = fleet.daemons().await;
    let daemon = &daemons[0];
    assert_eq!(fleet.booking(daemon, "open").send().await.unwrap().status(), 200);
    with_team(&mut fleet, &daemons, None).await;
    let refused = fleet.booking(daemon, "none").header("openai-organization", "crew").send().await.unwrap();
    assert_eq!(refused.status(), 401);
    assert_eq!(refused.headers()["x-teaselshunt-outcome"], "not-run");
    assert_eq!(with_key(fleet.booking(daemon, "none"), UNKNOWN).send().await.unwrap().status(), 401);
    assert_eq!(with_key(fleet.completion(daemon, "a", false), UNKNOWN).send().await.unwrap().status(), 401);
    let models = fleet.client.get(format!("http://{}/v1/models", daemon.callers));
    assert_eq!(models.send().await.unwrap().status(), 401);
    assert_eq!(fleet.ran("none"), 0);
    let booking = with_key(fleet.booking(daemon, "keyed"), CREW).header("openai-organization", "another");
    assert_eq!(booking.send().await.unwrap().status(), 200);
    let run = fleet.service.executions().pop().unwrap();
    assert_eq!((run.team.as_deref(), run.key), (Some("crew"), None));
    assert_eq!(with_key(fleet.completion(daemon, "a", false), CREW).send().await.unwrap().status(), 200);
    fleet.patch(|c| c["services"][0]["public"] = true.into());
    until("the service is public", || async {
        fleet.booking(daemon, "public").send().await.unwrap().status() == 200
    })
    .await;
    assert!(!fleet.log(0).contains(CREW) && !fleet.log(0).contains(UNKNOWN));
}

/// A team sends its requests through three instances by turns. It gets its burst once, and not once an instance; beyond it
/// callers are told that nothing ran and when to come back.
#[tokio::test(flavor = "multi_thread")]
async fn instances_share_a_teams_limit() {
    let mut fleet = Fleet::start(3).await;
    let daemons = fleet.daemons().await;
    with_team(&mut fleet, &daemons, Some(12)).await;
    let begun = std::time::Instant::now();
    let (mut served, mut refused) = (0, None);
    for number in 0..36 {
        let booking = with_key(fleet.booking(&daemons[number % 3], "limited"), CREW).send().await.unwrap();
        if booking.status() == 200 {
            served += 1;
        } else {
            refused = Some(booking);
        }
        // Members are told within some tens of milliseconds.
        tokio::time::sleep(std::time::Duration::from_millis(30)).await;
    }
    let refused = refused.expect("thirty-six are more than the limit");
    assert_eq!(refused.status(), 429);
    assert_eq!(refused.headers()["x-teaselshunt-outcome"], "not-run");
    assert!(refused.headers().contains_key("retry-after"));
    assert_eq!(fleet.ran("limited"), served);
    // The burst, one a second, and as much again that late tellings let through on a busy machine.
    let most = 12.0 + begun.elapsed().as_secs_f64() + 12.0;
    assert!(served >= 3 && served as f64 <= most, "{served} of 36, where each instance for itself gives all");
    let status = fleet.status(&daemons[0]).await;
    assert_eq!(status["teams"][0]["name"], "crew");
}
