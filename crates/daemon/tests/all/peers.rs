//! Who may speak as a peer.

use serde_json::Value;
use teaselshunt_ctl::generate_keys;

use crate::support::{Daemon, Fleet, until};

async fn health(fleet: &Fleet, daemon: &Daemon) -> String {
    let status: Value = fleet.status(daemon).await;
    status["members"][0]["health"].as_str().unwrap_or_default().to_owned()
}

/// A process has the name and the address of an instance of the list, but a certificate of another authority. It
/// beats and answers like a peer. Were it believed, it could grant keys and publish configurations; the instance
/// must hold it for dead, though its packets arrive.
#[tokio::test(flavor = "multi_thread")]
async fn a_stranger_with_a_listed_name_is_not_believed() {
    let mut fleet = Fleet::start(2).await;
    let elsewhere = tempfile::TempDir::new().unwrap();
    generate_keys(elsewhere.path(), &["entry-1".to_owned()]).unwrap();
    fleet.adjust(1, |s| {
        s["keys"]["authority"] = elsewhere.path().join("authority.pem").to_string_lossy().into();
        s["keys"]["certificate"] = elsewhere.path().join("entry-1.pem").to_string_lossy().into();
        s["keys"]["private"] = elsewhere.path().join("entry-1.key").to_string_lossy().into();
    });
    let daemons = fleet.daemons().await;
    for daemon in &daemons {
        until("the stranger is held for dead", || async { health(&fleet, daemon).await == "dead" }).await;
    }
}

/// New keys are written over the old ones while instances run. They are taken without a stop, and an instance that
/// starts with only the new ones finds the other.
#[tokio::test(flavor = "multi_thread")]
async fn keys_are_renewed_without_a_stop() {
    let fleet = Fleet::start(2).await;
    let first = fleet.daemon(0).await;
    fleet.renew_keys();
    until("the new keys are in use", || async { fleet.log(0).contains("new keys are in use") }).await;
    let second = fleet.daemon(1).await;
    for daemon in [&first, &second] {
        until("they know each other", || async { health(&fleet, daemon).await == "alive" }).await;
    }
}
