//! Claims for idempotency keys, at the instance that received the request from its caller.
//!
//! No request with a key is sent to an endpoint before the key's home has granted the key. If the home does
//! not answer, the request is refused with the outcome "unknown" and not "not run", because an earlier
//! request with the key may have run through another instance.

use std::time::{Duration, Instant};

use crate::error::{ErrorKind, Refusal};
use crate::event::Effect;
use crate::ids::RequestKey;
use crate::instance::Instance;
use crate::message::{ClaimAnswer, ClaimOutcome, Message};
use crate::requests::{Phase, Request};
use crate::{CallerKey, IdempotencyKey, InstanceId, RequestId, Ticket};

/// Time that the home has to answer a claim, its inquiries of other instances included.
const CLAIM_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Within this time after a freeze, requests are read that arrived during the freeze.
const POST_FREEZE_WINDOW: Duration = Duration::from_secs(5);
/// Time between two rounds in which open claims are sent again.
const RECLAIM_INTERVAL: Duration = Duration::from_millis(250);
/// `Retry-After` delay for a key that is in use or whose outcome is not known now.
const KEY_RETRY_AFTER: Duration = Duration::from_secs(2);

/// How long the outcome of a request with a key is kept. A connection between instances, with all data in its
/// buffers, ends sooner.
const ENDED_CLAIM_RETENTION: Duration = Duration::from_mins(1);
/// Maximum number of outcomes that are kept. With responses of
/// [`StoredResponse::MAX_BODY_BYTES`](crate::StoredResponse::MAX_BODY_BYTES) bytes each, they take 16 MB.
const ENDED_CLAIMS_MAX: usize = 1024;

/// A request with a key that has ended.
#[derive(Debug)]
pub(crate) struct EndedClaim {
    at: Instant,
    outcome: ClaimOutcome,
}

impl Instance {
    pub(crate) fn claim(&mut self, now: Instant, key: RequestKey, out: &mut Vec<Effect>) {
        let has_creation_time = self.requests.get(key).caller_key.is_some_and(|k| k.born.is_some());
        let recently_frozen = self.freeze_ended.is_some_and(|at| now.duration_since(at) < POST_FREEZE_WINDOW);
        if recently_frozen && !has_creation_time {
            // The request may have waited in the socket for longer than homes keep records, so that a grant
            // could be the second one for the key.
            return self.refuse(now, key, Refusal::retryable(ErrorKind::KeyUnknown, KEY_RETRY_AFTER), out);
        }
        self.requests.get_mut(key).phase = Phase::Claiming;
        self.requests.set_due(key, now + CLAIM_TIMEOUT);
        self.send_claim(now, key, out);
    }

    fn send_claim(&mut self, now: Instant, key: RequestKey, out: &mut Vec<Effect>) {
        let request = self.requests.get(key);
        let Some(CallerKey { key: idempotency, born }) = request.caller_key else {
            return;
        };
        let id = request.id;
        let Some(home) = self.members.home(idempotency) else {
            return;
        };
        let revision = self.members.revision();
        self.deliver(now, home, Message::Claim { key: idempotency, request: id, revision, born }, out);
    }

    /// Processes the home's answer to a claim.
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
            ClaimAnswer::Full { retry_ms } => {
                let delay = Duration::from_millis(retry_ms).max(KEY_RETRY_AFTER);
                self.refuse(now, key, Refusal::retryable(ErrorKind::KeyLimit, delay), out);
            }
            ClaimAnswer::Revision(theirs) => self.resolve_list_mismatch(now, key, from, theirs, out),
        }
    }

    fn claim_granted(&mut self, now: Instant, key: RequestKey, home: InstanceId, out: &mut Vec<Effect>) {
        self.grants.insert(self.requests.get(key).id, home);
        self.admit(now, key, out);
    }

    /// Handles a claim that the home answered at another list revision: the instance that is behind receives
    /// the newer list, and the claim is repeated.
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
            // When the list has arrived, `resend_claims` repeats the claim.
            return self.deliver(now, home, message, out);
        }
        if theirs < ours
            && let Some(list) = self.members.list.clone()
        {
            self.deliver(now, home, Message::List(list), out);
        }
        self.send_claim(now, key, out);
    }

    /// Repeats claims that have no answer yet. A claim or its answer can be lost with a connection. Repeating
    /// a claim is harmless, because a home recognizes the request that it granted the key to.
    pub(crate) fn resend_due_claims(&mut self, now: Instant, out: &mut Vec<Effect>) {
        if now >= self.next_reclaim {
            self.next_reclaim = now + RECLAIM_INTERVAL;
            self.resend_claims(now, out);
        }
    }

    /// Sends all open claims to the homes by the current list.
    pub(crate) fn resend_claims(&mut self, now: Instant, out: &mut Vec<Effect>) {
        let claiming = self.requests.iter().filter(|(_, r)| r.phase == Phase::Claiming);
        let keys: Vec<RequestKey> = claiming.map(|(key, _)| key).collect();
        for key in keys {
            self.send_claim(now, key, out);
        }
    }

    /// Tells a home the outcome of a request that it granted a key to, if the request has ended.
    ///
    /// Claims are repeated and reordered, and the message with an outcome can be lost with its connection. A
    /// home may therefore grant a key to a request that has ended, or release that grant and grant the key to
    /// the same request again. Without a reply, such a grant would keep the key "in use" for every retry of
    /// the caller. Each grant to a request that has ended is therefore answered, for as long as a claim can
    /// stay in the socket of a frozen home.
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

    /// Keeps the outcome of a request with a key. The oldest outcomes are removed if there are too many.
    fn remember_outcome(&mut self, now: Instant, id: RequestId, outcome: ClaimOutcome) {
        self.ended_claims.insert(id, EndedClaim { at: now, outcome });
        while self.ended_claims.len() > ENDED_CLAIMS_MAX {
            self.ended_claims.pop_first();
        }
    }

    /// Removes outcomes that no home can ask for any more.
    pub(crate) fn expire_ended_claims(&mut self, now: Instant) {
        self.ended_claims.retain(|_, ended| now.duration_since(ended.at) < ENDED_CLAIM_RETENTION);
    }

    /// Keeps the outcome of a request that ended while it waited for a grant: the request never ran.
    pub(crate) fn remember_unclaimed(&mut self, now: Instant, request: &Request) {
        if request.phase == Phase::Claiming {
            self.remember_outcome(now, request.id, ClaimOutcome::NotRun);
        }
    }

    /// Tells the home the outcome of a request that held a grant.
    pub(crate) fn settle_claim(
        &mut self,
        now: Instant,
        request: &Request,
        outcome: ClaimOutcome,
        out: &mut Vec<Effect>,
    ) {
        let Some(CallerKey { key, .. }) = request.caller_key else {
            return;
        };
        let Some(home) = self.grants.remove(&request.id) else {
            return;
        };
        self.remember_outcome(now, request.id, outcome.clone());
        self.deliver(now, home, Message::Settle { key, request: request.id, outcome }, out);
    }
}
