//! A single instance with an example configuration.

use std::sync::Arc;
use std::time::{Duration, Instant};

use teaselshunt_core::{
    AttemptId, ConfigurationCandidate, Effect, EndpointId, EngineLoad, Event, Fingerprint, Generate,
    Heartbeat, Identity, Instance, InstanceEntry, InstanceId, InstanceList, Message, Placement, PromptPart,
    Source, Ticket, Work,
};
use teaselshunt_settings::{Configuration, parse_configuration};

const CONFIGURATION: &str = include_str!("../../../../examples/pindan/configuration.json");

/// Start of the instance in milliseconds since the Unix epoch.
const INCARNATION: u64 = 1;

/// One instance and its clock.
pub(crate) struct SingleInstance {
    instance: Instance,
    started: Instant,
    now: Instant,
    pub(crate) configuration: Configuration,
}

impl SingleInstance {
    pub(crate) fn start() -> Self {
        Self::started_with(Vec::new(), Placement::Owner)
    }

    /// An instance that chooses endpoints itself.
    pub(crate) fn choosing() -> Self {
        Self::started_with(Vec::new(), Placement::TwoChoices)
    }

    /// An instance that is the only one in the list, also before its start.
    pub(crate) fn only_listed() -> Self {
        Self::started_with(vec![entry("osborne-1", "osborne", 1)], Placement::Owner)
    }

    /// An instance whose first list contains `instances`.
    fn started_with(instances: Vec<InstanceEntry>, placement: Placement) -> Self {
        let now = Instant::now();
        let identity = Identity {
            name: "osborne-1".to_owned(),
            domain: "osborne".to_owned(),
            deployment: "pindan".to_owned(),
            address: ([127, 0, 0, 1], 1).into(),
            incarnation: INCARNATION,
        };
        let configuration = parse_configuration(CONFIGURATION).expect("the example is valid");
        let instance = Instance::new(now, identity, 1).with_placement(placement);
        let mut instance = Self { instance, started: now, now, configuration };
        let list = InstanceList { revision: 1, instances };
        instance.step(Event::ListRead { list, source: Source::Platform, read_started: now });
        instance.activate_configuration();
        for endpoint in instance.configuration.endpoints.clone() {
            let event =
                Event::Reported { endpoint: EndpointId::of(&endpoint.name), report: EngineLoad::default() };
            instance.step(event);
        }
        instance
    }

    pub(crate) fn step(&mut self, event: Event) -> Vec<Effect> {
        let mut effects = Vec::new();
        self.instance.step(self.now, event, &mut effects);
        effects
    }

    /// The other instance of a [`pair`] sends a message.
    pub(crate) fn receive(&mut self, message: Message) -> Vec<Effect> {
        self.step(Event::Received { from: InstanceId::of(OTHER), message })
    }

    /// A list with the instances of a [`pair`] becomes current.
    pub(crate) fn relist(&mut self, revision: u64) {
        let instances = vec![entry("osborne-1", "osborne", 1), entry(OTHER, "malaga", 2)];
        let list = InstanceList { revision, instances };
        self.step(Event::ListRead { list, source: Source::Platform, read_started: self.now });
    }

    /// Milliseconds since the Unix epoch.
    pub(crate) fn unix_ms(&self) -> u64 {
        INCARNATION + self.now.duration_since(self.started).as_millis() as u64
    }

    pub(crate) fn pass(&mut self, time: Duration) {
        self.now += time;
    }

    /// Time passes with ticks, as in a running process.
    pub(crate) fn run_for(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.pass(Instance::TICK);
            self.step(Event::Tick);
        }
    }

    fn activate_configuration(&mut self) -> Vec<Effect> {
        let configuration = Arc::new(self.configuration.clone());
        let candidate = ConfigurationCandidate::Valid { configuration, text: Arc::from("") };
        self.step(Event::ConfigurationRead { candidate, source: Source::Platform })
    }

    /// Activates a changed configuration.
    pub(crate) fn change(&mut self, change: impl FnOnce(&mut Configuration)) {
        change(&mut self.configuration);
        self.configuration.version += 1;
        self.activate_configuration();
    }

    /// A caller requests an invoice. Returns the attempt that starts.
    pub(crate) fn arrive(&mut self, ticket: u64) -> AttemptId {
        prefill(&self.ask(ticket, Fingerprint(ticket))).expect("a slot is free")
    }

    /// A caller requests an invoice with this fingerprint.
    pub(crate) fn ask(&mut self, ticket: u64, fingerprint: Fingerprint) -> Vec<Effect> {
        self.ask_for(ticket, fingerprint, Vec::new())
    }

    /// A caller requests an invoice that no other request asks for, with a prompt that has these parts.
    pub(crate) fn ask_with_parts(&mut self, ticket: u64, parts: &[PromptPart]) -> Vec<Effect> {
        self.ask_for(ticket, Fingerprint(ticket), parts.to_vec())
    }

    fn ask_for(&mut self, ticket: u64, fingerprint: Fingerprint, parts: Vec<PromptPart>) -> Vec<Effect> {
        let work = Work::Generate(Generate {
            model: "fee-writer-invoice".to_owned(),
            team: String::new(),
            prompt_tokens: 1000,
            max_tokens: 100,
            retry: false,
            key: None,
            fingerprint,
            parts,
            deadline: Duration::from_mins(1),
        });
        self.step(Event::Arrived { ticket: Ticket(ticket), work })
    }
}

/// Name of the instance that [`pair`] adds.
pub(crate) const OTHER: &str = "malaga-1";

/// An instance that has received a heartbeat of another one.
pub(crate) fn pair() -> SingleInstance {
    let mut instance = SingleInstance::start();
    instance.relist(2);
    instance.receive(heartbeat());
    instance
}

fn entry(name: &str, domain: &str, port: u16) -> InstanceEntry {
    InstanceEntry {
        name: name.to_owned(),
        domain: domain.to_owned(),
        peers: ([127, 0, 0, 1], port).into(),
        leaving: false,
    }
}

/// Heartbeat of the other instance at the list of a [`pair`].
pub(crate) fn heartbeat() -> Message {
    heartbeat_at(2)
}

/// Heartbeat of the other instance at a list revision.
pub(crate) fn heartbeat_at(revision: u64) -> Message {
    let updates = Vec::new();
    let (stamp, incarnation, epoch) = (0, 1, 0);
    Message::Heartbeat(Heartbeat {
        stamp,
        incarnation,
        epoch,
        version: 1,
        revision,
        listed_ms: 0,
        stopping: false,
        updates,
    })
}

/// The prefill among effects.
pub(crate) fn prefill(effects: &[Effect]) -> Option<AttemptId> {
    effects.iter().find_map(|e| match e {
        Effect::Prefill { attempt, .. } => Some(*attempt),
        _ => None,
    })
}

/// Target of the import among effects.
pub(crate) fn import(effects: &[Effect]) -> Option<EndpointId> {
    effects.iter().find_map(|e| match e {
        Effect::Import { target, .. } => Some(target.id),
        _ => None,
    })
}
