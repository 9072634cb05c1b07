//! Idempotency keys whose requests end while messages about them are still in flight.

use std::time::Duration;

use teaselshunt_core::{
    Call, CallerKey, ClaimAnswer, ClaimOutcome, Effect, ErrorKind, Event, Fingerprint, IdempotencyKey,
    InstanceId, KeyRecord, Message, Refusal, RequestId, Ticket, Work,
};

use crate::support::{OTHER, SingleInstance, heartbeat, heartbeat_at, pair};

/// Longer than an instance waits for the home of a key.
const AFTER_CLAIM_TIMEOUT: Duration = Duration::from_millis(1_600);

impl SingleInstance {
    /// A caller sends a booking with the `number`th key.
    fn book(&mut self, number: u64) -> Vec<Effect> {
        self.book_created_at(number, None)
    }

    /// A caller sends a booking with the `number`th key, which was created at `born`.
    fn book_created_at(&mut self, number: u64, born: Option<u64>) -> Vec<Effect> {
        let key = CallerKey { key: key(number), born };
        let work = Work::Call(Call {
            service: "fees".to_owned(),
            method: "POST".to_owned(),
            team: String::new(),
            key: Some(key),
            fingerprint: Fingerprint(number),
            deadline: Duration::from_secs(5),
        });
        self.step(Event::Arrived { ticket: Ticket(number), work })
    }

    /// Sends bookings until the home of a key is the other instance; returns the claim.
    fn claim_elsewhere(&mut self) -> (IdempotencyKey, RequestId) {
        let claim = |effects: Vec<Effect>| {
            effects.into_iter().find_map(|effect| match effect {
                Effect::Send { message: Message::Claim { key, request, .. }, .. } => Some((key, request)),
                _ => None,
            })
        };
        (1..100).find_map(|n| claim(self.book(n))).expect("some key has its home elsewhere")
    }
}

impl SingleInstance {
    /// The other instance claims the `number`th key for its request `sequence`. Returns the answers of the
    /// home.
    fn claim(&mut self, number: u64, sequence: u64) -> Vec<(RequestId, ClaimAnswer)> {
        let request = holder(sequence);
        let claim = Message::Claim { key: key(number), request, revision: 2, born: None };
        answers(&self.receive(claim))
    }

    /// Number of a key whose home is here and that is granted to the first request of the other instance.
    fn key_granted_to_other(&mut self) -> u64 {
        let granted = |instance: &mut Self, number| {
            instance.claim(number, 1);
            // The home first asks the runner-up of the key, which answers that it has no record.
            let (key, revision) = (key(number), 2);
            let reply = Message::Inquired {
                key,
                revision,
                record: None,
                own_grants_known: true,
                lists_known: true,
                homes: Vec::new(),
            };
            answers(&instance.receive(reply)).contains(&(holder(1), ClaimAnswer::Granted))
        };
        (1..100).find(|&n| granted(self, n)).expect("some key has its home here")
    }
}

/// A request of the other instance.
fn holder(sequence: u64) -> RequestId {
    RequestId { instance: InstanceId::of(OTHER), incarnation: 1, sequence }
}

/// Answers to claims.
fn answers(effects: &[Effect]) -> Vec<(RequestId, ClaimAnswer)> {
    let sent = effects.iter().filter_map(|effect| match effect {
        Effect::Send { message: Message::Claimed { request, answer, .. }, .. } => {
            Some((*request, answer.clone()))
        }
        _ => None,
    });
    sent.collect()
}

/// Whether a request is refused because the outcome of its key is unknown.
fn refused_as_unknown(effects: &[Effect]) -> bool {
    refusal(effects).is_some_and(|refusal| refusal.kind == ErrorKind::KeyUnknown)
}

/// Refusal sent to a caller.
fn refusal(effects: &[Effect]) -> Option<Refusal> {
    effects.iter().find_map(|effect| match effect {
        Effect::Refuse { refusal, .. } => Some(*refusal),
        _ => None,
    })
}

fn key(number: u64) -> IdempotencyKey {
    IdempotencyKey::of("", &format!("key {number}"))
}

/// Outcome of a request that is sent to the other instance.
fn settled(effects: &[Effect]) -> Option<ClaimOutcome> {
    effects.iter().find_map(|effect| match effect {
        Effect::Send { message: Message::Settle { outcome, .. }, .. } => Some(outcome.clone()),
        _ => None,
    })
}

/// A home does not answer, and the caller is refused. The home then reads the claims in its socket, which the
/// requesting instance repeated meanwhile; streams can be reordered. It grants the first claim, receives the
/// message that the grant is not needed and drops the grant, then reads another claim of the same request and
/// grants it again. Every retry is refused as "in use" while that grant exists, so every grant of
/// an ended request must be answered and not only the first one.
#[test]
fn every_grant_of_an_ended_request_is_settled() {
    let mut instance = pair();
    let (key, request) = instance.claim_elsewhere();
    instance.pass(AFTER_CLAIM_TIMEOUT);
    let effects = instance.step(Event::Tick);
    assert!(effects.iter().any(|e| matches!(e, Effect::Refuse { .. })), "{effects:?}");
    for _ in 0..3 {
        let answer = ClaimAnswer::Granted;
        let effects = instance.receive(Message::Claimed { key, request, answer });
        assert_eq!(settled(&effects), Some(ClaimOutcome::NotRun));
    }
}

/// A home asks the previous homes of a key, and the list changes before they reply. The inquiry followed the
/// previous list; by the new one, another instance that was not asked may have been the home in between. The
/// reply must not lead to a grant.
#[test]
fn a_reply_to_an_inquiry_by_an_earlier_list_grants_nothing() {
    let mut instance = pair();
    let inquires = |instance: &mut SingleInstance, number| {
        let claim = Message::Claim { key: key(number), request: holder(1), revision: 2, born: None };
        let effects = instance.receive(claim);
        effects.iter().any(|e| matches!(e, Effect::Send { message: Message::Inquire { .. }, .. }))
    };
    let number = (1..100).find(|&n| inquires(&mut instance, n)).expect("some key has its home here");
    instance.relist(3);
    instance.receive(heartbeat_at(3));
    let (key, revision) = (key(number), 3);
    let homes = Vec::new();
    let reply =
        Message::Inquired { key, revision, record: None, own_grants_known: true, lists_known: true, homes };
    let answers_sent = answers(&instance.receive(reply));
    assert!(!answers_sent.contains(&(holder(1), ClaimAnswer::Granted)), "{answers_sent:?}");
}

/// A booking has run and its caller has the response, but the message that settles the key is lost with the
/// connection. When another request claims the key, the home sends the grant again, and the holder must
/// repeat the outcome. Otherwise the key stays "in use" for ever.
#[test]
fn the_outcome_of_a_request_is_repeated_when_its_home_asks() {
    let mut instance = pair();
    let (key, request) = instance.claim_elsewhere();
    let granted = || Message::Claimed { key, request, answer: ClaimAnswer::Granted };
    let effects = instance.receive(granted());
    let attempt = effects.iter().find_map(|e| match e {
        Effect::Call { attempt, .. } => Some(*attempt),
        _ => None,
    });
    let attempt = attempt.expect("the call is sent to a service");
    assert_eq!(settled(&instance.receive(granted())), None, "the request still runs");
    let ran = Some(ClaimOutcome::Ran(None));
    assert_eq!(settled(&instance.step(Event::Called { attempt, retry_after: None, stored: None })), ran);
    assert_eq!(settled(&instance.receive(granted())), ran);
}

/// A holder is unresponsive for a moment, as any instance on a busy machine can be, and is considered dead;
/// its outcome arrives late. A retry meanwhile is correctly refused as "unknown". When the holder reports
/// that the booking ran, the next retry must get the response. If the first retry removed the grant,
/// "unknown" would last for hours.
#[test]
fn a_holder_that_was_unresponsive_for_a_moment_still_settles_its_key() {
    let mut instance = pair();
    let number = instance.key_granted_to_other();
    for _ in 0..100 {
        instance.pass(Duration::from_millis(100));
        instance.step(Event::Tick);
    }
    let answers_sent = instance.claim(number, 2);
    assert!(answers_sent.contains(&(holder(2), ClaimAnswer::Unknown)), "{answers_sent:?}");
    assert!(
        answers_sent.contains(&(holder(1), ClaimAnswer::Granted)),
        "the holder gets its grant again: {answers_sent:?}"
    );
    instance.receive(heartbeat());
    let settle = Message::Settle { key: key(number), request: holder(1), outcome: ClaimOutcome::Ran(None) };
    instance.receive(settle);
    let answers_sent = instance.claim(number, 3);
    assert_eq!(answers_sent, [(holder(3), ClaimAnswer::Ran(None))]);
}

/// A home has granted a key, and the message with the outcome was lost. Another request with the key is
/// refused as "in use", and the home must send the holder its grant again.
#[test]
fn a_home_repeats_the_grant_to_the_holder_when_another_request_claims_the_key() {
    let mut instance = pair();
    let number = instance.key_granted_to_other();
    let answers_sent = instance.claim(number, 2);
    assert!(answers_sent.contains(&(holder(2), ClaimAnswer::InUse)), "{answers_sent:?}");
    assert!(answers_sent.contains(&(holder(1), ClaimAnswer::Granted)), "{answers_sent:?}");
}

/// The only instance of a deployment restarts. Neither it nor another instance knows the grants of its
/// previous incarnation. A key that may be older than the restart must not be granted, or a booking that ran
/// would run again.
#[test]
fn the_only_instance_grants_no_key_that_may_predate_its_start() {
    let mut instance = SingleInstance::only_listed();
    instance.run_for(Duration::from_secs(20));
    assert!(refused_as_unknown(&instance.book(1)));
    assert!(refused_as_unknown(&instance.book_created_at(2, Some(0))));
    let now_ms = instance.unix_ms();
    let effects = instance.book_created_at(3, Some(now_ms));
    assert!(effects.iter().any(|e| matches!(e, Effect::Call { .. })), "{effects:?}");
}

/// A caller's clock is ahead. Its booking ran before the home crashed and restarted, although the key appears
/// to have been created after the restart. If the key were granted again, the booking would run twice.
#[test]
fn a_key_that_may_predate_the_start_by_clock_skew_is_not_granted() {
    let mut instance = SingleInstance::only_listed();
    let skew = instance.configuration.policy.skew_ms;
    let started = instance.unix_ms();
    instance.run_for(Duration::from_secs(20));
    assert!(refused_as_unknown(&instance.book_created_at(1, Some(started + skew))));
}

/// A key may have been granted by a previous incarnation of its home, and its outcome will never be known. A
/// caller that was asked to retry after two seconds retried in vain for a quarter of an hour, so the refusal
/// must not ask for a retry. While the home only cannot grant the key yet, the refusal must ask for a retry.
#[test]
fn a_caller_is_asked_to_retry_only_if_its_key_can_be_granted_later() {
    let mut instance = SingleInstance::only_listed();
    instance.run_for(Duration::from_secs(20));
    assert_eq!(refusal(&instance.book(1)), Some(Refusal::new(ErrorKind::KeyUnknown)));
    let mut instance = pair();
    instance.claim_elsewhere();
    instance.pass(AFTER_CLAIM_TIMEOUT);
    let unanswered = refusal(&instance.step(Event::Tick)).expect("its home does not answer");
    assert!(unanswered.kind == ErrorKind::KeyUnknown && unanswered.retry_after.is_some(), "{unanswered:?}");
}

/// Records that an instance keeps at most before it grants no further key.
const RECORDS_MAX: u64 = 512 << 10;

/// Guards against a home that stops for ever: with as many unexpired records as take the size limit of the
/// stored responses, the removal of old records did not end, and with it the only thread of the instance. The
/// home grants no new key then, says when to come back, and forgets none of those that ran.
#[test]
fn a_home_with_as_many_records_as_it_can_keep_goes_on() {
    let (done, ended) = std::sync::mpsc::channel();
    std::thread::spawn(move || {
        let mut instance = pair();
        let records = (0..=RECORDS_MAX).map(|n| (key(1_000 + n), KeyRecord::Ran(None))).collect();
        instance.receive(Message::Handover { incarnation: 1, records, last: true });
        instance.step(Event::Tick);
        let known = instance.claim(1_000, 1);
        let new: Vec<ClaimAnswer> =
            (1..40).flat_map(|n| instance.claim(n, 1)).map(|(_, answer)| answer).collect();
        instance.pass(Duration::from_hours(1));
        instance.step(Event::Tick);
        let later = instance.claim(1_000, 2);
        done.send((known, new, later)).expect("the test waits");
    });
    let (known, new, later) = ended.recv_timeout(Duration::from_mins(2)).expect("a tick ends");
    assert_eq!(known, [(holder(1), ClaimAnswer::Ran(None))]);
    assert!(new.iter().any(|answer| matches!(answer, ClaimAnswer::Full { retry_ms } if *retry_ms > 0)));
    assert!(!new.contains(&ClaimAnswer::Granted));
    assert_ne!(later, [(holder(2), ClaimAnswer::Ran(None))], "it has expired");
}
