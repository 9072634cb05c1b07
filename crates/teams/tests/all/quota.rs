//! Limits of teams over several instances.

use std::time::Duration;

use teaselshunt_teams::{Limit, QuotaMode, Quotas, StartKind, TeamSpending, TeamTag, UpdateHeader};

const TEAM: TeamTag = TeamTag(7);
const LIMIT: Limit = Limit { rate: 1000.0, burst: 1000.0 };
/// Pause between two tellings.
const BEAT: Duration = Duration::from_millis(100);

const fn seconds(number: u64) -> Duration {
    Duration::from_secs(number)
}

fn quotas(way: QuotaMode, start: StartKind, domains: (u32, u32)) -> Quotas<usize> {
    let mut quotas = Quotas::new(seconds(100), way, start, domains);
    quotas.set_limits(seconds(100), [(TEAM, LIMIT)]);
    quotas
}

fn alone(way: QuotaMode) -> Quotas<usize> {
    quotas(way, StartKind::First, (0, 1))
}

/// Waits until an instance counts what peers tell of the time before it heard them.
fn pass_newcomer(quotas: &mut Quotas<usize>) -> Duration {
    let end = seconds(110);
    let mut now = seconds(100);
    while now < end {
        now += BEAT;
        quotas.tick(now);
    }
    now
}

/// Requests of so many units that are admitted one after another at the same moment.
fn admitted(quotas: &mut Quotas<usize>, now: Duration, cost: u64) -> u64 {
    let mut count = 0;
    while quotas.admit(now, TEAM, cost).is_ok() {
        count += 1;
    }
    count
}

/// Instances that hear one another unless they are cut off.
struct Fleet {
    now: Duration,
    members: Vec<Member>,
}

struct Member {
    quotas: Quotas<usize>,
    life: u64,
    sequence: u64,
    /// Those on different sides do not hear one another.
    side: u8,
    domain: u32,
    down: bool,
    leaving: bool,
}

impl Fleet {
    fn new(way: QuotaMode, count: usize) -> Self {
        let member = |n: usize| Member {
            quotas: quotas(way, StartKind::First, (n as u32 % 2, 2)),
            life: n as u64,
            sequence: 0,
            side: 0,
            domain: n as u32 % 2,
            down: false,
            leaving: false,
        };
        let mut fleet = Self { now: seconds(100), members: (0..count).map(member).collect() };
        fleet.beat();
        fleet
    }

    /// Each instance tells the others once.
    fn beat(&mut self) {
        self.now += BEAT;
        let now = self.now;
        for from in 0..self.members.len() {
            let sender = &mut self.members[from];
            if sender.down {
                continue;
            }
            sender.quotas.tick(now);
            sender.sequence += 1;
            let (life, sequence, side, domain) = (sender.life, sender.sequence, sender.side, sender.domain);
            let instances = sender.quotas.known_instances();
            let (leaving, spent) = (sender.leaving, sender.quotas.team_spending(now));
            for (to, hearer) in self.members.iter_mut().enumerate() {
                if to != from && !hearer.down && hearer.side == side {
                    let hearing = UpdateHeader {
                        incarnation: life,
                        sequence,
                        domain,
                        draining: leaving,
                        known_instances: instances,
                    };
                    if hearer.quotas.receive_update(now, from, hearing) {
                        hearer.quotas.merge_spending(now, from, spent.iter().copied());
                    }
                }
            }
        }
    }

    /// Callers ask for `rate` units a second at each instance of the list, by requests of 20; units that are admitted.
    fn run(&mut self, time: Duration, asked: &[(usize, f64)]) -> u64 {
        const COST: u64 = 20;
        let mut units = 0;
        let end = self.now + time;
        let mut due = vec![0.0; asked.len()];
        while self.now < end {
            for (due, (member, rate)) in due.iter_mut().zip(asked) {
                *due += rate * BEAT.as_secs_f64();
                while *due >= COST as f64 {
                    *due -= COST as f64;
                    let member = &mut self.members[*member];
                    if !member.down && member.quotas.admit(self.now, TEAM, COST).is_ok() {
                        units += COST;
                    }
                }
            }
            self.beat();
        }
        units
    }

    /// Failure domains do not hear one another from now on.
    fn cut_by_domain(&mut self) {
        for member in &mut self.members {
            member.side = member.domain as u8;
        }
    }

    fn restart(&mut self, member: usize) {
        let life = self.members[member].life + 1000;
        let Member { side, domain, .. } = self.members[member];
        let mut fresh = Quotas::new(self.now, QuotaMode::Shared, StartKind::Subsequent, (domain, 2));
        fresh.set_limits(self.now, [(TEAM, LIMIT)]);
        self.members[member] =
            Member { quotas: fresh, life, sequence: 0, side, domain, down: false, leaving: false };
    }
}

/// What the limit allows in so many seconds, beside the burst.
fn rate_for(time: Duration) -> f64 {
    LIMIT.rate * time.as_secs_f64()
}

#[test]
fn a_team_without_a_limit_is_always_admitted() {
    let mut quotas = alone(QuotaMode::Shared);
    assert!((0..100_000).all(|_| quotas.admit(seconds(100), TeamTag(8), 1000).is_ok()));
    assert_eq!(quotas.level(TeamTag(8)), None);
}

#[test]
fn a_burst_is_admitted_at_once_and_then_the_rate() {
    for way in [QuotaMode::Parts, QuotaMode::Shared] {
        let mut quotas = alone(way);
        assert_eq!(admitted(&mut quotas, seconds(100), 100), 10);
        assert_eq!(admitted(&mut quotas, seconds(100) + Duration::from_millis(500), 100), 5);
    }
}

/// A request that is larger than the burst is admitted when the account is full, and its team waits for as long as it takes
/// to make up for it; were it refused, it would be for ever.
#[test]
fn a_request_larger_than_the_burst_is_admitted_in_its_turn() {
    let mut quotas = alone(QuotaMode::Shared);
    assert!(quotas.admit(seconds(100), TEAM, 2500).is_ok());
    let shortage = quotas.admit(seconds(100), TEAM, 100).unwrap_err();
    assert_eq!(shortage.wait, Duration::from_millis(1600));
    assert!(quotas.admit(seconds(101), TEAM, 100).is_err());
    assert!(quotas.admit(seconds(102), TEAM, 100).is_ok());
}

/// A caller is refused at a team's limit. The time that it is told is when the account has room for it; those who were
/// refused with it share out the time that the rate needs for all of them.
#[test]
fn a_refusal_tells_when_there_is_room() {
    let mut quotas = alone(QuotaMode::Shared);
    admitted(&mut quotas, seconds(100), 100);
    let first = quotas.admit(seconds(100), TEAM, 200).unwrap_err();
    assert_eq!(first.wait, Duration::from_millis(200));
    assert!(quotas.admit(seconds(100) + first.wait, TEAM, 200).is_ok());
    let last = (0..20).map(|_| quotas.admit(seconds(101), TEAM, 900).unwrap_err()).last().unwrap();
    assert!(last.backlog > seconds(9), "{last:?}");
}

#[test]
fn what_has_not_run_is_given_back() {
    let mut quotas = alone(QuotaMode::Shared);
    admitted(&mut quotas, seconds(100), 100);
    quotas.refund(seconds(100), TEAM, 300);
    assert_eq!(admitted(&mut quotas, seconds(100), 100), 3);
}

#[test]
fn a_raised_burst_counts_at_once_and_a_lowered_limit_too() {
    let mut quotas = alone(QuotaMode::Shared);
    admitted(&mut quotas, seconds(100), 100);
    quotas.set_limits(seconds(100), [(TEAM, Limit { rate: 1000.0, burst: 1500.0 })]);
    assert_eq!(admitted(&mut quotas, seconds(100), 100), 5);
    quotas.set_limits(seconds(110), [(TEAM, Limit { rate: 100.0, burst: 200.0 })]);
    assert_eq!(admitted(&mut quotas, seconds(110), 100), 2);
    assert_eq!(admitted(&mut quotas, seconds(111), 100), 1);
}

/// A team floods through all instances at once, at nine times its limit. What instances have not told one another yet is
/// admitted too much, once; then the rate holds.
#[test]
fn a_flood_through_all_instances_gets_the_rate() {
    let mut fleet = Fleet::new(QuotaMode::Shared, 10);
    let flood: Vec<_> = (0..10).map(|n| (n, 900.0)).collect();
    let units = fleet.run(seconds(8), &flood) as f64;
    let limit = rate_for(seconds(8)) + LIMIT.burst;
    assert!(units <= limit * 1.25, "{units} of {limit}");
    assert!(units >= limit * 0.95, "{units} of {limit}");
    let later = fleet.run(seconds(8), &flood) as f64;
    assert!(later <= rate_for(seconds(8)) * 1.1, "{later}");
}

/// Callers are spread by hash: all of a team's come through one instance of ten. It is below its limit, and is refused
/// nothing where the account is shared; with an equal part for each instance it would get a tenth.
#[test]
fn a_team_below_its_limit_is_admitted_through_one_instance() {
    let mut fleet = Fleet::new(QuotaMode::Shared, 10);
    let units = fleet.run(seconds(10), &[(3, 950.0)]) as f64;
    assert!(units >= 9400.0, "{units}");
    let mut fleet = Fleet::new(QuotaMode::Parts, 10);
    let units = fleet.run(seconds(10), &[(3, 950.0)]) as f64;
    assert!(units < 2000.0, "{units}");
}

/// Two sides cannot hear one another and a team floods both. Each side divides the limit among all instances that it
/// remembers, and admits the part of those that it hears: together they admit one limit and not two.
#[test]
fn both_sides_of_a_cut_together_keep_to_the_limit() {
    let mut fleet = Fleet::new(QuotaMode::Shared, 8);
    let flood: Vec<_> = (0..8).map(|n| (n, 900.0)).collect();
    fleet.run(seconds(4), &flood);
    for member in &mut fleet.members[..2] {
        member.side = 1;
    }
    fleet.run(seconds(2), &flood);
    for _ in 0..4 {
        let units = fleet.run(seconds(8), &flood) as f64;
        let limit = rate_for(seconds(8)) + LIMIT.burst;
        assert!(units <= limit * 1.25, "{units} of {limit}");
        assert!(units >= rate_for(seconds(8)) * 0.85, "a cut starves nobody: {units} of {limit}");
    }
    for member in &mut fleet.members {
        member.side = 0;
    }
    // What the other side admitted meanwhile was set aside for it: nobody pays for it now.
    let units = fleet.run(seconds(2), &flood) as f64;
    assert!(units >= rate_for(seconds(2)) * 0.7, "{units}");
}

/// An instance starts again inside a cut. It has never heard the other side; were it to divide the limit among those that
/// it hears only, its side would admit all of it, beside what the other side admits.
#[test]
fn an_instance_that_starts_inside_a_cut_keeps_to_its_sides_part() {
    let mut fleet = Fleet::new(QuotaMode::Shared, 8);
    let flood: Vec<_> = (0..8).map(|n| (n, 900.0)).collect();
    // By failure domains: even numbers are one.
    for (n, member) in fleet.members.iter_mut().enumerate() {
        member.side = (n % 2) as u8;
    }
    fleet.run(seconds(4), &flood);
    for n in [0, 2, 4, 6] {
        fleet.restart(n);
    }
    fleet.run(seconds(2), &flood);
    let units = fleet.run(seconds(8), &flood) as f64;
    let limit = rate_for(seconds(8)) + LIMIT.burst;
    assert!(units <= limit * 1.25, "{units} of {limit}");
}

/// All instances are killed and start at once while a team floods, at five times its limit. Nobody remembers what it was admitted just before: the
/// accounts begin with a part of the burst, and not with a new one each time.
#[test]
fn restarts_of_all_instances_do_not_multiply_the_burst() {
    let mut fleet = Fleet::new(QuotaMode::Shared, 6);
    let flood: Vec<_> = (0..6).map(|n| (n, 830.0)).collect();
    let before = fleet.run(seconds(7), &flood) as f64;
    for n in 0..6 {
        fleet.restart(n);
    }
    let units = before + fleet.run(seconds(1), &flood) as f64;
    let limit = rate_for(seconds(8)) + LIMIT.burst;
    assert!(units <= limit * 1.25, "{units} of {limit}");
}

/// One instance of ten is killed and another restarted. A team below its limit is refused nothing by either the restarted
/// instance or the others.
#[test]
fn a_restarted_instance_does_not_pay_for_what_it_missed() {
    let mut fleet = Fleet::new(QuotaMode::Shared, 10);
    let usual: Vec<_> = (0..10).map(|n| (n, 60.0)).collect();
    fleet.run(seconds(5), &usual);
    fleet.restart(4);
    let units = fleet.run(seconds(5), &usual) as f64;
    assert_eq!(units, 600.0 * 5.0);
}

/// Instances that say that they end are no reason to set anything aside for them.
#[test]
fn nothing_is_set_aside_for_instances_that_have_said_that_they_end() {
    let mut fleet = Fleet::new(QuotaMode::Shared, 4);
    for n in [0, 1] {
        fleet.members[n].leaving = true;
    }
    fleet.beat();
    for n in [0, 1] {
        fleet.members[n].down = true;
    }
    fleet.run(seconds(3), &[]);
    let units = fleet.run(seconds(8), &[(2, 2000.0), (3, 2000.0)]) as f64;
    assert!(units >= rate_for(seconds(8)), "{units}");
}

/// Tellings come twice, late and in the wrong order, and late ones of a former life after those of the new one. None is
/// taken into account a second time.
#[test]
fn doubled_and_late_tellings_change_nothing() {
    let mut quotas = alone(QuotaMode::Shared);
    let now = pass_newcomer(&mut quotas);
    let mut hear = |life, sequence, total, recent| {
        let hearing =
            UpdateHeader { incarnation: life, sequence, domain: 0, draining: false, known_instances: 2 };
        if quotas.receive_update(now, 1, hearing) {
            quotas.merge_spending(now, 1, [TeamSpending { team: TEAM, total, recent, level: 1000 }]);
        }
        quotas.level(TEAM).unwrap()
    };
    assert_eq!(hear(1, 1, 100, 100), 900.0);
    assert_eq!(hear(1, 3, 300, 200), 700.0);
    assert_eq!(hear(1, 2, 200, 200), 700.0, "overtaken");
    assert_eq!(hear(1, 3, 300, 200), 700.0, "doubled");
    assert_eq!(hear(2, 1, 50, 50), 650.0, "a new life counts from nothing");
    assert_eq!(hear(1, 4, 400, 200), 650.0, "of the life before");
    assert_eq!(hear(2, 2, 80, 80), 620.0);
}

/// Of a team that is far from its limit nothing is told, and of one that is near, all.
#[test]
fn only_teams_near_their_limits_are_told_of() {
    let mut quotas = alone(QuotaMode::Shared);
    let now = seconds(110);
    quotas.admit(now, TEAM, 20).unwrap();
    assert!(quotas.team_spending(now).is_empty());
    quotas.admit(now, TEAM, 700).unwrap();
    let told = quotas.team_spending(now);
    assert_eq!(told, [TeamSpending { team: TEAM, total: 720, recent: 720, level: 280 }]);
    assert!(quotas.team_spending(now + seconds(5)).is_empty(), "a change is told for a while only");
}

/// A machine stands still for seconds and wakes. Limits went on refilling meanwhile and others went on admitting; the two
/// cancel out, and callers of a team below its limit are not refused.
#[test]
fn an_instance_that_wakes_does_not_refuse_for_what_it_slept_through() {
    let mut quotas = alone(QuotaMode::Shared);
    let hearing =
        |sequence| UpdateHeader { incarnation: 1, sequence, domain: 0, draining: false, known_instances: 2 };
    let total = |total| [TeamSpending { team: TEAM, total, recent: 500, level: 1000 }];
    assert!(quotas.receive_update(seconds(110), 1, hearing(1)));
    quotas.merge_spending(seconds(110), 1, total(1000));
    assert!(quotas.receive_update(seconds(118), 1, hearing(2)));
    quotas.merge_spending(seconds(118), 1, total(1000 + 8 * 500));
    assert!(quotas.admit(seconds(119), TEAM, 500).is_ok(), "level {:?}", quotas.level(TEAM));
}

/// All instances of both sides start again inside a cut, so that nobody remembers the other side. Each side takes the failure
/// domains that it has not heard to be as large as its own: together they must admit one limit and not two.
#[test]
fn both_sides_that_start_again_inside_a_cut_keep_to_the_limit() {
    let mut fleet = Fleet::new(QuotaMode::Shared, 4);
    fleet.cut_by_domain();
    for member in 0..4 {
        fleet.restart(member);
    }
    let units = flood_after(&mut fleet, seconds(60));
    assert!(units <= bound(FLOOD), "{units}");
}

/// A cut between failure domains lasts for more than ten minutes, as one between regions does several times a year. Each
/// side forgot the other one then and admitted the whole limit.
#[test]
fn a_cut_of_over_ten_minutes_keeps_to_the_limit() {
    let mut fleet = Fleet::new(QuotaMode::Shared, 4);
    fleet.cut_by_domain();
    let units = flood_after(&mut fleet, seconds(11 * 60));
    assert!(units <= bound(FLOOD), "{units}");
}

/// A cut of over ten minutes heals. Those who are heard first must not have the others of their failure domain forgotten.
#[test]
fn the_end_of_a_long_cut_keeps_to_the_limit() {
    let mut fleet = Fleet::new(QuotaMode::Shared, 8);
    fleet.cut_by_domain();
    fleet.run(seconds(11 * 60), &[]);
    for member in [0, 1] {
        fleet.members[member].side = 2;
    }
    let units = flood_after(&mut fleet, seconds(1));
    assert!(units <= bound(FLOOD), "{units}");
}

/// Instances are replaced without a word, again and again. Shares of those that are gone would add up until nobody is
/// admitted anything.
#[test]
fn replaced_instances_leave_no_shares_behind() {
    let mut fleet = Fleet::new(QuotaMode::Shared, 8);
    for gone in [4, 5, 6, 7] {
        fleet.members[gone].down = true;
    }
    fleet.run(seconds(11 * 60), &[]);
    let units = fleet.run(FLOOD, &[(0, 3000.0), (1, 3000.0)]) as f64;
    assert!(units >= rate_for(FLOOD), "{units}");
}

/// How long a team floods.
const FLOOD: Duration = seconds(8);

/// Units that a team gets which floods all instances, at nine times its limit, after a quiet time.
fn flood_after(fleet: &mut Fleet, quiet: Duration) -> u64 {
    fleet.run(quiet, &[]);
    let asked: Vec<_> = (0..fleet.members.len()).map(|member| (member, LIMIT.rate * 9.0 / 4.0)).collect();
    fleet.run(FLOOD, &asked)
}

/// What a team may get at most in so many seconds: its limit and a quarter of it.
fn bound(time: Duration) -> u64 {
    ((rate_for(time) + LIMIT.burst) * 1.25) as u64
}
