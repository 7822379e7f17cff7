//! What all runners have seen of each task, and the breaks of the rules in it.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::{
        Mutex,
        atomic::{AtomicU64, Ordering},
    },
};

use crate::record::Record;

/// Small random numbers; the same seed gives the same ones.
pub struct Rng(u64);

impl Rng {
    pub fn new(seed: u64) -> Rng {
        let mut rng = Rng(seed ^ 0x5851_f42d_4c95_7f2d);
        let mixed = rng.next() ^ seed.rotate_left(32);
        Rng(mixed)
    }

    pub fn next(&mut self) -> u64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut z = self.0;
        z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        z ^ (z >> 31)
    }

    pub fn below(&mut self, limit: u64) -> u64 {
        self.next() % limit.max(1)
    }
}

#[derive(Default)]
struct Task {
    /// Run and runner of what runs now.
    active: Vec<(u64, String)>,
    starts: u64,
    /// Ends `done`, with run, runner and when.
    done: Vec<(u64, String, f64)>,
    /// Times of the starts.
    started: Vec<(f64, u64)>,
    failed: u64,
    /// A run whose end `done` has been taken note of, and when.
    noted: Option<(u64, f64)>,
}

#[derive(Default)]
struct State {
    tasks: BTreeMap<String, Task>,
    /// Leases that lapsed with something running: runner, its birth and when.
    lapses: Vec<(String, u64, f64)>,
    breaks: BTreeSet<String>,
    /// Cancelled jobs and when that was acknowledged.
    cancelled: BTreeMap<String, f64>,
    loose: BTreeSet<String>,
    /// For each step of a job, what a task needs and how many may run on one runner.
    steps: BTreeMap<String, Vec<(u64, u64)>>,
}

pub struct Watch {
    record: Record,
    state: Mutex<State>,
    draws: AtomicU64,
}

impl Watch {
    pub fn new(record: Record) -> Watch {
        Watch { record, state: Mutex::default(), draws: AtomicU64::new(1) }
    }

    /// A number that differs with each call.
    pub fn draw(&self) -> u64 {
        self.draws.fetch_add(1, Ordering::SeqCst)
    }

    pub fn breaks(&self) -> Vec<String> {
        self.state.lock().unwrap().breaks.iter().cloned().collect()
    }

    fn report(&self, state: &mut State, text: String) {
        self.record.line(&format!("BREAK {text}"));
        state.breaks.insert(text);
    }

    /// Whether this run of a task is one of the first `n`, which fail.
    pub fn fails(&self, task: &str, n: &str) -> bool {
        let state = self.state.lock().unwrap();
        let failed = state.tasks.get(task).map_or(0, |task| task.failed);
        n.parse().is_ok_and(|n: u64| failed < n)
    }

    pub fn started(&self, task: &str, run: u64, runner: &str) {
        let now = self.record.s();
        let mut state = self.state.lock().unwrap();
        let state = &mut *state;
        let job = task.split('.').next().unwrap_or_default();
        if let Some(at) = state.cancelled.get(job).filter(|at| now > **at + 3.0) {
            let text =
                format!("UNASKED {task} run {run} on {runner} starts {:.1} s after", now - at);
            self.report(state, text);
        }
        let step_of = |task: &str| task.rsplit_once('.').map(|(step, _)| step.to_owned());
        let step = step_of(task);
        let known = |task: &str| {
            let mut parts = task.split('.');
            let steps = state.steps.get(parts.next()?)?;
            steps.get(parts.nth(1)?.parse::<usize>().ok()?).copied()
        };
        let here =
            |name: &str, t: &Task| t.active.iter().filter(|(_, on)| on == name).count() as u64;
        let (mut used, mut same) = (0, 0);
        for (name, t) in &state.tasks {
            let count = here(runner, t);
            used += count * known(name).map_or(0, |(cpu, _)| cpu);
            same += if step_of(name) == step { count } else { 0 };
        }
        let (cpu, most) = known(task).unwrap_or((0, 99));
        if used + cpu > 8_000 {
            let text = format!("LIMIT {task} run {run} on {runner}: {used} + {cpu}");
            self.report(state, text);
        }
        if same >= most {
            let text = format!("ROUTE {task} run {run} on {runner}: {same} of {most}");
            self.report(state, text);
        }
        let entry = state.tasks.entry(task.to_owned()).or_default();
        entry.starts += 1;
        entry.started.push((now, run));
        let others = entry.active.clone();
        let noted = entry.noted;
        entry.active.push((run, runner.to_owned()));
        if let Some((done, at)) = noted {
            self.report(
                state,
                format!(
                    "TWICE {task} run {run} on {runner} starts {:.1} s after the end done of run {done} \
                     was taken note of",
                    now - at
                ),
            );
        }
        if !others.is_empty() {
            self.report(state, format!("TWICE {task} run {run} on {runner} beside {others:?}"));
        }
    }

    pub fn ended(&self, task: &str, run: u64, runner: &str, how: &str) {
        let now = self.record.s();
        let mut state = self.state.lock().unwrap();
        let entry = state.tasks.entry(task.to_owned()).or_default();
        entry.active.retain(|(r, on)| !(*r == run && on == runner));
        match how {
            "done" => entry.done.push((run, runner.to_owned(), now)),
            "failed" => entry.failed += 1,
            _ => {}
        }
    }

    pub fn lapsed(&self, runner: &str, born: u64) {
        let now = self.record.s();
        self.state.lock().unwrap().lapses.push((runner.to_owned(), born, now));
    }

    /// An end was taken note of.
    pub fn acked(&self, task: &str, run: u64, how: &str, runner: &str, born: u64) {
        // An end counts only for a job that has to be kept.
        if how != "done" || self.loose(task) {
            return;
        }
        let mut state = self.state.lock().unwrap();
        let state = &mut *state;
        let Some(entry) = state.tasks.get(task) else { return };
        let Some((_, _, at)) = entry.done.iter().find(|(r, on, _)| *r == run && on == runner)
        else {
            return;
        };
        // An end does not count if the lease has lapsed between it and the cursor.
        if state.lapses.iter().any(|(on, b, lapse)| on == runner && *b == born && *lapse > *at) {
            return;
        }
        let at = *at;
        let entry = state.tasks.get_mut(task).expect("known");
        entry.noted.get_or_insert((run, self.record.s()));
        let later = entry.started.iter().find(|(started, _)| *started > at);
        let text = later.map(|(started, other)| {
            format!(
                "NOTED {task} run {run} on {runner} (born {born}) ended done at {at:.3}, run {other} \
                 started at {started:.3}"
            )
        });
        if let Some(text) = text {
            self.report(state, text);
        }
    }

    fn loose(&self, task: &str) -> bool {
        let state = self.state.lock().unwrap();
        task.split('.').next().is_some_and(|job| state.loose.contains(job))
    }

    pub fn note_steps(&self, job: &str, steps: &[(u64, u64)]) {
        self.state.lock().unwrap().steps.insert(job.to_owned(), steps.to_vec());
    }

    /// Notes that a job need not be kept.
    pub fn note_loose(&self, job: &str) {
        self.state.lock().unwrap().loose.insert(job.to_owned());
    }

    pub fn cancelled(&self, job: &str) {
        let now = self.record.s();
        self.state.lock().unwrap().cancelled.insert(job.to_owned(), now);
    }

    /// How many runs of the job's tasks have ended failed.
    pub fn failed(&self, job: &str) -> u64 {
        let state = self.state.lock().unwrap();
        let of_job = state.tasks.iter().filter(|(task, _)| task.starts_with(job));
        of_job.map(|(_, task)| task.failed).max().unwrap_or(0)
    }
}
