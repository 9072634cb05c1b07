//! Requests that wait for a slot, served by priority and then fairly between teams.
//!
//! Within a priority, teams are served by stride scheduling. Each team has a pass that rises by the inverse
//! of the team's weight whenever one of its requests is served, and the team with the lowest pass is next. A
//! team that floods the queue delays only itself. A team without waiting requests rejoins at the current
//! pass: it neither accumulates credit nor is penalized for its absence.

use std::collections::{BTreeMap, HashMap, VecDeque};

/// Increment of the pass of a team with weight 1 per request.
const STRIDE: u64 = 1 << 20;

/// Waiting requests of one pool.
#[derive(Debug)]
pub(crate) struct Queue<K> {
    levels: BTreeMap<u8, Level<K>>,
    length: usize,
}

#[derive(Debug)]
struct Level<K> {
    teams: HashMap<String, TeamQueue<K>>,
    pass: u64,
}

#[derive(Debug)]
struct TeamQueue<K> {
    pass: u64,
    waiting: VecDeque<K>,
}

impl<K> Default for Queue<K> {
    fn default() -> Self {
        Self { levels: BTreeMap::new(), length: 0 }
    }
}

impl<K> Default for Level<K> {
    fn default() -> Self {
        Self { teams: HashMap::new(), pass: 0 }
    }
}

impl<K: Copy + PartialEq> Queue<K> {
    pub(crate) fn len(&self) -> usize {
        self.length
    }

    /// Number of requests that would be served before a new one of this priority.
    pub(crate) fn ahead(&self, priority: u8) -> usize {
        let levels = self.levels.range(..=priority);
        levels.map(|(_, l)| l.teams.values().map(|t| t.waiting.len()).sum::<usize>()).sum()
    }

    pub(crate) fn push(&mut self, priority: u8, team: &str, key: K) {
        let queue = self.levels.entry(priority).or_default().team_queue(team);
        queue.waiting.push_back(key);
        self.length += 1;
    }

    /// Adds a request at the front of its team's queue.
    pub(crate) fn push_front(&mut self, priority: u8, team: &str, key: K) {
        let queue = self.levels.entry(priority).or_default().team_queue(team);
        queue.waiting.push_front(key);
        self.length += 1;
    }

    /// The next request, which stays in the queue.
    pub(crate) fn peek(&self) -> Option<K> {
        let level = self.levels.values().find(|l| !l.teams.is_empty())?;
        let (_, queue) = level.next_team()?;
        queue.waiting.front().copied()
    }

    /// Removes the next request; `weight` returns a team's weight.
    pub(crate) fn pop(&mut self, weight: impl Fn(&str) -> u32) -> Option<K> {
        let level = self.levels.values_mut().find(|l| !l.teams.is_empty())?;
        let key = level.pop(weight);
        self.length -= 1;
        Some(key)
    }

    /// Removes a request at any position; `false` if it is not in the queue.
    pub(crate) fn remove(&mut self, priority: u8, team: &str, key: K) -> bool {
        let Some(level) = self.levels.get_mut(&priority) else {
            return false;
        };
        let Some(queue) = level.teams.get_mut(team) else {
            return false;
        };
        let Some(place) = queue.waiting.iter().position(|&k| k == key) else {
            return false;
        };
        queue.waiting.remove(place);
        if queue.waiting.is_empty() {
            level.teams.remove(team);
        }
        self.length -= 1;
        true
    }
}

impl<K: Copy + PartialEq> Level<K> {
    fn team_queue(&mut self, team: &str) -> &mut TeamQueue<K> {
        let pass = self.pass;
        self.teams.entry(team.to_owned()).or_insert_with(|| TeamQueue { pass, waiting: VecDeque::new() })
    }

    fn next_team(&self) -> Option<(&String, &TeamQueue<K>)> {
        self.teams.iter().min_by_key(|(name, queue)| (queue.pass, name.as_str()))
    }

    fn pop(&mut self, weight: impl Fn(&str) -> u32) -> K {
        let name = self.next_team().map(|(name, _)| name.clone()).expect("a level has at least one team");
        let queue = self.teams.get_mut(&name).expect("the team was found above");
        let key = queue.waiting.pop_front().expect("an empty team queue is removed");
        self.pass = queue.pass;
        queue.pass += STRIDE / u64::from(weight(&name).max(1));
        if queue.waiting.is_empty() {
            self.teams.remove(&name);
        }
        key
    }
}
