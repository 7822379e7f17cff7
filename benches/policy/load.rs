//! Job arrivals of each scenario, and its server faults and recoveries.

use briargauge::coordination::dispatch::Micros;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64;

use crate::fake::{Mode, SLOTS};

pub const DEADLINE_US: Micros = 30_000_000;
/// Time in which jobs arrive, in seconds.
pub const SECONDS: u64 = 90;
const SERVERS: usize = 11;
/// Time at which faults and the burst begin.
const EVENT_AT_US: Micros = 20_000_000;
const BURST_US: Micros = 1_000_000;
const ACCOUNTS: usize = 10;
/// Share of the scenario's load that the nine accounts other than the greedy one offer together.
const OTHERS_LOAD_RATIO: f64 = 0.6;
/// Load that the greedy account offers, relative to the capacity.
const GREEDY_LOAD: f64 = 1.5;

/// Kinds of tasks, each with its mean run time in µs at speed 1 and its weight when a task is
/// drawn. The last kind runs long and is rare.
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
    /// Constant load without faults.
    Steady,
    /// Jobs of 1, 20 and 490 tasks.
    Jobs,
    /// Servers of different speeds.
    Speeds,
    /// Jobs arrive ten times as often for `BURST_US`.
    Burst,
    /// One server fails every task.
    Failing,
    /// One server is frozen for 40 s.
    Frozen,
    /// The three servers of a rack are dead for 20 s.
    Rack,
    /// Declared run times are wrong.
    Declared,
    /// Half of the jobs are cancelled.
    Cancel,
    /// One account offers more than the capacity.
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
    /// Run time at speed 1.
    pub work_us: f64,
    pub declared_ms: Option<u32>,
}

#[derive(Debug)]
pub struct Job {
    /// Time of arrival.
    pub at: Micros,
    pub account: usize,
    pub tasks: Vec<Task>,
    pub restartable: bool,
    pub cancel_at: Option<Micros>,
}

/// A fault of a server, or its recovery.
#[derive(Debug, Clone, Copy)]
pub struct ModeChange {
    pub at: Micros,
    pub server: usize,
    pub mode: Mode,
}

#[derive(Debug)]
pub struct Plan {
    pub speeds: Vec<f64>,
    pub jobs: Vec<Job>,
    pub mode_changes: Vec<ModeChange>,
}

impl Plan {
    /// Work that all servers do per unit of time, as run time at speed 1.
    pub fn capacity(&self) -> f64 {
        self.speeds.iter().sum::<f64>() * f64::from(SLOTS)
    }

    /// Plans a scenario at a load relative to the capacity. The greedy account, which only
    /// `Scenario::Greedy` has, is left out if `greedy` is false.
    pub fn new(scenario: Scenario, load: f64, greedy: bool) -> Self {
        let mut random = Pcg64::seed_from_u64(42);
        let speeds = (0..SERVERS)
            .map(|i| match scenario {
                // From 1/4 to 2, interleaved over data centres and racks.
                Scenario::Speeds => 2.0 / 8f64.powf(((i * 4) % SERVERS) as f64 / 10.0),
                _ => 1.0,
            })
            .collect();
        let mut plan = Self { speeds, jobs: Vec::new(), mode_changes: mode_changes(scenario) };
        let others_ratio = if scenario == Scenario::Greedy { OTHERS_LOAD_RATIO } else { 1.0 };
        plan.add_arrivals(scenario, load * others_ratio, 0..ACCOUNTS - 1, &mut random);
        if scenario == Scenario::Greedy && greedy {
            plan.add_arrivals(scenario, GREEDY_LOAD, ACCOUNTS - 1..ACCOUNTS, &mut random);
        }
        plan.jobs.sort_by_key(|job| job.at);
        plan
    }

    fn add_arrivals(
        &mut self,
        scenario: Scenario,
        load: f64,
        accounts: std::ops::Range<usize>,
        random: &mut Pcg64,
    ) {
        // Mean work per job, estimated from a sample of 20,000 jobs.
        let mean_work_us: f64 =
            (0..20_000).map(|_| total_work_us(&draw_tasks(scenario, random))).sum::<f64>() / 2e4;
        let mut at = 0.0;
        loop {
            let burst = scenario == Scenario::Burst
                && (EVENT_AT_US..EVENT_AT_US + BURST_US).contains(&(at as Micros));
            let rate = load * self.capacity() / mean_work_us * if burst { 10.0 } else { 1.0 };
            at += -random.random::<f64>().max(1e-12).ln() / rate;
            let now = at as Micros;
            if now > SECONDS * 1_000_000 {
                return;
            }
            let tasks = draw_tasks(scenario, random);
            let restartable = tasks.len() == 1 && random.random_bool(0.3);
            let account = random.random_range(accounts.clone());
            let chosen = random.random_bool(0.5);
            // Half of the jobs are cancelled at the next multiple of ten seconds if still open.
            let cancel_at = (scenario == Scenario::Cancel && chosen)
                .then(|| (now / 10_000_000 + 1) * 10_000_000);
            self.jobs.push(Job { at: now, account, tasks, restartable, cancel_at });
        }
    }
}

fn mode_changes(scenario: Scenario) -> Vec<ModeChange> {
    let at = EVENT_AT_US;
    match scenario {
        Scenario::Failing => vec![ModeChange { at, server: 4, mode: Mode::Failing }],
        Scenario::Frozen => vec![
            ModeChange { at, server: 4, mode: Mode::Frozen },
            ModeChange { at: at + 40_000_000, server: 4, mode: Mode::Healthy },
        ],
        Scenario::Rack => (3..6)
            .flat_map(|server| {
                let restart_at = at + 20_000_000;
                [
                    ModeChange { at, server, mode: Mode::Dead },
                    ModeChange { at: restart_at, server, mode: Mode::Healthy },
                ]
            })
            .collect(),
        _ => Vec::new(),
    }
}

fn draw_tasks(scenario: Scenario, random: &mut Pcg64) -> Vec<Task> {
    let tasks = match scenario {
        // Weighted so that jobs of 1, 20 and 490 tasks each contribute the same number of tasks.
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
    (0..tasks).map(|_| draw_task(scenario, random)).collect()
}

fn draw_task(scenario: Scenario, random: &mut Pcg64) -> Task {
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
        // Wrong by a factor from 1/16 to 16, which is the same for all tasks of a kind.
        Scenario::Declared => work_us / 1_000.0 * 4f64.powi(kind.0.len() as i32 % 5 - 2),
        _ => work_us / 1_000.0 * random.random_range(0.7..1.4),
    };
    let declared_ms = random.random_bool(0.8).then_some(declared as u32);
    Task { kind: kind.0, work_us, declared_ms }
}

/// Run time of all tasks together at speed 1.
pub fn total_work_us(tasks: &[Task]) -> f64 {
    tasks.iter().map(|t| t.work_us).sum()
}
