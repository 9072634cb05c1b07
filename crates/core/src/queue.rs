//! Requests that wait for a slot: by priority, then fair between teams.
//!
//! Within one priority, teams are served by stride scheduling: each team has a pass that grows by the
//! inverse of its weight whenever one of its requests is taken, and the team with the lowest pass is next. A
//! team that floods the queue waits behind its own flood; a team that was away starts at the current pass,
//! so it neither saves up credit nor pays for its absence.

use std::collections::{BTreeMap, HashMap, VecDeque};

/// Pass of a team of weight 1 for one request.
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

    /// Requests that would be served before a new one of this priority.
    pub(crate) fn ahead(&self, priority: u8) -> usize {
        let levels = self.levels.range(..=priority);
        levels.map(|(_, l)| l.teams.values().map(|t| t.waiting.len()).sum::<usize>()).sum()
    }

    pub(crate) fn push(&mut self, priority: u8, team: &str, key: K) {
        let queue = self.levels.entry(priority).or_default().team_queue(team);
        queue.waiting.push_back(key);
        self.length += 1;
    }

    /// Puts a request at the head of its team's line.
    pub(crate) fn push_front(&mut self, priority: u8, team: &str, key: K) {
        let queue = self.levels.entry(priority).or_default().team_queue(team);
        queue.waiting.push_front(key);
        self.length += 1;
    }

    /// The next request, left where it is.
    pub(crate) fn peek(&self) -> Option<K> {
        let level = self.levels.values().find(|l| !l.teams.is_empty())?;
        let (_, queue) = level.next_team()?;
        queue.waiting.front().copied()
    }

    /// Takes the next request; `weight` gives a team's weight.
    pub(crate) fn pop(&mut self, weight: impl Fn(&str) -> u32) -> Option<K> {
        let level = self.levels.values_mut().find(|l| !l.teams.is_empty())?;
        let key = level.pop(weight);
        self.length -= 1;
        Some(key)
    }

    /// Takes a request out, wherever it stands.
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
        let name = self.next_team().map(|(name, _)| name.clone()).expect("a level that is popped has a team");
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
