//! Configuration versions: in force everywhere, never taken back, also without the platform.

use teaselshunt_standin::generated_text;

use crate::support::{Daemon, Fleet, streamed, until};

async fn version(fleet: &Fleet, daemon: &Daemon) -> u64 {
    fleet.status(daemon).await["version"].as_u64().unwrap()
}

/// An operator drains an endpoint by a patch. Every instance follows, new work goes elsewhere, and whatever
/// runs at the endpoint ends whole.
#[tokio::test(flavor = "multi_thread")]
async fn a_draining_endpoint_gets_nothing_new() {
    let mut fleet = Fleet::start(2).await;
    let daemons = fleet.daemons().await;
    let number = fleet.patch(|c| c["endpoints"][2]["state"] = "draining".into());
    for daemon in &daemons {
        until("the version is in force", || async { version(&fleet, daemon).await == number }).await;
    }
    let before = fleet.decode[0].streams_started();
    for i in 0..10 {
        let prompt = format!("Drained {i}");
        let response = fleet.completion(&daemons[i % 2], &prompt, true).send().await.unwrap();
        assert_eq!(streamed(response).await, Some(generated_text(&prompt, 400)));
    }
    assert_eq!(fleet.decode[0].streams_started(), before);
}

/// A replica of the configuration service that lags answers with an older version, to a running instance and
/// to one that has just started. Neither goes back: the started one hears the newer version from its peer.
#[tokio::test(flavor = "multi_thread")]
async fn a_stale_replica_takes_nothing_back() {
    let mut fleet = Fleet::start(2).await;
    let first = fleet.daemon(0).await;
    let old = fleet.configuration.to_string();
    let number = fleet.patch(|c| c["policy"]["stall_ms"] = 1234.into());
    until("the version is in force", || async { version(&fleet, &first).await == number }).await;
    fleet.platform.set_stale_configuration(Some(&old));
    let calls = fleet.platform.calls();
    until("the replica was read", || async { fleet.platform.calls() > calls + 5 }).await;
    assert_eq!(version(&fleet, &first).await, number);
    let second = fleet.daemon(1).await;
    until("the peer's version is in force", || async { version(&fleet, &second).await == number }).await;
}

/// The platform is silent when an instance is replaced. The new process knows nothing but its settings; it
/// asks the peer that they name, and serves.
#[tokio::test(flavor = "multi_thread")]
async fn an_instance_started_in_an_outage_serves() {
    let mut fleet = Fleet::start(2).await;
    let first = fleet.daemon(0).await;
    let number = fleet.patch(|c| c["policy"]["stall_ms"] = 1234.into());
    until("the version is in force", || async { version(&fleet, &first).await == number }).await;
    fleet.platform.set_outage(true);
    fleet.seed(1, 0);
    let second = fleet.daemon(1).await;
    assert_eq!(version(&fleet, &second).await, number);
    let response = fleet.completion(&second, "In the dark", true).send().await.unwrap();
    assert_eq!(streamed(response).await, Some(generated_text("In the dark", 400)));
}

/// A version that does not check is published. It is refused whole and loudly, the last good one stays, and
/// the next good one is taken.
#[tokio::test(flavor = "multi_thread")]
async fn a_version_that_does_not_check_is_refused_whole() {
    let mut fleet = Fleet::start(1).await;
    let daemon = fleet.daemon(0).await;
    let good = fleet.configuration.clone();
    fleet.patch(|c| c["models"][0]["pool"] = "nowhere".into());
    until("the refusal is in the audit trail", || async {
        let url = format!("http://{}/audit", daemon.operators);
        let audit = fleet.client.get(url).send().await.unwrap().text().await.unwrap();
        audit.contains("refused") && audit.contains("/models/0/pool")
    })
    .await;
    assert_eq!(version(&fleet, &daemon).await, 1);
    fleet.configuration = good;
    fleet.configuration["version"] = 2.into();
    let number = fleet.patch(|_| {});
    until("the next version is in force", || async { version(&fleet, &daemon).await == number }).await;
}
