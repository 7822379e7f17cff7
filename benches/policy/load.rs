//! Arrivals and faults of the scenarios.

use briargauge::coordination::dispatch::Micros;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64;

use crate::fake::{Mode, SLOTS};

pub const DEADLINE_US: Micros = 30_000_000;
pub const SECONDS: u64 = 90;
const SERVERS: usize = 11;
/// Time of faults, bursts and cancel waves.
const EVENT_US: Micros = 20_000_000;
const BURST_US: Micros = 1_000_000;
const ACCOUNTS: usize = 10;
/// Part of the load that the nine teams beside the greedy one offer.
const MODEST_PART: f64 = 0.6;
const GREEDY_LOAD: f64 = 1.5;

/// Kinds with their mean run times in µs and how often they come. The last one is long.
const KINDS: [(&str, f64, u32); 7] = [
    ("stock", 60_000.0, 20),
    ("booking", 120_000.0, 20),
    ("quote", 200_000.0, 20),
    ("eligibility", 350_000.0, 20),
    ("bill", 600_000.0, 12),
    ("discount", 900_000.0, 7),
    ("report", 4_000_000.0, 1),
];

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Scenario {
    Steady,
    Jobs,
    Speeds,
    Burst,
    Failing,
    Frozen,
    Rack,
    Declared,
    Cancel,
    Greedy,
}

pub const SCENARIOS: [Scenario; 10] = [
    Scenario::Steady,
    Scenario::Jobs,
    Scenario::Speeds,
    Scenario::Burst,
    Scenario::Failing,
    Scenario::Frozen,
    Scenario::Rack,
    Scenario::Declared,
    Scenario::Cancel,
    Scenario::Greedy,
];

#[derive(Debug)]
pub struct Task {
    pub kind: &'static str,
    pub work_us: f64,
    pub declared_ms: Option<u32>,
}

#[derive(Debug)]
pub struct Job {
    pub at: Micros,
    pub account: usize,
    pub tasks: Vec<Task>,
    pub restartable: bool,
    pub cancel: Option<Micros>,
}

#[derive(Debug, Clone, Copy)]
pub struct Fault {
    pub at: Micros,
    pub server: usize,
    pub mode: Mode,
}

#[derive(Debug)]
pub struct Plan {
    pub speeds: Vec<f64>,
    pub jobs: Vec<Job>,
    pub faults: Vec<Fault>,
}

impl Plan {
    /// Run time at speed 1 that all servers do per unit of time.
    pub fn capacity(&self) -> f64 {
        self.speeds.iter().sum::<f64>() * f64::from(SLOTS)
    }

    /// The plan of a scenario at a load relative to the capacity. `greedy` is false to leave the
    /// greedy team out.
    pub fn new(scenario: Scenario, load: f64, greedy: bool) -> Self {
        let mut random = Pcg64::seed_from_u64(42);
        let speeds = (0..SERVERS)
            .map(|i| match scenario {
                // From 1/4 to 2, interleaved over data centres and racks.
                Scenario::Speeds => 2.0 / 8f64.powf(((i * 4) % SERVERS) as f64 / 10.0),
                _ => 1.0,
            })
            .collect();
        let mut plan = Self { speeds, jobs: Vec::new(), faults: faults(scenario) };
        let modest = if scenario == Scenario::Greedy { MODEST_PART } else { 1.0 };
        plan.arrive(scenario, load * modest, 0..ACCOUNTS - 1, &mut random);
        if scenario == Scenario::Greedy && greedy {
            plan.arrive(scenario, GREEDY_LOAD, ACCOUNTS - 1..ACCOUNTS, &mut random);
        }
        plan.jobs.sort_by_key(|job| job.at);
        plan
    }

    fn arrive(
        &mut self,
        scenario: Scenario,
        load: f64,
        accounts: std::ops::Range<usize>,
        random: &mut Pcg64,
    ) {
        // Mean work per job, from a sample.
        let sample: f64 = (0..20_000).map(|_| work(&draw(scenario, random))).sum::<f64>() / 2e4;
        let mut at = 0.0;
        loop {
            let burst = scenario == Scenario::Burst
                && (EVENT_US..EVENT_US + BURST_US).contains(&(at as Micros));
            let rate = load * self.capacity() / sample * if burst { 10.0 } else { 1.0 };
            at += -random.random::<f64>().max(1e-12).ln() / rate;
            let now = at as Micros;
            if now > SECONDS * 1_000_000 {
                return;
            }
            let tasks = draw(scenario, random);
            let restartable = tasks.len() == 1 && random.random_bool(0.3);
            let account = random.random_range(accounts.clone());
            let wave = random.random_bool(0.5);
            // Every ten seconds half of the jobs that run are cancelled.
            let cancel =
                (scenario == Scenario::Cancel && wave).then(|| (now / 10_000_000 + 1) * 10_000_000);
            self.jobs.push(Job { at: now, account, tasks, restartable, cancel });
        }
    }
}

fn faults(scenario: Scenario) -> Vec<Fault> {
    let at = EVENT_US;
    match scenario {
        Scenario::Failing => vec![Fault { at, server: 4, mode: Mode::Failing }],
        Scenario::Frozen => vec![
            Fault { at, server: 4, mode: Mode::Frozen },
            Fault { at: at + 40_000_000, server: 4, mode: Mode::Good },
        ],
        Scenario::Rack => (3..6)
            .flat_map(|server| {
                let back = at + 20_000_000;
                [
                    Fault { at, server, mode: Mode::Dead },
                    Fault { at: back, server, mode: Mode::Good },
                ]
            })
            .collect(),
        _ => Vec::new(),
    }
}

fn draw(scenario: Scenario, random: &mut Pcg64) -> Vec<Task> {
    let tasks = match scenario {
        // As many tasks in jobs of each size.
        Scenario::Jobs => match random.random_range(0..490 * 20 + 490 + 20) {
            0..9_800 => 1,
            9_800..10_290 => 20,
            _ => 490,
        },
        _ => match random.random_range(0..10) {
            0..8 => 1,
            8 => random.random_range(2..6),
            _ => random.random_range(6..20),
        },
    };
    (0..tasks).map(|_| task(scenario, random)).collect()
}

fn task(scenario: Scenario, random: &mut Pcg64) -> Task {
    let mut at = random.random_range(0..KINDS.iter().map(|k| k.2).sum());
    let mut kind = KINDS[0];
    for candidate in KINDS {
        kind = candidate;
        if at < kind.2 {
            break;
        }
        at -= kind.2;
    }
    let work_us = kind.1 * random.random_range(0.5..1.5);
    let declared = match scenario {
        // Off by up to 16 times, the same way for each kind.
        Scenario::Declared => work_us / 1_000.0 * 4f64.powi(kind.0.len() as i32 % 5 - 2),
        _ => work_us / 1_000.0 * random.random_range(0.7..1.4),
    };
    let declared_ms = random.random_bool(0.8).then_some(declared as u32);
    Task { kind: kind.0, work_us, declared_ms }
}

pub fn work(tasks: &[Task]) -> f64 {
    tasks.iter().map(|t| t.work_us).sum()
}
