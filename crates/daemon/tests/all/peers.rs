//! Authentication of peers.

use serde_json::Value;
use teaselshunt_ctl::generate_keys;

use crate::support::{Daemon, Fleet, until};

async fn health(fleet: &Fleet, daemon: &Daemon) -> String {
    let status: Value = fleet.status(daemon).await;
    status["members"][0]["health"].as_str().unwrap_or_default().to_owned()
}

/// Guards against peers without a valid certificate. A process has the name and the address of a listed
/// instance, but a certificate of another authority. It sends heartbeats and answers like a peer. If its
/// messages were accepted, it could grant idempotency keys and publish configurations. The instance must
/// treat it as dead although its packets arrive.
#[tokio::test(flavor = "multi_thread")]
async fn a_peer_with_a_certificate_of_another_authority_is_not_trusted() {
    let mut fleet = Fleet::start(2).await;
    let other_authority = tempfile::TempDir::new().unwrap();
    generate_keys(other_authority.path(), &["entry-1".to_owned()]).unwrap();
    fleet.adjust(1, |s| {
        s["keys"]["authority"] = other_authority.path().join("authority.pem").to_string_lossy().into();
        s["keys"]["certificate"] = other_authority.path().join("entry-1.pem").to_string_lossy().into();
        s["keys"]["private"] = other_authority.path().join("entry-1.key").to_string_lossy().into();
    });
    let daemons = fleet.start_daemons().await;
    for daemon in &daemons {
        until("the unauthenticated peer counts as dead", || async { health(&fleet, daemon).await == "dead" })
            .await;
    }
}

/// New keys replace the old key files while an instance runs. The instance applies them without a restart,
/// and an instance that starts with only the new keys connects to it.
#[tokio::test(flavor = "multi_thread")]
async fn tls_keys_are_replaced_without_a_restart() {
    let fleet = Fleet::start(2).await;
    let first = fleet.start_daemon(0).await;
    fleet.replace_keys();
    until("the new keys are in use", || async { fleet.log(0).contains("new TLS keys loaded") }).await;
    let second = fleet.start_daemon(1).await;
    for daemon in [&first, &second] {
        until("both instances are alive to each other", || async { health(&fleet, daemon).await == "alive" })
            .await;
    }
}
