//! At most once per idempotency key, without shared state.
//!
//! Every key has a home: the instance that rendezvous hashing picks from the published list. Whoever takes a
//! keyed request from a caller asks the home for a grant before anything is sent to an endpoint; a home
//! grants a key once. The safety argument, step by step:
//!
//! 1. Asker and home must use the same list revision, or the one behind catches up first. So at one revision
//!    a key has one home.
//! 2. When the list changes, a new home first asks every earlier home for its record of the key. An earlier
//!    home that answers has taken over the new list, by which it is no longer home, so it will not grant
//!    the key any more.
//! 3. An earlier home that does not answer (dead, frozen, cut off), or has been started again since the key
//!    can have been granted, may have granted it. The new home
//!    says "unknown" until the horizon, after which callers do not retry, has passed.
//! 4. Meanwhile the silent earlier home may be alive behind a cut. It may grant only while its tenure holds:
//!    it has read the list from the platform within [`GRANT_LEASE`], or every member answered at its very
//!    revision within [`GRANT_LEASE`]. A list that left it out is newer than what it could read, and a member that
//!    has moved on does not answer at the old revision. A frozen home that wakes finds its tenure lapsed.
//! 5. A home that has just started has lost the records of its former life, and knows of no list before its first. It asks
//!    the runner-up of the key, which would have been home without it and took over the records if the former life stopped
//!    as planned. No record is an answer only where the former life cannot have been home by the list in use, because the
//!    new one has seen a list that left it out.
//!    Lists that it has not seen, also after a cut, it learns by their homes: a member that has seen all of them names those
//!    of the key, and each of them is asked. Revisions rise by one, so that a list that was missed is noticed.
//!
//! 6. A key that tells when it was made (a UUID of version 7) needs no inquiry of an earlier home whose last
//!    possible grant lies before that. The last possible grant
//!    - of a home by a list that has been replaced lies [`GRANT_LEASE`] after the first use of a later list by anybody. Members
//!      tell one another for how long their list has been in use, so that a start learns the age of its first list;
//!    - of a former start of this instance lies before this start, where a list has named this instance at its own address:
//!      a process listens there for as long as it lives. Otherwise [`GRANT_LEASE`] after this start.
//!
//!    After a start or a change of the list only keys that were made earlier, or do not tell, meet an "unknown".
//!
//! 7. A key is good for the horizon. One that tells its age is refused as "unknown" once it is older: a request
//!    can lie in the socket of a frozen instance for any time and come up when everything about it is
//!    forgotten. For keys that do not tell, an instance that wakes answers "unknown" for a while.
//!
//! What remains open is stated in docs/AT-MOST-ONCE.md: an asker that is frozen between the check of its grant
//! and the write to the endpoint for longer than the horizon, and a list of which more than half the members
//! are replaced inside one cut.

use std::collections::{BTreeMap, HashMap};
use std::time::{Duration, Instant};

use crate::members::{Health, Members};
use crate::message::{ClaimAnswer, ClaimOutcome, KeyRecord, Message};
use crate::{IdempotencyKey, InstanceId, RequestId};

/// How long a reading of the list entitles a home to grant.
pub(crate) const GRANT_LEASE: Duration = Duration::from_secs(10);
/// How long a home waits for earlier homes before it answers "unknown".
const INQUIRY_TIMEOUT: Duration = Duration::from_millis(700);
/// Bytes of kept answers, over all keys; beyond it the oldest answers are dropped, never the records.
const STORED_RESPONSE_BYTES_MAX: usize = 32 << 20;
/// Records in one handover message.
const HANDOVER_RECORDS_MAX: usize = 256;

#[derive(Debug)]
struct Entry {
    record: KeyRecord,
    at: Instant,
}

/// A claim as it arrived.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Claim {
    /// Who asks; this instance itself for its own callers.
    pub(crate) from: InstanceId,
    pub(crate) request: RequestId,
    /// List revision of the asker.
    pub(crate) revision: u64,
    /// When the key was made, in milliseconds since the Unix epoch, if it tells.
    pub(crate) born: Option<u64>,
}

/// What an instance has to say for a key to be granted, unless it has a record of it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum RequiredEvidence {
    /// That it has not granted the key itself.
    OwnGrants,
    /// Besides, who was home by lists that were never in use here.
    OwnGrantsAndLists,
    /// Nothing that it could say is enough.
    RecordOnly,
}

/// A claim that waits for earlier homes.
#[derive(Debug)]
struct Inquiry {
    born: Option<u64>,
    claims: Vec<(InstanceId, RequestId)>,
    /// Instances still to answer.
    pending: BTreeMap<InstanceId, RequiredEvidence>,
    deadline: Instant,
    /// Whether one of them cannot tell, now or later.
    unanswerable: bool,
}

/// The last word of an instance that stopped.
#[derive(Debug, Clone, Copy)]
struct CompletedHandover {
    at: Instant,
    incarnation: u64,
}

/// What a home knows, and what it is finding out.
#[derive(Debug)]
pub(crate) struct Homes {
    me: InstanceId,
    started: Instant,
    /// The start in milliseconds since the Unix epoch.
    started_ms: u64,
    horizon: Duration,
    /// How far a caller's clock may be ahead.
    skew: Duration,
    entries: HashMap<IdempotencyKey, Entry>,
    by_age: std::collections::VecDeque<(Instant, IdempotencyKey)>,
    record_bytes: usize,
    inquiries: BTreeMap<IdempotencyKey, Inquiry>,
    /// Last time the list was read from the platform at the revision in use.
    list_read: Option<Instant>,
    /// Instances that handed all their records over before they stopped.
    handovers: HashMap<InstanceId, CompletedHandover>,
    /// Whether this instance has handed its records over, and grants nothing any more.
    handover_done: bool,
}

/// What an earlier home answered.
#[derive(Debug)]
pub(crate) struct InquiryReply {
    pub(crate) revision: u64,
    pub(crate) record: Option<KeyRecord>,
    pub(crate) own_grants_known: bool,
    pub(crate) lists_known: bool,
    pub(crate) homes: Vec<InstanceId>,
}

/// Messages to send and answers to give, in order.
#[derive(Debug, Default)]
pub(crate) struct Replies {
    pub(crate) messages: Vec<(InstanceId, Message)>,
}

impl Replies {
    fn answer(&mut self, to: InstanceId, key: IdempotencyKey, request: RequestId, answer: ClaimAnswer) {
        self.messages.push((to, Message::Claimed { key, request, answer }));
    }

    /// Answers a claim of a key that is on record.
    ///
    /// Word of how a grant ended can be lost. Where another request wants the key, its holder is reminded of the grant, gone
    /// or not; it says again what became of it, or nothing while it still runs.
    fn answer_from_record(
        &mut self,
        (to, key, request): (InstanceId, IdempotencyKey, RequestId),
        members: &Members,
        entry: &Entry,
    ) {
        let answer = entry.answer(members, request);
        if let KeyRecord::Granted(holder) = entry.record
            && holder != request
        {
            self.answer(holder.instance, key, holder, ClaimAnswer::Granted);
        }
        self.answer(to, key, request, answer);
    }
}

impl Homes {
    pub(crate) fn new(me: InstanceId, (started, started_ms): (Instant, u64), horizon: Duration) -> Self {
        Self {
            me,
            started,
            started_ms,
            horizon,
            skew: Duration::ZERO,
            entries: HashMap::new(),
            by_age: std::collections::VecDeque::new(),
            record_bytes: 0,
            inquiries: BTreeMap::new(),
            list_read: None,
            handovers: HashMap::new(),
            handover_done: false,
        }
    }

    pub(crate) fn set_policy(&mut self, horizon: Duration, skew: Duration) {
        self.horizon = horizon;
        self.skew = skew;
    }

    /// Keys on record.
    pub(crate) fn len(&self) -> usize {
        self.entries.len()
    }

    /// A new list came into use.
    ///
    /// An instance that is live in it may be a new process under an old name, with grants that the handover
    /// of the old one does not hold; forgetting the handover costs an "unknown" at most.
    pub(crate) fn list_changed(&mut self, members: &Members) {
        self.handovers.retain(|&id, _| members.get(id).is_none_or(|m| m.leaving));
        self.list_read = None;
        // What they ask for was found by the former list. Askers claim again by the new one.
        self.inquiries.clear();
    }

    /// The list was read from the platform and is the one in use.
    pub(crate) fn list_confirmed(&mut self, asked: Instant) {
        self.list_read = self.list_read.max(Some(asked));
    }

    /// Whether the list in use was read from the platform lately.
    pub(crate) fn list_is_fresh(&self, now: Instant) -> bool {
        self.list_read.is_some_and(|at| now.duration_since(at) < GRANT_LEASE)
    }

    /// Whether this instance may grant now; step 4 of the argument.
    fn holds_grant_lease(&self, now: Instant, members: &Members) -> bool {
        let since = now.checked_sub(GRANT_LEASE).unwrap_or(now);
        (self.list_is_fresh(now) && members.half_confirmed_list()) || members.all_confirmed_list(since)
    }

    pub(crate) fn claim(
        &mut self,
        now: Instant,
        members: &Members,
        key: IdempotencyKey,
        claim: Claim,
    ) -> Replies {
        let Claim { from, request, revision, born } = claim;
        let mut replies = Replies::default();
        if revision != members.revision() {
            replies.answer(from, key, request, ClaimAnswer::Revision(members.revision()));
            return replies;
        }
        if let Some(entry) = self.entries.get(&key) {
            replies.answer_from_record((from, key, request), members, entry);
            return replies;
        }
        if self.is_expired(now, born) {
            replies.answer(from, key, request, ClaimAnswer::Lost);
            return replies;
        }
        if members.home(key) != Some(self.me) || self.handover_done {
            replies.answer(from, key, request, ClaimAnswer::Unknown);
            return replies;
        }
        if let Some(inquiry) = self.inquiries.get_mut(&key) {
            inquiry.claims.push((from, request));
            return replies;
        }
        let Some(pending) = self.instances_to_ask(now, members, key, born) else {
            replies.answer(from, key, request, ClaimAnswer::Lost);
            return replies;
        };
        let inquiry = Inquiry {
            born,
            claims: vec![(from, request)],
            pending,
            deadline: now + INQUIRY_TIMEOUT,
            unanswerable: false,
        };
        for &home in inquiry.pending.keys() {
            replies.messages.push((home, Message::Inquire { key, revision, born }));
        }
        self.inquiries.insert(key, inquiry);
        self.finish_inquiry(now, members, key, &mut replies);
        replies
    }

    /// Instances that must be heard before the key may be granted; steps 2 and 5. None if nobody can tell.
    fn instances_to_ask(
        &self,
        now: Instant,
        members: &Members,
        key: IdempotencyKey,
        born: Option<u64>,
    ) -> Option<BTreeMap<InstanceId, RequiredEvidence>> {
        let mut pending = BTreeMap::new();
        for (home, replaced) in members.previous_homes(key) {
            if self.created_after(born, replaced, GRANT_LEASE) {
                continue;
            }
            if home != self.me && !self.handed_over(members, home) {
                pending.insert(home, RequiredEvidence::OwnGrants);
            }
        }
        if !self.lists_known(now, members, born) {
            pending.insert(members.witness(key)?, RequiredEvidence::OwnGrantsAndLists);
        }
        if !self.own_grants_known(now, members, born) {
            let evidence = if members.was_unlisted() {
                RequiredEvidence::OwnGrantsAndLists
            } else {
                RequiredEvidence::RecordOnly
            };
            pending.insert(members.runner_up(key)?, evidence);
        }
        Some(pending)
    }

    /// Whether no former start of this instance can have granted a key.
    fn own_grants_known(&self, now: Instant, members: &Members, born: Option<u64>) -> bool {
        let margin = if members.listed_at_own_address() { Duration::ZERO } else { GRANT_LEASE };
        now.duration_since(self.started) >= self.retention() || self.created_after(born, self.started, margin)
    }

    /// Whether no list that was never in use here can have made an instance the home of a key.
    fn lists_known(&self, now: Instant, members: &Members, born: Option<u64>) -> bool {
        members.lists_known_since().is_some_and(|since| {
            now.duration_since(since) >= self.retention() || self.created_after(born, since, GRANT_LEASE)
        })
    }

    /// Whether an instance has handed over all that it granted. A later start of it may have granted since.
    fn handed_over(&self, members: &Members, home: InstanceId) -> bool {
        self.handovers.get(&home).is_some_and(|handed| members.latest_incarnation(home) <= handed.incarnation)
    }

    /// Whether a key is older than anything that is remembered about keys.
    fn is_expired(&self, now: Instant, born: Option<u64>) -> bool {
        let age = |born| self.unix_ms(now).saturating_sub(born);
        born.is_some_and(|born| age(born) > self.horizon.as_millis() as u64)
    }

    /// Milliseconds since the Unix epoch, by the clock at the start and the monotonic time from there.
    fn unix_ms(&self, at: Instant) -> u64 {
        let before = self.started.duration_since(at).as_millis() as u64;
        self.started_ms.saturating_sub(before) + at.duration_since(self.started).as_millis() as u64
    }

    /// How long records and former lists are kept: a caller's clock may be ahead and its key look younger.
    pub(crate) fn retention(&self) -> Duration {
        self.horizon + self.skew + GRANT_LEASE
    }

    /// Whether a key was made later than `margin` after a moment. The caller's clock may be ahead.
    fn created_after(&self, born: Option<u64>, at: Instant, margin: Duration) -> bool {
        let margin = (margin + self.skew).as_millis() as u64;
        born.is_some_and(|born| born > self.unix_ms(at) + margin)
    }

    /// Ends an inquiry that has all its answers, or no time left.
    fn finish_inquiry(
        &mut self,
        now: Instant,
        members: &Members,
        key: IdempotencyKey,
        replies: &mut Replies,
    ) {
        let Some(inquiry) = self.inquiries.get(&key) else {
            return;
        };
        // The tenure is checked last, at the moment of the grant: an inquiry takes time.
        let holds_grant_lease = self.holds_grant_lease(now, members);
        let all_answered = inquiry.pending.is_empty();
        if !(all_answered && holds_grant_lease) && now < inquiry.deadline {
            return;
        }
        let grant = all_answered && holds_grant_lease && members.home(key) == Some(self.me);
        let refusal = if inquiry.unanswerable { ClaimAnswer::Lost } else { ClaimAnswer::Unknown };
        let claims = self.inquiries.remove(&key).map_or(Vec::new(), |i| i.claims);
        for (from, request) in claims {
            if let Some(entry) = self.entries.get(&key) {
                replies.answer_from_record((from, key, request), members, entry);
                continue;
            }
            let answer = if grant {
                self.insert_record(now, key, KeyRecord::Granted(request));
                ClaimAnswer::Granted
            } else {
                refusal.clone()
            };
            replies.answer(from, key, request, answer);
        }
    }

    fn insert_record(&mut self, now: Instant, key: IdempotencyKey, record: KeyRecord) {
        self.record_bytes += record_bytes(&record);
        if let Some(old) = self.entries.insert(key, Entry { record, at: now }) {
            self.record_bytes -= record_bytes(&old.record);
        }
        self.by_age.push_back((now, key));
    }

    /// What became of a grant.
    pub(crate) fn settle(
        &mut self,
        now: Instant,
        key: IdempotencyKey,
        request: RequestId,
        outcome: ClaimOutcome,
    ) {
        let held = self.entries.get(&key).is_some_and(|e| e.record == KeyRecord::Granted(request));
        if !held {
            return;
        }
        match outcome {
            ClaimOutcome::NotRun => {
                let entry = self.entries.remove(&key);
                self.record_bytes -= entry.map_or(0, |e| record_bytes(&e.record));
            }
            ClaimOutcome::Ran(stored) => self.insert_record(now, key, KeyRecord::Ran(stored)),
            ClaimOutcome::Unknown => self.insert_record(now, key, KeyRecord::Unknown),
        }
    }

    /// A later home asks for a record.
    pub(crate) fn answer_inquiry(
        &mut self,
        now: Instant,
        members: &Members,
        key: IdempotencyKey,
        (revision, born): (u64, Option<u64>),
    ) -> Message {
        let ours = members.revision();
        if ours == revision && members.home(key) == Some(self.me) {
            // Two lists under one revision: the platform broke its word. Neither side may grant.
            self.insert_record(now, key, KeyRecord::Unknown);
        }
        // Claims that waited here were dropped with the former list, so that none ends in a grant after this answer.
        let own_grants_known = self.own_grants_known(now, members, born);
        let lists_known = self.lists_known(now, members, born);
        let former = members.previous_homes(key).into_iter();
        let may_have = former.filter(|&(_, replaced)| !self.created_after(born, replaced, GRANT_LEASE));
        let others = may_have.map(|(home, _)| home).filter(|&home| home != self.me);
        let homes = others.filter(|&home| !self.handed_over(members, home)).collect();
        let record = self.entries.get(&key).map(|e| e.record.clone());
        Message::Inquired { key, revision: ours, record, own_grants_known, lists_known, homes }
    }

    /// An earlier home answered.
    pub(crate) fn inquiry_answered(
        &mut self,
        now: Instant,
        members: &Members,
        from: InstanceId,
        key: IdempotencyKey,
        reply: InquiryReply,
    ) -> Replies {
        let InquiryReply { revision, record, own_grants_known, lists_known, homes } = reply;
        let mut replies = Replies::default();
        let Some(inquiry) = self.inquiries.get(&key) else {
            return replies;
        };
        let (born, Some(&evidence)) = (inquiry.born, inquiry.pending.get(&from)) else {
            return replies;
        };
        if revision < members.revision() {
            // It still acts on an older list and could grant: let it catch up, then ask again.
            if let Some(list) = &members.list {
                replies.messages.push((from, Message::List(list.clone())));
            }
            let again = Message::Inquire { key, revision: members.revision(), born };
            replies.messages.push((from, again));
            return replies;
        }
        let was_home = homes.contains(&self.me) && !self.own_grants_known(now, members, born);
        let sufficient = match evidence {
            RequiredEvidence::OwnGrants => own_grants_known,
            RequiredEvidence::OwnGrantsAndLists => own_grants_known && lists_known && !was_home,
            RequiredEvidence::RecordOnly => false,
        };
        let mut others: Vec<InstanceId> = Vec::new();
        if evidence == RequiredEvidence::OwnGrantsAndLists && sufficient {
            others.extend(homes.iter().filter(|&&h| h != self.me && !self.handed_over(members, h)));
        }
        let Some(inquiry) = self.inquiries.get_mut(&key) else {
            return replies;
        };
        if record.is_some() || sufficient {
            inquiry.pending.remove(&from);
        } else {
            // Nobody can tell, now or later within the horizon: the caller hears it at once.
            inquiry.deadline = now;
            inquiry.unanswerable = true;
        }
        for home in others {
            inquiry.pending.entry(home).or_insert(RequiredEvidence::OwnGrants);
            replies.messages.push((home, Message::Inquire { key, revision: members.revision(), born }));
        }
        if let Some(record) = record {
            self.insert_record(now, key, record);
            if let Some(inquiry) = self.inquiries.get_mut(&key) {
                inquiry.deadline = now;
            }
        }
        self.finish_inquiry(now, members, key, &mut replies);
        replies
    }

    /// Time passed, or the membership changed.
    pub(crate) fn tick(&mut self, now: Instant, members: &Members) -> Replies {
        let mut replies = Replies::default();
        let keys: Vec<IdempotencyKey> = self.inquiries.keys().copied().collect();
        for key in keys {
            self.finish_inquiry(now, members, key, &mut replies);
        }
        self.expire_records(now);
        replies
    }

    /// Whether a claim waits for the tenure, so that members should be asked for their revision.
    pub(crate) fn needs_list_confirmation(&self, now: Instant, members: &Members) -> bool {
        !self.inquiries.is_empty() && !self.holds_grant_lease(now, members)
    }

    fn expire_records(&mut self, now: Instant) {
        while let Some(&(at, key)) = self.by_age.front() {
            let expired = now.duration_since(at) > self.retention();
            if !expired && self.record_bytes <= STORED_RESPONSE_BYTES_MAX {
                break;
            }
            self.by_age.pop_front();
            let Some(entry) = self.entries.get_mut(&key).filter(|e| e.at == at) else {
                continue;
            };
            self.record_bytes -= record_bytes(&entry.record);
            if expired {
                self.entries.remove(&key);
                continue;
            }
            // Too many bytes: the answer goes, the record that it ran stays.
            if let KeyRecord::Ran(stored) = &mut entry.record {
                *stored = None;
            }
            self.record_bytes += record_bytes(&entry.record);
            let late = at + self.horizon;
            entry.at = late;
            self.by_age.push_back((late, key));
        }
        let retention = self.retention();
        self.handovers.retain(|_, handed| now.duration_since(handed.at) < retention);
    }

    /// Records for the homes that follow this instance when it stops.
    pub(crate) fn handover_messages(&mut self, members: &Members) -> Vec<(InstanceId, Message)> {
        let incarnation = self.started_ms;
        self.handover_done = true;
        let mut parts: BTreeMap<InstanceId, Vec<(IdempotencyKey, KeyRecord)>> = BTreeMap::new();
        for (id, _) in members.iter().filter(|(_, m)| !m.leaving) {
            parts.insert(id, Vec::new());
        }
        // In the order of the keys, so that the same state gives the same messages.
        let mut keys: Vec<IdempotencyKey> = self.entries.keys().copied().collect();
        keys.sort_unstable();
        for key in keys {
            let Some(home) = members.runner_up(key) else {
                continue;
            };
            parts.entry(home).or_default().push((key, self.entries[&key].record.clone()));
        }
        let mut messages = Vec::new();
        for (home, records) in parts {
            let mut chunks: Vec<Vec<(IdempotencyKey, KeyRecord)>> =
                records.chunks(HANDOVER_RECORDS_MAX).map(<[_]>::to_vec).collect();
            let final_chunk = chunks.pop().unwrap_or_default();
            let part = |records, last| (home, Message::Handover { incarnation, records, last });
            messages.extend(chunks.into_iter().map(|records| part(records, false)));
            messages.push(part(final_chunk, true));
        }
        messages
    }

    /// Takes over the records of an instance that stops.
    pub(crate) fn accept_handover(
        &mut self,
        now: Instant,
        (from, incarnation): (InstanceId, u64),
        records: Vec<(IdempotencyKey, KeyRecord)>,
        last: bool,
    ) {
        for (key, record) in records {
            // A grant that its holder has not settled by now never will be: the record stays a grant, and
            // `Entry::answer` turns it to unknown once the holder is gone.
            if !self.entries.contains_key(&key) {
                self.insert_record(now, key, record);
            }
        }
        if last {
            self.handovers.insert(from, CompletedHandover { at: now, incarnation });
        }
    }
}

impl Entry {
    /// What a claim of the key hears.
    ///
    /// A holder that seems gone may only be silent, as a busy machine makes any instance for a moment. The grant therefore
    /// stays on record: were it replaced by "unknown", the word of the holder that comes a moment later would be passed
    /// over, and every retry of the caller would hear "unknown" of a booking that ran.
    fn answer(&self, members: &Members, requester: RequestId) -> ClaimAnswer {
        match &self.record {
            // The same request asks again because the first answer was lost on the way.
            KeyRecord::Granted(holder) if *holder == requester => ClaimAnswer::Granted,
            KeyRecord::Granted(holder) if holder_ended(members, *holder) => ClaimAnswer::Unknown,
            KeyRecord::Granted(_) => ClaimAnswer::InUse,
            KeyRecord::Ran(stored) => ClaimAnswer::Ran(stored.clone()),
            KeyRecord::Unknown => ClaimAnswer::Lost,
        }
    }
}

/// Whether the process that holds a grant has ended, so that nobody will settle it.
fn holder_ended(members: &Members, holder: RequestId) -> bool {
    members
        .get(holder.instance)
        .is_some_and(|m| m.incarnation > holder.incarnation || matches!(m.health, Health::Dead(_)))
}

fn record_bytes(record: &KeyRecord) -> usize {
    match record {
        KeyRecord::Ran(Some(stored)) => stored.body.len() + stored.content_type.len() + 64,
        KeyRecord::Ran(None) | KeyRecord::Granted(_) | KeyRecord::Unknown => 64,
    }
}
