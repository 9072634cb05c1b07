//! The platform: versions, the list, outages, and a replica that lags.

use std::sync::Arc;
use std::time::Duration;

use teaselshunt_core::{ConfigurationCandidate, Event, InstanceEntry, InstanceList, Source};
use teaselshunt_settings::Configuration;

use super::network::Side;
use super::{Deployment, Happening, World};

/// Time between two answers of a watch that has nothing new.
const WATCH: Duration = Duration::from_secs(4);
/// The platform answers in milliseconds.
const ANSWER: Duration = Duration::from_millis(3);
/// How long a version may take to be in force where the platform or a peer can be reached.
pub(super) const SPREAD: Duration = Duration::from_secs(6);

#[derive(Debug)]
pub(super) struct Platform {
    versions: Vec<(Arc<Configuration>, Arc<str>)>,
    list: InstanceList,
    pub(super) down: bool,
    /// Whether reads are answered by a replica that is one version behind.
    pub(super) stale: bool,
}

impl Platform {
    pub(super) fn new(deployment: &Deployment) -> Self {
        let list = InstanceList { revision: 1, instances: deployment.instances.clone() };
        Self { versions: vec![version(deployment.configuration.clone())], list, down: false, stale: false }
    }

    pub(super) fn latest(&self) -> &Configuration {
        let (configuration, _) = self.versions.last().expect("there is always a version");
        configuration
    }

    pub(super) fn publish(&mut self, configuration: Configuration) {
        self.versions.push(version(configuration));
    }

    fn read(&self) -> ConfigurationCandidate {
        let behind = usize::from(self.stale && self.versions.len() > 1);
        let (configuration, text) = &self.versions[self.versions.len() - 1 - behind];
        ConfigurationCandidate::Valid { configuration: Arc::clone(configuration), text: Arc::clone(text) }
    }
}

fn version(configuration: Configuration) -> (Arc<Configuration>, Arc<str>) {
    let text = serde_json::to_string(&configuration).expect("a configuration is JSON");
    (Arc::new(configuration), Arc::from(text))
}

impl World {
    /// An instance's watch answers, if it can.
    pub(super) fn watch(&mut self, node: usize, life: u32) {
        if self.nodes[node].life != life {
            return;
        }
        self.after(WATCH, Happening::Watch { node, life });
        self.read_platform(node, life);
    }

    fn read_platform(&mut self, node: usize, life: u32) {
        let side = Side::Domain(self.nodes[node].domain);
        if self.platform.down || self.network.is_cut(side, Side::Platform) {
            return;
        }
        let read_started = self.instant();
        let source = Source::Platform;
        let candidate = self.platform.read();
        let list = self.platform.list.clone();
        self.after(
            ANSWER,
            Happening::Result { node, life, event: Event::ConfigurationRead { candidate, source } },
        );
        self.after(
            ANSWER,
            Happening::Result { node, life, event: Event::ListRead { list, source, read_started } },
        );
    }

    /// Publishes a configuration that `change` makes out of the latest one.
    pub(super) fn publish(&mut self, change: impl FnOnce(&mut Configuration)) {
        let mut next = self.platform.latest().clone();
        change(&mut next);
        next.version += 1;
        self.platform.publish(next);
        self.wake_watches();
    }

    /// The list catches up: the dead are dropped, the leaving marked, the living listed.
    pub(super) fn relist(&mut self) {
        // The platform takes an instance that stands still or is cut off from it for dead, as it cannot tell.
        let (now, lag) = (self.now, self.options.list_lag);
        let network = &self.network;
        let seen = |n: &&super::Node| {
            let still = n.frozen && now >= n.frozen_at + lag;
            n.alive() && !still && !network.is_cut(Side::Domain(n.domain), Side::Platform)
        };
        let entries = self.nodes.iter().filter(seen);
        let instances: Vec<InstanceEntry> =
            entries.map(|n| InstanceEntry { leaving: n.leaving, ..n.entry.clone() }).collect();
        if instances == self.platform.list.instances {
            return;
        }
        let revision = self.platform.list.revision + 1;
        self.platform.list = InstanceList { revision, instances };
        self.wake_watches();
    }

    fn wake_watches(&mut self) {
        for node in 0..self.nodes.len() {
            let life = self.nodes[node].life;
            if self.nodes[node].alive() {
                self.read_platform(node, life);
            }
        }
    }
}
