//! Slots of a pool at its owner: one instance sees every reservation and grants the slots one by one.
//!
//! Instances that choose endpoints by lagging reports overbook the few decode slots, and every overbooked
//! prefill is wasted. Each pool therefore has an owner: the live member that rendezvous hashing selects.
//! Instances ask it for a slot pair for each request. The owner knows exactly the requests that go through
//! it; reports contribute all other work at an engine.
//!
//! Ownership is an optimization without guarantees. If a pool has two owners or none for a moment, the cost
//! is some overbooking, or requesting instances that choose endpoints themselves. Engines refuse what exceeds
//! their capacity, and no invariant depends on the owner. Each instance renews its leases with one message
//! per second that lists its requests, so that the slots of a lost release or of a crashed holder are free
//! again within seconds.
//!
//! Requests that can still meet the target for the first token are served first, by priority and then fairly
//! between teams. Late requests follow in the same order; one in [`LATE_GRANT_INTERVAL`] grants is theirs.
//! Serving the oldest request first would, under overload, serve only requests that are already late.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::time::{Duration, Instant};

use crate::ids::EndpointKey;
use crate::message::ReservationRequest;
use crate::queue::Queue;
use crate::{EndpointId, InstanceId, RequestId};

/// One in this many grants goes to a late request while requests on time are waiting.
const LATE_GRANT_INTERVAL: u32 = 12;
/// A lease that is not renewed for this long expires.
const LEASE_TIMEOUT: Duration = Duration::from_secs(5);
/// A lease younger than this may be missing in a renewal that was sent before the lease was granted.
const RENEWAL_GRACE: Duration = Duration::from_secs(2);
/// Reports may contain a released request for this long.
const RELEASED_RETENTION: Duration = Duration::from_secs(2);

slotmap::new_key_type! {
    /// A request that waits at the owner.
    pub(crate) struct SlotRequestKey;
}

/// A request for a slot pair.
#[derive(Debug, Clone)]
pub(crate) struct SlotRequest {
    pub(crate) request: RequestId,
    pub(crate) requester: InstanceId,
    pub(crate) priority: u8,
    pub(crate) team: String,
    pub(crate) prompt_tokens: u32,
    /// Latest start that can meet the target for the first token.
    pub(crate) start_by: Instant,
    /// When the requesting instance gives up.
    pub(crate) gives_up: Instant,
    pub(crate) tried: Vec<EndpointKey>,
    late: bool,
}

/// Slots that a request holds.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Lease {
    pub(crate) requester: InstanceId,
    pub(crate) prefill: Option<EndpointKey>,
    pub(crate) decode: Option<EndpointKey>,
    pub(crate) prompt_tokens: u32,
    granted: Instant,
    renewed: Instant,
}

/// Use of one endpoint by leases.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Usage {
    pub(crate) requests: u32,
    /// Prompt tokens to be prefilled.
    pub(crate) tokens: u32,
}

/// Slots of one pool, at its owner.
#[derive(Debug, Default)]
pub(crate) struct Slots {
    requests: slotmap::SlotMap<SlotRequestKey, SlotRequest>,
    by_request: HashMap<RequestId, SlotRequestKey>,
    on_time: Queue<SlotRequestKey>,
    late: Queue<SlotRequestKey>,
    /// Number of grants, which determines when late requests are served.
    grants: u32,
    leases: BTreeMap<RequestId, Lease>,
    used: HashMap<EndpointKey, Usage>,
    released: BTreeMap<RequestId, Instant>,
    /// Moving average of how long a lease is held.
    average_hold: Duration,
}

impl SlotRequest {
    pub(crate) fn new(
        now: Instant,
        from: InstanceId,
        reservation_request: &ReservationRequest,
        find: impl Fn(EndpointId) -> Option<EndpointKey>,
    ) -> Self {
        Self {
            request: reservation_request.request,
            requester: from,
            priority: reservation_request.priority,
            team: reservation_request.team.clone(),
            prompt_tokens: reservation_request.prompt,
            start_by: now + Duration::from_millis(u64::from(reservation_request.first_ms)),
            gives_up: now + Duration::from_millis(u64::from(reservation_request.wait_ms)),
            tried: reservation_request.tried.iter().filter_map(|&id| find(id)).collect(),
            late: false,
        }
    }
}

impl Slots {
    /// Whether the request waits or holds slots here.
    pub(crate) fn knows(&self, request: RequestId) -> bool {
        self.by_request.contains_key(&request) || self.leases.contains_key(&request)
    }

    /// Whether any request waits or holds slots here.
    pub(crate) fn in_use(&self) -> bool {
        !self.requests.is_empty() || !self.leases.is_empty()
    }

    pub(crate) fn waiting(&self) -> usize {
        self.requests.len()
    }

    /// The slot pair of a request, if it holds both slots.
    pub(crate) fn pair_of(&self, request: RequestId) -> Option<(EndpointKey, EndpointKey)> {
        let lease = self.leases.get(&request)?;
        lease.prefill.zip(lease.decode)
    }

    /// Expected wait of a new request behind all others, from the average time for which a lease is held.
    pub(crate) fn expected_wait(&self, priority: u8, slots: u32) -> Duration {
        let ahead = self.on_time.ahead(priority) + self.late.ahead(priority);
        self.average_hold * (ahead as u32) / slots.max(1)
    }

    pub(crate) fn enqueue(&mut self, slot_request: SlotRequest) {
        let (request, priority, team) =
            (slot_request.request, slot_request.priority, slot_request.team.clone());
        let key = self.requests.insert(slot_request);
        self.by_request.insert(request, key);
        self.on_time.push(priority, &team, key);
    }

    /// The request to be served next, which stays in its queue. Requests that cannot be on time any more are
    /// moved behind those that can.
    pub(crate) fn peek(&mut self, now: Instant) -> Option<SlotRequestKey> {
        self.demote(now);
        let late_first = self.grants.is_multiple_of(LATE_GRANT_INTERVAL);
        let (first, second) =
            if late_first { (&self.late, &self.on_time) } else { (&self.on_time, &self.late) };
        first.peek().or_else(|| second.peek())
    }

    pub(crate) fn waiting_request(&self, key: SlotRequestKey) -> &SlotRequest {
        &self.requests[key]
    }

    /// Removes the request returned by [`Slots::peek`] from its queue and charges its team.
    pub(crate) fn take(&mut self, key: SlotRequestKey, weight: impl Fn(&str) -> u32) -> SlotRequest {
        self.grants = self.grants.wrapping_add(1);
        let slot_request = self.requests.remove(key).expect("a queued request is in the arena");
        self.by_request.remove(&slot_request.request);
        let queue = if slot_request.late { &mut self.late } else { &mut self.on_time };
        let taken = queue.pop(weight);
        assert!(taken == Some(key), "the served request is the next one in the queue");
        slot_request
    }

    fn demote(&mut self, now: Instant) {
        while let Some(key) = self.on_time.peek() {
            let slot_request = &mut self.requests[key];
            if now <= slot_request.start_by {
                return;
            }
            slot_request.late = true;
            self.on_time.remove(slot_request.priority, &slot_request.team, key);
            self.late.push(slot_request.priority, &slot_request.team, key);
        }
    }

    /// Removes a waiting request; `false` if the request does not wait.
    pub(crate) fn withdraw(&mut self, request: RequestId) -> bool {
        let Some(key) = self.by_request.remove(&request) else {
            return false;
        };
        let Some(slot_request) = self.requests.remove(key) else {
            return false;
        };
        let queue = if slot_request.late { &mut self.late } else { &mut self.on_time };
        let found = queue.remove(slot_request.priority, &slot_request.team, key);
        assert!(found, "a waiting request is in the queue that it is marked for");
        true
    }

    pub(crate) fn grant(
        &mut self,
        now: Instant,
        slot_request: &SlotRequest,
        prefill: EndpointKey,
        decode: EndpointKey,
    ) {
        let lease = Lease {
            requester: slot_request.requester,
            prefill: Some(prefill),
            decode: Some(decode),
            prompt_tokens: slot_request.prompt_tokens,
            granted: now,
            renewed: now,
        };
        let before = self.leases.insert(slot_request.request, lease);
        assert!(before.is_none(), "{} is granted slots twice", slot_request.request);
        let used = self.used.entry(prefill).or_default();
        used.requests += 1;
        used.tokens += slot_request.prompt_tokens;
        self.used.entry(decode).or_default().requests += 1;
        self.released.remove(&slot_request.request);
    }

    /// Releases the prefill slot, the decode slot or both.
    pub(crate) fn release(&mut self, now: Instant, request: RequestId, prefill: bool, decode: bool) {
        let Some(lease) = self.leases.get_mut(&request) else {
            return;
        };
        let freed_prefill = if prefill { lease.prefill.take() } else { None };
        let freed_decode = if decode { lease.decode.take() } else { None };
        let (prompt_tokens, granted) = (lease.prompt_tokens, lease.granted);
        if lease.prefill.is_none() && lease.decode.is_none() {
            self.leases.remove(&request);
            self.released.insert(request, now);
        }
        if let Some(endpoint) = freed_prefill {
            let used = self.used.entry(endpoint).or_default();
            used.requests -= 1;
            used.tokens -= prompt_tokens;
        }
        if let Some(endpoint) = freed_decode {
            self.used.entry(endpoint).or_default().requests -= 1;
            let held = now.duration_since(granted);
            self.average_hold =
                if self.average_hold.is_zero() { held } else { (self.average_hold * 15 + held) / 16 };
        }
    }

    pub(crate) fn usage(&self, endpoint: EndpointKey) -> Usage {
        self.used.get(&endpoint).copied().unwrap_or_default()
    }

    /// Whether a request in a report is accounted for here: it holds a lease, or did so recently.
    pub(crate) fn accounts_for(&self, request: RequestId) -> bool {
        self.leases.contains_key(&request) || self.released.contains_key(&request)
    }

    /// Renews the leases of the requests that an instance lists. Its other leases are released.
    pub(crate) fn renew_leases(
        &mut self,
        now: Instant,
        from: InstanceId,
        incarnation: u64,
        held: &BTreeSet<u64>,
    ) {
        let mut void = Vec::new();
        for (&request, lease) in self.leases.iter_mut().filter(|(_, l)| l.requester == from) {
            if request.incarnation == incarnation && held.contains(&request.sequence) {
                lease.renewed = now;
            } else if now.duration_since(lease.granted) > RENEWAL_GRACE {
                void.push(request);
            }
        }
        for request in void {
            self.release(now, request, true, true);
        }
    }

    /// Removes leases that were not renewed and requests whose instance has given up.
    pub(crate) fn expire(&mut self, now: Instant) {
        let void = self.leases.iter().filter(|(_, l)| now.duration_since(l.renewed) > LEASE_TIMEOUT);
        let void: Vec<RequestId> = void.map(|(&r, _)| r).collect();
        for request in void {
            self.release(now, request, true, true);
        }
        self.released.retain(|_, at| now.duration_since(*at) < RELEASED_RETENTION);
        let over: Vec<RequestId> =
            self.requests.values().filter(|a| now > a.gives_up).map(|a| a.request).collect();
        for request in over {
            self.withdraw(request);
        }
    }
}
