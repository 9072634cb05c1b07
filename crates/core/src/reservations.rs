//! Slot pairs by reservation: the asker's side and the owner's side. See the head of `slots`.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use teaselshunt_settings::Role;

use crate::endpoints::{Need, Placement};
use crate::error::{ErrorKind, Refusal};
use crate::event::{Effect, EngineLoad};
use crate::ids::{EndpointKey, RequestKey};
use crate::instance::Instance;
use crate::lifecycle::{ELSEWHERE, weight};
use crate::message::{Message, ReservationRequest};
use crate::requests::{Asked, Kind, Phase};
use crate::slots::{Ask, Slots};
use crate::{EndpointId, InstanceId, PoolId, RequestId, Ticket};

/// An owner that says nothing for this long is passed over, and the asker chooses for itself. A round trip
/// between failure domains takes a few milliseconds.
const SILENT: Duration = Duration::from_millis(300);
/// A question that was heard is asked again after this, in case the owner has lost it.
const AGAIN: Duration = Duration::from_secs(2);
/// Time between two renewals of leases.
pub(crate) const RENEW: Duration = Duration::from_secs(1);
/// Factor on the learned time to the first token.
const MARGIN: f64 = 1.25;
/// Time that a stream that broke off in the middle has for a new slot before others go first.
const RESTART: Duration = Duration::from_secs(10);

impl Instance {
    /// Whether the request gets its slots from the pool's owner.
    pub(crate) fn asks_owner(&self, key: RequestKey) -> bool {
        let generates = matches!(self.requests.get(key).kind, Kind::Generate { .. });
        generates && self.endpoints.placement() == Placement::Owner
    }

    /// Asks the pool's owner for a slot pair.
    pub(crate) fn reserve(&mut self, now: Instant, key: RequestKey, out: &mut Vec<Effect>) {
        let request = self.requests.get(key);
        let pool = PoolId::of(&request.pool);
        let owner = self.members.owner(pool);
        let Kind::Generate { prompt, first, retry, .. } = request.kind else {
            return;
        };
        let start_by = if request.offset > 0 {
            now + RESTART
        } else if retry {
            request.arrived
        } else {
            let lead = self.lead(&request.pool, prompt);
            (request.arrived + first).checked_sub(lead).unwrap_or(request.arrived)
        };
        let waited = now.duration_since(request.arrived).min(request.wait);
        let left = request.wait.saturating_sub(waited).min(request.deadline.saturating_duration_since(now));
        let reserve = ReservationRequest {
            pool,
            request: request.id,
            priority: request.priority,
            team: request.team.clone(),
            prompt,
            first_ms: start_by.saturating_duration_since(now).as_millis() as u32,
            wait_ms: left.as_millis() as u32,
            tried: request.tried.iter().filter_map(|&k| self.endpoints.known(k)).collect(),
        };
        self.requests.get_mut(key).asked = Some(Asked { owner, at: now, heard: false });
        self.deliver(now, owner, Message::Reserve(reserve), out);
    }

    /// Time from a slot pair to the first token, as it was lately, with a margin: under overload every request
    /// that is still in time is served at the last moment, so an estimate that is a little short makes most of
    /// them late.
    fn lead(&self, pool: &str, prompt: u32) -> Duration {
        let pace = self.paces.get(pool).copied().unwrap_or_default();
        let tail = self.tails.get(pool).copied().unwrap_or_default();
        (pace * prompt + tail).mul_f64(MARGIN)
    }

    /// Looks after requests that wait for an owner.
    pub(crate) fn review_asked(&mut self, now: Instant, out: &mut Vec<Effect>) {
        let waiting = self.requests.iter().filter(|(_, r)| r.phase == Phase::Waiting);
        let asked: Vec<(RequestKey, Asked)> = waiting.filter_map(|(k, r)| r.asked.map(|a| (k, a))).collect();
        let mut owners: BTreeMap<PoolId, InstanceId> = BTreeMap::new();
        for (key, asked) in asked {
            let pool = self.pool_of(key);
            let owner = *owners.entry(pool).or_insert_with(|| self.members.owner(pool));
            let since = now.duration_since(asked.at);
            if owner != asked.owner {
                self.unask(now, key, out);
                self.reserve(now, key, out);
            } else if !asked.heard && since > SILENT {
                self.fall_back(now, key, out);
            } else if asked.heard && since > AGAIN {
                self.reserve(now, key, out);
            }
        }
    }

    fn pool_of(&self, key: RequestKey) -> PoolId {
        PoolId::of(&self.requests.get(key).pool)
    }

    /// The owner is silent: this instance chooses for itself, as well as reports let it.
    fn fall_back(&mut self, now: Instant, key: RequestKey, out: &mut Vec<Effect>) {
        self.unask(now, key, out);
        let pool = self.requests.get(key).pool.clone();
        self.alone.insert(pool.clone(), now);
        self.queue_here(key);
        self.pump(now, &pool, out);
    }

    /// Takes back a question.
    pub(crate) fn unask(&mut self, now: Instant, key: RequestKey, out: &mut Vec<Effect>) {
        let request = self.requests.get_mut(key);
        let Some(asked) = request.asked.take() else {
            return;
        };
        let id = request.id;
        let pool = self.pool_of(key);
        self.deliver(
            now,
            asked.owner,
            Message::Freed { pool, request: id, prefill: true, decode: true },
            out,
        );
    }

    /// Tells the owner that slots are free again.
    pub(crate) fn free_lease(
        &mut self,
        now: Instant,
        key: RequestKey,
        (prefill, decode): (bool, bool),
        out: &mut Vec<Effect>,
    ) {
        let request = self.requests.get_mut(key);
        let Some(owner) = request.lease else {
            return;
        };
        if decode {
            request.lease = None;
        }
        let id = request.id;
        let pool = self.pool_of(key);
        self.deliver(now, owner, Message::Freed { pool, request: id, prefill, decode }, out);
    }

    /// A request of this instance that waits for the answer of `owner`.
    fn awaiting(&self, owner: InstanceId, id: RequestId) -> Option<RequestKey> {
        let key = self.requests.find(Ticket(id.sequence))?;
        let request = self.requests.get(key);
        let waits = request.id == id && request.phase == Phase::Waiting;
        (waits && request.asked.is_some_and(|a| a.owner == owner)).then_some(key)
    }

    pub(crate) fn queued(&mut self, from: InstanceId, id: RequestId) {
        let Some(key) = self.awaiting(from, id) else {
            return;
        };
        if let Some(asked) = &mut self.requests.get_mut(key).asked {
            asked.heard = true;
        }
    }

    pub(crate) fn declined(
        &mut self,
        now: Instant,
        from: InstanceId,
        id: RequestId,
        wait: Duration,
        out: &mut Vec<Effect>,
    ) {
        let Some(key) = self.awaiting(from, id) else {
            return;
        };
        let request = self.requests.get(key);
        let refusal = if request.may_have_run() {
            Refusal::retryable(ErrorKind::EndpointFailed, ELSEWHERE)
        } else if self.served(now, request) {
            Refusal::retryable(ErrorKind::Overloaded, wait.max(ELSEWHERE))
        } else {
            self.no_slot(now, request)
        };
        self.refuse(now, key, refusal, out);
    }

    pub(crate) fn reserved(
        &mut self,
        now: Instant,
        from: InstanceId,
        (pool, id): (PoolId, RequestId),
        (prefill, decode): (EndpointId, EndpointId),
        out: &mut Vec<Effect>,
    ) {
        let Some(key) = self.awaiting(from, id) else {
            return self.hand_back(now, from, (pool, id), out);
        };
        // The owner may act on an older configuration than this instance has.
        let usable = |e: Option<EndpointKey>| e.filter(|&k| !self.endpoints.is_leaving(k));
        let (Some(prefill), Some(decode)) =
            (usable(self.endpoints.find(prefill)), usable(self.endpoints.find(decode)))
        else {
            self.unask(now, key, out);
            return self.fall_back(now, key, out);
        };
        let request = self.requests.get_mut(key);
        request.asked = None;
        request.lease = Some(from);
        self.prefill(now, key, prefill, decode, out);
    }

    /// Slots for a request that does not want them any more. One that holds a lease of this owner has had the
    /// message before and keeps them.
    fn hand_back(
        &mut self,
        now: Instant,
        from: InstanceId,
        (pool, id): (PoolId, RequestId),
        out: &mut Vec<Effect>,
    ) {
        let holds = self.requests.find(Ticket(id.sequence)).filter(|&k| {
            let request = self.requests.get(k);
            request.id == id && request.lease == Some(from)
        });
        if holds.is_some() || id.instance != self.identity.id() {
            return;
        }
        self.deliver(now, from, Message::Freed { pool, request: id, prefill: true, decode: true }, out);
    }

    /// Lists this instance's leases to their owners.
    pub(crate) fn renew_leases(&mut self, now: Instant, out: &mut Vec<Effect>) {
        if now < self.next_renew {
            return;
        }
        self.next_renew = now + RENEW;
        let mut held: BTreeMap<(InstanceId, PoolId), Vec<u64>> = BTreeMap::new();
        for (_, request) in self.requests.iter() {
            if let Some(owner) = request.lease {
                held.entry((owner, PoolId::of(&request.pool))).or_default().push(request.id.sequence);
            }
        }
        let incarnation = self.identity.incarnation;
        for ((owner, pool), sequences) in held {
            self.deliver(now, owner, Message::Holding { pool, incarnation, sequences }, out);
        }
    }

    /// A question reaches this instance as the pool's owner.
    pub(crate) fn reserve_asked(
        &mut self,
        now: Instant,
        from: InstanceId,
        reserve: &ReservationRequest,
        out: &mut Vec<Effect>,
    ) {
        let (pool, request) = (reserve.pool, reserve.request);
        self.members.note_start(from, request.incarnation);
        let Some(name) = self.pools.get(&pool).cloned() else {
            return;
        };
        if let Some((prefill, decode)) = self.slots(pool).pair_of(request) {
            // The grant was lost on the way.
            if let (Some(prefill), Some(decode)) =
                (self.endpoints.known(prefill), self.endpoints.known(decode))
            {
                self.deliver(now, from, Message::Reserved { pool, request, prefill, decode }, out);
            }
            return;
        }
        if !self.slots(pool).knows(request) {
            let capacity = self.endpoints.capacity(now, &name, Role::Decode);
            let wait = self.slots(pool).expected_wait(reserve.priority, capacity);
            if wait > Duration::from_millis(u64::from(reserve.wait_ms)) {
                let wait_ms = wait.as_millis() as u32;
                return self.deliver(now, from, Message::Declined { request, wait_ms }, out);
            }
            let ask = Ask::new(now, from, reserve, |id| self.endpoints.find(id));
            self.slots(pool).push(ask);
        }
        self.deliver(now, from, Message::Queued { request }, out);
        self.assign(now, pool, out);
    }

    fn slots(&mut self, pool: PoolId) -> &mut Slots {
        self.slots.entry(pool).or_default()
    }

    /// Hands out slots of a pool while there are requests and slots.
    pub(crate) fn assign(&mut self, now: Instant, pool: PoolId, out: &mut Vec<Effect>) {
        let (Some(name), Some(configuration)) =
            (self.pools.get(&pool).cloned(), self.versions.current().cloned())
        else {
            return;
        };
        let Some(mut slots) = self.slots.remove(&pool) else {
            return;
        };
        while let Some(key) = slots.peek(now) {
            let Some((prefill, decode)) = self.pair(now, &name, &slots, slots.ask(key)) else {
                break;
            };
            let ask = slots.take(key, |team| weight(&configuration.teams, team));
            slots.grant(now, &ask, prefill, decode);
            let (request, prefill, decode) =
                (ask.request, self.endpoints.get(prefill).id, self.endpoints.get(decode).id);
            if ask.from == self.identity.id() {
                // Taken in after the loop: it may change these very slots.
                self.own_grants.push((request, prefill, decode));
            } else {
                self.deliver(now, ask.from, Message::Reserved { pool, request, prefill, decode }, out);
            }
        }
        self.slots.insert(pool, slots);
        let me = self.identity.id();
        for (request, prefill, decode) in std::mem::take(&mut self.own_grants) {
            self.reserved(now, me, (pool, request), (prefill, decode), out);
        }
    }

    /// A slot pair for the next request, rather not at endpoints that failed it.
    fn pair(
        &mut self,
        now: Instant,
        pool: &str,
        slots: &Slots,
        ask: &Ask,
    ) -> Option<(EndpointKey, EndpointKey)> {
        let percent = self.policy().backlog_percent;
        let domain = self.members.domain_of(ask.from);
        let mut need = Need { pool, role: Role::Decode, domain, tried: &ask.tried, percent };
        let used = |k| slots.used(k);
        let pair = self.endpoints.pair(now, &need, used, &mut self.rng);
        if pair.is_some() || need.tried.is_empty() {
            return pair;
        }
        need.tried = &[];
        self.endpoints.pair(now, &need, used, &mut self.rng)
    }

    pub(crate) fn freed(
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
        slots.free(now, request, prefill, decode);
        self.assign(now, pool, out);
    }

    pub(crate) fn held_by(
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
        slots.renew(now, from, incarnation, &sequences.into_iter().collect::<BTreeSet<u64>>());
        self.assign(now, pool, out);
    }

    /// Requests of a report that the owner of the pool does not account for.
    pub(crate) fn foreign(&self, endpoint: EndpointKey, report: &EngineLoad) -> u32 {
        let slots = self.slots.get(&PoolId::of(&self.endpoints.get(endpoint).pool));
        let unknown = |r: &RequestId| slots.is_none_or(|s| !s.accounts_for(*r));
        report.running.iter().map(|r| r.attempt.request).filter(unknown).count() as u32
    }

    /// Time passed for the pools owned here.
    pub(crate) fn review_slots(&mut self, now: Instant, out: &mut Vec<Effect>) {
        for pool in self.slots.keys().copied().collect::<Vec<_>>() {
            if let Some(slots) = self.slots.get_mut(&pool) {
                slots.expire(now);
            }
            self.assign(now, pool, out);
        }
    }

    /// Whether reports of a pool's engines are of use here: it is owned here, or its owner was silent lately.
    pub(crate) fn wants_reports(&self, now: Instant, pool: &str) -> bool {
        let id = PoolId::of(pool);
        let alone = self.alone.get(pool).is_some_and(|&at| now.duration_since(at) < RESTART);
        let owned =
            self.members.owner(id) == self.identity.id() || self.slots.get(&id).is_some_and(Slots::busy);
        self.endpoints.placement() != Placement::Owner || alone || owned
    }
}
