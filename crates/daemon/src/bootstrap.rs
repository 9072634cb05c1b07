//! The start of an instance that cannot read the platform: it asks the peers that its settings name.
//!
//! A domain that is cut off from the platform still has instances replaced. A new one knows no list, so it
//! could neither be told of the fleet nor find it; it would refuse every caller until the platform is back.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use teaselshunt_core::{InstanceId, Message};
use teaselshunt_settings::Settings;

use crate::control::Control;
use crate::peers::Peers;

/// Time between two rounds of questions.
const EVERY: Duration = Duration::from_secs(1);

/// Asks until a configuration and a list are known.
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
        tokio::time::sleep(EVERY).await;
    }
}
