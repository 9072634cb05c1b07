//! Configuration versions: active on all instances, never replaced by an older version, also without the
//! platform.

use teaselshunt_standin::generated_text;

use crate::support::{Daemon, Fleet, streamed_text, until};

async fn version(fleet: &Fleet, daemon: &Daemon) -> u64 {
    fleet.status(daemon).await["version"].as_u64().unwrap()
}

/// Guards against new work at a draining endpoint. An operator sets the endpoint to draining by a patch.
/// Every instance applies the version and sends new work to other endpoints. Work that already runs at the
/// endpoint completes.
#[tokio::test(flavor = "multi_thread")]
async fn a_draining_endpoint_gets_no_new_work() {
    let mut fleet = Fleet::start(2).await;
    let daemons = fleet.start_daemons().await;
    let number = fleet.patch(|c| c["endpoints"][2]["state"] = "draining".into());
    for daemon in &daemons {
        until("the version is active", || async { version(&fleet, daemon).await == number }).await;
    }
    let before = fleet.decode[0].streams_started();
    for i in 0..10 {
        let prompt = format!("Drained {i}");
        let response = fleet.completion(&daemons[i % 2], &prompt, true).send().await.unwrap();
        assert_eq!(streamed_text(response).await, Some(generated_text(&prompt, 400)));
    }
    assert_eq!(fleet.decode[0].streams_started(), before);
}

/// Guards against a return to an older version. A lagging replica of the configuration service answers with
/// an older version, to a running instance and to an instance that has just started. Neither uses the older
/// version: the started instance receives the newer one from its peer.
#[tokio::test(flavor = "multi_thread")]
async fn a_stale_replica_reverts_no_version() {
    let mut fleet = Fleet::start(2).await;
    let first = fleet.start_daemon(0).await;
    let old = fleet.configuration.to_string();
    let number = fleet.patch(|c| c["policy"]["stall_ms"] = 1234.into());
    until("the version is active", || async { version(&fleet, &first).await == number }).await;
    fleet.platform.set_stale_configuration(Some(&old));
    let calls = fleet.platform.calls();
    until("the replica has been polled", || async { fleet.platform.calls() > calls + 5 }).await;
    assert_eq!(version(&fleet, &first).await, number);
    let second = fleet.start_daemon(1).await;
    until("the peer's version is active", || async { version(&fleet, &second).await == number }).await;
}

/// The platform does not answer while an instance is replaced. The new process has only its settings; it
/// queries the peer named there, and serves callers.
#[tokio::test(flavor = "multi_thread")]
async fn an_instance_started_in_an_outage_serves() {
    let mut fleet = Fleet::start(2).await;
    let first = fleet.start_daemon(0).await;
    let number = fleet.patch(|c| c["policy"]["stall_ms"] = 1234.into());
    until("the version is active", || async { version(&fleet, &first).await == number }).await;
    fleet.platform.set_outage(true);
    fleet.set_seed(1, 0);
    let second = fleet.start_daemon(1).await;
    assert_eq!(version(&fleet, &second).await, number);
    let response = fleet.completion(&second, "In the dark", true).send().await.unwrap();
    assert_eq!(streamed_text(response).await, Some(generated_text("In the dark", 400)));
}

/// Guards against partial use of an invalid version. The version is refused as a whole with an audit line,
/// the last valid version stays active, and the next valid version is accepted.
#[tokio::test(flavor = "multi_thread")]
async fn an_invalid_version_is_refused_as_a_whole() {
    let mut fleet = Fleet::start(1).await;
    let daemon = fleet.start_daemon(0).await;
    let valid = fleet.configuration.clone();
    fleet.patch(|c| c["models"][0]["pool"] = "nowhere".into());
    until("the refusal is in the audit trail", || async {
        let url = format!("http://{}/audit", daemon.operators);
        let audit = fleet.client.get(url).send().await.unwrap().text().await.unwrap();
        audit.contains("refused") && audit.contains("/models/0/pool")
    })
    .await;
    assert_eq!(version(&fleet, &daemon).await, 1);
    fleet.configuration = valid;
    fleet.configuration["version"] = 2.into();
    let number = fleet.patch(|_| {});
    until("the next version is active", || async { version(&fleet, &daemon).await == number }).await;
}

/// Guards against an instance that ends, or follows no document any more, because one is deeply nested, has a number that no type
/// holds, or an address that is none.
#[tokio::test(flavor = "multi_thread")]
async fn odd_documents_end_no_instance() {
    let mut fleet = Fleet::start(1).await;
    let daemon = fleet.start_daemon(0).await;
    let deep = format!("{}{}", "[".repeat(70_000), "]".repeat(70_000));
    let digits = "9".repeat(400);
    let odd_values =
        [&*deep, "1e999", &digits, "\"127.0.0.1:70000\"", "\"127.0.0.1:-1\"", "\"\\ud800\"", "\"a\\nb\""];
    for (odd, number) in odd_values.into_iter().zip(2..) {
        let address = |text: &str| {
            let field = format!("\"address\":{}", fleet.configuration["endpoints"][0]["address"]);
            text.replacen(&field, &format!("\"address\":{odd}"), 1)
        };
        let version = format!("\"version\":{number}");
        let configuration = address(&fleet.configuration.to_string()).replacen("\"version\":1", &version, 1);
        fleet.platform.publish_text(number, &configuration);
        for list in [format!("{{\"revision\":{number},\"instances\":[{odd}]}}"), odd.to_owned()] {
            fleet.platform.publish_instances(number, &list);
        }
        let response = fleet.completion(&daemon, "Odd", true).send().await.unwrap();
        assert_eq!(streamed_text(response).await, Some(generated_text("Odd", 400)));
    }
    fleet.configuration["version"] = 50.into();
    let number = fleet.patch(|_| {});
    until("the next version is active", || async { version(&fleet, &daemon).await == number }).await;
}
