//! An instance whose processor is one queue of steps, in virtual time: callers connect, and each request takes some steps with
//! pauses for its endpoint between them.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};
use std::time::{Duration, Instant};

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use teaselshunt_routing::{ConnectionShedding, LATENESS_INTERVAL};

/// Steps of a request until its response begins.
const REQUEST_STEPS: u32 = 10;
/// Steps of the events of a stream.
const STREAM_STEPS: u32 = 70;
/// Longest time between two steps of a request.
const STEP_PAUSE: Duration = Duration::from_millis(15);
/// Time after which a caller that stays connected sends its next request.
const RETURN_TIME: Duration = Duration::from_millis(500);
/// Time within which a caller must have its response.
const DEADLINE: Duration = Duration::from_secs(1);
/// Time for which a share of a processor is given out.
const TENTH: Duration = Duration::from_millis(100);

#[derive(Debug, Clone)]
pub(crate) struct Plan {
    /// Time that a step takes the processor.
    pub(crate) step: Duration,
    /// Time that it takes to accept a connection.
    pub(crate) accept: Duration,
    /// New connections a second before the rush and in it.
    pub(crate) rates: (f64, f64),
    /// Begin and end of the rush.
    pub(crate) rush: (Duration, Duration),
    pub(crate) end: Duration,
    /// Fraction of the requests that are streams.
    pub(crate) streams: f64,
    /// Fraction of the callers that send a further request over their connection.
    pub(crate) returns: f64,
    /// Begin and length of pauses of the process.
    pub(crate) pauses: Vec<(Duration, Duration)>,
    /// Most time in each tenth of a second for which the processor runs.
    pub(crate) slice: Duration,
    pub(crate) seed: u64,
}

#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Step {
    Connect,
    Run,
    Request(usize),
}

struct Request {
    begun: Duration,
    /// Whether it is the first one of its connection, which has not been read yet.
    is_unread: bool,
    is_shed: bool,
    left: u32,
    is_stream: bool,
    answered: Option<Duration>,
}

pub(crate) struct Processor {
    plan: Plan,
    start: Instant,
    now: Duration,
    /// The last tenth of a second in which the processor ran, and for how long.
    tenth: (u128, Duration),
    /// Steps that are due later.
    due: BinaryHeap<Reverse<(Duration, usize, Step)>>,
    /// Steps that wait for the processor.
    queue: VecDeque<(Duration, Step)>,
    step_count: usize,
    requests: Vec<Request>,
    shedding: ConnectionShedding,
    pub(crate) shed: Vec<Duration>,
    rng: SmallRng,
}

impl Processor {
    pub(crate) fn new(plan: Plan) -> Self {
        let rng = SmallRng::seed_from_u64(plan.seed);
        let mut processor = Self {
            plan,
            start: Instant::now(),
            now: Duration::ZERO,
            tenth: (0, Duration::ZERO),
            due: BinaryHeap::new(),
            queue: VecDeque::new(),
            step_count: 0,
            requests: Vec::new(),
            shedding: ConnectionShedding::default(),
            shed: Vec::new(),
            rng,
        };
        processor.schedule_connections();
        processor.schedule(LATENESS_INTERVAL, Step::Run);
        processor
    }

    fn schedule(&mut self, at: Duration, step: Step) {
        self.step_count += 1;
        self.due.push(Reverse((at, self.step_count, step)));
    }

    fn schedule_connections(&mut self) {
        let (calm, rush) = self.plan.rates;
        let mut at = Duration::ZERO;
        while at < self.plan.end {
            self.schedule(at, Step::Connect);
            let is_rush = (self.plan.rush.0..self.plan.rush.1).contains(&at);
            let gap = self.rng.random_range(0.0..2.0) / if is_rush { rush } else { calm };
            at += Duration::from_secs_f64(gap);
        }
    }

    /// Plays the plan with the decisions of an instance.
    pub(crate) fn run(&mut self) {
        while self.now < self.plan.end {
            while self.due.peek().is_some_and(|Reverse((at, ..))| *at <= self.now) {
                let Some(Reverse((at, _, step))) = self.due.pop() else { return };
                self.queue.push_back((at, step));
            }
            match self.queue.pop_front() {
                Some((due, step)) => self.execute(due, step),
                None => match self.due.peek() {
                    Some(Reverse((at, ..))) => self.now = *at,
                    None => return,
                },
            }
        }
    }

    /// Uses the processor for this time, once the process may run.
    fn use_processor(&mut self, time: Duration) {
        for &(begin, length) in &self.plan.pauses {
            if self.now >= begin && self.now < begin + length {
                self.now = begin + length;
            }
        }
        let number = self.now.as_millis() / TENTH.as_millis();
        if number > self.tenth.0 {
            self.tenth = (number, Duration::ZERO);
        } else if self.tenth.1 >= self.plan.slice {
            self.tenth = (number + 1, Duration::ZERO);
            self.now = TENTH * (number + 1) as u32;
        }
        self.tenth.1 += time;
        self.now += time;
    }

    fn execute(&mut self, due: Duration, step: Step) {
        match step {
            Step::Connect => self.connect(),
            Step::Run => {
                self.use_processor(Duration::from_micros(20));
                self.shedding.record_run(self.start + self.now, self.now.saturating_sub(due));
                self.schedule(self.now + LATENESS_INTERVAL, Step::Run);
            }
            Step::Request(number) => self.step(number),
        }
    }

    fn connect(&mut self) {
        self.use_processor(self.plan.accept);
        if self.shedding.keeps_new(self.start + self.now, &mut self.rng) {
            self.begin(self.now, true);
        } else {
            self.shed.push(self.now);
        }
    }

    fn begin(&mut self, at: Duration, is_unread: bool) {
        let is_stream = self.rng.random::<f64>() < self.plan.streams;
        let left = REQUEST_STEPS + if is_stream { STREAM_STEPS } else { 0 };
        self.requests.push(Request { begun: at, is_unread, is_shed: false, left, is_stream, answered: None });
        self.schedule(at, Step::Request(self.requests.len() - 1));
    }

    fn step(&mut self, number: usize) {
        let is_first = std::mem::take(&mut self.requests[number].is_unread);
        let waited = self.now.saturating_sub(self.requests[number].begun);
        if is_first && !self.shedding.reads_waiting(self.start + self.now, waited) {
            self.requests[number].is_shed = true;
            return self.shed.push(self.now);
        }
        self.use_processor(self.plan.step);
        let (now, request) = (self.now, &mut self.requests[number]);
        request.left -= 1;
        let head_left = if request.is_stream { STREAM_STEPS } else { 0 };
        if request.left == head_left {
            request.answered = Some(now);
        }
        if request.left > 0 {
            let pause = STEP_PAUSE.mul_f64(self.rng.random_range(0.0..1.0));
            self.schedule(now + pause, Step::Request(number));
            return;
        }
        let stays = self.rng.random::<f64>() < self.plan.returns && self.shedding.keeps_open(&mut self.rng);
        if stays && now < self.plan.rush.1 {
            self.begin(now + RETURN_TIME, false);
        }
    }

    /// Requests read in this time, and those of them that got their response in time.
    pub(crate) fn read_and_served(&self, from: Duration, to: Duration) -> (usize, usize) {
        let read: Vec<_> =
            self.requests.iter().filter(|r| (from..to).contains(&r.begun) && !r.is_shed).collect();
        let is_served = |r: &&&Request| r.answered.is_some_and(|at| at.saturating_sub(r.begun) <= DEADLINE);
        (read.len(), read.iter().filter(is_served).count())
    }
}
