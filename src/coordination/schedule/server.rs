//! The scheduler's view of a backend server: free capacity, speed and health.

use indexmap::IndexMap;

use super::pause_ms;
use crate::{
    coordination::{
        pace::{self, Pace},
        warmup::Warmup,
    },
    protocol::{
        queue::{ATTEMPTS_MAX, Attempt, Id, Outcome, Resources, Step},
        wire::queue::{self, Batch, Drains, Reason, Start},
    },
};

/// A backend server and the attempts commanded there.
#[derive(Debug)]
pub struct Server {
    pub info: queue::Server,
    /// Whether all attempts that run there are known; nothing is started there otherwise.
    synced: bool,
    /// Whether only suspects start here, one at a time.
    apart: bool,
    /// Whether its data centre is drained: nothing is started here.
    drained: bool,
    used: Resources,
    attempts: IndexMap<Attempt, ()>,
    /// Speed and health, estimated from the attempts that have ended.
    pace: Pace,
    /// The last warm-up.
    warmup: Option<Warmup>,
    /// Commands that have not been sent yet.
    outbox: Batch,
}

impl Server {
    pub fn new(info: queue::Server) -> Server {
        Server {
            used: Resources::default(),
            info,
            synced: false,
            apart: false,
            drained: false,
            attempts: IndexMap::new(),
            pace: Pace::default(),
            warmup: None,
            outbox: Batch::default(),
        }
    }

    /// Records that all attempts that run here are known, so that others may start.
    pub(super) fn mark_synced(&mut self) {
        self.synced = true;
    }

    /// Stops starting attempts here until the next [`Scheduler::sync`](super::Scheduler::sync).
    /// Commands that were not sent are dropped. The sync makes the tasks of dropped starts ready
    /// again and repeats dropped stops.
    pub fn shut(&mut self) {
        self.synced = false;
        self.outbox = Batch::default();
    }

    /// Forgets what was known of the earlier process of the server, except its attempts.
    pub(super) fn restart(&mut self, info: queue::Server) {
        let Server { used, ref mut attempts, .. } = *self;
        let attempts = std::mem::take(attempts);
        *self = Server { used, attempts, ..Server::new(info) };
    }

    /// Replaces the description of the server.
    pub(super) fn describe(&mut self, info: queue::Server) {
        if self.info.capacity != info.capacity {
            log::warn!("event=capacity_changed server={}", info.id.id);
        }
        self.info = info;
    }

    /// Whether a task of `step` may start here now.
    pub(super) fn accepts(&self, now_ms: u64, service: &str, step: &Step) -> bool {
        !self.apart
            && self.attempts.len() < ATTEMPTS_MAX
            && self.pace.may_start(now_ms, self.attempts.len())
            && self.has_capacity(now_ms, &step.needs)
            && self.suits(service, step)
    }

    /// Whether a task of `step` may start here once the server is free.
    pub(super) fn suits(&self, service: &str, step: &Step) -> bool {
        self.synced
            && !self.info.draining
            && !self.drained
            && self.info.service == service
            && self.info.capacity.fits(&step.needs)
            && step.max_per_server != Some(0)
            && step.required_label.as_ref().is_none_or(|label| self.info.labels.contains(label))
    }

    /// Whether the data centre of the server is drained.
    pub fn is_drained(&self) -> bool {
        self.drained
    }

    pub(super) fn set_drained(&mut self, drains: &Drains) {
        self.drained = drains.includes(&self.info.data_centre);
    }

    /// Whether only suspects start here.
    pub fn apart(&self) -> bool {
        self.apart
    }

    pub(super) fn set_apart(&mut self, apart: bool) {
        self.apart = apart;
    }

    /// Whether a suspect may start here now.
    pub(super) fn free_for_suspect(&self, now_ms: u64) -> bool {
        self.apart && self.attempts.is_empty() && self.pace.may_start(now_ms, 0)
    }

    /// Number of attempts here.
    pub(super) fn attempts(&self) -> usize {
        self.attempts.len()
    }

    /// Begins a warm-up, as a drain has ended.
    pub fn begin_warmup(&mut self, now_ms: u64) {
        // Only its sidecar knows how long the server is cold; attempts beyond the share wait there.
        self.warmup = Some(Warmup::new(now_ms, 0));
    }

    fn has_capacity(&self, now_ms: u64, needs: &Resources) -> bool {
        let (idle, capacity) = (self.attempts.is_empty(), &self.info.capacity);
        let mut used = self.used;
        used.add(needs);
        capacity.fits(&used)
            && self.warmup.is_none_or(|warmup| warmup.allows(now_ms, capacity, &used, idle))
    }

    /// Returns the expected run time of a task of `step` here, divided by the declared one.
    pub(super) fn cost(&self, step: &Step) -> f64 {
        self.pace.ratio() * pace::rack_factor(step, &self.info.labels)
    }

    /// Number of attempts of a job's step here.
    pub(super) fn count(&self, job: Id, step: u16) -> usize {
        self.attempts
            .keys()
            .filter(|attempt| attempt.task.job == job && attempt.task.step == step)
            .count()
    }

    pub(super) fn add_attempt(&mut self, attempt: &Attempt, needs: &Resources) {
        self.attempts.insert(*attempt, ());
        self.used.add(needs);
    }

    pub(super) fn remove_attempt(&mut self, attempt: &Attempt, needs: &Resources) {
        if self.attempts.swap_remove(attempt).is_some() {
            self.used.sub(needs);
        }
    }

    /// Updates the estimates of speed and health by the outcome of an attempt.
    pub(super) fn record_outcome(
        &mut self,
        now_ms: u64,
        outcome: Outcome,
        took_ms: u64,
        estimate_ms: u32,
    ) {
        match outcome {
            Outcome::Done => self.pace.done(took_ms, estimate_ms),
            Outcome::Failed => {
                if let Some(pause_ms) = self.pace.failed(now_ms) {
                    let server = &self.info.id;
                    log::info!("event=server_paused server={server} pause_ms={pause_ms}");
                }
            }
            Outcome::Stopped => {}
        }
    }

    /// Pauses starts here, as the server refused one.
    pub(super) fn refused(&mut self, now_ms: u64, reason: Reason) {
        self.pace.pause(now_ms + pause_ms(reason));
    }

    pub(super) fn command_start(&mut self, start: Start) {
        self.outbox.starts.push(start);
    }

    pub(super) fn command_stop(&mut self, attempt: Attempt) {
        self.outbox.stops.push(attempt);
    }

    pub(super) fn has_commands(&self) -> bool {
        !self.outbox.starts.is_empty() || !self.outbox.stops.is_empty()
    }

    pub(super) fn commands(&mut self) -> Option<Batch> {
        self.has_commands().then(|| std::mem::take(&mut self.outbox))
    }
}
