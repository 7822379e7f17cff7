//! Simulation of entries and backend servers on a virtual clock: servers of different speed and
//! size, entries that receive the servers' load with a delay, and jobs that have a value only in
//! time.

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BinaryHeap},
};

use briargauge::{
    coordination::transient::{JobOutcome, Key, Scheduler, StartCommand},
    protocol::{
        queue::{Attempt, Id, Job, Queue, Resources, Step},
        wire::{
            queue::{Reason, Server, ServerId, Sidecar, Start},
            work::{Load, Outcome, Reply},
        },
    },
};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

const ENTRIES: usize = 3;
const MACHINES: usize = 11;
/// Factor by which run times grow on servers that have become slow.
const SLOWDOWN: f64 = 7.0;
/// Average number of cores that a task needs.
const CORES_PER_TASK: f64 = 6.2;
/// Delay of a message between an entry and a sidecar, in ms.
const DELAY_MS: u64 = 2;
/// How often an entry requests a sidecar's load, in ms.
const RENEWAL_MS: u64 = 150;
/// How often an entry checks waiting jobs, in ms.
const TICK_MS: u64 = 25;
/// Speeds of the servers and their capacities in cores; each list is repeated over the servers.
const SPEEDS: [f64; 4] = [0.55, 1.2, 1.2, 1.2];
const CORES: [u64; 3] = [64, 64, 96];
/// Share of its value that a late job still earns, ...
const LATE_SHARE: f64 = 0.2;
/// ... unless it took longer than this multiple of its target time.
const LATE_FACTOR: f64 = 3.0;
/// Spread of the logarithm of declared run times against actual ones.
const ESTIMATE_SPREAD: f64 = 0.4;
/// Relative spread of the run times of a job's tasks.
const TASK_SPREAD: f64 = 0.15;

/// A kind of job.
#[derive(Debug, Clone, Copy)]
pub struct Kind {
    pub priority: u32,
    /// Average number of tasks.
    pub tasks: f64,
    /// Average run time of a task.
    pub work_ms: f64,
    /// Jobs per second.
    pub per_s: f64,
    /// Value of a job of average size that is on time.
    pub value: f64,
}

/// The kinds of jobs of the co-op: stock check, visit booking, quote. Each kind has the same value
/// in total.
pub const KINDS: [Kind; 3] = [
    Kind { priority: 0, tasks: 8.0, work_ms: 60.0, per_s: 34.4, value: 0.0291 },
    Kind { priority: 2, tasks: 4.0, work_ms: 900.0, per_s: 6.25, value: 0.16 },
    Kind { priority: 1, tasks: 2.0, work_ms: 200.0, per_s: 100.0, value: 0.01 },
];

/// Extra load and failed servers during a period.
#[derive(Debug, Clone, Copy)]
pub struct Disturbance {
    pub from_ms: u64,
    pub to_ms: u64,
    /// Multiple of the usual arrival rate.
    pub load: f64,
    /// Number of servers, from the first on, that accept nothing.
    pub down: usize,
    /// Number of servers, from the last on, that are slower by [`SLOWDOWN`].
    pub slow: usize,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    /// A job arrives at an entry.
    Arrival,
    /// A start command reaches its sidecar; index into `commands`.
    Command(usize),
    /// The reply to a start command reaches its entry; index into `replies`.
    Reply(usize),
    /// An attempt ends; machine and index into `running`.
    End(usize, usize),
    Renewal,
    Tick,
}

struct Running {
    entry: usize,
    attempt: Attempt,
    needs: Resources,
    started_ms: u64,
}

struct Waiting {
    entry: usize,
    start: Start,
    due_ms: u64,
    until_ms: u64,
}

struct Machine {
    speed: f64,
    capacity: Resources,
    used: Resources,
    waiting: Vec<Waiting>,
}

/// A job as its caller sees it.
struct Submitted {
    kind: usize,
    at_ms: u64,
    target_ms: f64,
    value: f64,
    /// Run time of each task.
    work_ms: Vec<f64>,
    ended: bool,
}

/// Results of the jobs of one kind.
#[derive(Debug, Default, Clone, Copy)]
pub struct Tally {
    pub jobs: usize,
    pub on_time: usize,
    pub late: usize,
    pub refused: usize,
    /// Value of all jobs, and of those that earned it.
    value: f64,
    earned: f64,
}

pub struct World {
    now: u64,
    random: Pcg64Mcg,
    entries: Vec<Scheduler>,
    keys: Vec<Key>,
    machines: Vec<Machine>,
    disturbance: Disturbance,
    events: BinaryHeap<Reverse<(u64, u64, Event)>>,
    seq: u64,
    commands: Vec<Option<(usize, StartCommand)>>,
    replies: Vec<Option<(usize, Key, Attempt, Reply)>>,
    running: Vec<Option<Running>>,
    jobs: BTreeMap<u64, Submitted>,
    /// By kind.
    pub tallies: [Tally; 3],
}

impl World {
    /// Simulates `length_ms` of arrivals and 10 s more, in which the last jobs end.
    pub fn simulate(seed: u64, length_ms: u64, disturbance: Disturbance) -> World {
        let mut world = World::new(seed, disturbance);
        world.post(0, Event::Arrival);
        world.post(0, Event::Tick);
        world.post(0, Event::Renewal);
        while let Some(Reverse((at_ms, _, event))) = world.events.pop() {
            world.now = at_ms;
            if at_ms > length_ms + 10_000 {
                break;
            }
            if event == Event::Arrival && at_ms > length_ms {
                continue;
            }
            world.handle(event);
        }
        world
    }

    /// Share of the load during the disturbance that the servers have capacity for, at most 1.
    pub fn achievable(disturbance: Disturbance) -> f64 {
        let load = |kind: &Kind| kind.per_s * kind.tasks * kind.work_ms / 1_000.0 * CORES_PER_TASK;
        let machine = |at: usize| CORES[at % CORES.len()] as f64 * SPEEDS[at % SPEEDS.len()];
        let healthy: f64 = (disturbance.down..MACHINES - disturbance.slow).map(machine).sum();
        let slow: f64 = (MACHINES - disturbance.slow..MACHINES).map(machine).sum();
        let load: f64 = KINDS.iter().map(load).sum();
        ((healthy + slow / SLOWDOWN) / (load * disturbance.load)).min(1.0)
    }

    /// Share of the value that was earned.
    pub fn earned(&self) -> f64 {
        let sum = |field: fn(&Tally) -> f64| self.tallies.iter().map(field).sum::<f64>();
        sum(|tally| tally.earned) / sum(|tally| tally.value)
    }

    /// Share of the jobs that were served, on time or late.
    pub fn served(&self) -> f64 {
        let sum = |field: fn(&Tally) -> usize| self.tallies.iter().map(field).sum::<usize>() as f64;
        sum(|tally| tally.on_time + tally.late) / sum(|tally| tally.jobs)
    }

    fn new(seed: u64, disturbance: Disturbance) -> World {
        let machines: Vec<Machine> = (0..MACHINES)
            .map(|at| {
                let cpu_milli = CORES[at % CORES.len()] * 1_000;
                let capacity = Resources { cpu_milli, memory_mb: 1 << 20, accelerators: 0 };
                let used = Resources::default();
                Machine { speed: SPEEDS[at % SPEEDS.len()], capacity, used, waiting: Vec::new() }
            })
            .collect();
        let mut entries: Vec<Scheduler> = (0..ENTRIES).map(|_| Scheduler::default()).collect();
        let mut keys = Vec::new();
        for (at, machine) in machines.iter().enumerate() {
            let server = Server {
                id: ServerId { id: format!("s{at}"), started_at_ms: 1 },
                service: "desk".to_owned(),
                data_centre: "saga".to_owned(),
                capacity: machine.capacity,
                labels: Vec::new(),
                draining: false,
            };
            let sidecar =
                Sidecar { name: format!("s{at}"), addr: "127.0.0.1:1".parse().unwrap(), server };
            for entry in &mut entries {
                let key = entry.describe(sidecar.clone());
                entry.connected(key);
                keys.push(key);
            }
        }
        keys.dedup();
        World {
            now: 0,
            random: Pcg64Mcg::seed_from_u64(seed),
            entries,
            keys,
            machines,
            disturbance,
            events: BinaryHeap::new(),
            seq: 0,
            commands: Vec::new(),
            replies: Vec::new(),
            running: Vec::new(),
            jobs: BTreeMap::new(),
            tallies: Default::default(),
        }
    }

    /// Schedules an event.
    fn post(&mut self, in_ms: u64, event: Event) {
        self.seq += 1;
        self.events.push(Reverse((self.now + in_ms, self.seq, event)));
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrival => self.arrive(),
            Event::Command(at) => self.receive_command(at),
            Event::Reply(at) => self.receive_reply(at),
            Event::End(machine, at) => self.end(machine, at),
            Event::Renewal => self.renew(),
            Event::Tick => self.tick(),
        }
    }

    fn is_disturbed(&self) -> bool {
        (self.disturbance.from_ms..self.disturbance.to_ms).contains(&self.now)
    }

    /// A random number of roughly normal distribution: the sum of twelve uniform ones.
    fn normal(&mut self) -> f64 {
        (0..12).map(|_| self.random.random::<f64>()).sum::<f64>() - 6.0
    }

    fn arrive(&mut self) {
        let load = if self.is_disturbed() { self.disturbance.load } else { 1.0 };
        let per_ms = KINDS.iter().map(|kind| kind.per_s).sum::<f64>() * load / 1_000.0;
        let wait_ms = -self.random.random::<f64>().max(1e-9).ln() / per_ms;
        self.post(wait_ms.round() as u64, Event::Arrival);
        let mut pick = self.random.random::<f64>() * KINDS.iter().map(|k| k.per_s).sum::<f64>();
        let kind = KINDS.iter().position(|kind| {
            pick -= kind.per_s;
            pick <= 0.0
        });
        self.submit(kind.unwrap_or(KINDS.len() - 1));
    }

    fn submit(&mut self, kind: usize) {
        let Kind { priority, tasks, work_ms, value, .. } = KINDS[kind];
        let factor = |random: f64| (0.4 * random - 0.08).exp();
        let tasks = (tasks * factor(self.normal())).round().clamp(1.0, 4.0 * tasks) as u16;
        let base_ms = (work_ms * factor(self.normal())).clamp(5.0, 4.0 * work_ms);
        let work: Vec<f64> =
            (0..tasks).map(|_| base_ms * (1.0 + TASK_SPREAD * self.normal()).max(0.2)).collect();
        let estimate_ms = (base_ms * (ESTIMATE_SPREAD * self.normal()).exp()).max(1.0) as u32;
        let longest = work.iter().copied().fold(0.0, f64::max);
        let cpu_milli = (1_000.0 * CORES_PER_TASK * factor(0.5 * self.normal())) as u64;
        let submitted = Submitted {
            kind,
            at_ms: self.now,
            target_ms: 1.6 * longest + 60.0,
            value: value * (0.3 + 0.7 * f64::from(tasks) * base_ms / (KINDS[kind].tasks * work_ms)),
            work_ms: work,
            ended: false,
        };
        self.tallies[kind].jobs += 1;
        self.tallies[kind].value += submitted.value;
        let id = self.jobs.len() as u64;
        self.jobs.insert(id, submitted);
        let queue = Queue {
            service: "desk".to_owned(),
            priority,
            max_attempts: 3,
            slo_factor_milli: 1_600,
            slo_ms: 60,
            ..Queue::default()
        };
        let needs = Resources { cpu_milli, memory_mb: 64, accelerators: 0 };
        let step = Step { tasks, needs, estimate_ms, ..Step::default() };
        let entry = self.random.random_range(0..ENTRIES);
        let job = Job::new(String::new(), vec![step]);
        self.entries[entry].submit(self.now, Id(id), &queue, job);
        self.carry_out(entry);
    }

    fn carry_out(&mut self, entry: usize) {
        let actions = self.entries[entry].take_actions();
        for command in actions.commands {
            self.commands.push(Some((entry, command)));
            self.post(DELAY_MS, Event::Command(self.commands.len() - 1));
        }
        for (id, outcome) in actions.finished {
            self.finish(id, outcome);
        }
    }

    /// Counts a job in the tally of its kind.
    fn finish(&mut self, id: Id, outcome: JobOutcome) {
        let Some(job) = self.jobs.get_mut(&id.0).filter(|job| !job.ended) else { return };
        job.ended = true;
        let tally = &mut self.tallies[job.kind];
        let took_ms = (self.now - job.at_ms) as f64;
        match outcome {
            JobOutcome::Completed if took_ms <= job.target_ms => {
                tally.on_time += 1;
                tally.earned += job.value;
            }
            JobOutcome::Completed if took_ms <= LATE_FACTOR * job.target_ms => {
                tally.late += 1;
                tally.earned += LATE_SHARE * job.value;
            }
            JobOutcome::NotRun => tally.refused += 1,
            JobOutcome::Completed | JobOutcome::Failed | JobOutcome::Canceled => {}
        }
    }

    fn is_down(&self, machine: usize) -> bool {
        self.is_disturbed() && machine < self.disturbance.down
    }

    fn receive_command(&mut self, at: usize) {
        let Some((entry, command)) = self.commands[at].take() else { return };
        let machine = self.keys.iter().position(|key| *key == command.server).unwrap();
        if self.is_down(machine) {
            let outcome = Outcome::NotStarted(Reason::Unavailable);
            return self.answer(machine, entry, command.start.attempt, outcome, 0);
        }
        let until_ms = self.now + command.wait_ms;
        let StartCommand { start, due_ms, .. } = command;
        self.machines[machine].waiting.push(Waiting { entry, start, due_ms, until_ms });
        self.dispatch(machine);
    }

    /// Starts waiting attempts that fit into the capacity, and refuses those that have waited too
    /// long.
    fn dispatch(&mut self, machine: usize) {
        let now = self.now;
        self.machines[machine].waiting.sort_by_key(|waiting| waiting.due_ms);
        let waiting = std::mem::take(&mut self.machines[machine].waiting);
        for waiting in waiting {
            let host = &mut self.machines[machine];
            let mut used = host.used;
            used.add(&waiting.start.needs);
            if host.capacity.fits(&used) {
                host.used = used;
                self.start(machine, waiting);
            } else if waiting.until_ms <= now {
                let outcome = Outcome::NotStarted(Reason::NoCapacity);
                self.answer(machine, waiting.entry, waiting.start.attempt, outcome, 0);
            } else {
                self.machines[machine].waiting.push(waiting);
            }
        }
    }

    fn start(&mut self, machine: usize, waiting: Waiting) {
        let Start { attempt, needs, .. } = waiting.start;
        let work_ms = self.jobs[&attempt.task.job.0].work_ms[usize::from(attempt.task.index)];
        let first_slow = self.machines.len() - self.disturbance.slow;
        let slow = if self.is_disturbed() && machine >= first_slow { SLOWDOWN } else { 1.0 };
        let takes_ms = work_ms * slow / self.machines[machine].speed;
        let running = Running { entry: waiting.entry, attempt, needs, started_ms: self.now };
        self.running.push(Some(running));
        self.post(takes_ms.round().max(1.0) as u64, Event::End(machine, self.running.len() - 1));
    }

    fn end(&mut self, machine: usize, at: usize) {
        let Some(running) = self.running[at].take() else { return };
        self.machines[machine].used.sub(&running.needs);
        self.dispatch(machine);
        let took_ms = self.now - running.started_ms;
        self.answer(machine, running.entry, running.attempt, Outcome::Done, took_ms);
    }

    fn load(&self, machine: usize) -> Load {
        let host = &self.machines[machine];
        let mut queued = Resources::default();
        host.waiting.iter().for_each(|waiting| queued.add(&waiting.start.needs));
        Load { open: !self.is_down(machine), used: host.used, queued, ..Load::default() }
    }

    fn answer(
        &mut self,
        machine: usize,
        entry: usize,
        attempt: Attempt,
        outcome: Outcome,
        took_ms: u64,
    ) {
        let load = self.load(machine);
        let reply = Reply { outcome, took_ms, clock_ms: self.now, load };
        self.replies.push(Some((entry, self.keys[machine], attempt, reply)));
        self.post(DELAY_MS, Event::Reply(self.replies.len() - 1));
    }

    fn receive_reply(&mut self, at: usize) {
        let Some((entry, key, attempt, reply)) = self.replies[at].take() else { return };
        self.entries[entry].ended(self.now, key, attempt, Some(&reply));
        self.carry_out(entry);
    }

    fn renew(&mut self) {
        for machine in 0..self.machines.len() {
            let load = self.load(machine);
            for entry in 0..ENTRIES {
                self.entries[entry].update_load(self.now, self.keys[machine], &load);
                self.carry_out(entry);
            }
        }
        self.post(RENEWAL_MS, Event::Renewal);
    }

    fn tick(&mut self) {
        for entry in 0..ENTRIES {
            self.entries[entry].tick(self.now);
            self.carry_out(entry);
        }
        for machine in 0..self.machines.len() {
            self.dispatch(machine);
        }
        self.post(TICK_MS, Event::Tick);
    }
}
