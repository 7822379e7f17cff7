//! A backend server as an entry sees it: room, speed and health.

use indexmap::IndexMap;

use crate::protocol::{
    queue::{Resources, Run, Step, Task},
    wire::{
        queue::{Reason, Sidecar},
        work::{Ended, Load},
    },
};

/// Weight of the newest run in the learned pace.
const PACE_WEIGHT: f64 = 0.15;
/// Runs that may fail in a row before a server is left alone for a while.
const FAILURES_MAX: u32 = 2;
/// First pause of a server that fails all that it starts; it doubles with each further failure.
const PAUSE_MS: u64 = 1_000;
const PAUSE_MAX_MS: u64 = 8_000;
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
    own: IndexMap<Run, Resources>,
    own_sum: Resources,
    pace: f64,
    /// Longest time of a present run against the declared one.
    pub lag: f64,
    failures: u32,
    paused_until_ms: u64,
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
            pace: 1.0,
            lag: 0.0,
            failures: 0,
            paused_until_ms: 0,
        }
    }

    /// Takes a new description; another backend server has to be learned anew.
    pub fn describe(&mut self, sidecar: Sidecar) {
        if self.sidecar.server.id != sidecar.server.id {
            self.pace = 1.0;
            self.failures = 0;
            self.paused_until_ms = 0;
        }
        self.sidecar = sidecar;
    }

    pub fn outstanding(&self) -> usize {
        self.own.len()
    }

    pub fn loaded(&mut self, load: &Load) {
        self.open = load.open;
        let mut others = load.used;
        others.add(&load.queued);
        others.sub(&self.own_sum);
        self.others = others;
    }

    pub fn ordered(&mut self, run: Run, needs: Resources) {
        self.own_sum.add(&needs);
        self.own.insert(run, needs);
    }

    pub fn ended(&mut self, run: &Run) {
        if let Some(needs) = self.own.swap_remove(run) {
            self.own_sum.sub(&needs);
        }
    }

    /// Whether a task of `step` may be ordered here.
    pub fn takes(&self, now_ms: u64, service: &str, task: Task, step: &Step) -> bool {
        let server = &self.sidecar.server;
        self.up
            && self.open
            && !server.draining
            && self.paused_until_ms <= now_ms
            && server.service == service
            && (self.failures < FAILURES_MAX || self.own.is_empty())
            && step.required_label.as_ref().is_none_or(|label| server.labels.contains(label))
            && self.has_room(&step.needs)
            && step.max_per_server.is_none_or(|most| self.count(task) < usize::from(most))
    }

    /// Runs of the task's step here.
    fn count(&self, task: Task) -> usize {
        let same = |run: &&Run| run.task.job == task.job && run.task.step == task.step;
        self.own.keys().filter(same).count()
    }

    fn used(&self) -> Resources {
        let mut used = self.others;
        used.add(&self.own_sum);
        used
    }

    fn has_room(&self, needs: &Resources) -> bool {
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

    /// Relative time until a task of `step` would end here.
    pub fn cost(&self, step: &Step) -> f64 {
        let server = &self.sidecar.server;
        let far = match &step.data_rack {
            Some(rack) if !server.labels.contains(rack) => FAR_FACTOR,
            _ => 1.0,
        };
        let part = self.used().cpu_milli as f64 / server.capacity.cpu_milli.max(1) as f64;
        self.pace.max(LAG_WEIGHT * self.lag) * far * (1.0 + LOAD_WEIGHT * part)
    }

    /// Learns from the end of an order.
    pub fn learn(&mut self, now_ms: u64, end: Ended, took_ms: u64, estimate_ms: u32) {
        match end {
            Ended::Done => {
                self.failures = 0;
                if estimate_ms > 0 {
                    let ratio = took_ms as f64 / f64::from(estimate_ms);
                    self.pace += PACE_WEIGHT * (ratio.min(8.0) - self.pace);
                }
            }
            Ended::Failed => self.failed(now_ms),
            Ended::NotStarted(Reason::Unavailable | Reason::NoAnswer) | Ended::Lost => {
                self.paused_until_ms = self.paused_until_ms.max(now_ms + REFUSED_PAUSE_MS);
            }
            Ended::Stopped | Ended::Canceled | Ended::NotStarted(Reason::Room | Reason::Late) => {}
        }
    }

    /// A run here stands still.
    pub fn stalled(&mut self, now_ms: u64) {
        self.failed(now_ms);
    }

    fn failed(&mut self, now_ms: u64) {
        if now_ms < self.paused_until_ms && self.failures >= FAILURES_MAX {
            // Runs that were under way when the pause began say nothing new.
            return;
        }
        self.failures += 1;
        if self.failures < FAILURES_MAX {
            return;
        }
        let doublings = (self.failures - FAILURES_MAX).min(8);
        let pause_ms = (PAUSE_MS << doublings).min(PAUSE_MAX_MS);
        self.paused_until_ms = now_ms + pause_ms;
        log::info!(
            "event=server_paused server={} failures={} pause_ms={pause_ms}",
            self.sidecar.server.id,
            self.failures
        );
    }
}
