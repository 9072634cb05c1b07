//! Limits of teams when other members have no spending to report.

use std::time::Duration;

use teaselshunt_core::{Call, Effect, ErrorKind, Event, Fingerprint, Ticket, Work};
use teaselshunt_settings::{Team, TeamLimit, TeamUnit};

use crate::support::{SingleInstance, heartbeat, pair};

/// Lets time pass while heartbeats of the other member arrive.
fn pass_with_heartbeats(instance: &mut SingleInstance, seconds: u32) {
    for _ in 0..seconds * 10 {
        instance.pass(Duration::from_millis(100));
        instance.receive(heartbeat());
        instance.step(Event::Tick);
    }
}

/// Number of calls of the team that are not refused because of its limit.
fn admitted(instance: &mut SingleInstance, tickets: std::ops::Range<u64>) -> usize {
    let refused = |effects: &[Effect]| {
        let limit = |e: &Effect| matches!(e, Effect::Refuse { refusal, .. } if refusal.kind == ErrorKind::QuotaExceeded);
        effects.iter().any(limit)
    };
    let calls = tickets.map(|ticket| {
        let work = Work::Call(Call {
            service: "fees".to_owned(),
            method: "POST".to_owned(),
            team: "crew".to_owned(),
            key: None,
            fingerprint: Fingerprint(ticket),
            deadline: Duration::from_secs(5),
        });
        instance.step(Event::Arrived { ticket: Ticket(ticket), work })
    });
    let effects: Vec<_> = calls.collect();
    effects.iter().filter(|effects| !refused(effects)).count()
}

/// All callers of a team use one instance. The other members are alive and have no spending of the team to
/// report. The team must get its whole limit and not the share of one instance.
#[test]
fn a_team_that_uses_one_instance_gets_its_full_limit() {
    let mut instance = pair();
    pass_with_heartbeats(&mut instance, 6);
    let limit = TeamLimit { unit: TeamUnit::Requests, rate: 1, burst: 10, plain: 0 };
    let crew = Team { name: "crew".to_owned(), weight: 1, keys: Vec::new(), limit: Some(limit) };
    instance.change(|configuration| configuration.teams.push(crew));
    pass_with_heartbeats(&mut instance, 1);
    assert_eq!(admitted(&mut instance, 100..120), 10);
}
