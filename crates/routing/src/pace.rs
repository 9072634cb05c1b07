//! Pace of engines: how long an engine takes for its work, as a multiple of what is usual among engines.
//!
//! With 60 engines, 68 instances and 52 generations a second, a pair of instance and engine meets once in 80 s,
//! so that no instance can learn an engine's pace by itself. Each finished prefill and each stream therefore
//! gives a sample, and instances report their samples to one another. All of them average the same samples,
//! apart from lost ones.
//!
//! A sample is a time per unit of work, of which every instance takes the same ratio: that to the mean of the
//! engines that do the same work. A ratio to what is usual for the sender would hide most of the difference
//! where each failure domain has engines of one speed, since instances mostly use the engines of their own.
//!
//! - A sample counts once. It is reported several times within half a second, since reports are lost; receivers
//!   keep the sequence numbers that they have seen of each incarnation of a sender, and ignore incarnations
//!   that another one has replaced.
//! - A false sample does little: one counts fully only if the one before confirms it, an engine's pace is drawn
//!   to 1 as by two more samples, and paces have bounds.
//! - State is bounded: an average that has lost its weight without samples is removed, and so is a sender that
//!   is no longer heard. A report costs constant work per sample.
//! - An average belongs to one incarnation of an engine (its tag) and one stage.

use std::collections::{HashMap, VecDeque};
use std::hash::Hash;
use std::time::{Duration, Instant};

use crate::{EngineTag, Stage};

/// Time for which a sample is reported, some gossip intervals.
const REPORT_TIME: Duration = Duration::from_millis(500);
/// Samples in one report. An instance with 17 generations a second makes about as many in [`REPORT_TIME`].
const REPORTS_MAX: usize = 16;
/// Range of times per unit that can be told, in seconds, from a token of a prefill to an event of a stalled
/// stream; others are clamped.
const SECONDS_RANGE: (f64, f64) = (1e-6, 1.0);
/// Most samples whose mean is an average. With two samples a second, it has followed most of a change after three
/// seconds.
const SPAN: f64 = 6.0;
/// Samples at pace 1 that are assumed beside those of an engine, and most of the latter that count against them.
const PRIOR: (f64, f64) = (2.0, 18.0);
/// How far below the average, as a logarithm, a sample counts that the one before doesn't confirm.
const UNCONFIRMED: f64 = 0.3;
/// Highest pace; the lowest is its inverse.
const PACE_MAX: f64 = 4.0;
/// Time without samples after which a pace begins to return to 1. Without it, paces would be too close to 1 where
/// an engine has a sample a second.
const DECAY_DELAY: Duration = Duration::from_secs(2);
/// Time in which a pace returns halfway to 1, as a logarithm.
const HALF_LIFE: Duration = Duration::from_secs(10);
/// Part of a pace below which nothing is left of it.
const FORGOTTEN: f64 = 0.05;
/// Averages that are kept. Samples of further engines are ignored: reports name more engines than there are.
const AVERAGES_MAX: usize = 16_384;
/// Senders that are kept.
const SENDERS_MAX: usize = 4_096;
/// Time without samples after which a sender is forgotten. No datagram is late by so much.
const SENDER_TTL: Duration = Duration::from_mins(1);
/// Incarnations of a sender that are remembered after they have ended.
const ENDED_MAX: usize = 4;
/// Largest step between sequence numbers that are received: more samples than an instance makes in
/// [`SENDER_TTL`].
const SEQUENCE_STEP_MAX: u32 = 100_000;
/// Time between two warnings about implausible reports.
const WARNING_INTERVAL: Duration = Duration::from_secs(1);
/// One sample of an engine's pace, as reported to peers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PaceReport {
    /// The engine.
    pub engine: EngineTag,
    /// Stage of the work.
    pub stage: Stage,
    /// Time per unit of work, logarithmic: 0 and 255 are a microsecond and a second.
    pub time: u8,
    /// Increases with each sample of the sender's incarnation.
    pub sequence: u32,
}

/// An engine's time for its work as a multiple of the usual time.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Pace {
    /// The multiple.
    pub value: f64,
    /// Samples that it was learned from.
    pub samples: u32,
}

/// Moving average of the logarithm of an engine's time per unit.
#[derive(Debug, Clone, Copy)]
struct Average {
    log: f64,
    /// The last sample.
    last: f64,
    /// Samples that count.
    weight: f64,
    samples: u32,
    /// When the last sample was received.
    at: Instant,
}

impl Average {
    /// Part of the pace that is left after the time without samples.
    fn remaining(&self, now: Instant) -> f64 {
        let idle = now.saturating_duration_since(self.at).saturating_sub(DECAY_DELAY);
        (-idle.as_secs_f64() / HALF_LIFE.as_secs_f64()).exp2()
    }

    /// Weight of the average against pace 1.
    fn confidence(&self, now: Instant) -> f64 {
        self.remaining(now) * self.weight / (self.weight + PRIOR.0)
    }

    fn add(&mut self, now: Instant, log: f64) {
        self.weight = (self.weight * self.remaining(now) + 1.0).min(PRIOR.1);
        self.log += (counted(self.log, self.last, log) - self.log) / self.weight.min(SPAN);
        self.samples = self.samples.saturating_add(1);
        (self.last, self.at) = (log, now);
    }
}

/// What of a sample counts in an average.
///
/// About a quarter of all prompts wait behind one that another instance sent to the engine within the same gossip
/// interval, and their times are up to several times too long. Where the last two samples differ, the shorter is
/// therefore nearer to the truth; but if only one of them is below the average, it counts only so far.
fn counted(average: f64, before: f64, sample: f64) -> f64 {
    let (least, most) = (before.min(sample), before.max(sample));
    average.clamp(least, most).min(least.max(average - UNCONFIRMED))
}

/// Samples of a peer that were received.
#[derive(Debug)]
struct Sender {
    incarnation: u64,
    /// Incarnations that ended, the latest first.
    ended: VecDeque<u64>,
    /// Highest sequence number, and which of those up to 63 below it were received.
    highest: u32,
    received: u64,
    at: Instant,
}

impl Sender {
    fn new(now: Instant, incarnation: u64) -> Self {
        Self { incarnation, ended: VecDeque::new(), highest: 0, received: 0, at: now }
    }

    /// Notes an incarnation. Returns whether it is the present one, and not one that has ended.
    fn is_present(&mut self, incarnation: u64) -> bool {
        if self.incarnation == incarnation {
            return true;
        }
        if self.ended.contains(&incarnation) {
            return false;
        }
        self.ended.push_front(self.incarnation);
        self.ended.truncate(ENDED_MAX);
        (self.incarnation, self.highest, self.received) = (incarnation, 0, 0);
        true
    }

    /// Notes a sequence number.
    fn receive(&mut self, sequence: u32) -> Reception {
        if self.received == 0 {
            (self.highest, self.received) = (sequence, 1);
            return Reception::New;
        }
        if let Some(step) = sequence.checked_sub(self.highest).filter(|&step| step > 0) {
            if step > SEQUENCE_STEP_MAX {
                return Reception::Implausible;
            }
            self.received = self.received.checked_shl(step).unwrap_or(0) | 1;
            self.highest = sequence;
            return Reception::New;
        }
        let bit = 1_u64.checked_shl(self.highest - sequence).unwrap_or(0);
        if bit == 0 || self.received & bit != 0 {
            return Reception::Known;
        }
        self.received |= bit;
        Reception::New
    }
}

/// What a sequence number shows about a sample.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Reception {
    New,
    /// It was received before, or is so old that this is no longer known.
    Known,
    Implausible,
}

/// The pace of engines, by the samples of this instance and its peers. `P` names an instance.
#[derive(Debug)]
pub struct Paces<P> {
    /// Newest own samples, and when each was made.
    own: VecDeque<(Instant, PaceReport)>,
    sequence: u32,
    senders: HashMap<P, Sender>,
    averages: HashMap<(EngineTag, Stage), Average>,
    warned: Option<Instant>,
}

impl<P> Default for Paces<P> {
    fn default() -> Self {
        Self {
            own: VecDeque::new(),
            sequence: 0,
            senders: HashMap::new(),
            averages: HashMap::new(),
            warned: None,
        }
    }
}

impl<P: Copy + Eq + Hash> Paces<P> {
    /// Takes a sample of this instance: the time per unit of work at an engine, in seconds.
    pub fn observe(&mut self, now: Instant, engine: EngineTag, stage: Stage, seconds: f64) {
        if seconds.is_nan() || seconds <= 0.0 {
            return;
        }
        let time = encode(seconds);
        self.add(now, (engine, stage), time);
        self.sequence = self.sequence.wrapping_add(1);
        self.own.push_back((now, PaceReport { engine, stage, time, sequence: self.sequence }));
        if self.own.len() > REPORTS_MAX {
            self.own.pop_front();
        }
    }

    /// Samples to report to peers now.
    pub fn reports(&mut self, now: Instant) -> Vec<PaceReport> {
        self.own.retain(|(at, _)| now.saturating_duration_since(*at) < REPORT_TIME);
        self.own.iter().map(|&(_, report)| report).collect()
    }

    /// Takes the samples of a peer that were not received before. Returns whether implausible ones were ignored,
    /// at most once a second, for a warning.
    pub fn merge(&mut self, now: Instant, from: P, incarnation: u64, reports: &[PaceReport]) -> bool {
        if reports.is_empty() || (self.senders.len() >= SENDERS_MAX && !self.senders.contains_key(&from)) {
            return false;
        }
        let sender = self.senders.entry(from).or_insert_with(|| Sender::new(now, incarnation));
        if !sender.is_present(incarnation) {
            return false;
        }
        sender.at = now;
        let receptions: Vec<(Reception, PaceReport)> = reports
            .iter()
            .take(REPORTS_MAX)
            .map(|report| (sender.receive(report.sequence), *report))
            .collect();
        let mut implausible = reports.len() > REPORTS_MAX;
        for (reception, report) in receptions {
            match reception {
                Reception::New => self.add(now, (report.engine, report.stage), report.time),
                Reception::Known => {}
                Reception::Implausible => implausible = true,
            }
        }
        let recent = |at: Instant| now.saturating_duration_since(at) < WARNING_INTERVAL;
        let warns = implausible && !self.warned.is_some_and(recent);
        if warns {
            self.warned = Some(now);
        }
        warns
    }

    fn add(&mut self, now: Instant, key: (EngineTag, Stage), time: u8) {
        if self.averages.len() >= AVERAGES_MAX && !self.averages.contains_key(&key) {
            return;
        }
        let log = decode(time);
        let new = Average { log, last: log, weight: 0.0, samples: 0, at: now };
        self.averages.entry(key).or_insert(new).add(now, log);
    }

    /// Pace of each of these engines, which do the same work, relative to their mean.
    ///
    /// When all of them become slower, by load for example, each keeps its pace.
    pub fn paces(&self, now: Instant, stage: Stage, engines: &[EngineTag]) -> Vec<Pace> {
        let averages: Vec<_> = engines.iter().map(|&engine| self.averages.get(&(engine, stage))).collect();
        let mut logs: Vec<f64> = averages.iter().flatten().map(|average| average.log).collect();
        if logs.is_empty() {
            return vec![Pace { value: 1.0, samples: 0 }; engines.len()];
        }
        let middle = logs.len() / 2;
        let (_, &mut median, _) = logs.select_nth_unstable_by(middle, f64::total_cmp);
        // An engine with a huge time, such as one that was paused, doesn't change the pace of the others.
        let bound = PACE_MAX.ln();
        let limited = |average: &Average| average.log.clamp(median - bound, median + bound);
        let known = averages.iter().flatten().map(|average| (limited(average), average.confidence(now)));
        let (sum, weight) = known.fold((0.0, 0.0), |sums, (log, w)| (sums.0 + log * w, sums.1 + w));
        let pace = |average: &Average| {
            let log = (average.log - sum / weight).clamp(-bound, bound) * average.confidence(now);
            Pace { value: log.exp(), samples: average.samples }
        };
        let unknown = Pace { value: 1.0, samples: 0 };
        averages.into_iter().map(|average| average.map_or(unknown, pace)).collect()
    }

    /// Removes averages of which nothing is left, and senders that are not heard any more.
    pub fn expire(&mut self, now: Instant) {
        self.averages.retain(|_, average| average.remaining(now) > FORGOTTEN);
        self.senders.retain(|_, sender| now.saturating_duration_since(sender.at) < SENDER_TTL);
    }

    /// Forgets an engine that is not listed any more.
    pub fn remove(&mut self, engine: EngineTag) {
        for stage in [Stage::Prefill, Stage::Decode] {
            self.averages.remove(&(engine, stage));
        }
    }

    /// How many averages are kept.
    pub fn len(&self) -> usize {
        self.averages.len()
    }

    /// Whether all engines have pace 1, as far as is known.
    pub fn is_empty(&self) -> bool {
        self.averages.is_empty()
    }
}

fn encode(seconds: f64) -> u8 {
    let (least, most) = SECONDS_RANGE;
    let log = (seconds / least).ln() / (most / least).ln();
    (log.clamp(0.0, 1.0) * f64::from(u8::MAX)).round() as u8
}

/// Logarithm of an encoded time.
fn decode(time: u8) -> f64 {
    let (least, most) = SECONDS_RANGE;
    least.ln() + f64::from(time) / f64::from(u8::MAX) * (most / least).ln()
}
