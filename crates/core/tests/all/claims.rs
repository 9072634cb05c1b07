//! What becomes of an idempotency key whose request ended while messages about it were still on their way.

use std::time::Duration;

use teaselshunt_core::{
    Call, CallerKey, ClaimAnswer, ClaimOutcome, Effect, ErrorKind, Event, Fingerprint, IdempotencyKey,
    InstanceId, Message, Refusal, RequestId, Ticket, Work,
};

use crate::support::{Alone, OTHER, heartbeat, heartbeat_at, pair};

/// Longer than an asker waits for a home.
const CLAIM: Duration = Duration::from_millis(1_600);

impl Alone {
    /// A caller books with the `number`th key.
    fn book(&mut self, number: u64) -> Vec<Effect> {
        self.book_born(number, None)
    }

    /// A caller books with the `number`th key, which tells when it was made.
    fn book_born(&mut self, number: u64, born: Option<u64>) -> Vec<Effect> {
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

    /// Books with keys until the home of one is the other instance; its claim.
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

impl Alone {
    /// The other instance claims the `number`th key for its request `sequence`; whom the home tells what.
    fn claim(&mut self, number: u64, sequence: u64) -> Vec<(RequestId, ClaimAnswer)> {
        let request = holder(sequence);
        let claim = Message::Claim { key: key(number), request, revision: 2, born: None };
        answers(&self.receive(claim))
    }

    /// Number of a key that has its home here and is granted to the first request of the other instance.
    fn key_granted_to_other(&mut self) -> u64 {
        let granted = |alone: &mut Self, number| {
            alone.claim(number, 1);
            // The home asks the one who would be home without it first, which answers that it knows of nothing.
            let (key, revision) = (key(number), 2);
            let reply = Message::Inquired {
                key,
                revision,
                record: None,
                own_grants_known: true,
                lists_known: true,
                homes: Vec::new(),
            };
            answers(&alone.receive(reply)).contains(&(holder(1), ClaimAnswer::Granted))
        };
        (1..100).find(|&n| granted(self, n)).expect("some key has its home here")
    }
}

/// A request of the other instance.
fn holder(sequence: u64) -> RequestId {
    RequestId { instance: InstanceId::of(OTHER), incarnation: 1, sequence }
}

/// What is told about claims.
fn answers(effects: &[Effect]) -> Vec<(RequestId, ClaimAnswer)> {
    let sent = effects.iter().filter_map(|effect| match effect {
        Effect::Send { message: Message::Claimed { request, answer, .. }, .. } => {
            Some((*request, answer.clone()))
        }
        _ => None,
    });
    sent.collect()
}

/// Whether a caller is told that the fate of its key is not known.
fn refused_as_unknown(effects: &[Effect]) -> bool {
    refusal(effects).is_some_and(|refusal| refusal.kind == ErrorKind::KeyUnknown)
}

/// What a caller is refused with.
fn refusal(effects: &[Effect]) -> Option<Refusal> {
    effects.iter().find_map(|effect| match effect {
        Effect::Refuse { refusal, .. } => Some(*refusal),
        _ => None,
    })
}

fn key(number: u64) -> IdempotencyKey {
    IdempotencyKey::of("", &format!("key {number}"))
}

/// What the other instance is told of a request's fate.
fn settled(effects: &[Effect]) -> Option<ClaimOutcome> {
    effects.iter().find_map(|effect| match effect {
        Effect::Send { message: Message::Settle { outcome, .. }, .. } => Some(outcome.clone()),
        _ => None,
    })
}

/// A home is silent, and the caller is refused. The home wakes and takes up the claims that lie in its socket, which the
/// asker repeated meanwhile; streams overtake one another. It grants the first one, hears that it is not needed and forgets
/// it, then takes up another claim of the same request and grants it again. Whoever retries is told "in use" for as long as
/// that grant stands: each grant of a request that ended must be answered, not the first one only.
#[test]
fn a_claim_that_is_granted_again_after_its_request_ended_is_given_back_again() {
    let mut alone = pair();
    let (key, request) = alone.claim_elsewhere();
    alone.pass(CLAIM);
    let effects = alone.step(Event::Tick);
    assert!(effects.iter().any(|e| matches!(e, Effect::Refuse { .. })), "{effects:?}");
    for _ in 0..3 {
        let answer = ClaimAnswer::Granted;
        let effects = alone.receive(Message::Claimed { key, request, answer });
        assert_eq!(settled(&effects), Some(ClaimOutcome::NotRun));
    }
}

/// A home asks who had a key before, and the list changes meanwhile. What it asked for was found by the former list: the
/// new one may have made another instance home in between, which was not asked. The answer grants nothing.
#[test]
fn an_answer_that_was_asked_for_by_a_former_list_grants_nothing() {
    let mut alone = pair();
    let asks = |alone: &mut Alone, number| {
        let claim = Message::Claim { key: key(number), request: holder(1), revision: 2, born: None };
        let effects = alone.receive(claim);
        effects.iter().any(|e| matches!(e, Effect::Send { message: Message::Inquire { .. }, .. }))
    };
    let number = (1..100).find(|&n| asks(&mut alone, n)).expect("some key has its home here");
    alone.relist(3);
    alone.receive(heartbeat_at(3));
    let (key, revision) = (key(number), 3);
    let homes = Vec::new();
    let reply =
        Message::Inquired { key, revision, record: None, own_grants_known: true, lists_known: true, homes };
    let told = answers(&alone.receive(reply));
    assert!(!told.contains(&(holder(1), ClaimAnswer::Granted)), "{told:?}");
}

/// A booking has run and its caller has the answer, but word of it to the key's home is lost with the connection. The home
/// asks the holder when somebody else wants the key, and is told again; it would call the key in use for ever.
#[test]
fn the_fate_of_a_request_is_told_again_when_its_home_asks() {
    let mut alone = pair();
    let (key, request) = alone.claim_elsewhere();
    let granted = || Message::Claimed { key, request, answer: ClaimAnswer::Granted };
    let effects = alone.receive(granted());
    let attempt = effects.iter().find_map(|e| match e {
        Effect::Call { attempt, .. } => Some(*attempt),
        _ => None,
    });
    let attempt = attempt.expect("it is sent to a service");
    assert_eq!(settled(&alone.receive(granted())), None, "it still runs");
    let ran = Some(ClaimOutcome::Ran(None));
    assert_eq!(settled(&alone.step(Event::Called { attempt, stored: None })), ran);
    assert_eq!(settled(&alone.receive(granted())), ran);
}

/// Word of a booking's end comes late because its holder was silent for a moment, as a busy machine makes any instance, and
/// was taken for dead. A retry meanwhile rightly hears "unknown". Then the holder is heard again and says that the booking
/// ran: the next retry gets its answer. With the grant forgotten at the first retry, "unknown" would stand for hours.
#[test]
fn a_holder_that_was_silent_for_a_moment_still_settles_its_key() {
    let mut alone = pair();
    let number = alone.key_granted_to_other();
    for _ in 0..100 {
        alone.pass(Duration::from_millis(100));
        alone.step(Event::Tick);
    }
    let told = alone.claim(number, 2);
    assert!(told.contains(&(holder(2), ClaimAnswer::Unknown)), "{told:?}");
    assert!(told.contains(&(holder(1), ClaimAnswer::Granted)), "the holder is asked: {told:?}");
    alone.receive(heartbeat());
    let settle = Message::Settle { key: key(number), request: holder(1), outcome: ClaimOutcome::Ran(None) };
    alone.receive(settle);
    let told = alone.claim(number, 3);
    assert_eq!(told, [(holder(3), ClaimAnswer::Ran(None))]);
}

/// A home has granted a key, and word of the request's end was lost. Another try with the key asks the home, which says
/// "in use" and reminds the holder of its grant.
#[test]
fn a_home_reminds_the_holder_of_a_key_that_another_try_wants() {
    let mut alone = pair();
    let number = alone.key_granted_to_other();
    let told = alone.claim(number, 2);
    assert!(told.contains(&(holder(2), ClaimAnswer::InUse)), "{told:?}");
    assert!(told.contains(&(holder(1), ClaimAnswer::Granted)), "{told:?}");
}

/// The only instance of a fleet is started again. It remembers no key that its former start granted, and nobody else can:
/// a key that may be older than the start must not be granted, or a booking that ran would run again.
#[test]
fn an_instance_that_starts_alone_grants_no_key_that_may_be_older() {
    let mut alone = Alone::only_listed();
    alone.run_for(Duration::from_secs(20));
    assert!(refused_as_unknown(&alone.book(1)));
    assert!(refused_as_unknown(&alone.book_born(2, Some(0))));
    let now_ms = alone.wall();
    let effects = alone.book_born(3, Some(now_ms));
    assert!(effects.iter().any(|e| matches!(e, Effect::Call { .. })), "{effects:?}");
}

/// A caller's clock is ahead. It made a key and its booking ran before its home was killed and started again, though the key
/// looks younger than the start: granted again, the booking would run twice.
#[test]
fn a_key_that_a_clock_ahead_may_have_made_before_the_start_is_not_granted() {
    let mut alone = Alone::only_listed();
    let skew = alone.configuration.policy.skew_ms;
    let started = alone.wall();
    alone.run_for(Duration::from_secs(20));
    assert!(refused_as_unknown(&alone.book_born(1, Some(started + skew))));
}

/// A caller's key may have been granted by a former start of its home, and nobody will ever know. Told to come back in two
/// seconds, it came back in vain for a quarter of an hour; it must hear that coming back does not help. While the home
/// only cannot grant yet, it does.
#[test]
fn a_caller_whose_key_will_never_be_told_is_not_told_to_come_back() {
    let mut alone = Alone::only_listed();
    alone.run_for(Duration::from_secs(20));
    assert_eq!(refusal(&alone.book(1)), Some(Refusal::new(ErrorKind::KeyUnknown)));
    let mut alone = pair();
    alone.claim_elsewhere();
    alone.pass(CLAIM);
    let silent = refusal(&alone.step(Event::Tick)).expect("its home is silent");
    assert!(silent.kind == ErrorKind::KeyUnknown && silent.retry_after.is_some(), "{silent:?}");
}
