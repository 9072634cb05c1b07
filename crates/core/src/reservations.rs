//! Reservation of slot pairs, on the sides of the requesting instance and of the owner; see the documentation
//! of `slots`.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use teaselshunt_settings::Role;

use crate::endpoints::{Need, Placement};
use crate::error::{ErrorKind, Refusal};
use crate::event::{Effect, EngineLoad};
use crate::ids::{EndpointKey, RequestKey};
use crate::instance::Instance;
use crate::lifecycle::{RETRY_ELSEWHERE_AFTER, team_weight};
use crate::message::{Message, ReservationRequest};
use crate::requests::{Kind, PendingReservation, Phase};
use crate::slots::{SlotRequest, Slots};
use crate::{EndpointId, InstanceId, PoolId, RequestId, Ticket};

/// An owner that does not answer for this long is unresponsive, and the requesting instance chooses endpoints
/// itself. A round trip between failure domains takes a few milliseconds.
const OWNER_TIMEOUT: Duration = Duration::from_millis(300);
/// An acknowledged reservation is requested again after this time, in case the owner has lost it.
const REPEAT_INTERVAL: Duration = Duration::from_secs(2);
/// Time between two renewals of leases.
pub(crate) const RENEWAL_INTERVAL: Duration = Duration::from_secs(1);
/// Factor on the estimated time to the first token.
const LEAD_TIME_MARGIN: f64 = 1.25;
/// A request whose stream broke off counts as on time if it gets new slots within this time.
const RESTART_WINDOW: Duration = Duration::from_secs(10);
/// Time for which this instance needs the reports of a pool's engines after it chose among them itself.
const FALLBACK_REPORTS_TIME: Duration = Duration::from_secs(10);

impl Instance {
    /// Whether the request gets its slots from the pool's owner.
    pub(crate) fn uses_owner(&self, key: RequestKey) -> bool {
        let generates = matches!(self.requests.get(key).kind, Kind::Generate { .. });
        generates && self.endpoints.placement() == Placement::Owner
    }

    /// Asks the pool's owner for a slot pair.
    pub(crate) fn request_reservation(&mut self, now: Instant, key: RequestKey, out: &mut Vec<Effect>) {
        let request = self.requests.get(key);
        let pool = PoolId::of(&request.pool);
        let owner = self.members.owner(pool);
        let Kind::Generate { prompt_tokens, first_token_target, retry, .. } = request.kind else {
            return;
        };
        let start_by = if request.offset > 0 {
            now + RESTART_WINDOW
        } else if retry {
            request.arrived
        } else {
            let lead = self.lead_time(&request.pool, prompt_tokens);
            (request.arrived + first_token_target).checked_sub(lead).unwrap_or(request.arrived)
        };
        let wait_end = request.wait_end(request.arrived).min(request.deadline);
        let remaining = wait_end.saturating_duration_since(now);
        let reservation_request = ReservationRequest {
            pool,
            request: request.id,
            priority: request.priority,
            team: request.team.clone(),
            prompt: prompt_tokens,
            first_ms: start_by.saturating_duration_since(now).as_millis() as u32,
            wait_ms: remaining.as_millis() as u32,
            tried: request.tried.iter().filter_map(|&k| self.endpoints.id_of(k)).collect(),
        };
        self.requests.get_mut(key).reservation =
            Some(PendingReservation { owner, requested: now, acknowledged: false });
        self.deliver(now, owner, Message::Reserve(reservation_request), out);
    }

    /// Estimated time from a slot pair to the first token, with a margin. Under overload, every request that
    /// is still on time is served at the last moment, so that an estimate that is slightly short makes most
    /// of them late.
    fn lead_time(&self, pool: &str, prompt_tokens: u32) -> Duration {
        let token_time = self.prefill_token_times.get(pool).copied().unwrap_or_default();
        let delay = self.first_token_delays.get(pool).copied().unwrap_or_default();
        (token_time * prompt_tokens + delay).mul_f64(LEAD_TIME_MARGIN)
    }

    /// Reviews reservations that wait for an owner: requests them again, moves them to a new owner, or falls
    /// back to endpoints that this instance chooses itself.
    pub(crate) fn review_reservations(&mut self, now: Instant, out: &mut Vec<Effect>) {
        let waiting = self.requests.iter().filter(|(_, r)| r.phase == Phase::Waiting);
        let pending: Vec<(RequestKey, PendingReservation)> =
            waiting.filter_map(|(k, r)| r.reservation.map(|p| (k, p))).collect();
        let mut owners: BTreeMap<PoolId, InstanceId> = BTreeMap::new();
        for (key, reservation) in pending {
            let pool = self.pool_of(key);
            let owner = *owners.entry(pool).or_insert_with(|| self.members.owner(pool));
            let since = now.duration_since(reservation.requested);
            if owner != reservation.owner {
                self.withdraw_reservation(now, key, out);
                self.request_reservation(now, key, out);
            } else if !reservation.acknowledged && since > OWNER_TIMEOUT {
                self.fall_back(now, key, out);
            } else if reservation.acknowledged && since > REPEAT_INTERVAL {
                self.request_reservation(now, key, out);
            }
        }
    }

    fn pool_of(&self, key: RequestKey) -> PoolId {
        PoolId::of(&self.requests.get(key).pool)
    }

    /// Withdraws a reservation that its owner cannot serve: this instance chooses endpoints itself, by its
    /// own use and reports.
    fn fall_back(&mut self, now: Instant, key: RequestKey, out: &mut Vec<Effect>) {
        self.withdraw_reservation(now, key, out);
        let pool = self.requests.get(key).pool.clone();
        self.fallbacks.insert(pool.clone(), now);
        self.enqueue_locally(key);
        self.start_queued(now, &pool, out);
    }

    /// Withdraws a reservation that was requested.
    pub(crate) fn withdraw_reservation(&mut self, now: Instant, key: RequestKey, out: &mut Vec<Effect>) {
        let request = self.requests.get_mut(key);
        let Some(reservation) = request.reservation.take() else {
            return;
        };
        let id = request.id;
        let pool = self.pool_of(key);
        self.deliver(
            now,
            reservation.owner,
            Message::Freed { pool, request: id, prefill: true, decode: true },
            out,
        );
    }

    /// Tells the owner that slots are free again.
    pub(crate) fn release_lease(
        &mut self,
        now: Instant,
        key: RequestKey,
        (prefill, decode): (bool, bool),
        out: &mut Vec<Effect>,
    ) {
        let request = self.requests.get_mut(key);
        let Some(owner) = request.lease_owner else {
            return;
        };
        if decode {
            request.lease_owner = None;
        }
        let id = request.id;
        let pool = self.pool_of(key);
        self.deliver(now, owner, Message::Freed { pool, request: id, prefill, decode }, out);
    }

    /// The request with this id if it waits for an answer of `owner`.
    fn awaiting_owner(&self, owner: InstanceId, id: RequestId) -> Option<RequestKey> {
        let key = self.requests.find(Ticket(id.sequence))?;
        let request = self.requests.get(key);
        let waits = request.id == id && request.phase == Phase::Waiting;
        (waits && request.reservation.is_some_and(|a| a.owner == owner)).then_some(key)
    }

    pub(crate) fn reservation_queued(&mut self, from: InstanceId, id: RequestId) {
        let Some(key) = self.awaiting_owner(from, id) else {
            return;
        };
        if let Some(reservation) = &mut self.requests.get_mut(key).reservation {
            reservation.acknowledged = true;
        }
    }

    pub(crate) fn reservation_declined(
        &mut self,
        now: Instant,
        from: InstanceId,
        id: RequestId,
        wait: Duration,
        out: &mut Vec<Effect>,
    ) {
        let Some(key) = self.awaiting_owner(from, id) else {
            return;
        };
        if self.end_search(now, key, out) {
            return;
        }
        let request = self.requests.get(key);
        if request.has_begun() {
            // It is requested again after a pause.
            return self.reservation_queued(from, id);
        }
        let refusal = if request.may_have_run() {
            Refusal::retryable(ErrorKind::EndpointFailed, RETRY_ELSEWHERE_AFTER)
        } else if self.has_endpoints(now, request) {
            Refusal::retryable(ErrorKind::Overloaded, wait.max(RETRY_ELSEWHERE_AFTER))
        } else {
            self.no_slot_refusal(now, request)
        };
        self.refuse(now, key, refusal, out);
    }

    pub(crate) fn reservation_granted(
        &mut self,
        now: Instant,
        from: InstanceId,
        (pool, id): (PoolId, RequestId),
        (prefill, decode): (EndpointId, EndpointId),
        out: &mut Vec<Effect>,
    ) {
        let Some(key) = self.awaiting_owner(from, id) else {
            return self.return_reservation(now, from, (pool, id), out);
        };
        // The owner may use an older configuration than this instance.
        let kept = self.requests.get(key).kept.map(|kept| kept.decode);
        let usable = |e: Option<EndpointKey>| e.filter(|&k| !self.endpoints.is_leaving(k) && Some(k) != kept);
        let (Some(prefill), Some(decode)) =
            (usable(self.endpoints.find(prefill)), usable(self.endpoints.find(decode)))
        else {
            self.withdraw_reservation(now, key, out);
            return self.fall_back(now, key, out);
        };
        let request = self.requests.get_mut(key);
        request.reservation = None;
        request.lease_owner = Some(from);
        self.send_prefill(now, key, prefill, decode, out);
    }

    /// Returns slots for a request that does not need them any more. A request that holds a lease of this
    /// owner received the same message before and keeps its slots.
    fn return_reservation(
        &mut self,
        now: Instant,
        from: InstanceId,
        (pool, id): (PoolId, RequestId),
        out: &mut Vec<Effect>,
    ) {
        let holds = self.requests.find(Ticket(id.sequence)).filter(|&k| {
            let request = self.requests.get(k);
            request.id == id && request.lease_owner == Some(from)
        });
        if holds.is_some() || id.instance != self.identity.id() {
            return;
        }
        self.deliver(now, from, Message::Freed { pool, request: id, prefill: true, decode: true }, out);
    }

    /// Sends this instance's leases to their owners.
    pub(crate) fn renew_leases(&mut self, now: Instant, out: &mut Vec<Effect>) {
        if now < self.next_renew {
            return;
        }
        self.next_renew = now + RENEWAL_INTERVAL;
        let mut held: BTreeMap<(InstanceId, PoolId), Vec<u64>> = BTreeMap::new();
        for (_, request) in self.requests.iter() {
            if let Some(owner) = request.lease_owner {
                held.entry((owner, PoolId::of(&request.pool))).or_default().push(request.id.sequence);
            }
        }
        let incarnation = self.identity.incarnation;
        for ((owner, pool), sequences) in held {
            self.deliver(now, owner, Message::Holding { pool, incarnation, sequences }, out);
        }
    }

    /// Handles a request for a slot pair as the owner of the pool.
    pub(crate) fn reservation_requested(
        &mut self,
        now: Instant,
        from: InstanceId,
        reservation_request: &ReservationRequest,
        out: &mut Vec<Effect>,
    ) {
        let (pool, request) = (reservation_request.pool, reservation_request.request);
        self.members.observe_incarnation(from, request.incarnation);
        let Some(name) = self.pools.get(&pool).cloned() else {
            return;
        };
        if let Some((prefill, decode)) = self.slots(pool).pair_of(request) {
            // The grant was lost on the way and is sent again.
            if let (Some(prefill), Some(decode)) =
                (self.endpoints.id_of(prefill), self.endpoints.id_of(decode))
            {
                self.deliver(now, from, Message::Reserved { pool, request, prefill, decode }, out);
            }
            return;
        }
        if !self.slots(pool).knows(request) {
            let capacity = self.endpoints.capacity(now, &name, Role::Decode);
            let wait = self.slots(pool).expected_wait(reservation_request.priority, capacity);
            if wait > Duration::from_millis(u64::from(reservation_request.wait_ms)) {
                let wait_ms = wait.as_millis() as u32;
                return self.deliver(now, from, Message::Declined { request, wait_ms }, out);
            }
            let slot_request = SlotRequest::new(now, from, reservation_request, |id| self.endpoints.find(id));
            self.slots(pool).enqueue(slot_request);
        }
        self.deliver(now, from, Message::Queued { request }, out);
        self.grant_slots(now, pool, out);
    }

    fn slots(&mut self, pool: PoolId) -> &mut Slots {
        self.slots.entry(pool).or_default()
    }

    /// Grants slots of a pool while there are waiting requests and free slots.
    pub(crate) fn grant_slots(&mut self, now: Instant, pool: PoolId, out: &mut Vec<Effect>) {
        let (Some(name), Some(configuration)) =
            (self.pools.get(&pool).cloned(), self.versions.current().cloned())
        else {
            return;
        };
        let Some(mut slots) = self.slots.remove(&pool) else {
            return;
        };
        while let Some(key) = slots.peek(now) {
            let Some((prefill, decode)) = self.choose_pair(now, &name, &slots, slots.waiting_request(key))
            else {
                break;
            };
            let slot_request = slots.take(key, |team| team_weight(&configuration.teams, team));
            slots.grant(now, &slot_request, prefill, decode);
            let (request, prefill, decode) =
                (slot_request.request, self.endpoints.get(prefill).id, self.endpoints.get(decode).id);
            if slot_request.requester == self.identity.id() {
                // Applied after the loop, because that may change the slots of this pool.
                self.own_reservations.push((request, prefill, decode));
            } else {
                self.deliver(
                    now,
                    slot_request.requester,
                    Message::Reserved { pool, request, prefill, decode },
                    out,
                );
            }
        }
        self.slots.insert(pool, slots);
        let me = self.identity.id();
        for (request, prefill, decode) in std::mem::take(&mut self.own_reservations) {
            self.reservation_granted(now, me, (pool, request), (prefill, decode), out);
        }
    }

    /// Chooses a slot pair for the next request, if possible at endpoints at which the request has not
    /// failed.
    fn choose_pair(
        &mut self,
        now: Instant,
        pool: &str,
        slots: &Slots,
        slot_request: &SlotRequest,
    ) -> Option<(EndpointKey, EndpointKey)> {
        let max_load_percent = self.policy().backlog_percent;
        let domain = self.members.domain_of(slot_request.requester);
        let mut need =
            Need { pool, role: Role::Decode, domain, tried: &slot_request.tried, max_load_percent };
        let used = |k| slots.usage(k);
        let pair = self.endpoints.pair(now, &need, used, &mut self.rng);
        if pair.is_some() || need.tried.is_empty() {
            return pair;
        }
        need.tried = &[];
        self.endpoints.pair(now, &need, used, &mut self.rng)
    }

    pub(crate) fn slots_freed(
        &mut self,
        now: Instant,
        pool: PoolId,
        request: RequestId,
        (prefill, decode): (bool, bool),
        out: &mut Vec<Effect>,
    ) {
        let Some(slots) = self.slots.get_mut(&pool) else {
            return;
        };
        if decode {
            slots.withdraw(request);
        }
        slots.release(now, request, prefill, decode);
        self.grant_slots(now, pool, out);
    }

    pub(crate) fn leases_renewed(
        &mut self,
        now: Instant,
        from: InstanceId,
        (pool, incarnation): (PoolId, u64),
        sequences: Vec<u64>,
        out: &mut Vec<Effect>,
    ) {
        let Some(slots) = self.slots.get_mut(&pool) else {
            return;
        };
        slots.renew_leases(now, from, incarnation, &sequences.into_iter().collect::<BTreeSet<u64>>());
        self.grant_slots(now, pool, out);
    }

    /// Number of requests in a report that the owner of the pool does not account for.
    pub(crate) fn unaccounted_requests(&self, endpoint: EndpointKey, report: &EngineLoad) -> u32 {
        let slots = self.slots.get(&PoolId::of(&self.endpoints.get(endpoint).pool));
        let unknown = |r: &RequestId| slots.is_none_or(|s| !s.accounts_for(*r));
        report.running.iter().map(|r| r.attempt.request).filter(unknown).count() as u32
    }

    /// Expires leases and grants free slots in the pools owned here.
    pub(crate) fn review_slots(&mut self, now: Instant, out: &mut Vec<Effect>) {
        for pool in self.slots.keys().copied().collect::<Vec<_>>() {
            if let Some(slots) = self.slots.get_mut(&pool) {
                slots.expire(now);
            }
            self.grant_slots(now, pool, out);
        }
    }

    /// Whether reports of a pool's engines are needed here: this instance owns the pool, or it lately chose
    /// endpoints itself, since the owner was unresponsive or granted endpoints that it cannot use.
    pub(crate) fn needs_reports(&self, now: Instant, pool: &str) -> bool {
        let id = PoolId::of(pool);
        let fell_back =
            self.fallbacks.get(pool).is_some_and(|&at| now.duration_since(at) < FALLBACK_REPORTS_TIME);
        let owned =
            self.members.owner(id) == self.identity.id() || self.slots.get(&id).is_some_and(Slots::in_use);
        self.endpoints.placement() != Placement::Owner || fell_back || owned
    }
}
