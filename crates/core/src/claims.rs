//! The idempotency key of a request, seen from the instance that took the request from its caller.
//!
//! Nothing is sent to an endpoint before the key's home has granted it. If the home cannot be asked, the
//! honest answer is "unknown", not "not run": an earlier try with the key may have run elsewhere.

use std::time::{Duration, Instant};

use crate::error::{ErrorKind, Refusal};
use crate::event::Effect;
use crate::ids::RequestKey;
use crate::instance::Instance;
use crate::message::{ClaimAnswer, ClaimOutcome, Message};
use crate::requests::{Phase, Request};
use crate::{CallerKey, IdempotencyKey, InstanceId, RequestId, Ticket};

/// How long the home has to answer, inquiries among homes included.
const CLAIM_TIMEOUT: Duration = Duration::from_millis(1_500);
/// After a freeze, requests that came meanwhile are read within this time.
const POST_FREEZE_WINDOW: Duration = Duration::from_secs(5);
/// Time between two rounds that ask silent homes again.
const RECLAIM_INTERVAL: Duration = Duration::from_millis(250);
/// When to try a key again that cannot be told about or is in use.
const KEY_RETRY_AFTER: Duration = Duration::from_secs(2);

/// How long the fate of a keyed request is remembered here: a connection between instances, and what lies in it, ends sooner.
const ENDED_CLAIM_RETENTION: Duration = Duration::from_mins(1);
/// Most fates that are remembered, with answers of [`StoredResponse::MAX_BODY_BYTES`](crate::StoredResponse::MAX_BODY_BYTES) bytes each: 16 MB.
const ENDED_CLAIMS_MAX: usize = 1024;

/// A keyed request that has ended.
#[derive(Debug)]
pub(crate) struct EndedClaim {
    at: Instant,
    outcome: ClaimOutcome,
}

impl Instance {
    pub(crate) fn claim(&mut self, now: Instant, key: RequestKey, out: &mut Vec<Effect>) {
        let has_creation_time = self.requests.get(key).key.is_some_and(|k| k.born.is_some());
        let recently_frozen = self.freeze_ended.is_some_and(|at| now.duration_since(at) < POST_FREEZE_WINDOW);
        if recently_frozen && !has_creation_time {
            // It may have lain here for longer than any home remembers keys, and a grant could be a second one.
            return self.refuse(now, key, Refusal::retryable(ErrorKind::KeyUnknown, KEY_RETRY_AFTER), out);
        }
        self.requests.get_mut(key).phase = Phase::Claiming;
        self.requests.set_due(key, now + CLAIM_TIMEOUT);
        self.send_claim(now, key, out);
    }

    fn send_claim(&mut self, now: Instant, key: RequestKey, out: &mut Vec<Effect>) {
        let request = self.requests.get(key);
        let Some(CallerKey { key: idempotency, born }) = request.key else {
            return;
        };
        let id = request.id;
        let Some(home) = self.members.home(idempotency) else {
            return;
        };
        let revision = self.members.revision();
        self.deliver(now, home, Message::Claim { key: idempotency, request: id, revision, born }, out);
    }

    /// The home answered.
    pub(crate) fn claim_answered(
        &mut self,
        now: Instant,
        from: InstanceId,
        idempotency: IdempotencyKey,
        id: RequestId,
        answer: ClaimAnswer,
        out: &mut Vec<Effect>,
    ) {
        let waiting = self.requests.find(Ticket(id.sequence)).filter(|&k| {
            let request = self.requests.get(k);
            request.id == id && request.phase == Phase::Claiming
        });
        let Some(key) = waiting else {
            if answer == ClaimAnswer::Granted {
                self.resend_outcome(now, from, idempotency, id, out);
            }
            return;
        };
        match answer {
            ClaimAnswer::Granted => self.claim_granted(now, key, from, out),
            ClaimAnswer::Ran(Some(stored)) => {
                let request = self.close_request(now, key);
                self.counters.replayed += 1;
                out.push(Effect::Replay { ticket: request.ticket, stored });
            }
            ClaimAnswer::Ran(None) => self.refuse(now, key, Refusal::new(ErrorKind::KeyUsed), out),
            ClaimAnswer::InUse => {
                self.refuse(now, key, Refusal::retryable(ErrorKind::KeyInUse, KEY_RETRY_AFTER), out);
            }
            ClaimAnswer::Unknown => {
                self.refuse(now, key, Refusal::retryable(ErrorKind::KeyUnknown, KEY_RETRY_AFTER), out);
            }
            ClaimAnswer::Lost => self.refuse(now, key, Refusal::new(ErrorKind::KeyUnknown), out),
            ClaimAnswer::Revision(theirs) => self.resolve_list_mismatch(now, key, from, theirs, out),
        }
    }

    fn claim_granted(&mut self, now: Instant, key: RequestKey, home: InstanceId, out: &mut Vec<Effect>) {
        self.grants.insert(self.requests.get(key).id, home);
        self.admit(now, key, out);
    }

    /// The home uses another list: whoever is behind catches up, and the claim is made again.
    fn resolve_list_mismatch(
        &mut self,
        now: Instant,
        key: RequestKey,
        home: InstanceId,
        theirs: u64,
        out: &mut Vec<Effect>,
    ) {
        let ours = self.members.revision();
        if theirs > ours {
            let message = self.fetch_message();
            // The claim is repeated by `reclaim` when the list has come.
            return self.deliver(now, home, message, out);
        }
        if theirs < ours
            && let Some(list) = self.members.list.clone()
        {
            self.deliver(now, home, Message::List(list), out);
        }
        self.send_claim(now, key, out);
    }

    /// Asks homes again that have not answered. A claim or its answer can be lost with a connection; asking again
    /// is harmless, because a home knows the request that it granted.
    pub(crate) fn resend_due_claims(&mut self, now: Instant, out: &mut Vec<Effect>) {
        if now >= self.next_reclaim {
            self.next_reclaim = now + RECLAIM_INTERVAL;
            self.resend_claims(now, out);
        }
    }

    /// Open claims go to the home by the list in use.
    pub(crate) fn resend_claims(&mut self, now: Instant, out: &mut Vec<Effect>) {
        let claiming = self.requests.iter().filter(|(_, r)| r.phase == Phase::Claiming);
        let keys: Vec<RequestKey> = claiming.map(|(key, _)| key).collect();
        for key in keys {
            self.send_claim(now, key, out);
        }
    }

    /// Tells a home that has granted a key to a request what became of that request, if it has ended.
    ///
    /// Claims are repeated and overtake one another, and word of a fate can be lost with a connection: a home may grant a
    /// request after it has ended, or forget that and grant it again. Unanswered, such a grant would keep the key "in use"
    /// for every retry of the caller. So each grant of a request that ended is answered, for as long as a claim can lie in
    /// the socket of a home that is frozen.
    fn resend_outcome(
        &mut self,
        now: Instant,
        home: InstanceId,
        key: IdempotencyKey,
        id: RequestId,
        out: &mut Vec<Effect>,
    ) {
        let Some(ended) = self.ended_claims.get(&id) else { return };
        let message = Message::Settle { key, request: id, outcome: ended.outcome.clone() };
        self.deliver(now, home, message, out);
    }

    /// Remembers the fate of a keyed request; the oldest is forgotten if there are too many.
    fn remember_outcome(&mut self, now: Instant, id: RequestId, outcome: ClaimOutcome) {
        self.ended_claims.insert(id, EndedClaim { at: now, outcome });
        while self.ended_claims.len() > ENDED_CLAIMS_MAX {
            self.ended_claims.pop_first();
        }
    }

    /// Forgets fates that no home can ask for any more.
    pub(crate) fn expire_ended_claims(&mut self, now: Instant) {
        self.ended_claims.retain(|_, ended| now.duration_since(ended.at) < ENDED_CLAIM_RETENTION);
    }

    /// Remembers a request that ended while it waited for a grant: it never ran.
    pub(crate) fn remember_unclaimed(&mut self, now: Instant, request: &Request) {
        if request.phase == Phase::Claiming {
            self.remember_outcome(now, request.id, ClaimOutcome::NotRun);
        }
    }

    /// Tells the home what became of a request that held a claim.
    pub(crate) fn settle_claim(
        &mut self,
        now: Instant,
        request: &Request,
        outcome: ClaimOutcome,
        out: &mut Vec<Effect>,
    ) {
        let Some(CallerKey { key, .. }) = request.key else {
            return;
        };
        let Some(home) = self.grants.remove(&request.id) else {
            return;
        };
        self.remember_outcome(now, request.id, outcome.clone());
        self.deliver(now, home, Message::Settle { key, request: request.id, outcome }, out);
    }
}
