//! Limits of teams over members that have nothing to tell.

use std::time::Duration;

use teaselshunt_core::{Call, Effect, ErrorKind, Event, Fingerprint, Ticket, Work};
use teaselshunt_settings::{Team, TeamLimit, TeamUnit};

use crate::support::{Alone, heartbeat, pair};

/// Lets time pass in which the other member is heard.
fn pass_with_heartbeats(alone: &mut Alone, seconds: u32) {
    for _ in 0..seconds * 10 {
        alone.pass(Duration::from_millis(100));
        alone.receive(heartbeat());
        alone.step(Event::Tick);
    }
}

/// Calls of the team that are not refused for its limit.
fn admitted(alone: &mut Alone, tickets: std::ops::Range<u64>) -> usize {
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
        alone.step(Event::Arrived { ticket: Ticket(ticket), work })
    });
    let effects: Vec<_> = calls.collect();
    effects.iter().filter(|effects| !refused(effects)).count()
}

/// All callers of a team come through one instance. The other members are alive and have nothing to tell of it: the team gets
/// its whole limit, and not the part of one instance.
#[test]
fn a_team_gets_its_whole_limit_through_one_instance() {
    let mut alone = pair();
    pass_with_heartbeats(&mut alone, 6);
    let limit = TeamLimit { unit: TeamUnit::Requests, rate: 1, burst: 10, plain: 0 };
    let crew = Team { name: "crew".to_owned(), weight: 1, keys: Vec::new(), limit: Some(limit) };
    alone.change(|configuration| configuration.teams.push(crew));
    pass_with_heartbeats(&mut alone, 1);
    assert_eq!(admitted(&mut alone, 100..120), 10);
}
