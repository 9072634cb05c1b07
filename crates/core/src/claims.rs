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
const CLAIM: Duration = Duration::from_millis(1_500);
/// After a freeze, requests that came meanwhile are read within this time.
const STUPOR: Duration = Duration::from_secs(5);
/// Time between two rounds that ask silent homes again.
const RECLAIM: Duration = Duration::from_millis(250);
/// When to try a key again that cannot be told about or is in use.
const KEY_RETRY: Duration = Duration::from_secs(2);

/// How long the fate of a keyed request is remembered here: a connection between instances, and what lies in it, ends sooner.
const ENDED: Duration = Duration::from_mins(1);
/// Most fates that are remembered, with answers of [`StoredResponse::MAX_BODY_BYTES`](crate::StoredResponse::MAX_BODY_BYTES) bytes each: 16 MB.
const ENDED_MAX: usize = 1024;

/// A keyed request that has ended.
#[derive(Debug)]
pub(crate) struct Ended {
    at: Instant,
    outcome: ClaimOutcome,
}

impl Instance {
    pub(crate) fn claim(&mut self, now: Instant, key: RequestKey, out: &mut Vec<Effect>) {
        let tells = self.requests.get(key).key.is_some_and(|k| k.born.is_some());
        let woke = self.woke.is_some_and(|at| now.duration_since(at) < STUPOR);
        if woke && !tells {
            // It may have lain here for longer than any home remembers keys, and a grant could be a second one.
            return self.refuse(now, key, Refusal::retryable(ErrorKind::KeyUnknown, KEY_RETRY), out);
        }
        self.requests.get_mut(key).phase = Phase::Claiming;
        self.requests.set_due(key, now + CLAIM);
        self.ask_home(now, key, out);
    }

    fn ask_home(&mut self, now: Instant, key: RequestKey, out: &mut Vec<Effect>) {
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
    pub(crate) fn claimed(
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
                self.tell_fate(now, from, idempotency, id, out);
            }
            return;
        };
        match answer {
            ClaimAnswer::Granted => self.granted(now, key, from, out),
            ClaimAnswer::Ran(Some(stored)) => {
                let request = self.close(now, key);
                self.counters.replayed += 1;
                out.push(Effect::Replay { ticket: request.ticket, stored });
            }
            ClaimAnswer::Ran(None) => self.refuse(now, key, Refusal::new(ErrorKind::KeyUsed), out),
            ClaimAnswer::InUse => {
                self.refuse(now, key, Refusal::retryable(ErrorKind::KeyInUse, KEY_RETRY), out);
            }
            ClaimAnswer::Unknown => {
                self.refuse(now, key, Refusal::retryable(ErrorKind::KeyUnknown, KEY_RETRY), out);
            }
            ClaimAnswer::Lost => self.refuse(now, key, Refusal::new(ErrorKind::KeyUnknown), out),
            ClaimAnswer::Revision(theirs) => self.other_list(now, key, from, theirs, out),
        }
    }

    fn granted(&mut self, now: Instant, key: RequestKey, home: InstanceId, out: &mut Vec<Effect>) {
        self.grants.insert(self.requests.get(key).id, home);
        self.admit(now, key, out);
    }

    /// The home uses another list: whoever is behind catches up, and the claim is made again.
    fn other_list(
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
        self.ask_home(now, key, out);
    }

    /// Asks homes again that have not answered. A claim or its answer can be lost with a connection; asking again
    /// is harmless, because a home knows the request that it granted.
    pub(crate) fn review_claims(&mut self, now: Instant, out: &mut Vec<Effect>) {
        if now >= self.next_reclaim {
            self.next_reclaim = now + RECLAIM;
            self.reclaim(now, out);
        }
    }

    /// Open claims go to the home by the list in use.
    pub(crate) fn reclaim(&mut self, now: Instant, out: &mut Vec<Effect>) {
        let claiming = self.requests.iter().filter(|(_, r)| r.phase == Phase::Claiming);
        let keys: Vec<RequestKey> = claiming.map(|(key, _)| key).collect();
        for key in keys {
            self.ask_home(now, key, out);
        }
    }

    /// Tells a home that has granted a key to a request what became of that request, if it has ended.
    ///
    /// Claims are repeated and overtake one another, and word of a fate can be lost with a connection: a home may grant a
    /// request after it has ended, or forget that and grant it again. Unanswered, such a grant would keep the key "in use"
    /// for every retry of the caller. So each grant of a request that ended is answered, for as long as a claim can lie in
    /// the socket of a home that is frozen.
    fn tell_fate(
        &mut self,
        now: Instant,
        home: InstanceId,
        key: IdempotencyKey,
        id: RequestId,
        out: &mut Vec<Effect>,
    ) {
        let Some(ended) = self.ended.get(&id) else { return };
        let message = Message::Settle { key, request: id, outcome: ended.outcome.clone() };
        self.deliver(now, home, message, out);
    }

    /// Remembers the fate of a keyed request; the oldest is forgotten if there are too many.
    fn remember(&mut self, now: Instant, id: RequestId, outcome: ClaimOutcome) {
        self.ended.insert(id, Ended { at: now, outcome });
        while self.ended.len() > ENDED_MAX {
            self.ended.pop_first();
        }
    }

    /// Forgets fates that no home can ask for any more.
    pub(crate) fn forget_ended(&mut self, now: Instant) {
        self.ended.retain(|_, ended| now.duration_since(ended.at) < ENDED);
    }

    /// Remembers a request that ended while it waited for a grant: it never ran.
    pub(crate) fn forgo(&mut self, now: Instant, request: &Request) {
        if request.phase == Phase::Claiming {
            self.remember(now, request.id, ClaimOutcome::NotRun);
        }
    }

    /// Tells the home what became of a request that held a claim.
    pub(crate) fn settle(
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
        self.remember(now, request.id, outcome.clone());
        self.deliver(now, home, Message::Settle { key, request: request.id, outcome }, out);
    }
}
