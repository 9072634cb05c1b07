//! One entry instance: its state and the dispatch of events.

mod documents;
mod maintenance;
mod peers;
mod view;

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use rand::SeedableRng;
use rand::rngs::SmallRng;
use teaselshunt_settings::Policy;

pub use self::view::InstanceView;

use crate::claims::EndedClaim;
use crate::counters::Counters;
use crate::crashes::Loss;
use crate::endpoints::{EndpointTable, Placement};
use crate::event::{Audit, Effect, Event};
use crate::homes::Homes;
use crate::ids::RequestKey;
use crate::limits::Limits;
use crate::members::{Health, Members};
use crate::orphans::Cancels;
use crate::prompt_parts::PartQuarantine;
use crate::quarantine::Quarantine;
use crate::queue::Queue;
use crate::requests::Requests;
use crate::slots::Slots;
use crate::versions::Versions;
use crate::{EndpointId, InstanceId, PoolId, RequestId};

/// A longer gap between two events means that the process was frozen. Load alone does not explain such a gap,
/// in which many ticks are due.
const FREEZE_THRESHOLD: Duration = Duration::from_secs(1);

/// Identity of an instance.
#[derive(Debug, Clone)]
pub struct Identity {
    /// Name, unique among all instances.
    pub name: String,
    /// Failure domain.
    pub domain: String,
    /// Deployment that the instance serves.
    pub deployment: String,
    /// Address at which peers reach the instance.
    pub address: SocketAddr,
    /// Start of the process in milliseconds since the Unix epoch; higher than any earlier start under this
    /// name.
    pub incarnation: u64,
}

impl Identity {
    pub(crate) fn id(&self) -> InstanceId {
        InstanceId::of(&self.name)
    }
}

/// One entry instance; see the documentation of the crate.
#[derive(Debug)]
pub struct Instance {
    pub(crate) identity: Identity,
    pub(crate) rng: SmallRng,
    pub(crate) versions: Versions,
    pub(crate) members: Members,
    pub(crate) endpoints: EndpointTable,
    pub(crate) homes: Homes,
    pub(crate) requests: Requests,
    pub(crate) queues: BTreeMap<String, Queue<RequestKey>>,
    /// Moving average of how long a request holds its slot, by pool.
    pub(crate) slot_hold_times: HashMap<String, Duration>,
    /// Moving average of the prefill time per prompt token, by pool.
    pub(crate) prefill_token_times: HashMap<String, Duration>,
    /// Moving average of the time from the end of a prefill to the first token, by pool.
    pub(crate) first_token_delays: HashMap<String, Duration>,
    /// Names of the pools in the active configuration.
    pub(crate) pools: BTreeMap<PoolId, String>,
    /// Slots of the pools that this instance owns or owned recently.
    pub(crate) slots: BTreeMap<PoolId, Slots>,
    /// Slots that this owner granted to its own requests in the current step; applied at the end of
    /// `grant_slots`.
    pub(crate) own_reservations: Vec<(RequestId, EndpointId, EndpointId)>,
    /// Pools in which this instance chose endpoints itself instead of the owner, and when.
    pub(crate) fallbacks: HashMap<String, Instant>,
    pub(crate) next_renew: Instant,
    pub(crate) next_reclaim: Instant,
    pub(crate) cancels: Cancels,
    /// Homes that granted the keys of requests in progress.
    pub(crate) grants: HashMap<RequestId, InstanceId>,
    /// Requests that failed at an endpoint recently, which may have crashed.
    pub(crate) losses: Vec<Loss>,
    /// Requests whose callers disconnected recently while an endpoint worked on them.
    pub(crate) abandoned: Vec<Loss>,
    /// Requests that crash endpoints.
    pub(crate) quarantine: Quarantine,
    /// Parts of prompts under which endpoints crash.
    pub(crate) part_quarantine: PartQuarantine,
    pub(crate) next_crash_update: Instant,
    pub(crate) limits: Limits,
    /// When the process started.
    pub(crate) started: Instant,
    /// Outcomes of requests with a key that ended recently.
    pub(crate) ended_claims: BTreeMap<RequestId, EndedClaim>,
    /// Budget for second and later attempts, in hundredths of an attempt.
    pub(crate) retry_budget: u32,
    pub(crate) counters: Counters,
    next_poll: Instant,
    next_maintenance: Instant,
    /// Polls since a configuration became active, counted up to the last sweep.
    pub(crate) polls: u32,
    next_fetch: Instant,
    next_confirm: Instant,
    /// When the last request ended during a graceful shutdown.
    drained_at: Option<Instant>,
    stopped: bool,
    /// Time of the last event.
    last_event: Instant,
    /// When the process last resumed running after a freeze.
    pub(crate) freeze_ended: Option<Instant>,
}

impl Instance {
    /// Longest time between two [`Event::Tick`].
    pub const TICK: Duration = Duration::from_millis(50);

    /// Creates an instance without configuration, list and requests.
    pub fn new(now: Instant, identity: Identity, seed: u64) -> Self {
        let id = identity.id();
        let horizon = Duration::from_secs(Policy::default().horizon_s);
        Self {
            rng: SmallRng::seed_from_u64(seed),
            versions: Versions::new(identity.deployment.clone()),
            members: Members::new(&identity, now),
            endpoints: EndpointTable::default(),
            homes: Homes::new(id, (now, identity.incarnation), horizon),
            requests: Requests::default(),
            queues: BTreeMap::new(),
            slot_hold_times: HashMap::new(),
            prefill_token_times: HashMap::new(),
            first_token_delays: HashMap::new(),
            pools: BTreeMap::new(),
            slots: BTreeMap::new(),
            own_reservations: Vec::new(),
            fallbacks: HashMap::new(),
            next_renew: now,
            next_reclaim: now,
            cancels: Cancels::default(),
            grants: HashMap::new(),
            losses: Vec::new(),
            abandoned: Vec::new(),
            quarantine: Quarantine::default(),
            part_quarantine: PartQuarantine::default(),
            next_crash_update: now,
            limits: Limits::new(now),
            started: now,
            ended_claims: BTreeMap::new(),
            retry_budget: crate::lifecycle::RETRY_COST * 10,
            counters: Counters::default(),
            next_poll: now,
            next_maintenance: now,
            polls: 0,
            next_fetch: now,
            next_confirm: now,
            drained_at: None,
            stopped: false,
            last_event: now,
            freeze_ended: None,
            identity,
        }
    }

    /// Sets how endpoints are chosen; used to compare placements.
    #[must_use]
    pub fn with_placement(mut self, placement: Placement) -> Self {
        self.endpoints.set_placement(placement);
        self
    }

    /// Processes an event and appends the resulting effects, in order.
    ///
    /// `now` must not go back between calls.
    pub fn step(&mut self, now: Instant, event: Event, out: &mut Vec<Effect>) {
        if now.duration_since(self.last_event) > FREEZE_THRESHOLD {
            self.freeze_ended = Some(now);
        }
        self.last_event = now;
        // Expired requests are refused first, so that a process that resumes running after a freeze does not
        // act on them.
        self.expire_requests(now, out);
        match event {
            Event::Arrived { ticket, work } => self.arrived(now, ticket, work, out),
            Event::CallerGone { ticket } => self.caller_gone(now, ticket, out),
            Event::Prefilled { attempt, .. } => self.prefilled(now, attempt, out),
            Event::Imported { attempt } => self.imported(now, attempt, out),
            Event::Began { attempt } => self.began(now, attempt, out),
            Event::Advanced { attempt, offset } => self.advanced(now, attempt, offset, out),
            Event::Finished { attempt, offset, stored } => self.finished(now, attempt, offset, stored, out),
            Event::Called { attempt, retry_after, stored } => {
                self.called(now, attempt, retry_after, stored, out);
            }
            Event::Failed { attempt, failure, offset } => {
                self.step_failed(now, attempt, failure, offset, out);
            }
            Event::Cancelled { attempt, endpoint, confirmed } => {
                if confirmed {
                    self.cancels.confirmed(attempt, endpoint);
                }
            }
            Event::Reported { endpoint, report } => self.load_reported(now, endpoint, &report, out),
            Event::Unreported { endpoint, silent } => self.load_unreported(now, endpoint, silent, out),
            Event::ConfigurationRead { candidate, source } => {
                self.configuration_read(now, candidate, source, out);
            }
            Event::ListRead { list, source, read_started } => {
                self.list_read(now, list, source, read_started, out);
            }
            Event::ListUnchanged { revision, read_started } => {
                if revision == self.members.revision() {
                    self.homes.list_confirmed(read_started);
                }
            }
            Event::Received { from, message } => self.message_received(now, from, message, out),
            Event::Stop => self.start_shutdown(now, out),
            Event::Tick => self.tick(now, out),
        }
    }

    pub(crate) fn policy(&self) -> Policy {
        self.versions.current().map_or_else(Policy::default, |c| c.policy.clone())
    }
}

fn audit_health(changes: Vec<(InstanceId, Health)>, out: &mut Vec<Effect>) {
    for (instance, health) in changes {
        out.push(Effect::Audit(Audit::Member { instance, health: health.text() }));
    }
}
