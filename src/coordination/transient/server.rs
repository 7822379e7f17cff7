//! A backend server as an entry sees it: room, speed and health.

use indexmap::IndexMap;

use crate::{
    coordination::pace::Pace,
    protocol::{
        queue::{Attempt, Resources, Step, Task},
        wire::{
            queue::{Reason, Sidecar},
            work::{Load, Outcome},
        },
    },
};

/// Pause after a server refused work, in ms.
const REFUSED_PAUSE_MS: u64 = 200;
/// Part of the time that present runs have taken that counts as the server's pace.
const LAG_WEIGHT: f64 = 0.7;
/// Assumed slowdown of a task away from the rack of its data.
const FAR_FACTOR: f64 = 1.5;
/// Part of the pace by which a full server is less attractive than an empty one.
const LOAD_WEIGHT: f64 = 0.1;
/// Part of the capacity that may wait for room at a sidecar, so that a run that ends is followed
/// by the next one without a round trip.
const QUEUE_PART: f64 = 0.05;

/// A backend server and the sidecar beside it.
#[derive(Debug)]
pub(super) struct Server {
    pub sidecar: Sidecar,
    /// Whether the link to the sidecar is open.
    pub up: bool,
    /// Whether the sidecar takes orders.
    open: bool,
    /// What others use or have waiting there.
    others: Resources,
    /// What this entry has ordered.
    own: IndexMap<Attempt, Resources>,
    own_sum: Resources,
    pace: Pace,
    /// Longest time of a present run against the declared one.
    pub lag: f64,
}

impl Server {
    pub fn new(sidecar: Sidecar) -> Server {
        Server {
            sidecar,
            up: false,
            open: false,
            others: Resources::default(),
            own: IndexMap::new(),
            own_sum: Resources::default(),
            pace: Pace::default(),
            lag: 0.0,
        }
    }

    /// Takes a new description; another backend server has to be learned anew.
    pub fn describe(&mut self, sidecar: Sidecar) {
        if self.sidecar.server.id != sidecar.server.id {
            self.pace = Pace::default();
        }
        self.sidecar = sidecar;
    }

    pub fn outstanding(&self) -> usize {
        self.own.len()
    }

    pub fn update_load(&mut self, load: &Load) {
        self.open = load.open;
        let mut others = load.used;
        others.add(&load.queued);
        others.sub(&self.own_sum);
        self.others = others;
    }

    pub fn commanded(&mut self, attempt: Attempt, needs: Resources) {
        self.own_sum.add(&needs);
        self.own.insert(attempt, needs);
    }

    pub fn ended(&mut self, attempt: &Attempt) {
        if let Some(needs) = self.own.swap_remove(attempt) {
            self.own_sum.sub(&needs);
        }
    }

    /// Whether the server takes orders at all.
    pub fn is_open(&self) -> bool {
        self.up && self.open && !self.sidecar.server.draining
    }

    /// Whether a task of `step` may be ordered here once there is room.
    pub fn suits(&self, now_ms: u64, service: &str, task: Task, step: &Step) -> bool {
        let server = &self.sidecar.server;
        self.is_open()
            && server.service == service
            && self.pace.open(now_ms, self.own.len())
            && step.required_label.as_ref().is_none_or(|label| server.labels.contains(label))
            && step.max_per_server.is_none_or(|most| self.count(task) < usize::from(most))
    }

    /// Runs of the task's step here.
    fn count(&self, task: Task) -> usize {
        let same =
            |attempt: &&Attempt| attempt.task.job == task.job && attempt.task.step == task.step;
        self.own.keys().filter(same).count()
    }

    fn used(&self) -> Resources {
        let mut used = self.others;
        used.add(&self.own_sum);
        used
    }

    pub fn has_room(&self, needs: &Resources) -> bool {
        let capacity = self.sidecar.server.capacity;
        if !capacity.fits(needs) {
            return false;
        }
        let mut used = self.used();
        let mut most = capacity;
        most.cpu_milli += (capacity.cpu_milli as f64 * QUEUE_PART) as u64;
        used.add(needs);
        most.fits(&used)
    }

    /// Run time of a task of `step` here against the declared one.
    fn slowdown(&self, step: &Step) -> f64 {
        let far = match &step.data_rack {
            Some(rack) if !self.sidecar.server.labels.contains(rack) => FAR_FACTOR,
            _ => 1.0,
        };
        self.pace.ratio().max(LAG_WEIGHT * self.lag) * far
    }

    /// Run time to be expected of a task of `step`, in ms.
    pub fn expected_ms(&self, step: &Step) -> f64 {
        f64::from(step.estimate_ms) * self.slowdown(step)
    }

    /// Relative time until a task of `step` would end here.
    pub fn cost(&self, step: &Step) -> f64 {
        let capacity = self.sidecar.server.capacity.cpu_milli.max(1);
        let part = self.used().cpu_milli as f64 / capacity as f64;
        self.slowdown(step) * (1.0 + LOAD_WEIGHT * part)
    }

    /// Learns from the end of an order.
    pub fn learn(&mut self, now_ms: u64, outcome: Outcome, took_ms: u64, estimate_ms: u32) {
        match outcome {
            Outcome::Done => self.pace.done(took_ms, estimate_ms),
            Outcome::Failed => self.failed(now_ms),
            Outcome::NotStarted(Reason::Unavailable | Reason::NoAnswer) | Outcome::Lost => {
                self.pace.pause(now_ms + REFUSED_PAUSE_MS);
            }
            Outcome::Stopped
            | Outcome::Canceled
            | Outcome::NotStarted(Reason::NoCapacity | Reason::Expired) => {}
        }
    }

    /// A run here has failed or stands still.
    pub fn failed(&mut self, now_ms: u64) {
        if let Some(pause_ms) = self.pace.failed(now_ms) {
            log::info!("event=server_paused server={} pause_ms={pause_ms}", self.sidecar.server.id);
        }
    }
}
