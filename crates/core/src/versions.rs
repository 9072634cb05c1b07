//! The active configuration: only a higher version replaces it.
//!
//! Versions arrive from the platform and from peers, in any order, late, repeatedly, or from a replica that
//! lags. The only rule is the number: a version replaces the active one if and only if its number is higher.
//! There is no rollback, so that a stale replica, a peer that was frozen during a change or an old message
//! can do no harm.

use std::sync::Arc;

use teaselshunt_settings::Configuration;

use crate::event::ConfigurationCandidate;

/// Result of considering a configuration version.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum Verdict {
    /// The version is active now.
    Accepted,
    /// The version is active already, or older than the active one.
    Stale,
    /// The version cannot be used for this reason; the active one stays.
    Refused(String),
}

/// The active version and its text.
#[derive(Debug)]
pub(crate) struct Versions {
    deployment: String,
    current: Option<(Arc<Configuration>, Arc<str>)>,
    /// Number and reason of the last refusal, so that the same refusal is not reported after every read.
    refused: Option<(Option<u64>, String)>,
}

impl Versions {
    pub(crate) fn new(deployment: String) -> Self {
        Self { deployment, current: None, refused: None }
    }

    /// Number of the active version, 0 for none.
    pub(crate) fn number(&self) -> u64 {
        self.current.as_ref().map_or(0, |(c, _)| c.version)
    }

    pub(crate) fn current(&self) -> Option<&Arc<Configuration>> {
        self.current.as_ref().map(|(c, _)| c)
    }

    pub(crate) fn text(&self) -> Option<&Arc<str>> {
        self.current.as_ref().map(|(_, t)| t)
    }

    /// Activates a version if it is valid and higher than the active one. `None` if the same refusal was
    /// reported before.
    pub(crate) fn consider(&mut self, candidate: ConfigurationCandidate) -> Option<Verdict> {
        match candidate {
            ConfigurationCandidate::Valid { configuration, text } => self.consider_valid(configuration, text),
            ConfigurationCandidate::Invalid { version, errors } => self.refuse(version, errors),
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
        assert!(self.number() > before, "the active configuration is only replaced by a higher version");
        Some(Verdict::Accepted)
    }

    /// Two different configurations with the same number would divide the instances without being noticed.
    /// The second one is therefore refused with a report, and the next number replaces both.
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
