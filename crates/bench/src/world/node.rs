//! An entry instance: the real core, and whether its process lives.

use std::collections::BTreeMap;

use rand::Rng;
use teaselshunt_core::{Effect, Event, Identity, Instance, InstanceEntry, InstanceId, Ticket};
use teaselshunt_wire::peer::encode;

use super::drivers::Driver;
use super::network::{Network, Side};
use super::{Happening, World};

pub(super) struct Node {
    pub(super) entry: InstanceEntry,
    pub(super) id: InstanceId,
    pub(super) domain: usize,
    /// Grows with every start and end of the process.
    pub(super) life: u32,
    pub(super) instance: Option<Instance>,
    pub(super) frozen: bool,
    /// When it last began to stand still.
    pub(super) frozen_at: std::time::Duration,
    /// What happened to a frozen process, to be seen when it wakes.
    missed: Vec<Happening>,
    pub(super) leaving: bool,
    pub(super) drivers: BTreeMap<Ticket, Driver>,
    pub(super) next_ticket: u64,
    version: u64,
    /// Time of the last event.
    pub(super) thawed: std::time::Duration,
}

impl Node {
    pub(super) fn alive(&self) -> bool {
        self.instance.is_some()
    }
}

impl World {
    /// Starts a process, under a new incarnation if it ran before.
    pub(super) fn boot(&mut self, index: usize) {
        if index == self.nodes.len() {
            let entry = self.deployment.instances[index].clone();
            let id = InstanceId::of(&entry.name);
            self.by_instance.insert(id, index);
            let domain = self.network.domain(&entry.domain);
            self.nodes.push(Node {
                entry,
                id,
                domain,
                life: 0,
                instance: None,
                frozen: false,
                frozen_at: std::time::Duration::ZERO,
                missed: Vec::new(),
                leaving: false,
                drivers: BTreeMap::new(),
                next_ticket: 0,
                version: 0,
                thawed: std::time::Duration::ZERO,
            });
        }
        let now = self.instant();
        let seed = self.rng.random();
        let deployment = self.deployment.configuration.deployment.clone();
        // An arbitrary day; only differences matter.
        let incarnation = 1_800_000_000_000 + self.now.as_millis() as u64;
        let node = &mut self.nodes[index];
        let identity = Identity {
            name: node.entry.name.clone(),
            domain: node.entry.domain.clone(),
            deployment,
            address: node.entry.peers,
            incarnation,
        };
        node.life += 1;
        node.version = 0;
        node.leaving = false;
        node.frozen = false;
        node.missed.clear();
        node.thawed = self.now;
        node.instance = Some(Instance::new(now, identity, seed).with_placement(self.options.placement));
        let life = node.life;
        let phase = Instance::TICK.mul_f64(self.rng.random_range(0.0..1.0));
        self.after(phase, Happening::Tick { node: index, life });
        self.after(phase, Happening::Watch { node: index, life });
        self.ask_seed(index);
    }

    /// Like the daemon's bootstrap: a new process asks a peer for what it has.
    fn ask_seed(&mut self, index: usize) {
        let Some(message) = self.nodes[index].instance.as_ref().map(Instance::fetch_message) else {
            return;
        };
        let domain = self.nodes[index].domain;
        let seed = self.nodes.iter().position(|n| n.domain == domain && n.id != self.nodes[index].id);
        let Some(seed) = seed.or_else(|| (index != 0).then_some(0)) else {
            return;
        };
        self.transmit(index, self.nodes[seed].id, message);
    }

    /// Ends a process on the spot.
    pub(super) fn kill(&mut self, index: usize) {
        if !self.nodes[index].alive() {
            return;
        }
        let node = &mut self.nodes[index];
        node.instance = None;
        node.life += 1;
        let broken: Vec<(Ticket, Driver)> = std::mem::take(&mut node.drivers).into_iter().collect();
        for (_, driver) in broken {
            self.connection_broken(driver.caller);
        }
        let lag = self.options.list_lag;
        self.after(lag, Happening::Relist);
    }

    pub(super) fn freeze(&mut self, index: usize) {
        if self.nodes[index].alive() && !self.nodes[index].frozen {
            self.nodes[index].frozen = true;
            self.nodes[index].frozen_at = self.now;
            let lag = self.options.list_lag;
            self.after(lag, Happening::Relist);
        }
    }

    pub(super) fn thaw(&mut self, index: usize) {
        let node = &mut self.nodes[index];
        if !node.frozen {
            return;
        }
        node.frozen = false;
        node.thawed = self.now;
        let lag = self.options.list_lag;
        self.after(lag, Happening::Relist);
        let node = &mut self.nodes[index];
        for happening in std::mem::take(&mut node.missed) {
            self.happen(happening);
        }
    }

    pub(super) fn tick(&mut self, node: usize, life: u32) {
        if self.nodes[node].life != life {
            return;
        }
        if self.nodes[node].frozen {
            // Missed ticks are not made up for.
            let missed = &mut self.nodes[node].missed;
            if !missed.iter().any(|h| matches!(h, Happening::Tick { .. })) {
                missed.push(Happening::Tick { node, life });
            }
            return;
        }
        self.after(Instance::TICK, Happening::Tick { node, life });
        self.step(node, Event::Tick);
    }

    pub(super) fn result(&mut self, node: usize, life: u32, event: Event) {
        if self.nodes[node].life != life {
            return;
        }
        if self.nodes[node].frozen {
            self.nodes[node].missed.push(Happening::Result { node, life, event });
            return;
        }
        self.note_result(node, &event);
        self.step(node, event);
    }

    /// Gives an instance an event and does what it wants done.
    pub(super) fn step(&mut self, index: usize, event: Event) {
        let now = self.instant();
        let node = &mut self.nodes[index];
        if node.frozen {
            let life = node.life;
            node.missed.push(Happening::Result { node: index, life, event });
            return;
        }
        let Some(instance) = node.instance.as_mut() else {
            return;
        };
        let mut effects = Vec::new();
        instance.step(now, event, &mut effects);
        self.tally.steps += 1;
        for effect in effects {
            self.perform(index, effect);
        }
    }

    fn perform(&mut self, index: usize, effect: Effect) {
        match effect {
            Effect::Send { to, message, .. } => self.transmit(index, to, message),
            Effect::Audit(audit) => self.audited(index, &audit),
            Effect::Stopped => self.stopped(index),
            effect => self.drive(index, effect),
        }
    }

    fn transmit(&mut self, from: usize, to: InstanceId, message: teaselshunt_core::Message) {
        let Some(&node) = self.by_instance.get(&to) else {
            return;
        };
        self.tally.messages += 1;
        self.tally.bytes += encode(&message).len() as u64;
        let (near, far) = (self.nodes[from].domain, self.nodes[node].domain);
        if self.network.is_cut(Side::Domain(near), Side::Domain(far)) {
            return;
        }
        let delay = Network::delay(near, far, &mut self.rng);
        let from = self.nodes[from].id;
        self.after(delay, Happening::Message { node, from, message });
    }

    fn audited(&mut self, index: usize, audit: &teaselshunt_core::Audit) {
        let teaselshunt_core::Audit::Accepted { version, .. } = audit else {
            return;
        };
        let before = std::mem::replace(&mut self.nodes[index].version, *version);
        if before >= *version {
            let text = format!("{:?}: instance {index} went from version {before} to {version}", self.now);
            self.tally.violations.push(text);
        }
    }

    /// Version in force at an instance that lives.
    pub(super) fn version(&self, index: usize) -> Option<u64> {
        self.nodes[index].instance.as_ref().map(|_| self.nodes[index].version)
    }

    /// A planned stop is complete.
    fn stopped(&mut self, index: usize) {
        // A request that still lies in a socket has not been taken, and its caller is told by the reset.
        if self.nodes[index].drivers.values().any(Driver::accepted) {
            let text = format!("{:?}: instance {index} stopped with requests in flight", self.now);
            self.tally.violations.push(text);
        }
        self.kill(index);
    }
}
