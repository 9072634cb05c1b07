//! The retry budget.

use std::sync::Arc;
use std::time::{Duration, Instant};

use quickcheck::quickcheck;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use teaselshunt_routing::{BudgetTerms, Budgets};
use teaselshunt_teams::StartKind;

const WINDOW: Duration = Duration::from_secs(10);

fn budgets(slack: f64) -> Budgets {
    Budgets::new(Instant::now(), BudgetTerms { ratio: 0.2, slack, window: WINDOW }, StartKind::First, 0.5)
}

quickcheck! {
    /// Many instances without communication, each with its own pattern of requests and second attempts. In no
    /// window may all of them together spend more than the deployment allows for the requests in it or in the
    /// window before.
    fn instances_together_keep_the_budget(patterns: Vec<Vec<(u16, bool)>>) -> bool {
        let service: Arc<str> = Arc::from("desk");
        let start = Instant::now();
        let patterns: Vec<_> = patterns.into_iter().take(20).collect();
        let (mut requests, mut second_attempts) = (Vec::new(), Vec::new());
        for pattern in &patterns {
            let mut own = budgets(58.0);
            let mut at = start;
            for &(gap, second_attempt) in pattern {
                at += Duration::from_millis(u64::from(gap % 500));
                if second_attempt {
                    if own.take(at, &service) {
                        second_attempts.push(at);
                    }
                } else {
                    own.count_request(at, &service);
                    requests.push(at);
                }
            }
        }
        let within = |times: &[Instant], from: Instant, to: Instant| {
            times.iter().filter(|&&t| t >= from && t < to).count() as f64
        };
        second_attempts.iter().all(|&from| {
            let to = from + WINDOW;
            let now = within(&requests, from, to);
            let before = from.checked_sub(WINDOW).map_or(0.0, |earlier| within(&requests, earlier, from));
            within(&second_attempts, from, to) <= now.max(before) * 0.2 + 58.0
        })
    }
}

/// An endpoint fails every request of a busy instance. The instance may send some again, but not most: with
/// every request sent twice, a service that is down for a moment would get twice the load when it is up
/// again.
#[test]
fn most_requests_get_no_second_attempt() {
    let (mut own, service, start) = (budgets(58.0), Arc::from("desk"), Instant::now());
    let taken = (0..1000).filter(|&n| {
        let at = start + Duration::from_millis(n * 10);
        own.count_request(at, &service);
        own.take(at, &service)
    });
    let taken = taken.count();
    assert!((50..=200).contains(&taken), "{taken}");
}

/// An instance with hardly any traffic must still be able to send a request again.
#[test]
fn an_idle_instance_has_a_reserve() {
    let (mut own, service, start) = (budgets(58.0), Arc::from("desk"), Instant::now());
    assert!(own.take(start, &service));
    let taken = (0..100).filter(|_| own.take(start, &service)).count();
    assert!(taken <= 2);
    assert!(own.take(start + WINDOW + Duration::from_millis(1), &service));
}

/// A failure that all instances meet at the same moment: each spends its whole budget. Together they must
/// stay within what the deployment allows, however many they are. With a reserve of a fixed size each, six
/// hundred instances spent twice as much.
#[test]
fn reserves_of_hundreds_of_instances_stay_within_the_budget() {
    let mut rng = SmallRng::seed_from_u64(3);
    for (instances, slack) in
        [(9, 58.0), (58, 156.0), (195, 430.0), (584, 640.0), (1168, 640.0), (1168, 1280.0)]
    {
        let (service, start) = (Arc::from("desk"), Instant::now());
        let (mut requests, mut second_attempts) = (0, 0);
        for _ in 0..instances {
            let terms = BudgetTerms { ratio: 0.2, slack, window: WINDOW };
            let mut own = Budgets::new(start, terms, StartKind::First, rng.random_range(0.0..1.0));
            own.share_among(instances);
            for _ in 0..rng.random_range(0..14) {
                requests += 1;
                own.count_request(start, &service);
            }
            second_attempts += (0..100).take_while(|_| own.take(start, &service)).count();
        }
        let allowed = f64::from(requests) * 0.2 + slack;
        assert!(second_attempts as f64 <= allowed, "{instances}: {second_attempts} of {allowed}");
        assert!(
            second_attempts as f64 >= allowed.min(instances as f64) * 0.3,
            "{instances}: {second_attempts} of {allowed}"
        );
    }
}

/// Guards against starts that hand out reserves anew: most instances are killed and start again several times within a
/// window, while all endpoints fail, and each life spends what it has.
#[test]
fn lives_of_an_instance_together_keep_the_budget() {
    let mut rng = SmallRng::seed_from_u64(5);
    for (instances, slack) in [(2, 40.0), (7, 54.0), (24, 40.0), (74, 188.0), (584, 640.0)] {
        let (service, start) = (Arc::from("desk"), Instant::now());
        let (mut requests, mut second_attempts) = (0, 0);
        for life in 0..4 {
            for _ in 0..instances {
                let terms = BudgetTerms { ratio: 0.2, slack, window: WINDOW };
                let at = start + WINDOW.mul_f64(0.2) * life;
                let kind = if life == 0 { StartKind::First } else { StartKind::Subsequent };
                let mut own = Budgets::new(at, terms, kind, rng.random_range(0.0..1.0));
                own.share_among(instances);
                requests += 1;
                own.count_request(at, &service);
                second_attempts += (0..100).take_while(|_| own.take(at, &service)).count();
            }
        }
        let allowed = f64::from(requests) * 0.2 + slack;
        assert!(second_attempts as f64 <= allowed, "{instances}: {second_attempts} of {allowed}");
    }
}

/// An instance of a random history, and the instances that it counts.
struct Member {
    own: Budgets,
    /// Instances that were there when it last heard of the others.
    counted: usize,
}

/// What all instances together sent, in tenths of a second.
#[derive(Default)]
struct Totals {
    requests: Vec<f64>,
    second_attempts: Vec<f64>,
}

impl Totals {
    const WINDOW_TICKS: usize = 100;

    fn sum(series: &[f64], from: usize) -> f64 {
        series.iter().skip(from).take(Self::WINDOW_TICKS).sum()
    }

    /// The first window with more second attempts than allowed. Requests are those of the window, of the one before or
    /// of the one half a window before.
    fn excess(&self, slack: f64) -> Option<(usize, f64, f64)> {
        (0..self.requests.len()).find_map(|from| {
            let before = |ticks: usize| from.checked_sub(ticks).map_or(0.0, |f| Self::sum(&self.requests, f));
            let half = Self::WINDOW_TICKS / 2;
            let requests = before(0).max(before(half)).max(before(2 * half));
            let (sent, allowed) = (Self::sum(&self.second_attempts, from), requests * 0.2 + slack);
            (sent > allowed).then_some((from, sent, allowed))
        })
    }
}

/// Plays half a minute in which instances are killed and start again, are added and are cut off, while most requests fail.
fn play_lives(seed: u64) -> Result<(), String> {
    let mut rng = SmallRng::seed_from_u64(seed);
    let (instances, slack) =
        [(1, 10.0), (2, 40.0), (7, 54.0), (24, 40.0), (74, 188.0), (195, 430.0), (584, 640.0)]
            [rng.random_range(0..7)];
    let terms = BudgetTerms { ratio: 0.2, slack, window: WINDOW };
    let (service, start) = (Arc::from("desk"), Instant::now());
    let mut members: Vec<Member> = (0..instances)
        .map(|_| Member {
            own: Budgets::new(start, terms, StartKind::First, rng.random()),
            counted: instances,
        })
        .collect();
    for member in &mut members {
        member.own.share_among(instances);
    }
    let (kills, additions) = (rng.random_range(0.0..0.6), rng.random_range(0..=instances / 10 + 1));
    let mut totals = Totals::default();
    for tick in 0..300_u32 {
        let at = start + Duration::from_millis(100) * tick;
        if tick % 25 == 24 {
            for member in &mut members {
                if !rng.random_bool(kills) {
                    continue;
                }
                member.own = Budgets::new(at, terms, StartKind::Subsequent, rng.random());
                member.own.share_among(member.counted);
            }
        }
        if tick == 120 {
            let counted = members.len();
            members.extend((0..additions).map(|_| Member {
                own: Budgets::new(at, terms, StartKind::Subsequent, rng.random()),
                counted,
            }));
        }
        let all = members.len();
        let (mut requests, mut second_attempts) = (0.0, 0.0);
        for member in &mut members {
            // A cut keeps an instance from hearing of those that were added.
            if rng.random_bool(0.05) {
                member.counted = all;
                member.own.share_among(all);
            }
            if rng.random_bool(0.2) {
                requests += 1.0;
                member.own.count_request(at, &service);
            }
            while rng.random_bool(0.7) && member.own.take(at, &service) {
                second_attempts += 1.0;
            }
        }
        totals.requests.push(requests);
        totals.second_attempts.push(second_attempts);
    }
    match totals.excess(slack) {
        None => Ok(()),
        Some(excess) => Err(format!("seed {seed}, {instances} instances: {excess:?}")),
    }
}

/// Guards against any history of starts, kills, additions and cuts in which the instances together exceed the budget.
#[test]
fn random_lives_together_keep_the_budget() {
    for seed in 0..60 {
        play_lives(seed).expect("the budget holds");
    }
}

/// Guards against an instance that never gets its reserve back after a start.
#[test]
fn an_instance_that_has_run_for_a_window_has_a_reserve() {
    let (service, start) = (Arc::from("desk"), Instant::now());
    let terms = BudgetTerms { ratio: 0.2, slack: 58.0, window: WINDOW };
    let mut own = Budgets::new(start, terms, StartKind::Subsequent, 0.5);
    assert!(!own.take(start, &service));
    assert!(!own.take(start + WINDOW.mul_f64(0.99), &service));
    assert!(own.take(start + WINDOW, &service));
}
