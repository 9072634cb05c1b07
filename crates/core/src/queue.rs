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
    teams: HashMap<String, Line<K>>,
    pass: u64,
}

#[derive(Debug)]
struct Line<K> {
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
        let line = self.levels.entry(priority).or_default().line(team);
        line.waiting.push_back(key);
        self.length += 1;
    }

    /// Puts a request at the head of its team's line.
    pub(crate) fn push_front(&mut self, priority: u8, team: &str, key: K) {
        let line = self.levels.entry(priority).or_default().line(team);
        line.waiting.push_front(key);
        self.length += 1;
    }

    /// The next request, left where it is.
    pub(crate) fn peek(&self) -> Option<K> {
        let level = self.levels.values().find(|l| !l.teams.is_empty())?;
        let (_, line) = level.next()?;
        line.waiting.front().copied()
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
        let Some(line) = level.teams.get_mut(team) else {
            return false;
        };
        let Some(place) = line.waiting.iter().position(|&k| k == key) else {
            return false;
        };
        line.waiting.remove(place);
        if line.waiting.is_empty() {
            level.teams.remove(team);
        }
        self.length -= 1;
        true
    }
}

impl<K: Copy + PartialEq> Level<K> {
    fn line(&mut self, team: &str) -> &mut Line<K> {
        let pass = self.pass;
        self.teams.entry(team.to_owned()).or_insert_with(|| Line { pass, waiting: VecDeque::new() })
    }

    fn next(&self) -> Option<(&String, &Line<K>)> {
        self.teams.iter().min_by_key(|(name, line)| (line.pass, name.as_str()))
    }

    fn pop(&mut self, weight: impl Fn(&str) -> u32) -> K {
        let name = self.next().map(|(name, _)| name.clone()).expect("a level that is popped has a team");
        let line = self.teams.get_mut(&name).expect("the team was found above");
        let key = line.waiting.pop_front().expect("a line without requests is removed");
        self.pass = line.pass;
        line.pass += STRIDE / u64::from(weight(&name).max(1));
        if line.waiting.is_empty() {
            self.teams.remove(&name);
        }
        key
    }
}
