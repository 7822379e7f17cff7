//! Jobs, as callers submit them, and queues of jobs, as operators configure them. Both durable and
//! transient jobs use these types.

use std::{collections::HashSet, fmt};

use serde::{Deserialize, Serialize};

/// Most tasks of a job. Each takes some bytes at every control instance, and one job must not take
/// all memory there.
pub const TASKS_MAX: usize = 10_000;

/// Most attempts at a backend server at the same time: those that the leader commands, and all that its
/// sidecar holds. Tasks that need no capacity are limited by nothing else.
pub const ATTEMPTS_MAX: usize = 1_024;

/// Longest spec of a job, in bytes. Callers may send 4,000; it is part of each start command.
pub const SPEC_MAX_BYTES: usize = 4_096;

/// Bytes that an allocation takes beyond its content, at most.
const ALLOCATION_BYTES: usize = 24;

/// Identifies a job by the number that its caller chose.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Id(pub u64);

/// Identifies one task of a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Task {
    pub job: Id,
    pub step: u16,
    pub index: u16,
}

/// One try to execute one task. Numbers of later attempts are higher.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Attempt {
    pub task: Task,
    pub number: u32,
}

/// A version of the configuration: queues and the services that run their tasks.
#[derive(Debug, Default, Clone, PartialEq, Serialize, Deserialize)]
pub struct Config {
    pub version: u64,
    pub queues: Vec<Queue>,
    pub services: Vec<Service>,
    /// The operator's document, returned as it was sent.
    pub document: String,
}

/// A queue of jobs.
#[derive(Debug, Default, Clone, PartialEq, Serialize, Deserialize)]
pub struct Queue {
    /// Host of the requests for jobs of this queue.
    pub host: String,
    /// Prefix of the paths of these requests. The id of a job follows it.
    pub prefix: String,
    /// Name of the service that runs the tasks.
    pub service: String,
    /// 0 is the most urgent.
    pub priority: u32,
    /// Number of failed attempts of a task at which its job fails.
    pub max_attempts: u32,
    /// Part of a job's target time that grows with the job: a factor, in thousandths, of the
    /// declared run time of its longest chain of dependent steps.
    pub slo_factor_milli: u32,
    /// Part of a job's target time that is the same for all jobs.
    pub slo_ms: u32,
    /// Time limit that the operator configures. It is checked not to be 0, and not used otherwise.
    pub timeout_ms: u32,
    /// Whether an external advisor decides where a step may run.
    pub advised: bool,
}

/// A pool of backend servers.
#[derive(Debug, Default, Clone, PartialEq, Serialize, Deserialize)]
pub struct Service {
    pub name: String,
    /// Whether its backend servers refuse tasks that exceed their free capacity.
    pub enforces_capacity: bool,
}

/// A job as submitted.
#[derive(Debug, Default, Clone, PartialEq, Serialize, Deserialize)]
#[serde(from = "Parts")]
pub struct Job {
    /// Forwarded to the backend servers unchanged.
    pub spec: String,
    pub steps: Vec<Step>,
    /// For each step, the position of its first task among all tasks of the job.
    #[serde(skip_serializing)]
    starts: Vec<u32>,
}

/// A [`Job`] as it is encoded.
#[derive(Deserialize)]
struct Parts {
    spec: String,
    steps: Vec<Step>,
}

impl From<Parts> for Job {
    fn from(parts: Parts) -> Job {
        Job::new(parts.spec, parts.steps)
    }
}

/// A step whose tasks may begin.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ReadyStep {
    pub number: usize,
    /// Position of its first task among all tasks of the job.
    pub start: usize,
}

/// A step of a job: tasks with the same requirements.
#[derive(Debug, Default, Clone, PartialEq, Serialize, Deserialize)]
pub struct Step {
    pub tasks: u16,
    pub needs: Resources,
    /// Declared run time of each task.
    pub estimate_ms: u32,
    /// Indices of earlier steps whose tasks must be done before this step starts.
    pub after: Vec<u16>,
    /// Label that a backend server must have.
    pub required_label: Option<String>,
    /// Rack that holds the data. A task takes longer on a server of another rack.
    pub data_rack: Option<String>,
    /// Maximum number of the step's tasks that run on one backend server at a time.
    pub max_per_server: Option<u16>,
}

/// Resources that a backend server has, or that a task needs.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Resources {
    /// Thousandths of a core.
    pub cpu_milli: u64,
    pub memory_mb: u64,
    pub accelerators: u64,
}

/// How an attempt ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    Done,
    /// The task or the backend server failed. Counts towards `max_attempts`.
    Failed,
    /// Stopped by command, or because a lease expired. Does not count towards `max_attempts`.
    Stopped,
}

/// State of a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Phase {
    Queued,
    Running,
    Completed,
    Failed,
    Canceled,
}

impl Id {
    /// Parses a job's number as callers write it: 16 hexadecimal digits in lower case.
    pub fn parse(text: &str) -> Option<Id> {
        let digit = |b: u8| b.is_ascii_digit() || (b'a'..=b'f').contains(&b);
        if text.len() != 16 || !text.bytes().all(digit) {
            return None;
        }
        u64::from_str_radix(text, 16).ok().map(Id)
    }
}

impl fmt::Display for Id {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

impl fmt::Display for Attempt {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Task { job, step, index } = self.task;
        write!(f, "{job}/{step}/{index}#{}", self.number)
    }
}

impl Resources {
    /// Whether these resources cover `needs`.
    pub fn fits(&self, needs: &Resources) -> bool {
        needs.cpu_milli <= self.cpu_milli
            && needs.memory_mb <= self.memory_mb
            && needs.accelerators <= self.accelerators
    }

    /// Returns how many times these resources cover `needs`.
    pub fn count(&self, needs: &Resources) -> u64 {
        let times = |of: u64, need: u64| of.checked_div(need).unwrap_or(u64::MAX);
        times(self.cpu_milli, needs.cpu_milli)
            .min(times(self.memory_mb, needs.memory_mb))
            .min(times(self.accelerators, needs.accelerators))
    }

    /// Returns, for each resource, the larger amount.
    pub fn max_of(&self, other: &Resources) -> Resources {
        Resources {
            cpu_milli: self.cpu_milli.max(other.cpu_milli),
            memory_mb: self.memory_mb.max(other.memory_mb),
            accelerators: self.accelerators.max(other.accelerators),
        }
    }

    /// Adds `other`; no resource exceeds the largest number.
    pub fn add(&mut self, other: &Resources) {
        self.cpu_milli = self.cpu_milli.saturating_add(other.cpu_milli);
        self.memory_mb = self.memory_mb.saturating_add(other.memory_mb);
        self.accelerators = self.accelerators.saturating_add(other.accelerators);
    }

    /// Subtracts `other`; no resource goes below 0.
    pub fn sub(&mut self, other: &Resources) {
        self.cpu_milli = self.cpu_milli.saturating_sub(other.cpu_milli);
        self.memory_mb = self.memory_mb.saturating_sub(other.memory_mb);
        self.accelerators = self.accelerators.saturating_sub(other.accelerators);
    }
}

impl Config {
    /// Checks that the queues are consistent; describes the first fault.
    pub fn check(&self) -> Result<(), String> {
        let services: HashSet<&str> = self.services.iter().map(|s| s.name.as_str()).collect();
        let mut places = HashSet::new();
        for queue in &self.queues {
            let place = format!("{}{}", queue.host, queue.prefix);
            if !services.contains(queue.service.as_str()) {
                return Err(format!("queue {place} names unknown service {:?}", queue.service));
            }
            if queue.timeout_ms == 0 {
                return Err(format!("queue {place} has a timeout of 0"));
            }
            if !places.insert((&queue.host, &queue.prefix)) {
                return Err(format!("two queues share {place}"));
            }
        }
        Ok(())
    }

    /// Returns the queue with the longest prefix of `path`, and the rest of the path.
    pub fn route<'a>(&self, host: &str, path: &'a str) -> Option<(&Queue, &'a str)> {
        self.queues
            .iter()
            .filter(|queue| queue.host == host)
            .filter_map(|queue| Some((queue, path.strip_prefix(queue.prefix.as_str())?)))
            .max_by_key(|(queue, _)| queue.prefix.len())
    }
}

impl Queue {
    /// Returns the time after submission within which a job is on time, in ms.
    pub fn target_ms(&self, job: &Job) -> u64 {
        let grown = job.chain_ms().saturating_mul(self.slo_factor_milli.into()) / 1_000;
        grown + u64::from(self.slo_ms)
    }
}

impl Step {
    fn memory_bytes(&self) -> usize {
        let texts = self.required_label.iter().chain(&self.data_rack);
        let texts_bytes: usize = texts.map(|text| text.len() + ALLOCATION_BYTES).sum();
        let after_bytes = match self.after.len() {
            0 => 0,
            steps => steps * size_of::<u16>() + ALLOCATION_BYTES,
        };
        size_of::<Step>() + texts_bytes + after_bytes
    }
}

impl Job {
    pub fn new(spec: String, steps: Vec<Step>) -> Job {
        let mut tasks = 0;
        let mut starts = Vec::with_capacity(steps.len());
        for step in &steps {
            starts.push(tasks);
            tasks += u32::from(step.tasks);
        }
        Job { spec, steps, starts }
    }

    /// Checks that the steps are consistent; describes the first fault.
    pub fn check(&self) -> Result<(), String> {
        if self.steps.is_empty() {
            return Err("a job needs a step".to_owned());
        }
        if self.spec.len() > SPEC_MAX_BYTES {
            return Err(format!("the spec of a job has at most {SPEC_MAX_BYTES} bytes"));
        }
        for (number, step) in self.steps.iter().enumerate() {
            if step.tasks == 0 {
                return Err(format!("step {number} has no tasks"));
            }
            if step.after.iter().any(|after| usize::from(*after) >= number) {
                return Err(format!("step {number} waits for a step that is not before it"));
            }
        }
        if self.tasks() > TASKS_MAX {
            return Err(format!("a job has at most {TASKS_MAX} tasks"));
        }
        Ok(())
    }

    /// Returns the approximate memory of the job, in bytes.
    pub fn memory_bytes(&self) -> usize {
        self.spec.len() + self.steps.iter().map(Step::memory_bytes).sum::<usize>()
    }

    /// Returns the number of tasks of all steps.
    pub fn tasks(&self) -> usize {
        self.steps.iter().map(|step| usize::from(step.tasks)).sum()
    }

    /// All tasks of the job, whose id is given.
    pub fn all_tasks(&self, job: Id) -> impl Iterator<Item = Task> {
        self.steps.iter().zip(0..).flat_map(move |(step, number)| {
            (0..step.tasks).map(move |index| Task { job, step: number, index })
        })
    }

    /// Returns the position of a task among all tasks of the job, if there is such a task.
    pub fn position(&self, task: Task) -> Option<usize> {
        let step = self.steps.get(usize::from(task.step))?;
        let start = *self.starts.get(usize::from(task.step))? as usize;
        (task.index < step.tasks).then_some(start + usize::from(task.index))
    }

    /// Returns the steps that have not begun and all of whose dependencies are done. `done` returns
    /// whether the task at a position is; it is asked at most once for each task.
    pub fn ready_steps(&self, begun: &[bool], done: impl Fn(usize) -> bool) -> Vec<ReadyStep> {
        let mut ready = Vec::new();
        let mut steps_done = Vec::with_capacity(self.steps.len());
        for (number, (step, start)) in self.steps.iter().zip(&self.starts).enumerate() {
            let start = *start as usize;
            let is_done = |after: &u16| steps_done.get(usize::from(*after)) == Some(&true);
            if !begun[number] && step.after.iter().all(is_done) {
                ready.push(ReadyStep { number, start });
            }
            let mut positions = start..start + usize::from(step.tasks);
            steps_done.push(positions.all(&done));
        }
        ready
    }

    /// Returns the declared run time of the longest chain of dependent steps, in ms.
    pub fn chain_ms(&self) -> u64 {
        let mut ends: Vec<u64> = Vec::with_capacity(self.steps.len());
        for step in &self.steps {
            let start = step.after.iter().map(|s| ends[usize::from(*s)]).max().unwrap_or(0);
            ends.push(start + u64::from(step.estimate_ms));
        }
        ends.into_iter().max().unwrap_or(0)
    }
}

impl Phase {
    /// Whether a job in this phase changes no more.
    pub fn is_terminal(self) -> bool {
        match self {
            Phase::Queued | Phase::Running => false,
            Phase::Completed | Phase::Failed | Phase::Canceled => true,
        }
    }
}
