//! Run times learned from answered attempts: a mean for each class of task, and a speed for each
//! backend server.
//!
//! A class is a kind together with the declared time, rounded down to a power of two. The mean of
//! each class is learned from its observed run times, so it becomes right even if all declared
//! times are wrong by the same factor. If the declared times say nothing about the run times, all
//! classes of the kind get the same mean.

use std::collections::HashMap;

use crate::coordination::dispatch::Micros;

/// Run time assumed for a task when nothing has been learned, in µs.
pub const UNKNOWN_US: f64 = 300_000.0;
/// Maximum number of kinds that are learned separately; all further kinds are learned as one.
const KINDS_MAX: usize = 4_096;
/// Weight of the prior in the mean of a class, in observations. The statistics of a kind, or of all
/// tasks together, are used once they have this many observations.
const PRIOR: f64 = 2.0;
/// Smallest weight of a new observation of a class.
const CLASS_GAIN: f64 = 0.02;
/// Smallest weight of a new observation of a backend server.
const SERVER_GAIN: f64 = 0.02;
/// Step of the estimate of the 95th percentile, as a difference of logarithms.
const QUANTILE_STEP: f64 = 0.5;
/// Weight of a new attempt in the failure rate of a kind.
const FAILURE_GAIN: f64 = 0.1;

/// A class of tasks; an index into `RunTimes`.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Class(u32);

/// A kind of task; an index into `RunTimes`.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Kind(u32);

#[derive(Debug, Clone, Copy, Default)]
struct Stats {
    observations: f64,
    /// Mean of run time × speed, in µs.
    mean: f64,
    /// Mean of ln(run time × speed). Speeds are learned against this and not against `mean`: the
    /// mean of a logarithm lies below the logarithm of the mean, so the two would drift apart.
    log_mean: f64,
    /// ln of the 95th percentile of run time × speed.
    log_p95: f64,
}

impl Stats {
    /// Adds an observation of run time × speed, in µs.
    fn observe(&mut self, work: f64) {
        self.observations += 1.0;
        let gain = (1.0 / self.observations).max(CLASS_GAIN);
        let log = work.max(1.0).ln();
        if self.observations <= 1.0 {
            self.log_p95 = log + 1.0;
        }
        self.mean += gain * (work - self.mean);
        self.log_mean += gain * (log - self.log_mean);
        let step = QUANTILE_STEP * gain.max(0.1);
        self.log_p95 += if log > self.log_p95 { 0.95 * step } else { -0.05 * step };
    }
}

#[derive(Debug)]
struct ClassEntry {
    kind: Kind,
    /// Declared time of the first task of the class, 0 if none is declared.
    declared_us: f64,
    stats: Stats,
}

#[derive(Debug, Default)]
struct KindEntry {
    stats: Stats,
    /// Fraction of recent attempts that failed.
    failure_rate: f64,
}

/// Run times and failure rates learned for classes and kinds.
#[derive(Debug, Default)]
pub struct RunTimes {
    kind_index: HashMap<String, Kind>,
    /// The first `KINDS_MAX` kinds have an element each. All further kinds share one last element,
    /// which has no name in `kind_index`.
    kinds: Vec<KindEntry>,
    /// Classes by kind and bucket of the declared time.
    class_index: HashMap<(Kind, u8), Class>,
    classes: Vec<ClassEntry>,
    /// Statistics of all tasks.
    all: Stats,
}

impl RunTimes {
    /// Returns the kind of a name, and adds it if it is new.
    pub fn kind(&mut self, name: &str) -> Kind {
        if let Some(kind) = self.kind_index.get(name) {
            return *kind;
        }
        if self.kinds.len() > KINDS_MAX {
            return Kind(KINDS_MAX as u32);
        }
        let kind = Kind(self.kinds.len() as u32);
        self.kinds.push(KindEntry::default());
        if self.kinds.len() <= KINDS_MAX {
            self.kind_index.insert(name.to_owned(), kind);
        }
        kind
    }

    /// Returns the class of a kind and a declared time, and adds it if it is new.
    pub fn class(&mut self, kind: Kind, declared_ms: Option<u32>) -> Class {
        let bucket = declared_ms.map_or(0, |ms| 1 + ms.max(1).ilog2() as u8);
        let classes = &mut self.classes;
        *self.class_index.entry((kind, bucket)).or_insert_with(|| {
            let declared_us = declared_ms.map_or(0.0, |ms| f64::from(ms) * 1_000.0);
            classes.push(ClassEntry { kind, declared_us, stats: Stats::default() });
            Class(classes.len() as u32 - 1)
        })
    }

    /// Expected run time at speed 1, in µs.
    pub fn mean_us(&self, class: Class) -> f64 {
        let entry = &self.classes[class.0 as usize];
        let kind = &self.kinds[entry.kind.0 as usize].stats;
        let prior = if kind.observations >= PRIOR {
            kind.mean
        } else if entry.declared_us > 0.0 {
            entry.declared_us
        } else if self.all.observations >= PRIOR {
            self.all.mean
        } else {
            UNKNOWN_US
        };
        (entry.stats.mean * entry.stats.observations + prior * PRIOR)
            / (entry.stats.observations + PRIOR)
    }

    /// 95th percentile of the run time at speed 1, in µs.
    pub fn p95_us(&self, class: Class) -> f64 {
        let entry = &self.classes[class.0 as usize];
        let kind = &self.kinds[entry.kind.0 as usize].stats;
        let stats = if entry.stats.observations >= 20.0 { &entry.stats } else { kind };
        if stats.observations < PRIOR { 3.0 * self.mean_us(class) } else { stats.log_p95.exp() }
    }

    /// Whether enough tasks of the class have been observed for hedging, i.e. for starting a second
    /// attempt of a task that takes unusually long.
    pub fn is_known(&self, class: Class) -> bool {
        self.classes[class.0 as usize].stats.observations >= 5.0
    }

    /// Mean run time of all tasks at speed 1, in µs.
    pub fn overall_us(&self) -> f64 {
        if self.all.observations < PRIOR { UNKNOWN_US } else { self.all.mean }
    }

    /// Fraction of recent attempts of the class's kind that failed.
    pub fn failure_rate(&self, class: Class) -> f64 {
        self.kinds[self.classes[class.0 as usize].kind.0 as usize].failure_rate
    }

    /// Learns from an answered attempt: first the server's speed, then, with the new speed, the run
    /// times of the class and the kind.
    pub fn done(&mut self, class: Class, speed: &mut Speed, ran_us: Micros) {
        let ran = (ran_us as f64).max(1.0);
        let entry = &mut self.classes[class.0 as usize];
        if entry.stats.observations > 0.0 {
            speed.observe(entry.stats.log_mean - ran.ln());
        }
        let work = ran * speed.factor();
        entry.stats.observe(work);
        let kind = &mut self.kinds[entry.kind.0 as usize];
        kind.stats.observe(work);
        kind.failure_rate -= FAILURE_GAIN * kind.failure_rate;
        self.all.observe(work);
    }

    /// Learns from a failed attempt.
    pub fn failed(&mut self, class: Class) {
        let kind = &mut self.kinds[self.classes[class.0 as usize].kind.0 as usize];
        kind.failure_rate += FAILURE_GAIN * (1.0 - kind.failure_rate);
    }
}

/// Learned speed of a backend server. Speed 1 is the mean of the servers that were observed first.
#[derive(Debug, Clone, Copy)]
pub struct Speed {
    observations: f64,
    log: f64,
    /// `log.exp()`.
    factor: f64,
}

impl Speed {
    /// Returns the assumed speed of a new server, given the mean ln of the other servers' speeds.
    pub fn new(log: f64) -> Self {
        Self { observations: 0.0, log, factor: log.exp() }
    }

    /// Speed as a multiple of speed 1.
    pub fn factor(&self) -> f64 {
        self.factor
    }

    /// Natural logarithm of `factor`.
    pub fn log(&self) -> f64 {
        self.log
    }

    fn observe(&mut self, log: f64) {
        self.observations += 1.0;
        // The assumed speed counts as three observations, as one task says little about a server.
        let gain = (1.0 / (self.observations + 3.0)).max(SERVER_GAIN);
        self.log += gain * (log - self.log).clamp(-3.0, 3.0);
        self.factor = self.log.exp();
    }
}
