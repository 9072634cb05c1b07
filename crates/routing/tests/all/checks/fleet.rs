//! Instances before endpoints that answer one new connection after the other, in virtual time without a network.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap, HashSet};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use rand::rngs::SmallRng;
use rand::seq::IteratorRandom;
use rand::{Rng, SeedableRng};
use teaselshunt_routing::{CheckResult, Links, Path, Probe};

/// Time between two rounds of checks.
const ROUND: Duration = Duration::from_millis(100);
/// Time of a call over an open connection.
const CALL: Duration = Duration::from_millis(5);
/// Time for which a peer is waited for.
const PEER_TIME: Duration = Duration::from_millis(300);
/// Time within which a peer must have heard an endpoint to open a tunnel without a check of its own.
const HEARD_LATELY: Duration = Duration::from_millis(500);
/// Peers that a check asks.
const PEERS: usize = 3;
/// Time for which an open connection is kept.
const KEEP_ALIVE: Duration = Duration::from_secs(3);
/// Deadline of callers.
const DEADLINE: Duration = Duration::from_secs(2);

#[derive(Debug)]
pub(crate) struct Plan {
    pub(crate) instances: usize,
    pub(crate) endpoints: usize,
    /// Time that a new connection takes an endpoint, one after the other.
    pub(crate) accept_time: Duration,
    /// Time after that until the connection's first answer.
    pub(crate) delay: Duration,
    /// Calls a second at all instances together, until the end of the last pause.
    pub(crate) calls: f64,
    /// Begin and length of pauses of all endpoints.
    pub(crate) pauses: Vec<(Duration, Duration)>,
    pub(crate) end: Duration,
    pub(crate) seed: u64,
}

#[derive(Clone, Copy)]
enum Purpose {
    Check,
    /// Of a check of another instance, with its number.
    Peer(usize),
    Call,
}

struct Connection {
    instance: usize,
    endpoint: usize,
    opened: Duration,
    purpose: Purpose,
    answered: bool,
    closed: bool,
}

#[derive(PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Round(usize),
    Call(usize),
    Answer(usize),
    /// A check has had no answer for some time.
    AskPeers(usize),
    /// The peers of a check have had their time.
    Judge(usize),
    Close(usize),
}

struct Member {
    links: Links,
    takes_tunnels: bool,
    /// Until when there is an idle connection to an endpoint.
    idle: HashMap<usize, Duration>,
}

pub(crate) struct Fleet {
    plan: Plan,
    start: Instant,
    now: Duration,
    members: Vec<Member>,
    /// When each endpoint has answered all that was opened.
    free: Vec<Duration>,
    connections: Vec<Connection>,
    /// Checks that a peer has answered.
    reached: HashSet<usize>,
    events: BinaryHeap<Reverse<(Duration, usize, Event)>>,
    event_count: usize,
    /// Connections that checks opened, by endpoint and second.
    checks: HashMap<(usize, u64), u32>,
    rng: SmallRng,
}

fn address(endpoint: usize) -> SocketAddr {
    ([127, 0, (endpoint >> 8) as u8, endpoint as u8], 1).into()
}

impl Fleet {
    pub(crate) fn new(plan: Plan) -> Self {
        let mut rng = SmallRng::seed_from_u64(plan.seed);
        let member = |_| {
            let mut links = Links::default();
            links.set_instances(plan.instances);
            Member { links, takes_tunnels: true, idle: HashMap::new() }
        };
        let members = (0..plan.instances).map(member).collect();
        let offsets: Vec<Duration> =
            (0..plan.instances).map(|_| ROUND.mul_f64(rng.random_range(0.0..1.0))).collect();
        let mut fleet = Self {
            start: Instant::now(),
            now: Duration::ZERO,
            members,
            free: vec![Duration::ZERO; plan.endpoints],
            connections: Vec::new(),
            reached: HashSet::new(),
            events: BinaryHeap::new(),
            event_count: 0,
            checks: HashMap::new(),
            rng,
            plan,
        };
        for (instance, offset) in offsets.into_iter().enumerate() {
            fleet.schedule(offset, Event::Round(instance));
            fleet.schedule(offset * 3, Event::Call(instance));
        }
        fleet
    }

    fn schedule(&mut self, at: Duration, event: Event) {
        self.event_count += 1;
        self.events.push(Reverse((at, self.event_count, event)));
    }

    /// The first moment from `at` on that is in no pause.
    fn unpaused(&self, at: Duration) -> Duration {
        let pauses = self.plan.pauses.iter();
        pauses.fold(
            at,
            |at, &(begin, length)| {
                if at >= begin && at < begin + length { begin + length } else { at }
            },
        )
    }

    pub(crate) fn run(&mut self) {
        while self.events.peek().is_some_and(|Reverse((at, ..))| *at < self.plan.end) {
            let Some(Reverse((at, _, event))) = self.events.pop() else { return };
            self.now = at;
            match event {
                Event::Round(instance) => self.round(instance),
                Event::Call(instance) => self.call_in_turn(instance),
                Event::Answer(connection) => self.answer(connection),
                Event::AskPeers(check) => self.ask_peers(check),
                Event::Judge(check) => self.judge(check),
                Event::Close(connection) => self.close(connection),
            }
        }
        self.now = self.plan.end;
    }

    fn at(&self) -> Instant {
        self.start + self.now
    }

    fn open(&mut self, instance: usize, endpoint: usize, purpose: Purpose) -> usize {
        if !matches!(purpose, Purpose::Call) {
            *self.checks.entry((endpoint, self.now.as_secs())).or_default() += 1;
        }
        let begin = self.unpaused(self.now.max(self.free[endpoint]));
        self.free[endpoint] = begin + self.plan.accept_time;
        let answer = self.unpaused(self.free[endpoint] + self.plan.delay);
        let (number, opened) = (self.connections.len(), self.now);
        self.connections.push(Connection {
            instance,
            endpoint,
            opened,
            purpose,
            answered: false,
            closed: false,
        });
        self.schedule(answer + CALL, Event::Answer(number));
        if !matches!(purpose, Purpose::Check) {
            let now = self.at();
            self.members[instance].links.record_send(now, address(endpoint));
        }
        number
    }

    fn round(&mut self, instance: usize) {
        self.schedule(self.now + ROUND, Event::Round(instance));
        let (now, member) = (self.at(), &mut self.members[instance]);
        member.idle.retain(|_, until| *until > self.now);
        member.links.set_has_peers(self.plan.instances > 1);
        for due in member.links.due_checks(now, &mut self.rng) {
            let [.., high, low] = match due {
                SocketAddr::V4(address) => address.ip().octets(),
                SocketAddr::V6(_) => unreachable!(),
            };
            self.check(instance, usize::from(high) << 8 | usize::from(low), true);
        }
        let links = &self.members[instance].links;
        let in_doubt = links.is_in_doubt(now) && links.doubtful_count(now) >= 2;
        self.members[instance].takes_tunnels = !links.is_cut_off() && !in_doubt && !links.is_isolated(now);
    }

    /// A check that has begun.
    fn check(&mut self, instance: usize, endpoint: usize, asks_peers: bool) -> usize {
        let times = self.members[instance].links.check_times(address(endpoint));
        let check = self.open(instance, endpoint, Purpose::Check);
        if asks_peers {
            self.schedule(self.now + times.answer, Event::AskPeers(check));
        }
        self.schedule(self.now + times.patience, Event::Close(check));
        check
    }

    fn ask_peers(&mut self, check: usize) {
        let Connection { instance, endpoint, answered: false, .. } = self.connections[check] else { return };
        if !self.members[instance].links.is_lost(address(endpoint)) {
            let others = (0..self.members.len()).filter(|&m| m != instance && self.members[m].takes_tunnels);
            let others = others.choose_multiple(&mut self.rng, PEERS);
            let most =
                if others.is_empty() { 0 } else { self.members[instance].links.take_peers(others.len()) };
            for peer in others.into_iter().take(most) {
                let (now, links) = (self.at(), &mut self.members[peer].links);
                if links.has_heard_within(now, HEARD_LATELY) {
                    self.open(peer, endpoint, Purpose::Peer(check));
                } else if links.begin_peer_probe(now, address(endpoint)) == Probe::Begun {
                    self.check(peer, endpoint, false);
                }
            }
            self.schedule(self.now + PEER_TIME, Event::Judge(check));
        }
    }

    fn judge(&mut self, check: usize) {
        let Connection { instance, endpoint, opened, .. } = self.connections[check];
        let result = if self.reached.contains(&check) { CheckResult::Tunnel } else { CheckResult::Neither };
        let (now, began) = (self.at(), self.start + opened);
        self.members[instance].links.record_check_since(began, now, address(endpoint), result);
    }

    fn close(&mut self, number: usize) {
        let connection = &mut self.connections[number];
        if std::mem::replace(&mut connection.closed, true) || connection.answered {
            return;
        }
        let (endpoint, time, now) =
            (connection.endpoint, self.now.saturating_sub(connection.opened), self.start + self.now);
        let links = &mut self.members[connection.instance].links;
        if matches!(connection.purpose, Purpose::Check) {
            links.end_check(now, address(endpoint), time, false, &mut self.rng);
        }
    }

    fn answer(&mut self, number: usize) {
        let now = self.at();
        let connection = &mut self.connections[number];
        if connection.closed {
            return;
        }
        connection.answered = true;
        let (endpoint, opened) = (address(connection.endpoint), self.start + connection.opened);
        let member = &mut self.members[connection.instance];
        member.links.record_bytes(now, endpoint, opened);
        member.idle.insert(connection.endpoint, self.now + KEEP_ALIVE);
        match connection.purpose {
            Purpose::Check => {
                member.links.record_check(now, endpoint, CheckResult::Direct);
                let time = now - opened;
                member.links.end_check(now, endpoint, time, true, &mut self.rng);
            }
            Purpose::Peer(check) => {
                self.reached.insert(check);
            }
            Purpose::Call => {}
        }
    }

    fn call_in_turn(&mut self, instance: usize) {
        let calls_end = self.plan.pauses.last().map_or(self.plan.end, |&(begin, length)| begin + length);
        if self.now < calls_end {
            let gap = self.plan.instances as f64 / self.plan.calls * self.rng.random_range(0.5..1.5);
            self.schedule(self.now + Duration::from_secs_f64(gap), Event::Call(instance));
            self.call(instance);
        }
    }

    /// Sends a call to any endpoint. Returns its connection if it is a new one.
    fn call(&mut self, instance: usize) -> Option<usize> {
        let (now, endpoint) = (self.at(), self.rng.random_range(0..self.plan.endpoints));
        let links = &mut self.members[instance].links;
        if links.refuses(now, (0..self.plan.endpoints).map(address)) {
            return None;
        }
        if links.path(now, address(endpoint)) != Path::Direct {
            return None;
        }
        if let Some(until) = self.members[instance].idle.remove(&endpoint)
            && until > self.now
        {
            let answer = self.unpaused(self.now) + CALL;
            let (number, opened) = (self.connections.len(), self.now);
            let purpose = Purpose::Call;
            self.connections.push(Connection {
                instance,
                endpoint,
                opened,
                purpose,
                answered: false,
                closed: false,
            });
            self.members[instance].links.record_send(now, address(endpoint));
            self.schedule(answer, Event::Answer(number));
            self.schedule(self.now + DEADLINE, Event::Close(number));
            return Some(number);
        }
        let number = self.open(instance, endpoint, Purpose::Call);
        self.schedule(self.now + DEADLINE, Event::Close(number));
        Some(number)
    }

    /// Goes on until `end`.
    pub(crate) fn run_until(&mut self, end: Duration) {
        self.plan.end = end;
        self.run();
    }

    /// Sends a call at each instance, one after the other, and returns how many were answered.
    pub(crate) fn served(&mut self) -> usize {
        let mut calls = Vec::new();
        for instance in 0..self.plan.instances {
            calls.push(self.call(instance));
            self.run_until(self.now + ROUND);
        }
        self.run_until(self.now + DEADLINE);
        calls.into_iter().flatten().filter(|&call| self.connections[call].answered).count()
    }

    /// Most connections that checks opened to one endpoint in a second of this time.
    pub(crate) fn most_checks(&self, seconds: std::ops::Range<u64>) -> u32 {
        let counts = self.checks.iter().filter(|((_, at), _)| seconds.contains(at));
        counts.map(|(_, &count)| count).max().unwrap_or(0)
    }
}
