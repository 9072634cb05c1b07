//! Adopts the platform's documents: configurations and lists of instances.
//!
//! A document arrives from the platform or from a peer. Either way it becomes active only if it is newer than
//! the present one, and neighbours learn of it at once.

use std::time::{Duration, Instant};

use super::Instance;
use crate::event::{Audit, ConfigurationCandidate, Effect, Source};
use crate::versions::Verdict;
use crate::{InstanceList, PoolId};

impl Instance {
    pub(super) fn configuration_read(
        &mut self,
        now: Instant,
        candidate: ConfigurationCandidate,
        source: Source,
        out: &mut Vec<Effect>,
    ) {
        let number = match &candidate {
            ConfigurationCandidate::Valid { configuration, .. } => Some(configuration.version),
            ConfigurationCandidate::Invalid { version, .. } => *version,
        };
        match self.versions.consider(candidate) {
            Some(Verdict::Accepted) => self.configuration_activated(now, source, out),
            Some(Verdict::Refused(cause)) => {
                out.push(Effect::Audit(Audit::Refused { version: number, source, cause }));
            }
            Some(Verdict::Stale) | None => {}
        }
    }

    fn configuration_activated(&mut self, now: Instant, source: Source, out: &mut Vec<Effect>) {
        let Some(configuration) = self.versions.current().cloned() else {
            return;
        };
        self.endpoints.apply(&configuration);
        self.pools = configuration.pools.iter().map(|p| (PoolId::of(&p.name), p.name.clone())).collect();
        let pools = &self.pools;
        self.slots.retain(|id, _| pools.contains_key(id));
        self.set_limits(now);
        let policy = &configuration.policy;
        self.homes.set_policy(Duration::from_secs(policy.horizon_s), Duration::from_millis(policy.skew_ms));
        out.push(Effect::Audit(Audit::Accepted { version: configuration.version, source }));
        // Neighbours learn of the version at once. It spreads to all instances within milliseconds per hop,
        // also to those that cannot reach the platform.
        self.send_heartbeat_to_neighbours(now, out);
        self.refuse_unservable(now, out);
        self.start_all_queued(now, out);
    }

    pub(super) fn list_read(
        &mut self,
        now: Instant,
        list: InstanceList,
        source: Source,
        read_started: Instant,
        out: &mut Vec<Effect>,
    ) {
        let revision = list.revision;
        if self.members.accept(now, list) {
            self.homes.list_changed(&self.members);
            out.push(Effect::Audit(Audit::List { revision, source }));
            self.send_heartbeat_to_neighbours(now, out);
            self.resend_claims(now, out);
        }
        if source == Source::Platform && revision == self.members.revision() {
            self.homes.list_confirmed(read_started);
        }
    }
}
