//! A backend server as the scheduler sees it: room, speed and health.

use indexmap::IndexMap;

use super::pause_ms;
use crate::protocol::{
    queue::{How, Id, Resources, Run, Step},
    wire::queue::{self, Batch, Reason, Start},
};

/// Weight of the newest run in the learned pace.
const PACE_WEIGHT: f64 = 0.1;
/// Runs that may fail in a row before a server is left alone for a while.
const FAILURES_MAX: u32 = 3;
/// First pause of a server that fails all that it starts; it doubles with each further failure.
const PAUSE_MS: u64 = 500;
const PAUSE_MAX_MS: u64 = 8_000;
/// Assumed slowdown of a task away from the rack of its data.
const FAR_FACTOR: f64 = 1.5;

/// A backend server.
#[derive(Debug)]
pub struct Server {
    pub info: queue::Server,
    /// Whether all that runs there is known.
    open: bool,
    used: Resources,
    runs: IndexMap<Run, ()>,
    /// Run time against the declared one.
    pace: f64,
    failures: u32,
    paused_until_ms: u64,
    outbox: Batch,
}

impl Server {
    pub fn new(info: queue::Server) -> Server {
        Server {
            used: Resources::default(),
            info,
            open: false,
            runs: IndexMap::new(),
            pace: 1.0,
            failures: 0,
            paused_until_ms: 0,
            outbox: Batch::default(),
        }
    }

    pub(super) fn open(&mut self) {
        self.open = true;
    }

    /// Until the next sync nothing is started here; orders that were not sent are dropped, as the
    /// sync tells that their runs are not there.
    pub fn shut(&mut self) {
        self.open = false;
        self.outbox = Batch::default();
    }

    /// Takes a changed description.
    pub fn describe(&mut self, info: queue::Server) {
        if self.info.capacity != info.capacity {
            log::warn!("event=capacity_changed server={}", info.id.id);
        }
        self.info = info;
    }

    pub(super) fn takes(&self, now_ms: u64, service: &str, step: &Step) -> bool {
        self.open
            && !self.info.draining
            && self.paused_until_ms <= now_ms
            && self.info.service == service
            && self.has_room(&step.needs)
            && step.required_label.as_ref().is_none_or(|label| self.info.labels.contains(label))
            && (self.failures < FAILURES_MAX || self.runs.is_empty())
    }

    fn has_room(&self, needs: &Resources) -> bool {
        let mut used = self.used;
        used.add(needs);
        self.info.capacity.fits(&used)
    }

    /// Relative time that a task of `step` would take here.
    pub(super) fn cost(&self, step: &Step) -> f64 {
        match &step.data_rack {
            Some(rack) if !self.info.labels.contains(rack) => self.pace * FAR_FACTOR,
            _ => self.pace,
        }
    }

    /// Runs of a job's step here.
    pub(super) fn count(&self, job: Id, step: u16) -> usize {
        self.runs.keys().filter(|run| run.task.job == job && run.task.step == step).count()
    }

    pub(super) fn take(&mut self, run: &Run, needs: &Resources) {
        self.runs.insert(*run, ());
        self.used.add(needs);
    }

    pub(super) fn free(&mut self, run: &Run, needs: &Resources) {
        if self.runs.swap_remove(run).is_some() {
            self.used.sub(needs);
        }
    }

    /// Learns from the end of a run.
    pub(super) fn learn(&mut self, now_ms: u64, how: How, took_ms: u64, estimate_ms: u32) {
        match how {
            How::Done => {
                self.failures = 0;
                if estimate_ms > 0 {
                    let ratio = took_ms as f64 / f64::from(estimate_ms);
                    self.pace += PACE_WEIGHT * (ratio - self.pace);
                }
            }
            How::Failed => self.failed(now_ms),
            How::Stopped => {}
        }
    }

    fn failed(&mut self, now_ms: u64) {
        self.failures += 1;
        if self.failures >= FAILURES_MAX {
            let doublings = (self.failures - FAILURES_MAX).min(8);
            let pause = (PAUSE_MS << doublings).min(PAUSE_MAX_MS);
            self.paused_until_ms = now_ms + pause;
            let server = &self.info.id.id;
            let failures = self.failures;
            log::info!("event=server_paused server={server} failures={failures} pause_ms={pause}");
        }
    }

    pub(super) fn refused(&mut self, now_ms: u64, reason: Reason) {
        self.paused_until_ms = self.paused_until_ms.max(now_ms + pause_ms(reason));
    }

    pub(super) fn order_start(&mut self, start: Start) {
        self.outbox.starts.push(start);
    }

    pub(super) fn order_stop(&mut self, run: Run) {
        self.outbox.stops.push(run);
    }

    pub(super) fn has_orders(&self) -> bool {
        !self.outbox.starts.is_empty() || !self.outbox.stops.is_empty()
    }

    pub(super) fn orders(&mut self) -> Option<Batch> {
        self.has_orders().then(|| std::mem::take(&mut self.outbox))
    }
}
