//! The arena of requests in progress.
//!
//! A request is in exactly one [`Phase`] and holds exactly the slots that its phase names.

use std::collections::{BTreeSet, HashMap};
use std::time::{Duration, Instant};

use slotmap::SlotMap;
use teaselshunt_settings::Role;

use crate::ids::{EndpointKey, RequestKey};
use crate::limits::Charge;
use crate::{AttemptId, CallerKey, Fingerprint, InstanceId, PromptPart, RequestId, Ticket};

/// Phase of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Phase {
    /// Waits for the home of its idempotency key.
    Claiming,
    /// Waits for a slot.
    Waiting,
    /// A prefill engine works on the request; a decode slot is reserved for it.
    Prefilling { prefill: EndpointKey, decode: EndpointKey },
    /// The KV cache is being transferred to the decode engine.
    Importing { prefill: EndpointKey, decode: EndpointKey },
    /// A decode engine generates.
    Decoding { decode: EndpointKey },
    /// A plain service works on the request.
    Calling { endpoint: EndpointKey },
}

impl Phase {
    /// The endpoint that works on the request.
    pub(crate) const fn endpoint(self) -> Option<EndpointKey> {
        match self {
            Self::Claiming | Self::Waiting => None,
            Self::Prefilling { prefill, .. } => Some(prefill),
            Self::Importing { decode, .. } | Self::Decoding { decode } => Some(decode),
            Self::Calling { endpoint } => Some(endpoint),
        }
    }
}

/// Requirements of a request, from the active configuration at its arrival.
#[derive(Debug, Clone)]
pub(crate) enum Kind {
    Generate {
        prompt_tokens: u32,
        max_tokens: u32,
        first_token_target: Duration,
        token_gap_target: Duration,
        retry: bool,
    },
    Call {
        repeatable: bool,
        timeout: Duration,
    },
}

impl Kind {
    /// Roles of the endpoints that the steps of a request need.
    pub(crate) const fn roles(&self) -> &'static [Role] {
        match self {
            Self::Generate { .. } => &[Role::Prefill, Role::Decode],
            Self::Call { .. } => &[Role::Service],
        }
    }

    /// Role of the endpoint whose slot a request holds for most of its time.
    pub(crate) const fn slot_role(&self) -> Role {
        match self {
            Self::Generate { .. } => Role::Decode,
            Self::Call { .. } => Role::Service,
        }
    }
}

/// KV cache that a prefill engine holds for a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Cache {
    pub(crate) attempt: AttemptId,
    pub(crate) prefill: EndpointKey,
}

/// A run whose engine is silent. It goes on while another engine is sought, until that one responds.
#[derive(Debug, Clone, Copy)]
pub(crate) struct KeptRun {
    /// Number of its attempt.
    pub(crate) number: u32,
    pub(crate) decode: EndpointKey,
    /// See [`Request::resumed_from`].
    pub(crate) resumed_from: Option<u32>,
    /// See [`Request::slot_taken`].
    pub(crate) slot_taken: Instant,
}

/// One request.
#[derive(Debug)]
pub(crate) struct Request {
    pub(crate) ticket: Ticket,
    pub(crate) id: RequestId,
    pub(crate) kind: Kind,
    pub(crate) pool: String,
    pub(crate) class: String,
    pub(crate) team: String,
    pub(crate) priority: u8,
    /// Longest wait for a slot.
    pub(crate) wait: Duration,
    pub(crate) caller_key: Option<CallerKey>,
    /// Units charged to the team.
    pub(crate) charge: Option<Charge>,
    pub(crate) fingerprint: Fingerprint,
    /// Parts of the prompt that other requests may have as well.
    pub(crate) parts: Vec<PromptPart>,
    /// Whether it is sent although its parts are in quarantine, as a test.
    pub(crate) is_part_test: bool,
    /// Number of the last attempt that the caller got something of.
    pub(crate) answered: Option<u32>,
    pub(crate) arrived: Instant,
    pub(crate) deadline: Instant,
    pub(crate) phase: Phase,
    /// Number of attempts so far, and of the last one.
    pub(crate) attempts: u32,
    /// Number of the attempt that the phase belongs to.
    pub(crate) number: u32,
    /// The run that goes on beside the attempt of the phase, which seeks another engine.
    pub(crate) kept: Option<KeptRun>,
    /// Whether any part of an earlier attempt may have reached an endpoint.
    pub(crate) maybe_reached_endpoint: bool,
    /// Tokens passed to the caller.
    pub(crate) offset: u32,
    pub(crate) first_token: Option<Instant>,
    /// When the decode slot was taken, to measure how long slots are held.
    pub(crate) slot_taken: Instant,
    /// When the last prefill ended.
    pub(crate) prefill_ended: Instant,
    pub(crate) cache: Option<Cache>,
    /// Number of the attempt as which the stream ran before it was resumed, while it has made no progress since.
    pub(crate) resumed_from: Option<u32>,
    /// Time after which an engine must have answered something to count as responsive, while the stream makes no
    /// progress.
    pub(crate) silent_since: Option<Instant>,
    pub(crate) tried: Vec<EndpointKey>,
    /// Whether the caller has disconnected and only the outcome for the idempotency key is awaited.
    pub(crate) caller_gone: bool,
    /// Reservation requested from the pool's owner. A waiting request without one is in the local queue.
    pub(crate) reservation: Option<PendingReservation>,
    /// The owner that granted the slots.
    pub(crate) lease_owner: Option<InstanceId>,
    due: Instant,
}

/// A reservation requested from the owner of a pool.
#[derive(Debug, Clone, Copy)]
pub(crate) struct PendingReservation {
    pub(crate) owner: InstanceId,
    pub(crate) requested: Instant,
    /// Whether the owner has answered.
    pub(crate) acknowledged: bool,
}

impl Request {
    /// Whether any part of the request may have reached an endpoint, by an earlier attempt or the current
    /// one.
    pub(crate) fn may_have_run(&self) -> bool {
        match self.phase {
            Phase::Claiming | Phase::Waiting => self.maybe_reached_endpoint,
            Phase::Prefilling { .. }
            | Phase::Importing { .. }
            | Phase::Decoding { .. }
            | Phase::Calling { .. } => true,
        }
    }

    /// Whether its caller has a part of the response. Refusing it would break the response off, so that it waits
    /// for endpoints until its deadline.
    pub(crate) fn has_begun(&self) -> bool {
        self.offset > 0
    }

    /// When a wait for slots that begins now ends.
    pub(crate) fn wait_end(&self, now: Instant) -> Instant {
        if self.has_begun() { self.deadline } else { now + self.wait }
    }

    pub(crate) fn attempt(&self) -> AttemptId {
        self.numbered(self.number)
    }

    /// The attempt of this request with a number.
    pub(crate) fn numbered(&self, number: u32) -> AttemptId {
        AttemptId { request: self.id, number }
    }

    /// The attempts as which engines work on the request.
    fn running(&self) -> impl Iterator<Item = u32> {
        let kept = self.kept.iter().flat_map(|kept| [Some(kept.number), kept.resumed_from]);
        [Some(self.number), self.resumed_from].into_iter().chain(kept).flatten()
    }
}

/// Properties of a new request.
#[derive(Debug)]
pub(crate) struct NewRequest {
    pub(crate) ticket: Ticket,
    pub(crate) id: RequestId,
    pub(crate) kind: Kind,
    pub(crate) pool: String,
    pub(crate) class: String,
    pub(crate) team: String,
    pub(crate) priority: u8,
    pub(crate) wait: Duration,
    pub(crate) caller_key: Option<CallerKey>,
    pub(crate) fingerprint: Fingerprint,
    pub(crate) parts: Vec<PromptPart>,
    pub(crate) deadline: Duration,
}

/// All requests in progress.
#[derive(Debug, Default)]
pub(crate) struct Requests {
    arena: SlotMap<RequestKey, Request>,
    by_ticket: HashMap<Ticket, RequestKey>,
    due: BTreeSet<(Instant, RequestKey)>,
}

impl Requests {
    pub(crate) fn open(&mut self, now: Instant, new_request: NewRequest) -> RequestKey {
        let deadline = now + new_request.deadline;
        let ticket = new_request.ticket;
        let key = self.arena.insert(Request {
            ticket,
            id: new_request.id,
            kind: new_request.kind,
            pool: new_request.pool,
            class: new_request.class,
            team: new_request.team,
            priority: new_request.priority,
            wait: new_request.wait,
            caller_key: new_request.caller_key,
            charge: None,
            fingerprint: new_request.fingerprint,
            parts: new_request.parts,
            is_part_test: false,
            answered: None,
            arrived: now,
            deadline,
            phase: Phase::Claiming,
            attempts: 0,
            number: 0,
            kept: None,
            maybe_reached_endpoint: false,
            offset: 0,
            first_token: None,
            slot_taken: now,
            prefill_ended: now,
            cache: None,
            resumed_from: None,
            silent_since: None,
            tried: Vec::new(),
            caller_gone: false,
            reservation: None,
            lease_owner: None,
            due: deadline,
        });
        self.due.insert((deadline, key));
        let before = self.by_ticket.insert(ticket, key);
        assert!(before.is_none(), "ticket {} is used twice", ticket.0);
        key
    }

    pub(crate) fn close(&mut self, key: RequestKey) -> Request {
        let request = self.arena.remove(key).expect("a request is closed once");
        self.by_ticket.remove(&request.ticket);
        self.due.remove(&(request.due, key));
        request
    }

    pub(crate) fn get(&self, key: RequestKey) -> &Request {
        &self.arena[key]
    }

    pub(crate) fn get_mut(&mut self, key: RequestKey) -> &mut Request {
        &mut self.arena[key]
    }

    pub(crate) fn find(&self, ticket: Ticket) -> Option<RequestKey> {
        self.by_ticket.get(&ticket).copied()
    }

    /// The request whose phase belongs to this attempt; `None` for a late event of an earlier attempt.
    pub(crate) fn current(&self, attempt: AttemptId) -> Option<RequestKey> {
        let key = self.find(Ticket(attempt.request.sequence))?;
        let request = &self.arena[key];
        (request.attempt() == attempt).then_some(key)
    }

    /// The request whose kept run is this attempt.
    pub(crate) fn keeping(&self, attempt: AttemptId) -> Option<RequestKey> {
        let key = self.find(Ticket(attempt.request.sequence))?;
        let request = &self.arena[key];
        let is_kept = request.kept.is_some_and(|kept| request.numbered(kept.number) == attempt);
        is_kept.then_some(key)
    }

    /// Whether an engine should keep the memory that it holds for an attempt.
    pub(crate) fn needs(&self, attempt: AttemptId) -> bool {
        let Some(key) = self.find(Ticket(attempt.request.sequence)) else {
            return false;
        };
        let request = &self.arena[key];
        // While a stream is being resumed, it still runs as the previous attempt. An engine that is polled at
        // this moment reports that attempt, and a cancel would end the stream of the current one.
        let runs = request.id == attempt.request && request.running().any(|n| n == attempt.number);
        runs || request.cache.is_some_and(|c| c.attempt == attempt)
    }

    /// Sets the next time at which the request is checked, at the latest its deadline.
    pub(crate) fn set_due(&mut self, key: RequestKey, at: Instant) {
        let request = &mut self.arena[key];
        let at = at.min(request.deadline);
        self.due.remove(&(request.due, key));
        request.due = at;
        self.due.insert((at, key));
    }

    /// A request whose check is due.
    pub(crate) fn overdue(&mut self, now: Instant) -> Option<RequestKey> {
        let &(at, key) = self.due.first()?;
        if at > now {
            return None;
        }
        self.due.pop_first();
        Some(key)
    }

    pub(crate) fn len(&self) -> usize {
        self.arena.len()
    }

    pub(crate) fn iter(&self) -> impl Iterator<Item = (RequestKey, &Request)> {
        self.arena.iter()
    }
}
