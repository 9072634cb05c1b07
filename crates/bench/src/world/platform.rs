//! Model of the platform: configuration versions, the instance list, outages, and a replica that lags.

use std::sync::Arc;
use std::time::Duration;

use teaselshunt_core::{ConfigurationCandidate, Event, InstanceEntry, InstanceList, Source};
use teaselshunt_settings::Configuration;

use super::network::Side;
use super::{Deployment, SimEvent, World};

/// Time between two responses of a watch while nothing changes.
const WATCH_INTERVAL: Duration = Duration::from_secs(4);
/// Time in which the platform answers a read.
const RESPONSE_TIME: Duration = Duration::from_millis(3);
/// Maximum time until a new version is active at an instance that can reach the platform or a peer.
pub(super) const VERSION_SPREAD_TIME: Duration = Duration::from_secs(6);

/// State of the platform.
#[derive(Debug)]
pub(super) struct Platform {
    /// Every version in order, parsed and as text.
    versions: Vec<(Arc<Configuration>, Arc<str>)>,
    list: InstanceList,
    pub(super) is_down: bool,
    /// Whether reads are answered by a replica whose configuration is one version behind.
    pub(super) is_stale: bool,
}

impl Platform {
    pub(super) fn new(deployment: &Deployment) -> Self {
        let list = InstanceList { revision: 1, instances: deployment.instances.clone() };
        Self {
            versions: vec![with_text(deployment.configuration.clone())],
            list,
            is_down: false,
            is_stale: false,
        }
    }

    pub(super) fn latest(&self) -> &Configuration {
        let (configuration, _) = self.versions.last().expect("there is always a version");
        configuration
    }

    pub(super) fn publish(&mut self, configuration: Configuration) {
        self.versions.push(with_text(configuration));
    }

    fn read(&self) -> ConfigurationCandidate {
        let behind = usize::from(self.is_stale && self.versions.len() > 1);
        let (configuration, text) = &self.versions[self.versions.len() - 1 - behind];
        ConfigurationCandidate::Valid { configuration: Arc::clone(configuration), text: Arc::clone(text) }
    }
}

fn with_text(configuration: Configuration) -> (Arc<Configuration>, Arc<str>) {
    let text = serde_json::to_string(&configuration).expect("a configuration is JSON");
    (Arc::new(configuration), Arc::from(text))
}

impl World {
    /// Reads the platform for an instance's watch, and schedules the next read.
    pub(super) fn watch_platform(&mut self, node: usize, transition_count: u32) {
        if self.nodes[node].transition_count != transition_count {
            return;
        }
        self.schedule_after(WATCH_INTERVAL, SimEvent::PlatformRead { node, transition_count });
        self.read_platform(node, transition_count);
    }

    fn read_platform(&mut self, node: usize, transition_count: u32) {
        let side = Side::Domain(self.nodes[node].domain);
        if self.platform.is_down || self.network.is_partitioned(side, Side::Platform) {
            return;
        }
        let read_started = self.instant();
        let source = Source::Platform;
        let candidate = self.platform.read();
        let list = self.platform.list.clone();
        self.schedule_after(
            RESPONSE_TIME,
            SimEvent::StepResult {
                node,
                transition_count,
                event: Event::ConfigurationRead { candidate, source },
            },
        );
        self.schedule_after(
            RESPONSE_TIME,
            SimEvent::StepResult {
                node,
                transition_count,
                event: Event::ListRead { list, source, read_started },
            },
        );
    }

    /// Applies `change` to the latest configuration and publishes the result as the next version.
    pub(super) fn publish(&mut self, change: impl FnOnce(&mut Configuration)) {
        let mut next = self.platform.latest().clone();
        change(&mut next);
        next.version += 1;
        self.platform.publish(next);
        self.notify_watches();
    }

    /// Updates the instance list: removes failed instances, marks leaving ones and adds new ones.
    pub(super) fn update_list(&mut self) {
        // The platform cannot distinguish a frozen or partitioned instance from a failed one, and removes it.
        let (now, lag) = (self.now, self.options.list_lag);
        let network = &self.network;
        let is_seen = |n: &&super::Node| {
            let is_frozen = n.frozen && now >= n.frozen_at + lag;
            n.is_running() && !is_frozen && !network.is_partitioned(Side::Domain(n.domain), Side::Platform)
        };
        let entries = self.nodes.iter().filter(is_seen);
        let instances: Vec<InstanceEntry> =
            entries.map(|n| InstanceEntry { leaving: n.leaving, ..n.entry.clone() }).collect();
        if instances == self.platform.list.instances {
            return;
        }
        let revision = self.platform.list.revision + 1;
        self.platform.list = InstanceList { revision, instances };
        self.notify_watches();
    }

    /// Lets every running instance read the platform now.
    fn notify_watches(&mut self) {
        for node in 0..self.nodes.len() {
            let transition_count = self.nodes[node].transition_count;
            if self.nodes[node].is_running() {
                self.read_platform(node, transition_count);
            }
        }
    }
}
