//! Links of an instance to endpoints: what is lost, what is only silent, and what is found to be back.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use quickcheck::quickcheck;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use teaselshunt_routing::{CheckResult, LinkChange, Links, Path, Probe};

fn endpoint(number: u16) -> SocketAddr {
    ([127, 0, 0, 1], number).into()
}

fn millis(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn rng() -> SmallRng {
    SmallRng::seed_from_u64(1)
}

/// Links to some endpoints that have all answered.
fn sound(now: Instant, count: u16) -> Links {
    let mut links = Links::default();
    for number in 0..count {
        links.path(now, endpoint(number));
        links.record_send(now, endpoint(number));
        links.record_bytes(now, endpoint(number), now);
    }
    links
}

/// Links that are all lost since `now`.
fn cut_off(now: Instant, count: u16) -> Links {
    let mut links = sound(now.checked_sub(millis(1000)).expect("a time in the past"), count);
    for number in 0..2 {
        links.record_failure(now, endpoint(number));
        assert_eq!(links.record_check(now, endpoint(number), CheckResult::Tunnel), Some(LinkChange::Lost));
    }
    assert!(links.is_cut_off());
    links
}

/// Guards against checks of endpoints that close an idle connection, as endpoints do.
#[test]
fn one_failure_beside_other_answers_is_not_checked() {
    let now = Instant::now();
    let mut links = sound(now, 2);
    links.record_failure(now, endpoint(0));
    links.record_bytes(now + millis(1), endpoint(1), now);
    assert_eq!(links.due_checks(now + millis(2), &mut rng()), []);
    links.record_failure(now + millis(3), endpoint(0));
    assert_eq!(links.due_checks(now + millis(4), &mut rng()), [endpoint(0)]);
}

/// Guards against requests that wait for seconds behind a link that went silent.
#[test]
fn a_link_that_is_silent_with_all_others_is_checked() {
    let now = Instant::now();
    let mut links = sound(now, 2);
    links.record_send(now, endpoint(0));
    assert_eq!(links.due_checks(now + millis(300), &mut rng()), []);
    assert_eq!(links.due_checks(now + millis(500), &mut rng()), [endpoint(0)]);
    assert!(links.is_in_doubt(now + millis(500)));
}

/// Guards against checks of endpoints at which prompts of other requests come first.
#[test]
fn a_link_that_is_silent_beside_others_is_checked_later() {
    let now = Instant::now();
    let mut links = sound(now, 2);
    links.record_send(now, endpoint(0));
    for step in 1..=14 {
        links.record_bytes(now + millis(step * 100), endpoint(1), now);
        assert_eq!(links.due_checks(now + millis(step * 100), &mut rng()), []);
    }
    links.record_bytes(now + millis(1500), endpoint(1), now);
    assert_eq!(links.due_checks(now + millis(1600), &mut rng()), [endpoint(0)]);
}

/// Guards against a failed request for each endpoint before all are reached through peers.
#[test]
fn two_lost_links_and_silence_mean_that_all_are_lost() {
    let now = Instant::now();
    let mut links = cut_off(now, 5);
    for number in 0..6 {
        assert_eq!(links.path(now, endpoint(number)), Path::Tunnel);
    }
}

/// Guards against tunnels to all endpoints where only the links to some are lost.
#[test]
fn lost_links_beside_others_that_work_are_lost_alone() {
    let now = Instant::now();
    let mut links = sound(now, 5);
    for number in 0..3 {
        links.record_bytes(now + millis(1), endpoint(4), now);
        links.record_check(now + millis(1), endpoint(number), CheckResult::Tunnel);
    }
    assert!(!links.is_cut_off());
    assert_eq!(links.path(now + millis(2), endpoint(3)), Path::Direct);
    assert_eq!(links.path(now + millis(2), endpoint(2)), Path::Tunnel);
}

/// Guards against new connections that fail one after the other because old ones live on.
#[test]
fn bytes_over_an_old_connection_do_not_restore_a_link() {
    let now = Instant::now();
    let mut links = cut_off(now, 2);
    assert!(!links.record_bytes(now + millis(5), endpoint(0), now.checked_sub(millis(500)).expect("a time")));
    assert_eq!(links.path(now + millis(5), endpoint(0)), Path::Tunnel);
    assert!(links.record_bytes(now + millis(6), endpoint(0), now + millis(5)));
    assert_eq!(links.path(now + millis(6), endpoint(0)), Path::Direct);
}

/// Guards against requests over links that are still lost when the first one is back.
#[test]
fn links_are_restored_one_by_one() {
    let now = Instant::now();
    let mut links = cut_off(now, 40);
    for number in 0..40 {
        links.path(now, endpoint(number));
    }
    let mut at = now + millis(1000);
    links.record_check(at, endpoint(0), CheckResult::Direct);
    assert!(!links.is_cut_off());
    assert_eq!(links.lost_count(), 39);
    let mut rng = rng();
    while links.lost_count() > 0 {
        at += millis(100);
        for due in links.due_checks(at, &mut rng) {
            links.record_check(at, due, CheckResult::Direct);
        }
        assert!(at - now < millis(6000), "{} links are still lost", links.lost_count());
    }
}

/// Guards against an instance that asks all endpoints again and again while it is cut off.
#[test]
fn a_cut_off_instance_checks_one_link_at_a_time() {
    let now = Instant::now();
    let mut links = cut_off(now, 600);
    let (mut checks, mut rng) = (0, rng());
    for step in 1..=100 {
        let at = now + millis(step * 100);
        for number in 0..600 {
            links.path(at, endpoint(number));
        }
        checks += links.due_checks(at, &mut rng).len();
    }
    assert!((10..=28).contains(&checks), "{checks} checks in 10 s");
}

/// Guards against refusals because an endpoint is silent for a moment.
#[test]
fn an_endpoint_that_one_check_does_not_reach_stays_in_use() {
    let now = Instant::now();
    let mut links = sound(now, 1);
    links.record_failure(now + millis(500), endpoint(0));
    assert_eq!(links.record_check(now + millis(500), endpoint(0), CheckResult::Neither), None);
    assert_eq!(links.path(now + millis(600), endpoint(0)), Path::Direct);
    let change = links.record_check(now + millis(800), endpoint(0), CheckResult::Neither);
    assert_eq!(change, Some(LinkChange::Unreachable));
    assert!(links.is_isolated(now + millis(800)));
    assert_eq!(links.path(now + millis(800), endpoint(0)), Path::None);
    links.record_check(now + millis(900), endpoint(0), CheckResult::Direct);
    assert_eq!(links.path(now + millis(900), endpoint(0)), Path::Direct);
}

/// Guards against refusals while another endpoint works.
#[test]
fn unreachable_endpoints_beside_others_are_still_asked() {
    let now = Instant::now();
    let mut links = sound(now, 2);
    for _ in 0..2 {
        links.record_check(now + millis(500), endpoint(0), CheckResult::Neither);
    }
    assert!(!links.is_isolated(now + millis(500)));
    assert_eq!(links.path(now + millis(500), endpoint(0)), Path::Direct);
}

/// Guards against requests that are lost again and again because an instance forgets that nothing is reached.
#[test]
fn what_nothing_reaches_is_remembered_while_requests_are_refused() {
    let now = Instant::now();
    let mut links = sound(now, 1);
    for _ in 0..2 {
        links.record_check(now + millis(500), endpoint(0), CheckResult::Neither);
    }
    assert!(!links.due_checks(now + millis(20_000), &mut rng()).is_empty());
    assert!(links.refuses(now + millis(20_000), [endpoint(0)].into_iter()));
}

/// Guards against memory that grows with all endpoints that there ever were.
#[test]
fn links_that_are_not_used_are_forgotten() {
    let now = Instant::now();
    let mut links = cut_off(now, 20);
    assert_eq!(links.due_checks(now + millis(11_000), &mut rng()), []);
    assert_eq!(links.lost_count(), 0);
    assert!(!links.is_cut_off());
}

/// Guards against calls that are sent over dead links for as long as a link is remembered that was used before and not since: nothing
/// shows that it works.
#[test]
fn a_link_that_was_not_tried_does_not_hide_that_nothing_is_reached() {
    let now = Instant::now();
    let (mut links, mut rng) = (sound(now, 3), rng());
    links.record_failure(now + millis(10), endpoint(0));
    for step in 1..=30 {
        let at = now + millis(step * 100);
        for due in links.due_checks(at, &mut rng) {
            links.record_check(at, due, CheckResult::Neither);
        }
    }
    let at = now + millis(3_000);
    assert!(links.is_isolated(at), "{} links are unreachable", links.unreachable_count());
}

/// Guards against checks of links that have answered since another endpoint was found to be down.
#[test]
fn an_endpoint_that_is_down_does_not_have_the_others_checked_again_and_again() {
    let now = Instant::now();
    let (mut links, mut rng) = (sound(now, 2), rng());
    let mut checks = 0;
    for step in 1..=80 {
        let at = now + millis(step * 100);
        if step == 1 {
            links.record_failure(at, endpoint(0));
        }
        for due in links.due_checks(at, &mut rng) {
            let is_down = due == endpoint(0);
            checks += usize::from(!is_down);
            links.record_check(at, due, if is_down { CheckResult::Neither } else { CheckResult::Direct });
        }
    }
    assert!(checks <= 2, "{checks} checks of the other endpoint");
}

/// Guards against calls that are sent in vain, or refused for a wrong reason, because one link that came into use in a cut counts as sound
/// although no check that fails in a cut says anything else of it.
#[test]
fn a_link_that_comes_into_use_in_a_cut_is_lost_with_the_others() {
    let now = Instant::now();
    for is_send in [false, true] {
        let mut links = cut_off(now, 2);
        links.set_has_peers(false);
        assert!(links.is_isolated(now + millis(500)));
        if is_send {
            links.record_send(now + millis(500), endpoint(7));
        } else {
            links.record_failure(now + millis(500), endpoint(7));
        }
        assert!(links.is_isolated(now + millis(600)), "sent: {is_send}");
    }
}

/// Guards against the same for a link that was in use before the cut.
#[test]
fn a_link_that_was_in_use_before_a_cut_is_lost_with_the_others() {
    let now = Instant::now();
    let mut links = cut_off(now, 3);
    links.set_has_peers(false);
    assert!(links.is_isolated(now + millis(500)));
}

/// Guards against checks that take the time that an endpoint needs to answer the ones before them.
#[test]
fn a_check_is_not_repeated_while_it_is_in_progress() {
    let now = Instant::now();
    let (mut links, mut rng) = (sound(now, 1), rng());
    links.record_failure(now + millis(500), endpoint(0));
    let at = now + millis(600);
    assert_eq!(links.due_checks(at, &mut rng), [endpoint(0)]);
    links.record_check_since(at, at + millis(500), endpoint(0), CheckResult::Neither);
    assert_eq!(links.due_checks(at + millis(900), &mut rng), []);
    links.end_check(at + millis(1_000), endpoint(0), millis(1_000), false, &mut rng);
    assert_eq!(links.due_checks(at + millis(2_000), &mut rng), [endpoint(0)]);
}

/// Guards against checks for peers, of links that this instance does not use, that are begun again and again since the link is forgotten.
#[test]
fn a_link_is_not_forgotten_while_it_is_checked() {
    let (now, mut links, mut rng) = (Instant::now(), Links::default(), rng());
    assert!(links.begin_check(now, endpoint(0), &mut rng));
    assert_eq!(links.due_checks(now + millis(100), &mut rng), []);
    assert!(links.is_checked(now + millis(100), endpoint(0)));
    assert!(!links.begin_check(now + millis(100), endpoint(0), &mut rng));
    links.end_check(now + millis(1_000), endpoint(0), millis(1_000), false, &mut rng);
    assert_eq!(links.due_checks(now + millis(1_500), &mut rng), []);
    assert!(!links.is_in_doubt(now + millis(1_500)));
    assert!(links.begin_check(now + millis(1_500), endpoint(0), &mut rng));
}

/// Guards against calls that are sent in vain, or refused, because a link is being checked that this instance has never used.
#[test]
fn a_check_of_an_unused_link_is_no_sign_of_anything() {
    let (now, mut rng) = (Instant::now(), rng());
    let mut links = sound(now, 1);
    for _ in 0..2 {
        links.record_check(now + millis(500), endpoint(0), CheckResult::Neither);
    }
    assert!(links.begin_check(now + millis(500), endpoint(1), &mut rng));
    assert!(links.is_isolated(now + millis(600)));
    links.due_checks(now + millis(20_000), &mut rng);
    assert!(links.is_isolated(now + millis(20_000)));
    let mut idle = Links::default();
    assert!(idle.begin_check(now, endpoint(1), &mut rng));
    assert!(!idle.is_isolated(now + millis(600)));
}

/// Guards against checks without end between idle instances: each check for a peer made another link unproven.
#[test]
fn only_links_that_requests_use_are_checked_because_another_was_not_reached() {
    for is_requested in [true, false] {
        let (now, mut rng) = (Instant::now(), rng());
        let mut links = sound(now, 1);
        for number in 1..3 {
            if is_requested {
                links.path(now, endpoint(number));
            }
            links.record_send(now, endpoint(number));
            links.record_bytes(now, endpoint(number), now);
        }
        for _ in 0..2 {
            links.record_check(now + millis(500), endpoint(0), CheckResult::Neither);
        }
        let mut due = links.due_checks(now + millis(5_000), &mut rng);
        due.sort_unstable();
        let unproven = if is_requested { [endpoint(1), endpoint(2)].to_vec() } else { Vec::new() };
        assert_eq!(due, [[endpoint(0)].to_vec(), unproven].concat());
    }
}

/// Guards against an answer that is never waited for, and against a verdict that comes before a slow endpoint can answer.
#[test]
fn a_check_waits_longer_after_one_without_an_answer_and_after_a_late_one() {
    let now = Instant::now();
    let (mut links, mut rng) = (sound(now, 1), rng());
    let mut at = now;
    for seconds in [1, 2, 4, 8, 16, 16] {
        let times = links.check_times(endpoint(0));
        assert_eq!((times.answer, times.patience), (millis(200), Duration::from_secs(seconds)));
        assert!(links.begin_check(at, endpoint(0), &mut rng));
        at += times.patience;
        links.end_check(at, endpoint(0), times.patience, false, &mut rng);
    }
    assert!(links.begin_check(at, endpoint(0), &mut rng));
    links.record_check(at + millis(700), endpoint(0), CheckResult::Direct);
    links.end_check(at + millis(700), endpoint(0), millis(700), true, &mut rng);
    let times = links.check_times(endpoint(0));
    assert_eq!((times.answer, times.patience), (millis(1_400), millis(1_400)));
}

/// Guards against an endpoint that counts as unreachable although it was heard while a check waited.
#[test]
fn a_check_says_nothing_of_an_endpoint_that_was_heard_since_it_began() {
    let now = Instant::now();
    for result in [CheckResult::Neither, CheckResult::Tunnel] {
        let mut links = sound(now, 1);
        links.record_bytes(now + millis(300), endpoint(0), now);
        for _ in 0..3 {
            let change = links.record_check_since(now + millis(200), now + millis(700), endpoint(0), result);
            assert_eq!(change, None);
        }
        assert_eq!(links.path(now + millis(700), endpoint(0)), Path::Direct);
    }
}

quickcheck! {
    /// Whatever happens in whatever order, a link is lost only if a peer reached its endpoint, or that of two others, and
    /// nothing has arrived over a new connection since.
    fn links_are_lost_only_on_the_evidence_of_a_peer(steps: Vec<(u8, u8, u16)>) -> bool {
        let (mut links, mut now) = (Links::default(), Instant::now());
        let (mut reached, mut rng) = (0, rng());
        for (kind, number, pause) in steps {
            now += millis(u64::from(pause % 700));
            let address = endpoint(u16::from(number % 4));
            match kind % 6 {
                0 => links.record_send(now, address),
                1 => links.record_failure(now, address),
                2 => {
                    links.record_bytes(now, address, now);
                    if links.path(now, address) != Path::Direct {
                        return false;
                    }
                }
                3 => {
                    reached += 1;
                    links.record_check(now, address, CheckResult::Tunnel);
                    if links.path(now, address) != Path::Tunnel {
                        return false;
                    }
                }
                4 => {
                    links.record_check(now, address, CheckResult::Neither);
                }
                _ => {
                    links.due_checks(now, &mut rng);
                }
            }
            if reached == 0 && links.path(now, address) == Path::Tunnel {
                return false;
            }
        }
        true
    }
}

/// Guards against tunnels over sound links that an instance without traffic does not open, since the check that a tunnel needs waits for a
/// part of the rate of checks that is small among many instances.
#[test]
fn a_check_that_a_peer_waits_for_begins_at_once() {
    for instances in [1, 3, 6, 70, 584] {
        let (start, mut links) = (Instant::now(), Links::default());
        links.set_instances(instances);
        for number in 0..50 {
            let now = start + millis(number * 600);
            assert_eq!(links.begin_peer_probe(now, endpoint(0)), Probe::Begun, "{instances} {number}");
            assert_eq!(links.begin_peer_probe(now, endpoint(0)), Probe::InProgress);
            links.record_check(now + millis(5), endpoint(0), CheckResult::Direct);
            links.end_check(now + millis(5), endpoint(0), millis(5), true, &mut rng());
        }
    }
}

/// Guards against checks for peers without end: one that was not answered is not repeated at once.
#[test]
fn a_check_for_a_peer_is_not_repeated_at_once() {
    let (now, mut links) = (Instant::now(), Links::default());
    assert_eq!(links.begin_peer_probe(now, endpoint(0)), Probe::Begun);
    links.end_check(now + millis(80), endpoint(0), millis(80), false, &mut rng());
    assert_eq!(links.begin_peer_probe(now + millis(100), endpoint(0)), Probe::Later);
    assert_eq!(links.begin_peer_probe(now + millis(1_500), endpoint(0)), Probe::Begun);
}

/// Guards against requests that are sent over a broken link, since the peers that were asked about it had lost their own: another endpoint
/// was reached through a peer, and none directly.
#[test]
fn links_that_no_peer_vouched_for_are_lost_with_the_others() {
    let now = Instant::now();
    let mut links = sound(now, 2);
    links.set_has_peers(true);
    links.record_failure(now + millis(100), endpoint(0));
    links.record_failure(now + millis(100), endpoint(1));
    links.record_check(now + millis(150), endpoint(0), CheckResult::Tunnel);
    for number in 0..2 {
        links.record_check(now + millis(150 + number * 300), endpoint(1), CheckResult::Neither);
    }
    assert!(links.is_cut_off());
    assert_eq!(links.path(now + millis(500), endpoint(1)), Path::Tunnel);
    links.record_check(now + millis(600), endpoint(1), CheckResult::Direct);
    assert_eq!(links.path(now + millis(600), endpoint(1)), Path::Direct);
}

/// Guards against one endpoint that is down, beside a lost link, for which an instance takes its other links for lost.
#[test]
fn a_lost_link_and_an_endpoint_that_is_down_are_no_cut() {
    let now = Instant::now();
    let mut links = sound(now, 3);
    links.set_has_peers(true);
    links.record_check(now + millis(150), endpoint(0), CheckResult::Tunnel);
    for number in 0..2 {
        links.record_check(now + millis(150 + number * 300), endpoint(1), CheckResult::Neither);
    }
    assert!(!links.is_cut_off());
    assert_eq!(links.path(now + millis(500), endpoint(2)), Path::Direct);
}

/// Guards against a peer's request that forgives what this instance owes for its own checks, so that it checks more than its part.
#[test]
fn a_check_for_a_peer_forgives_no_debt() {
    let (now, mut links, mut rng) = (Instant::now(), Links::default(), rng());
    links.set_instances(2);
    assert!(links.begin_check(now, endpoint(0), &mut rng));
    for _ in 0..8 {
        links.take_peers(1);
    }
    assert_eq!(links.begin_peer_probe(now, endpoint(1)), Probe::Begun);
    assert!(!links.begin_check(now + millis(300), endpoint(2), &mut rng));
}
