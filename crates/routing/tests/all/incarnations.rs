//! Starts of an endpoint under one id, and entries that somebody else wrote.

use std::collections::{HashMap, HashSet};
use std::sync::Arc;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use quickcheck::{Arbitrary, Gen, QuickCheck};
use teaselshunt_routing::{
    Endpoint, EndpointKey, EndpointState, Endpoints, Need, Stage, StepOutcome, UpsertOutcome,
};

fn birth(number: u64) -> SystemTime {
    UNIX_EPOCH + Duration::from_secs(number)
}

fn decoder(id: &str, born: u64) -> Endpoint {
    Endpoint {
        id: Arc::from(id),
        born: Some(birth(born)),
        service: Arc::from("model"),
        address: ([10, 0, 0, 1], 80).into(),
        domain: Arc::from("north"),
        state: EndpointState::Ready,
        stage: Some(Stage::Decode),
    }
}

fn choose(endpoints: &Endpoints, now: Instant) -> Option<EndpointKey> {
    let need = Need {
        service: "model",
        stage: Some(Stage::Decode),
        domain: "north",
        tried: &[],
        tokens: 0,
        limit: None,
        headroom: 0,
        local_prefill: false,
        hedge: false,
    };
    endpoints.choose(now, need, &mut rand::rng())
}

/// An engine leaves, and starts again under its id. Callers may be sent to the new start at once; taken for the one that
/// leaves it would be lost for good, and after a release of all engines nobody would be served.
#[test]
fn a_new_start_under_an_old_id_is_used_after_the_former_left() {
    let (mut endpoints, now) = (Endpoints::default(), Instant::now());
    endpoints.upsert(decoder("a", 1));
    endpoints.upsert(Endpoint { state: EndpointState::Leaving, ..decoder("a", 1) });
    assert!(choose(&endpoints, now).is_none());
    assert_eq!(endpoints.upsert(decoder("a", 2)), UpsertOutcome::Started);
    assert!(choose(&endpoints, now).is_some());
    // What the former start wrote arrives late.
    endpoints.upsert(Endpoint { state: EndpointState::Leaving, ..decoder("a", 1) });
    assert!(choose(&endpoints, now).is_some());
    assert_eq!(endpoints.len(), 1);
}

/// An engine crashes with work on it and is back under its id, and neither its end nor the time between was seen. What was
/// believed, in flight or kept there belongs to the former start: the new one is empty, and nothing that was begun at the
/// former may go on as if it were the same.
#[test]
fn nothing_of_a_former_start_lives_on() {
    let (mut endpoints, now) = (Endpoints::default(), Instant::now());
    endpoints.upsert(decoder("a", 1));
    let former = choose(&endpoints, now).expect("it is listed");
    endpoints.begin(now, former, 9_000);
    endpoints.learn(now, former, StepOutcome::Unreachable);
    endpoints.upsert(Endpoint { address: ([10, 0, 0, 2], 80).into(), ..decoder("a", 2) });
    let key = choose(&endpoints, now).expect("it is back");
    assert_ne!(key, former);
    assert!(endpoints.get_open(now, former).is_none());
    assert_eq!(endpoints.load(key), 0);
    assert!(endpoints.suspects(now).is_empty());
    assert!(endpoints.in_flight().is_empty());
    // The work at the former start ends here; the new one's account stays whole.
    endpoints.begin(now, key, 500);
    endpoints.end(former, 9_000);
    assert_eq!(endpoints.load(key), 500);
}

/// Other instances still tell what they have in flight at the former start. It must not count at the new one, which would
/// look full while it is empty.
#[test]
fn what_others_have_in_flight_at_a_former_start_does_not_count() {
    let (mut endpoints, mut other, now) = (Endpoints::default(), Endpoints::default(), Instant::now());
    for instance in [&mut endpoints, &mut other] {
        instance.upsert(decoder("a", 1));
    }
    let key = choose(&other, now).expect("it is listed");
    other.begin(now, key, 20_000);
    endpoints.upsert(decoder("a", 2));
    let told = other.in_flight();
    endpoints.ledger().update(now, ([127, 0, 0, 1], 1).into(), (1, 1), told);
    assert_eq!(endpoints.load(choose(&endpoints, now).expect("it is back")), 0);
}

/// Somebody else writes an entry that cannot be read. It names no endpoint to use, and nothing is known of the one under
/// that id until it writes again; what it said before of its leaving still holds.
#[test]
fn an_unreadable_entry_takes_its_endpoint_out_until_it_is_written_again() {
    let (mut endpoints, now) = (Endpoints::default(), Instant::now());
    endpoints.upsert(decoder("a", 1));
    let key = choose(&endpoints, now).expect("it is listed");
    assert!(endpoints.invalidate("a"));
    assert!(choose(&endpoints, now).is_none());
    endpoints.upsert(decoder("a", 1));
    assert_eq!(choose(&endpoints, now), Some(key));
    endpoints.upsert(Endpoint { state: EndpointState::Leaving, ..decoder("a", 1) });
    endpoints.invalidate("a");
    endpoints.upsert(decoder("a", 1));
    assert!(choose(&endpoints, now).is_none());
}

/// An entry without a time of birth, of an endpoint that told its own, is not that endpoint's.
#[test]
fn an_entry_without_a_birth_is_not_of_an_endpoint_that_told_one() {
    let (mut endpoints, now) = (Endpoints::default(), Instant::now());
    endpoints.upsert(decoder("a", 1));
    assert_eq!(endpoints.upsert(Endpoint { born: None, ..decoder("a", 1) }), UpsertOutcome::Foreign);
    assert!(choose(&endpoints, now).is_none());
    endpoints.upsert(decoder("a", 1));
    assert!(choose(&endpoints, now).is_some());
}

/// An endpoint of a platform that tells no births is learned to tell one later, and is the same.
#[test]
fn a_birth_that_is_told_later_begins_no_new_life() {
    let (mut endpoints, now) = (Endpoints::default(), Instant::now());
    endpoints.upsert(Endpoint { born: None, ..decoder("a", 1) });
    let key = choose(&endpoints, now);
    assert_eq!(endpoints.upsert(decoder("a", 1)), UpsertOutcome::Changed);
    assert_eq!(choose(&endpoints, now), key);
}

/// An entry names another service for an id that is known. The endpoint is found under the new service only; it was listed
/// under its first service for ever, and got requests there that it refused.
#[test]
fn an_entry_with_another_service_moves_its_endpoint() {
    let (mut endpoints, now) = (Endpoints::default(), Instant::now());
    endpoints.upsert(decoder("a", 1));
    endpoints.upsert(Endpoint { service: Arc::from("other"), ..decoder("a", 1) });
    assert!(choose(&endpoints, now).is_none());
    assert_eq!(endpoints.open(now, "other").count(), 1);
    endpoints.upsert(decoder("a", 1));
    assert!(choose(&endpoints, now).is_some());
    assert_eq!(endpoints.open(now, "other").count(), 0);
}

/// An engine crashes behind a cut and is replaced at its address. The store removes its entry, lists the next one, and then an
/// old entry of the first is written late: it comes back for some seconds. Taken for the later one at the address, it drew the
/// work of 195 instances, one prompt each, which the engine there refused after the prompt had been read. The replacement
/// goes on getting the work.
#[test]
fn an_entry_that_comes_back_does_not_take_its_address_again() {
    let (mut endpoints, now) = (Endpoints::default(), Instant::now());
    let listed = |id: &str| Endpoint { born: None, ..decoder(id, 1) };
    endpoints.upsert(listed("former"));
    endpoints.remove("former");
    endpoints.upsert(listed("later"));
    endpoints.upsert(listed("former"));
    for _ in 0..50 {
        let key = choose(&endpoints, now).expect("the later one");
        assert_eq!(&*endpoints.get(key).expect("listed").id, "later");
    }
    // If it is the later one that is not there, the answer at the address shows it.
    let later = choose(&endpoints, now).expect("the later one");
    endpoints.mark_ended(now, later);
    assert_eq!(
        &*endpoints.get(choose(&endpoints, now).expect("the former one")).expect("listed").id,
        "former"
    );
}

/// What the list says in one step.
#[derive(Debug, Clone)]
enum Step {
    Entry { id: u8, born: u8, leaving: bool },
    Unreadable { id: u8 },
    Gone { id: u8 },
}

impl Arbitrary for Step {
    fn arbitrary(g: &mut Gen) -> Self {
        let id = u8::arbitrary(g) % 3;
        match u8::arbitrary(g) % 6 {
            0 => Self::Unreadable { id },
            1 => Self::Gone { id },
            _ => Self::Entry { id, born: u8::arbitrary(g) % 3, leaving: u8::arbitrary(g).is_multiple_of(4) },
        }
    }
}

/// What may be used, in the plainest way: the newest birth of an id, whether it left, whether its entry is readable; and
/// births that have left, which do not come back though their entry went and is there again.
#[derive(Debug, Default)]
struct Model(HashMap<u8, (u8, bool, bool)>, HashSet<(u8, u8)>);

impl Model {
    fn step(&mut self, step: &Step) {
        match *step {
            Step::Entry { id, born, leaving } => match self.0.get_mut(&id) {
                Some((known, _, _)) if *known > born => {}
                Some((known, left, readable)) if *known == born => {
                    *left |= leaving;
                    self.1.extend(leaving.then_some((id, born)));
                    *readable = true;
                }
                Some(_) | None => {
                    self.1.extend(leaving.then_some((id, born)));
                    let left = self.1.contains(&(id, born));
                    self.0.insert(id, (born, left, true));
                }
            },
            Step::Unreadable { id } => {
                if let Some((_, _, readable)) = self.0.get_mut(&id) {
                    *readable = false;
                }
            }
            Step::Gone { id } => {
                self.0.remove(&id);
            }
        }
    }

    fn open(&self) -> Vec<(String, u8)> {
        let open = self.0.iter().filter(|(_, (_, left, readable))| !left && *readable);
        let mut open: Vec<_> = open.map(|(id, (born, _, _))| (id.to_string(), *born)).collect();
        open.sort();
        open
    }
}

/// Lives, lapses and foreign entries in any order: what is used is what the plain model allows, by id and birth.
#[test]
fn any_sequence_of_entries_leaves_what_a_plain_model_allows() {
    #[expect(clippy::needless_pass_by_value, reason = "quickcheck hands arguments over")]
    fn property(steps: Vec<Step>) -> bool {
        let (mut endpoints, mut model, now) = (Endpoints::default(), Model::default(), Instant::now());
        steps.iter().all(|step| {
            model.step(step);
            match *step {
                Step::Entry { id, born, leaving } => {
                    let state = if leaving { EndpointState::Leaving } else { EndpointState::Ready };
                    endpoints.upsert(Endpoint { state, ..decoder(&id.to_string(), u64::from(born)) });
                }
                Step::Unreadable { id } => {
                    endpoints.invalidate(&id.to_string());
                }
                Step::Gone { id } => {
                    endpoints.remove(&id.to_string());
                }
            }
            let seconds = |e: &Endpoint| {
                e.born.and_then(|b| b.duration_since(UNIX_EPOCH).ok()).map(|d| d.as_secs() as u8)
            };
            let mut open: Vec<_> = endpoints
                .open(now, "model")
                .map(|e| (e.id.to_string(), seconds(e).expect("it was told")))
                .collect();
            open.sort();
            open == model.open()
        })
    }
    QuickCheck::new().tests(2_000).quickcheck(property as fn(Vec<Step>) -> bool);
}
