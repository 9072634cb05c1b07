//! The configuration in force: accepted by number, never taken back.
//!
//! Versions arrive from the platform and from peers, in any order, late, twice, or from a replica that
//! lags. The only rule is the number: a version replaces what is in force if and only if its number is
//! higher. There is no path back, so a stale replica, a peer that slept through a change or an old message
//! can do no harm.

use std::sync::Arc;

use teaselshunt_settings::Configuration;

use crate::event::ConfigurationCandidate;

/// What became of an offered version.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum Verdict {
    /// It is in force now.
    Accepted,
    /// It is in force already, or an older one.
    Stale,
    /// It cannot be used, for this reason; what was in force stays.
    Refused(String),
}

/// The version in force and its text.
#[derive(Debug)]
pub(crate) struct Versions {
    deployment: String,
    current: Option<(Arc<Configuration>, Arc<str>)>,
    /// Last refused number and reason, so that the same refusal is not reported on every read.
    refused: Option<(Option<u64>, String)>,
}

impl Versions {
    pub(crate) fn new(deployment: String) -> Self {
        Self { deployment, current: None, refused: None }
    }

    /// Number in force, 0 for none.
    pub(crate) fn number(&self) -> u64 {
        self.current.as_ref().map_or(0, |(c, _)| c.version)
    }

    pub(crate) fn current(&self) -> Option<&Arc<Configuration>> {
        self.current.as_ref().map(|(c, _)| c)
    }

    pub(crate) fn text(&self) -> Option<&Arc<str>> {
        self.current.as_ref().map(|(_, t)| t)
    }

    /// Takes an offer in, and says what became of it. `None` if the same refusal was reported before.
    pub(crate) fn consider(&mut self, candidate: ConfigurationCandidate) -> Option<Verdict> {
        match candidate {
            ConfigurationCandidate::Valid { configuration, text } => self.consider_valid(configuration, text),
            ConfigurationCandidate::Invalid { version, mistakes } => self.refuse(version, mistakes),
        }
    }

    fn consider_valid(&mut self, configuration: Arc<Configuration>, text: Arc<str>) -> Option<Verdict> {
        if configuration.deployment != self.deployment {
            let cause = format!("it is for {:?}, not {:?}", configuration.deployment, self.deployment);
            return self.refuse(Some(configuration.version), cause);
        }
        if let Some((current, _)) = &self.current {
            if configuration.version < current.version {
                return Some(Verdict::Stale);
            }
            if configuration.version == current.version {
                return self.consider_same_number(&configuration);
            }
        }
        let before = self.number();
        self.current = Some((configuration, text));
        assert!(self.number() > before, "a version in force is only replaced by a higher one");
        Some(Verdict::Accepted)
    }

    /// Two contents under one number would leave two halves of the fleet apart without anyone noticing:
    /// the second is refused loudly, and the next number heals it.
    fn consider_same_number(&mut self, configuration: &Arc<Configuration>) -> Option<Verdict> {
        let Some(current) = self.current() else {
            return Some(Verdict::Stale);
        };
        if current == configuration {
            return Some(Verdict::Stale);
        }
        let cause = "another content with this number is in force".to_owned();
        self.refuse(Some(configuration.version), cause)
    }

    fn refuse(&mut self, version: Option<u64>, cause: String) -> Option<Verdict> {
        let refusal = (version, cause);
        if self.refused.as_ref() == Some(&refusal) {
            return None;
        }
        let cause = refusal.1.clone();
        self.refused = Some(refusal);
        Some(Verdict::Refused(cause))
    }
}
