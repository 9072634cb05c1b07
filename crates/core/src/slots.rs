//! The owner of a pool's slots: one instance that sees every reservation and hands slots out one by one.
//!
//! Eight instances that choose on lagging reports overbook the few decode slots, and every overbooked prefill
//! is wasted. So each pool has an owner, the live member that rendezvous hashing picks, and whoever has a
//! request asks it for a slot pair. The owner's knowledge is exact as far as requests go through it; reports
//! add whatever else runs at an engine.
//!
//! Ownership is a convenience, not a promise. Two owners for a moment, or none, cost some overbooking or a
//! fallback to the asker's own choice; engines refuse what does not fit, and nothing that must hold at all
//! times rests on it. Leases are renewed by one message a second that lists an instance's requests, so a lost
//! release or a dead holder frees its slots within seconds.
//!
//! Order of service: requests that can still meet the target for the first token, by priority and then fair
//! between teams; behind them those that cannot, in the same order, with one turn in [`LATE_GRANT_INTERVAL`]. Serving
//! the oldest first under overload means serving only requests that are already too late.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::time::{Duration, Instant};

use crate::ids::EndpointKey;
use crate::message::ReservationRequest;
use crate::queue::Queue;
use crate::{EndpointId, InstanceId, RequestId};

/// Late requests get one grant in this many while others are in time.
const LATE_GRANT_INTERVAL: u32 = 12;
/// A lease that is not renewed for this long is void.
const LEASE_TIMEOUT: Duration = Duration::from_secs(5);
/// A lease younger than this may be missing in a renewal that was sent before it was granted.
const RENEWAL_GRACE: Duration = Duration::from_secs(2);
/// A released request may stand in reports for this long.
const RELEASED_RETENTION: Duration = Duration::from_secs(2);

slotmap::new_key_type! {
    /// A request that waits at the owner.
    pub(crate) struct SlotRequestKey;
}

/// A request that asks for a slot pair.
#[derive(Debug, Clone)]
pub(crate) struct SlotRequest {
    pub(crate) request: RequestId,
    pub(crate) requester: InstanceId,
    pub(crate) priority: u8,
    pub(crate) team: String,
    /// Prompt tokens.
    pub(crate) prompt_tokens: u32,
    /// A start after this cannot meet the target.
    pub(crate) start_by: Instant,
    /// When the asker gives up.
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
    /// Grants so far, to give late requests their turn.
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
        reserve: &ReservationRequest,
        find: impl Fn(EndpointId) -> Option<EndpointKey>,
    ) -> Self {
        Self {
            request: reserve.request,
            requester: from,
            priority: reserve.priority,
            team: reserve.team.clone(),
            prompt_tokens: reserve.prompt,
            start_by: now + Duration::from_millis(u64::from(reserve.first_ms)),
            gives_up: now + Duration::from_millis(u64::from(reserve.wait_ms)),
            tried: reserve.tried.iter().filter_map(|&id| find(id)).collect(),
            late: false,
        }
    }
}

impl Slots {
    /// Whether the request waits or holds slots here already.
    pub(crate) fn knows(&self, request: RequestId) -> bool {
        self.by_request.contains_key(&request) || self.leases.contains_key(&request)
    }

    /// Whether anything waits or is held here.
    pub(crate) fn in_use(&self) -> bool {
        !self.requests.is_empty() || !self.leases.is_empty()
    }

    pub(crate) fn waiting(&self) -> usize {
        self.requests.len()
    }

    /// The whole slot pair of a request, if it has one.
    pub(crate) fn pair_of(&self, request: RequestId) -> Option<(EndpointKey, EndpointKey)> {
        let lease = self.leases.get(&request)?;
        lease.prefill.zip(lease.decode)
    }

    /// How long a request that asks now would wait behind all others: the pace of slots that come free.
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

    /// The request to be served next, left where it is; those that cannot be in time any more are moved behind
    /// those that can.
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

    /// Takes the request that was peeked at; its team is charged.
    pub(crate) fn take(&mut self, key: SlotRequestKey, weight: impl Fn(&str) -> u32) -> SlotRequest {
        self.grants = self.grants.wrapping_add(1);
        let slot_request = self.requests.remove(key).expect("a queued request is in the arena");
        self.by_request.remove(&slot_request.request);
        let queue = if slot_request.late { &mut self.late } else { &mut self.on_time };
        let taken = queue.pop(weight);
        assert!(taken == Some(key), "the request that is served is the one that was next");
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

    /// Drops a request that waits; `false` if it does not.
    pub(crate) fn withdraw(&mut self, request: RequestId) -> bool {
        let Some(key) = self.by_request.remove(&request) else {
            return false;
        };
        let Some(slot_request) = self.requests.remove(key) else {
            return false;
        };
        let queue = if slot_request.late { &mut self.late } else { &mut self.on_time };
        let found = queue.remove(slot_request.priority, &slot_request.team, key);
        assert!(found, "a waiting request stands in the queue that it is marked for");
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

    /// Gives back the prefill slot, the decode slot or both.
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

    /// Whether a request that a report names is accounted for here: it holds a lease, or did lately.
    pub(crate) fn accounts_for(&self, request: RequestId) -> bool {
        self.leases.contains_key(&request) || self.released.contains_key(&request)
    }

    /// An instance lists its requests: its other leases are void.
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

    /// Drops what nobody renews or waits for.
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
