//! Start of an instance that cannot reach the platform: the instance queries the peers named in its settings.
//!
//! Instances are also replaced in a failure domain that a network partition separates from the platform. A
//! new instance has no list of instances, so that it can neither find its peers nor be found by them. Without
//! this query it would refuse every caller until the platform is reachable again.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use teaselshunt_core::{InstanceId, Message};
use teaselshunt_settings::Settings;

use crate::control::Control;
use crate::peers::Peers;

/// Time between two rounds of queries.
const QUERY_INTERVAL: Duration = Duration::from_secs(1);

/// Queries the seed peers until a configuration and a list of instances are known.
pub(crate) async fn run(settings: Settings, peers: Peers, control: Control) {
    loop {
        let version = control.published.version.load(Ordering::Acquire);
        let revision = control.published.revision.load(Ordering::Acquire);
        if version > 0 && revision > 0 {
            return;
        }
        for seed in &settings.seeds {
            let (name, address) = (settings.instance.clone(), settings.listen.peers);
            let message = Message::Fetch { version, revision, name, address };
            peers.send(InstanceId::of(&seed.name), Arc::from(seed.name.as_str()), seed.address, message);
        }
        tokio::time::sleep(QUERY_INTERVAL).await;
    }
}
