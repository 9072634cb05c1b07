//! Grants each idempotency key to at most one request, without shared state.
//!
//! Every key has a home instance, which rendezvous hashing selects from the instance list that the platform
//! publishes. An instance that receives a request with a key asks the home for a grant before it sends
//! anything to an endpoint. A home grants a key once. The safety argument:
//!
//! 1. The requesting instance and the home must use the same list revision; the one that is behind catches up
//!    first. At one revision a key therefore has one home.
//! 2. After a change of the list, a new home first asks every previous home for its record of the key. A
//!    previous home that answers uses the new list, by which it is not the home, and does not grant the key
//!    any more.
//! 3. A previous home may have granted the key if it does not answer (crashed, frozen or partitioned), or if
//!    it has restarted since the key may have been granted. The new home then answers "unknown" until the
//!    horizon has passed; callers do not retry after the horizon.
//! 4. Meanwhile a previous home that does not answer may still run behind a network partition. It grants keys
//!    only while it holds the grant lease: either it has read its list from the platform within
//!    [`GRANT_LEASE`] and at least half of the other members use that list or a later one, or every other
//!    member has answered at exactly its revision within [`GRANT_LEASE`]. A list without this home is newer
//!    than any list that the home could read, and a member that uses a newer list does not answer at the old
//!    revision. The grant lease of a frozen home has expired when the home resumes running.
//! 5. A home that has just started has lost the records of its previous incarnation and knows no list before
//!    its first one. It asks the runner-up of the key, which would be the home without this instance and
//!    which took over the records if the previous incarnation shut down gracefully. A missing record is proof
//!    only if the previous incarnation cannot have been the home by the current list, because this
//!    incarnation has seen a list without itself. The home learns about lists that it has not seen, after a
//!    start or a network partition, from their homes: a member that has seen all of these lists names the
//!    homes of the key, and each of them is asked. Revisions rise by one, so that a missed list is noticed.
//!
//! 6. A key with a creation time (a UUID of version 7) needs no inquiry of a previous home whose last
//!    possible grant precedes that time. The last possible grant
//!    - of a home by a replaced list is [`GRANT_LEASE`] after the first use of a later list by any member.
//!      Members tell one another for how long their list has been in use, so that a new process learns the
//!      age of its first list;
//!    - of a previous incarnation of this instance precedes this start if a list has named this instance at
//!      its own address, because no other process can listen there while this one runs. Otherwise it is at
//!      most [`GRANT_LEASE`] after this start.
//!
//!    After a start or a change of the list, only keys that were created earlier, or that have no creation
//!    time, are answered with "unknown".
//!
//! 7. A key is valid for the horizon. A key with a creation time is refused as "unknown" once it is older
//!    than that: a request can stay in the socket of a frozen instance for any time and be read when every
//!    record of the key has been removed. For keys without a creation time, an instance that was frozen
//!    answers "unknown" for a while after it resumes running.
//!
//! docs/AT-MOST-ONCE.md states the remaining gaps: an instance that is frozen for longer than the horizon
//! between the check of its grant and the write to the endpoint, and a list of which more than half of the
//! members are replaced during one network partition.

mod records;

use std::collections::{BTreeMap, HashMap};
use std::time::{Duration, Instant};

use self::records::{Entry, Records};
use crate::members::{Health, Members};
use crate::message::{ClaimAnswer, ClaimOutcome, KeyRecord, Message};
use crate::{IdempotencyKey, InstanceId, RequestId};

/// How long a read of the list entitles a home to grant keys.
pub(crate) const GRANT_LEASE: Duration = Duration::from_secs(10);
/// How long a home waits for other instances before it answers "unknown".
const INQUIRY_TIMEOUT: Duration = Duration::from_millis(700);
/// Records in one handover message.
const HANDOVER_RECORDS_MAX: usize = 256;

/// A received claim.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Claim {
    /// Requesting instance; this instance itself for its own callers.
    pub(crate) from: InstanceId,
    pub(crate) request: RequestId,
    /// List revision of the requesting instance.
    pub(crate) revision: u64,
    /// Creation time of the key in milliseconds since the Unix epoch, if the key carries it.
    pub(crate) born: Option<u64>,
}

/// What the reply of an instance without a record of the key must prove before the key is granted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum RequiredEvidence {
    /// The instance itself has not granted the key.
    OwnGrants,
    /// In addition, the instance knows the homes of the key by all lists that were never in use here.
    OwnGrantsAndLists,
    /// No proof is possible: only a record of the key settles the inquiry.
    RecordOnly,
}

/// Claims of one key that wait for the replies of other instances.
#[derive(Debug)]
struct Inquiry {
    born: Option<u64>,
    claims: Vec<(InstanceId, RequestId)>,
    /// Instances that have not replied yet.
    pending: BTreeMap<InstanceId, RequiredEvidence>,
    deadline: Instant,
    /// Whether a replying instance can never prove what is required.
    unanswerable: bool,
}

/// A handover that an instance completed before it shut down.
#[derive(Debug, Clone, Copy)]
struct CompletedHandover {
    at: Instant,
    incarnation: u64,
}

/// Records of the keys that this instance is or was the home of, and pending inquiries.
#[derive(Debug)]
pub(crate) struct Homes {
    me: InstanceId,
    started: Instant,
    /// Start of the process in milliseconds since the Unix epoch.
    started_ms: u64,
    horizon: Duration,
    /// How far a caller's clock may be ahead.
    skew: Duration,
    records: Records,
    inquiries: BTreeMap<IdempotencyKey, Inquiry>,
    /// Start of the last read from the platform that returned the current revision.
    list_read: Option<Instant>,
    /// Instances that handed over all of their records before they shut down.
    handovers: HashMap<InstanceId, CompletedHandover>,
    /// Whether this instance has handed over its records; it grants no key afterwards.
    handover_done: bool,
}

/// Reply to an inquiry.
#[derive(Debug)]
pub(crate) struct InquiryReply {
    pub(crate) revision: u64,
    pub(crate) record: Option<KeyRecord>,
    pub(crate) own_grants_known: bool,
    pub(crate) lists_known: bool,
    pub(crate) homes: Vec<InstanceId>,
}

/// Messages to send, in order.
#[derive(Debug, Default)]
pub(crate) struct Replies {
    pub(crate) messages: Vec<(InstanceId, Message)>,
}

impl Replies {
    fn answer(&mut self, to: InstanceId, key: IdempotencyKey, request: RequestId, answer: ClaimAnswer) {
        self.messages.push((to, Message::Claimed { key, request, answer }));
    }

    /// Answers a claim of a key that has a record.
    ///
    /// The message that settles a grant can be lost. When another request claims the key, the holder is
    /// therefore sent its grant again, even if it is considered dead. The holder then repeats the outcome of
    /// its request, or does not reply while the request still runs.
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
            records: Records::default(),
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

    /// Number of keys with a record.
    pub(crate) fn len(&self) -> usize {
        self.records.len()
    }

    /// Discards what was learned under the previous list.
    ///
    /// A listed instance that is not leaving may be a new process under an old name, whose grants are missing
    /// in the handover of the old process. A handover that is discarded needlessly costs at most an
    /// "unknown".
    pub(crate) fn list_changed(&mut self, members: &Members) {
        self.handovers.retain(|&id, _| members.get(id).is_none_or(|m| m.leaving));
        self.list_read = None;
        // The inquiries were addressed according to the previous list. Requesting instances repeat their
        // claims at the new revision.
        self.inquiries.clear();
    }

    /// The platform returned the current list; `read_started` is when that read was started.
    pub(crate) fn list_confirmed(&mut self, read_started: Instant) {
        self.list_read = self.list_read.max(Some(read_started));
    }

    /// Whether the current list was read from the platform within [`GRANT_LEASE`].
    pub(crate) fn list_is_fresh(&self, now: Instant) -> bool {
        self.list_read.is_some_and(|at| now.duration_since(at) < GRANT_LEASE)
    }

    /// Whether this instance may grant keys now; see step 4 of the module documentation.
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
        if let Some(entry) = self.records.get(key) {
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
        if let Some(wait) = self.records.full_for(now, self.retention()) {
            replies.answer(from, key, request, ClaimAnswer::Full { retry_ms: wait.as_millis() as u64 });
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

    /// Instances that must reply before the key may be granted, by steps 2 and 5 of the module documentation.
    /// `None` if no instance can provide the proof.
    fn instances_to_ask(
        &self,
        now: Instant,
        members: &Members,
        key: IdempotencyKey,
        born: Option<u64>,
    ) -> Option<BTreeMap<InstanceId, RequiredEvidence>> {
        let mut pending = BTreeMap::new();
        for (home, replaced_at) in members.previous_homes(key) {
            if self.created_after(born, replaced_at, GRANT_LEASE) {
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

    /// Whether no previous incarnation of this instance can have granted a key.
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

    /// Whether an instance has handed over all of its grants. A later incarnation of the instance may have
    /// granted keys since.
    fn handed_over(&self, members: &Members, home: InstanceId) -> bool {
        self.handovers
            .get(&home)
            .is_some_and(|handover| members.latest_incarnation(home) <= handover.incarnation)
    }

    /// Whether a key is older than the horizon, beyond which records are not kept.
    fn is_expired(&self, now: Instant, born: Option<u64>) -> bool {
        let age = |born| self.unix_ms(now).saturating_sub(born);
        born.is_some_and(|born| age(born) > self.horizon.as_millis() as u64)
    }

    /// Milliseconds since the Unix epoch, from the wall clock at the start and the monotonic clock since
    /// then.
    fn unix_ms(&self, at: Instant) -> u64 {
        let before = self.started.duration_since(at).as_millis() as u64;
        self.started_ms.saturating_sub(before) + at.duration_since(self.started).as_millis() as u64
    }

    /// How long records and previous lists are kept. The caller's clock may be ahead, so that a key may
    /// appear younger than it is.
    pub(crate) fn retention(&self) -> Duration {
        self.horizon + self.skew + GRANT_LEASE
    }

    /// Whether a key was created more than `margin` after `at`, allowing for a caller's clock that is ahead.
    fn created_after(&self, born: Option<u64>, at: Instant, margin: Duration) -> bool {
        let margin = (margin + self.skew).as_millis() as u64;
        born.is_some_and(|born| born > self.unix_ms(at) + margin)
    }

    /// Answers the claims of an inquiry that has all replies or has reached its deadline.
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
        // An inquiry takes time, so the grant lease is checked at the moment of the grant.
        let holds_grant_lease = self.holds_grant_lease(now, members);
        let all_answered = inquiry.pending.is_empty();
        if !(all_answered && holds_grant_lease) && now < inquiry.deadline {
            return;
        }
        let grant = all_answered && holds_grant_lease && members.home(key) == Some(self.me);
        let refusal = if inquiry.unanswerable { ClaimAnswer::Lost } else { ClaimAnswer::Unknown };
        let claims = self.inquiries.remove(&key).map_or(Vec::new(), |i| i.claims);
        for (from, request) in claims {
            if let Some(entry) = self.records.get(key) {
                replies.answer_from_record((from, key, request), members, entry);
                continue;
            }
            let answer = if grant {
                self.records.insert(now, key, KeyRecord::Granted(request));
                ClaimAnswer::Granted
            } else {
                refusal.clone()
            };
            replies.answer(from, key, request, answer);
        }
    }

    /// Stores the outcome of a granted request.
    pub(crate) fn settle(
        &mut self,
        now: Instant,
        key: IdempotencyKey,
        request: RequestId,
        outcome: ClaimOutcome,
    ) {
        let held = self.records.get(key).is_some_and(|e| e.record == KeyRecord::Granted(request));
        if !held {
            return;
        }
        match outcome {
            ClaimOutcome::NotRun => self.records.remove(key),
            ClaimOutcome::Ran(stored) => self.records.insert(now, key, KeyRecord::Ran(stored)),
            ClaimOutcome::Unknown => self.records.insert(now, key, KeyRecord::Unknown),
        }
    }

    /// Answers the inquiry of a later home.
    pub(crate) fn answer_inquiry(
        &mut self,
        now: Instant,
        members: &Members,
        key: IdempotencyKey,
        (revision, born): (u64, Option<u64>),
    ) -> Message {
        let ours = members.revision();
        if ours == revision && members.home(key) == Some(self.me) {
            // Two different lists have the same revision, which the platform guarantees not to happen.
            // Neither home may grant the key.
            self.records.insert(now, key, KeyRecord::Unknown);
        }
        // Claims that waited here were dropped with the previous list, so that none of them is granted after
        // this answer.
        let own_grants_known = self.own_grants_known(now, members, born);
        let lists_known = self.lists_known(now, members, born);
        let previous = members.previous_homes(key).into_iter();
        let may_have =
            previous.filter(|&(_, replaced_at)| !self.created_after(born, replaced_at, GRANT_LEASE));
        let others = may_have.map(|(home, _)| home).filter(|&home| home != self.me);
        let homes = others.filter(|&home| !self.handed_over(members, home)).collect();
        let record = self.records.get(key).map(|e| e.record.clone());
        Message::Inquired { key, revision: ours, record, own_grants_known, lists_known, homes }
    }

    /// Processes the reply to an inquiry.
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
            // The instance still uses an older list and could grant the key: send the current list and repeat
            // the inquiry.
            if let Some(list) = &members.list {
                replies.messages.push((from, Message::List(list.clone())));
            }
            let repeat = Message::Inquire { key, revision: members.revision(), born };
            replies.messages.push((from, repeat));
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
            // The proof cannot be given within the horizon, so the claims are answered at once.
            inquiry.deadline = now;
            inquiry.unanswerable = true;
        }
        for home in others {
            inquiry.pending.entry(home).or_insert(RequiredEvidence::OwnGrants);
            replies.messages.push((home, Message::Inquire { key, revision: members.revision(), born }));
        }
        if let Some(record) = record {
            self.records.insert(now, key, record);
            if let Some(inquiry) = self.inquiries.get_mut(&key) {
                inquiry.deadline = now;
            }
        }
        self.finish_inquiry(now, members, key, &mut replies);
        replies
    }

    /// Finishes inquiries and removes expired records.
    pub(crate) fn tick(&mut self, now: Instant, members: &Members) -> Replies {
        let mut replies = Replies::default();
        let keys: Vec<IdempotencyKey> = self.inquiries.keys().copied().collect();
        for key in keys {
            self.finish_inquiry(now, members, key, &mut replies);
        }
        self.expire_records(now);
        replies
    }

    /// Whether a claim waits for the grant lease, so that members should be asked for their revision.
    pub(crate) fn needs_list_confirmation(&self, now: Instant, members: &Members) -> bool {
        !self.inquiries.is_empty() && !self.holds_grant_lease(now, members)
    }

    fn expire_records(&mut self, now: Instant) {
        let retention = self.retention();
        self.records.expire(now, retention);
        self.handovers.retain(|_, handover| now.duration_since(handover.at) < retention);
    }

    /// Handover messages for the instances that become the homes of the records when this instance shuts
    /// down.
    pub(crate) fn handover_messages(&mut self, members: &Members) -> Vec<(InstanceId, Message)> {
        let incarnation = self.started_ms;
        self.handover_done = true;
        let mut records_by_home: BTreeMap<InstanceId, Vec<(IdempotencyKey, KeyRecord)>> = BTreeMap::new();
        for (id, _) in members.iter().filter(|(_, m)| !m.leaving) {
            records_by_home.insert(id, Vec::new());
        }
        for key in self.records.sorted_keys() {
            let Some(entry) = self.records.get(key) else { continue };
            let Some(home) = members.runner_up(key) else {
                continue;
            };
            records_by_home.entry(home).or_default().push((key, entry.record.clone()));
        }
        let mut messages = Vec::new();
        for (home, records) in records_by_home {
            let mut chunks: Vec<Vec<(IdempotencyKey, KeyRecord)>> =
                records.chunks(HANDOVER_RECORDS_MAX).map(<[_]>::to_vec).collect();
            let final_chunk = chunks.pop().unwrap_or_default();
            let message = |records, last| (home, Message::Handover { incarnation, records, last });
            messages.extend(chunks.into_iter().map(|records| message(records, false)));
            messages.push(message(final_chunk, true));
        }
        messages
    }

    /// Stores the records of an instance that shuts down.
    pub(crate) fn accept_handover(
        &mut self,
        now: Instant,
        (from, incarnation): (InstanceId, u64),
        records: Vec<(IdempotencyKey, KeyRecord)>,
        last: bool,
    ) {
        for (key, record) in records {
            // A grant that is still unsettled will not be settled later. It stays a grant, and
            // `Entry::answer` answers "unknown" once the process of its holder has ended.
            if self.records.get(key).is_none() {
                self.records.insert(now, key, record);
            }
        }
        if last {
            self.handovers.insert(from, CompletedHandover { at: now, incarnation });
        }
    }
}

impl Entry {
    /// Answer to a claim of the key.
    ///
    /// A holder that is considered dead may only be unresponsive for a moment, as any instance on a busy
    /// machine can be. The grant therefore stays on record: if it were replaced by "unknown", the holder's
    /// message that settles it a moment later would be ignored, and every retry of the caller would be
    /// answered with "unknown" although the request ran.
    fn answer(&self, members: &Members, requester: RequestId) -> ClaimAnswer {
        match &self.record {
            // The same request repeats its claim because the first answer was lost.
            KeyRecord::Granted(holder) if *holder == requester => ClaimAnswer::Granted,
            KeyRecord::Granted(holder) if holder_ended(members, *holder) => ClaimAnswer::Unknown,
            KeyRecord::Granted(_) => ClaimAnswer::InUse,
            KeyRecord::Ran(stored) => ClaimAnswer::Ran(stored.clone()),
            KeyRecord::Unknown => ClaimAnswer::Lost,
        }
    }
}

/// Whether the process that holds a grant has ended, so that the grant is never settled.
fn holder_ended(members: &Members, holder: RequestId) -> bool {
    members
        .get(holder.instance)
        .is_some_and(|m| m.incarnation > holder.incarnation || matches!(m.health, Health::Dead(_)))
}
