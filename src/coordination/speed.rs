//! Learned run times: mean per class of task, speed per backend server.
//!
//! A class is a kind together with the power of two of the declared time. Declared times that are
//! off by any factor are learned like a kind of their own; declared times that are noise end up
//! with the same mean in each class.

use std::collections::HashMap;

use crate::coordination::dispatch::Micros;

/// Assumed run time of a task of which nothing is known, in µs.
pub const UNKNOWN_US: f64 = 300_000.0;
/// Most kinds that are learned; further ones share one entry.
const KINDS_MAX: usize = 4_096;
/// Weight of the prior, in observations.
const PRIOR: f64 = 2.0;
/// Smallest weight of a new observation of a class.
const CLASS_GAIN: f64 = 0.02;
/// Smallest weight of a new observation of a backend server.
const SERVER_GAIN: f64 = 0.02;
/// Step of the p95 estimate, in units of ln.
const QUANTILE_STEP: f64 = 0.5;
/// Weight of a new observation in the failure rate of a kind.
const FAILURE_GAIN: f64 = 0.1;

/// A class of tasks, a key into `RunTimes`.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Class(u32);

/// A kind of task, a key into `RunTimes`.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Kind(u32);

#[derive(Debug, Clone, Copy, Default)]
struct Stat {
    seen: f64,
    /// Mean of run time × speed, in µs.
    mean: f64,
    /// Mean of ln(run time × speed). Speeds are learned against this and not against `mean`: the
    /// mean of a logarithm lies below the logarithm of the mean, and the two would drift apart.
    log: f64,
    /// ln of the 95th percentile of run time × speed.
    p95: f64,
}

impl Stat {
    fn observe(&mut self, work: f64) {
        self.seen += 1.0;
        let gain = (1.0 / self.seen).max(CLASS_GAIN);
        let log = work.max(1.0).ln();
        if self.seen <= 1.0 {
            self.p95 = log + 1.0;
        }
        self.mean += gain * (work - self.mean);
        self.log += gain * (log - self.log);
        let step = QUANTILE_STEP * gain.max(0.1);
        self.p95 += if log > self.p95 { 0.95 * step } else { -0.05 * step };
    }
}

#[derive(Debug)]
struct ClassEntry {
    kind: Kind,
    declared_us: f64,
    stat: Stat,
}

#[derive(Debug, Default)]
struct KindEntry {
    stat: Stat,
    failures: f64,
}

/// Everything learned of classes and kinds.
#[derive(Debug, Default)]
pub struct RunTimes {
    names: HashMap<String, Kind>,
    kinds: Vec<KindEntry>,
    index: HashMap<(Kind, u8), Class>,
    classes: Vec<ClassEntry>,
    all: Stat,
}

impl RunTimes {
    /// Key of a kind's name.
    pub fn kind(&mut self, name: &str) -> Kind {
        if let Some(kind) = self.names.get(name) {
            return *kind;
        }
        if self.kinds.len() > KINDS_MAX {
            return Kind(KINDS_MAX as u32);
        }
        let kind = Kind(self.kinds.len() as u32);
        self.kinds.push(KindEntry::default());
        if self.kinds.len() <= KINDS_MAX {
            self.names.insert(name.to_owned(), kind);
        }
        kind
    }

    /// Class of a kind and a declared time.
    pub fn class(&mut self, kind: Kind, declared_ms: Option<u32>) -> Class {
        let bucket = declared_ms.map_or(0, |ms| 1 + ms.max(1).ilog2() as u8);
        let classes = &mut self.classes;
        *self.index.entry((kind, bucket)).or_insert_with(|| {
            let declared_us = declared_ms.map_or(0.0, |ms| f64::from(ms) * 1_000.0);
            classes.push(ClassEntry { kind, declared_us, stat: Stat::default() });
            Class(classes.len() as u32 - 1)
        })
    }

    /// Expected run time at speed 1, in µs.
    pub fn mean_us(&self, class: Class) -> f64 {
        let entry = &self.classes[class.0 as usize];
        let kind = &self.kinds[entry.kind.0 as usize].stat;
        let prior = if kind.seen >= PRIOR {
            kind.mean
        } else if entry.declared_us > 0.0 {
            entry.declared_us
        } else if self.all.seen >= PRIOR {
            self.all.mean
        } else {
            UNKNOWN_US
        };
        (entry.stat.mean * entry.stat.seen + prior * PRIOR) / (entry.stat.seen + PRIOR)
    }

    /// 95th percentile of the run time at speed 1, in µs.
    pub fn p95_us(&self, class: Class) -> f64 {
        let entry = &self.classes[class.0 as usize];
        let kind = &self.kinds[entry.kind.0 as usize].stat;
        let stat = if entry.stat.seen >= 20.0 { &entry.stat } else { kind };
        if stat.seen < PRIOR { 3.0 * self.mean_us(class) } else { stat.p95.exp() }
    }

    /// Whether enough tasks of the class have been seen to judge others by them.
    pub fn is_known(&self, class: Class) -> bool {
        self.classes[class.0 as usize].stat.seen >= 5.0
    }

    /// Mean run time of all tasks at speed 1, in µs.
    pub fn overall_us(&self) -> f64 {
        if self.all.seen < PRIOR { UNKNOWN_US } else { self.all.mean }
    }

    /// Share of the class's kind that failed lately.
    pub fn failure_rate(&self, class: Class) -> f64 {
        self.kinds[self.classes[class.0 as usize].kind.0 as usize].failures
    }

    /// Takes an answered attempt into account.
    pub fn done(&mut self, class: Class, speed: &mut Speed, ran_us: Micros) {
        let ran = (ran_us as f64).max(1.0);
        let entry = &mut self.classes[class.0 as usize];
        if entry.stat.seen > 0.0 {
            speed.observe(entry.stat.log - ran.ln());
        }
        let work = ran * speed.factor();
        entry.stat.observe(work);
        let kind = &mut self.kinds[entry.kind.0 as usize];
        kind.stat.observe(work);
        kind.failures -= FAILURE_GAIN * kind.failures;
        self.all.observe(work);
    }

    /// Takes a failed attempt into account.
    pub fn failed(&mut self, class: Class) {
        let kind = &mut self.kinds[self.classes[class.0 as usize].kind.0 as usize];
        kind.failures += FAILURE_GAIN * (1.0 - kind.failures);
    }
}

/// Learned speed of a backend server; 1 is the mean at the time the first ones were seen.
#[derive(Debug, Clone, Copy)]
pub struct Speed {
    seen: f64,
    log: f64,
    factor: f64,
}

impl Speed {
    /// Speed of a server of which nothing is known, given the mean ln of the others' speeds.
    pub fn new(log: f64) -> Self {
        Self { seen: 0.0, log, factor: log.exp() }
    }

    /// How many times as fast as speed 1.
    pub fn factor(&self) -> f64 {
        self.factor
    }

    /// ln of `factor`.
    pub fn log(&self) -> f64 {
        self.log
    }

    fn observe(&mut self, log: f64) {
        self.seen += 1.0;
        // The first guess counts as three observations: a single task says little of a server.
        let gain = (1.0 / (self.seen + 3.0)).max(SERVER_GAIN);
        self.log += gain * (log - self.log).clamp(-3.0, 3.0);
        self.factor = self.log.exp();
    }
}
