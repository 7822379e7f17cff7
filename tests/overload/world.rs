//! Entries and backend servers on a virtual clock: unlike servers, entries that see their load late,
//! and jobs that are worth something only in time.

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
/// Multiple of the run time at servers that have turned slow.
const SLOWDOWN: f64 = 7.0;
const CORES_PER_TASK: f64 = 6.2;
/// Way between an entry and a sidecar, in ms.
const WAY_MS: u64 = 2;
/// How often an entry asks a sidecar for its load, in ms.
const RENEWAL_MS: u64 = 150;
/// How often an entry looks at what waits, in ms.
const TICK_MS: u64 = 25;
/// Speed of the servers, in turn, and their room in cores, in turn.
const SPEEDS: [f64; 4] = [0.55, 1.2, 1.2, 1.2];
const CORES: [u64; 3] = [64, 64, 96];
/// Part of a job's worth that is earned if it is late, and the multiple of the target until when.
const LATE_PART: f64 = 0.2;
const LATE_FACTOR: f64 = 3.0;
/// Spread of declared times against real ones, and of the tasks of a job.
const ESTIMATE_SPREAD: f64 = 0.4;
const TASK_SPREAD: f64 = 0.15;

/// A kind of job.
#[derive(Debug, Clone, Copy)]
pub struct Kind {
    pub priority: u32,
    pub tasks: f64,
    pub work_ms: f64,
    pub per_s: f64,
    pub worth: f64,
}

/// The kinds of the co-op: stock check, visit booking, quote. Each kind is worth as much in all.
pub const KINDS: [Kind; 3] = [
    Kind { priority: 0, tasks: 8.0, work_ms: 60.0, per_s: 34.4, worth: 0.0291 },
    Kind { priority: 2, tasks: 4.0, work_ms: 900.0, per_s: 6.25, worth: 0.16 },
    Kind { priority: 1, tasks: 2.0, work_ms: 200.0, per_s: 100.0, worth: 0.01 },
];

/// What happens between two times, in ms.
#[derive(Debug, Clone, Copy)]
pub struct Trouble {
    pub from_ms: u64,
    pub to_ms: u64,
    /// Multiple of the arrivals.
    pub load: f64,
    /// Servers, from the first on, that take nothing.
    pub down: usize,
    /// Servers, from the last on, that take [`SLOWDOWN`] times as long.
    pub slow: usize,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrival,
    Command(usize),
    /// A verdict reaches its entry.
    Reply(usize),
    End(usize, usize),
    Renewal,
    Tick,
}

struct Running {
    entry: usize,
    attempt: Attempt,
    needs: Resources,
    began_ms: u64,
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

struct Asked {
    kind: usize,
    at_ms: u64,
    target_ms: f64,
    worth: f64,
    work_ms: Vec<f64>,
    ended: bool,
}

/// What the callers of a kind got.
#[derive(Debug, Default, Clone, Copy)]
pub struct Tally {
    pub jobs: usize,
    pub on_time: usize,
    pub late: usize,
    pub refused: usize,
    worth: f64,
    earned: f64,
}

pub struct World {
    now: u64,
    random: Pcg64Mcg,
    entries: Vec<Scheduler>,
    keys: Vec<Key>,
    machines: Vec<Machine>,
    trouble: Trouble,
    events: BinaryHeap<Reverse<(u64, u64, Event)>>,
    seq: u64,
    commands: Vec<Option<(usize, StartCommand)>>,
    replies: Vec<Option<(usize, Key, Attempt, Reply)>>,
    running: Vec<Option<Running>>,
    jobs: BTreeMap<u64, Asked>,
    /// By kind.
    pub tallies: [Tally; 3],
}

impl World {
    /// Plays `length_ms` of arrivals, and some time more.
    pub fn play(seed: u64, length_ms: u64, trouble: Trouble) -> World {
        let mut world = World::new(seed, trouble);
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
            world.happen(event);
        }
        world
    }

    /// Part of the load in trouble that the servers have room for, at most 1.
    pub fn room(trouble: Trouble) -> f64 {
        let asked = |kind: &Kind| kind.per_s * kind.tasks * kind.work_ms / 1_000.0 * CORES_PER_TASK;
        let machine = |at: usize| CORES[at % CORES.len()] as f64 * SPEEDS[at % SPEEDS.len()];
        let sound: f64 = (trouble.down..MACHINES - trouble.slow).map(machine).sum();
        let slow: f64 = (MACHINES - trouble.slow..MACHINES).map(machine).sum();
        let asked: f64 = KINDS.iter().map(asked).sum();
        ((sound + slow / SLOWDOWN) / (asked * trouble.load)).min(1.0)
    }

    /// Part of the worth that was earned.
    pub fn earned(&self) -> f64 {
        let sum = |part: fn(&Tally) -> f64| self.tallies.iter().map(part).sum::<f64>();
        sum(|tally| tally.earned) / sum(|tally| tally.worth)
    }

    /// Part of the jobs that were served, also late.
    pub fn served(&self) -> f64 {
        let sum = |part: fn(&Tally) -> usize| self.tallies.iter().map(part).sum::<usize>() as f64;
        sum(|tally| tally.on_time + tally.late) / sum(|tally| tally.jobs)
    }

    fn new(seed: u64, trouble: Trouble) -> World {
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
            trouble,
            events: BinaryHeap::new(),
            seq: 0,
            commands: Vec::new(),
            replies: Vec::new(),
            running: Vec::new(),
            jobs: BTreeMap::new(),
            tallies: Default::default(),
        }
    }

    fn post(&mut self, in_ms: u64, event: Event) {
        self.seq += 1;
        self.events.push(Reverse((self.now + in_ms, self.seq, event)));
    }

    fn happen(&mut self, event: Event) {
        match event {
            Event::Arrival => self.arrive(),
            Event::Command(at) => self.take_command(at),
            Event::Reply(at) => self.take_reply(at),
            Event::End(machine, at) => self.end(machine, at),
            Event::Renewal => self.renew(),
            Event::Tick => self.tick(),
        }
    }

    fn in_trouble(&self) -> bool {
        (self.trouble.from_ms..self.trouble.to_ms).contains(&self.now)
    }

    /// A normal number, by twelve uniform ones.
    fn normal(&mut self) -> f64 {
        (0..12).map(|_| self.random.random::<f64>()).sum::<f64>() - 6.0
    }

    fn arrive(&mut self) {
        let load = if self.in_trouble() { self.trouble.load } else { 1.0 };
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
        let Kind { priority, tasks, work_ms, worth, .. } = KINDS[kind];
        let factor = |random: f64| (0.4 * random - 0.08).exp();
        let tasks = (tasks * factor(self.normal())).round().clamp(1.0, 4.0 * tasks) as u16;
        let base_ms = (work_ms * factor(self.normal())).clamp(5.0, 4.0 * work_ms);
        let work: Vec<f64> =
            (0..tasks).map(|_| base_ms * (1.0 + TASK_SPREAD * self.normal()).max(0.2)).collect();
        let estimate_ms = (base_ms * (ESTIMATE_SPREAD * self.normal()).exp()).max(1.0) as u32;
        let longest = work.iter().copied().fold(0.0, f64::max);
        let cpu_milli = (1_000.0 * CORES_PER_TASK * factor(0.5 * self.normal())) as u64;
        let asked = Asked {
            kind,
            at_ms: self.now,
            target_ms: 1.6 * longest + 60.0,
            worth: worth * (0.3 + 0.7 * f64::from(tasks) * base_ms / (KINDS[kind].tasks * work_ms)),
            work_ms: work,
            ended: false,
        };
        self.tallies[kind].jobs += 1;
        self.tallies[kind].worth += asked.worth;
        let id = self.jobs.len() as u64;
        self.jobs.insert(id, asked);
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
        let job = Job { spec: String::new(), steps: vec![step] };
        self.entries[entry].submit(self.now, Id(id), &queue, job);
        self.carry_out(entry);
    }

    fn carry_out(&mut self, entry: usize) {
        let actions = self.entries[entry].take_actions();
        for command in actions.commands {
            self.commands.push(Some((entry, command)));
            self.post(WAY_MS, Event::Command(self.commands.len() - 1));
        }
        for (id, closed) in actions.finished {
            self.close(id, closed);
        }
    }

    fn close(&mut self, id: Id, closed: JobOutcome) {
        let Some(asked) = self.jobs.get_mut(&id.0).filter(|asked| !asked.ended) else { return };
        asked.ended = true;
        let tally = &mut self.tallies[asked.kind];
        let took_ms = (self.now - asked.at_ms) as f64;
        match closed {
            JobOutcome::Completed if took_ms <= asked.target_ms => {
                tally.on_time += 1;
                tally.earned += asked.worth;
            }
            JobOutcome::Completed if took_ms <= LATE_FACTOR * asked.target_ms => {
                tally.late += 1;
                tally.earned += LATE_PART * asked.worth;
            }
            JobOutcome::NotRun => tally.refused += 1,
            JobOutcome::Completed | JobOutcome::Failed | JobOutcome::Canceled => {}
        }
    }

    fn is_down(&self, machine: usize) -> bool {
        self.in_trouble() && machine < self.trouble.down
    }

    fn take_command(&mut self, at: usize) {
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
                self.begin(machine, waiting);
            } else if waiting.until_ms <= now {
                let outcome = Outcome::NotStarted(Reason::NoCapacity);
                self.answer(machine, waiting.entry, waiting.start.attempt, outcome, 0);
            } else {
                self.machines[machine].waiting.push(waiting);
            }
        }
    }

    fn begin(&mut self, machine: usize, waiting: Waiting) {
        let Start { attempt, needs, .. } = waiting.start;
        let work_ms = self.jobs[&attempt.task.job.0].work_ms[usize::from(attempt.task.index)];
        let first_slow = self.machines.len() - self.trouble.slow;
        let slow = if self.in_trouble() && machine >= first_slow { SLOWDOWN } else { 1.0 };
        let takes_ms = work_ms * slow / self.machines[machine].speed;
        let running = Running { entry: waiting.entry, attempt, needs, began_ms: self.now };
        self.running.push(Some(running));
        self.post(takes_ms.round().max(1.0) as u64, Event::End(machine, self.running.len() - 1));
    }

    fn end(&mut self, machine: usize, at: usize) {
        let Some(running) = self.running[at].take() else { return };
        self.machines[machine].used.sub(&running.needs);
        self.dispatch(machine);
        let took_ms = self.now - running.began_ms;
        self.answer(machine, running.entry, running.attempt, Outcome::Done, took_ms);
    }

    fn load(&self, machine: usize) -> Load {
        let host = &self.machines[machine];
        let mut queued = Resources::default();
        host.waiting.iter().for_each(|waiting| queued.add(&waiting.start.needs));
        Load { open: !self.is_down(machine), used: host.used, queued }
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
        self.post(WAY_MS, Event::Reply(self.replies.len() - 1));
    }

    fn take_reply(&mut self, at: usize) {
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
