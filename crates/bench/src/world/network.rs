//! Model of the network: delays, partitions and links of limited rate.

use std::collections::{BTreeSet, HashMap};
use std::time::Duration;

use rand::Rng;
use rand::rngs::SmallRng;

use super::Deployment;

/// One-way delay within a failure domain.
const DELAY_WITHIN_DOMAIN: Duration = Duration::from_micros(100);
/// One-way delay between failure domains.
const DELAY_BETWEEN_DOMAINS: Duration = Duration::from_micros(700);
/// Rate of a link that the configuration does not list.
const DEFAULT_LINK_BYTES_PER_S: u64 = 2_500_000_000;

/// One side of a network partition.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Side {
    /// A failure domain, by its index in the configuration.
    Domain(usize),
    /// The platform.
    Platform,
}

/// The network between failure domains and the platform.
#[derive(Debug)]
pub(super) struct Network {
    domains: HashMap<String, usize>,
    /// Pairs of sides that cannot reach each other, the lower side first.
    partitions: BTreeSet<(Side, Side)>,
    link_rates: HashMap<(usize, usize), u64>,
    /// Time at which each link will have completed all transfers that it was given.
    link_free_at: HashMap<(usize, usize), Duration>,
}

fn ordered_pair<T: Ord>(a: T, b: T) -> (T, T) {
    if a <= b { (a, b) } else { (b, a) }
}

impl Network {
    pub(super) fn new(deployment: &Deployment) -> Self {
        let names = deployment.configuration.domains.iter().enumerate();
        let domains: HashMap<String, usize> = names.map(|(i, d)| (d.name.clone(), i)).collect();
        let links = deployment.configuration.links.iter();
        let link_rates = links.map(|l| (ordered_pair(domains[&l.from], domains[&l.to]), l.rate)).collect();
        Self { domains, partitions: BTreeSet::new(), link_rates, link_free_at: HashMap::new() }
    }

    pub(super) fn domain_number(&self, name: &str) -> usize {
        self.domains[name]
    }

    pub(super) fn domain_count(&self) -> usize {
        self.domains.len()
    }

    pub(super) fn set_partitioned(&mut self, a: Side, b: Side, partitioned: bool) {
        if a == b {
            return;
        }
        if partitioned {
            self.partitions.insert(ordered_pair(a, b));
        } else {
            self.partitions.remove(&ordered_pair(a, b));
        }
    }

    pub(super) fn heal(&mut self) {
        self.partitions.clear();
    }

    pub(super) fn has_partition(&self) -> bool {
        !self.partitions.is_empty()
    }

    pub(super) fn is_partitioned(&self, a: Side, b: Side) -> bool {
        self.partitions.contains(&ordered_pair(a, b))
    }

    /// Draws a one-way delay between two domains. The jitter is large enough for messages to be reordered.
    pub(super) fn delay(from: usize, to: usize, rng: &mut SmallRng) -> Duration {
        let base = if from == to { DELAY_WITHIN_DOMAIN } else { DELAY_BETWEEN_DOMAINS };
        base.mul_f64(rng.random_range(0.8..1.6))
    }

    /// Queues a transfer of `bytes` on the link between two domains, behind all earlier transfers, and
    /// returns the time at which it is complete.
    pub(super) fn transfer(&mut self, now: Duration, from: usize, to: usize, bytes: u64) -> Duration {
        let link = ordered_pair(from, to);
        let rate = self.link_rates.get(&link).copied().unwrap_or(DEFAULT_LINK_BYTES_PER_S);
        let took = Duration::from_secs_f64(bytes as f64 / rate as f64);
        let link_free_at = self.link_free_at.entry(link).or_default();
        *link_free_at = (*link_free_at).max(now) + took;
        *link_free_at
    }
}
