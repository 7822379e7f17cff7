//! An entry's view of a backend server: free capacity, speed and health.

use indexmap::IndexMap;

use crate::{
    coordination::pace::{self, Pace},
    protocol::{
        queue::{Attempt, Resources, Step, Task},
        wire::{
            queue::{self, Drains, Reason, ServerId, Sidecar},
            work::{Load, Outcome, Revision},
        },
    },
};

/// Pause in starts on a server that refused one or was lost, in ms.
const REFUSED_PAUSE_MS: u64 = 200;
/// Factor by which the highest run time ratio of the running attempts is multiplied before it
/// counts as the slowdown of a server.
const RUNNING_RATIO_WEIGHT: f64 = 0.7;
/// Share by which the cost of a fully used server is higher than that of an unused one.
const LOAD_WEIGHT: f64 = 0.1;
/// Attempts may be commanded for more cores than a server has, by this share of its cores. The
/// excess waits at the sidecar, so that the next attempt starts without a round trip when one ends.
/// Memory and accelerators are never exceeded.
const EXCESS_CPU_SHARE: f64 = 0.05;

/// A backend server and the sidecar beside it.
#[derive(Debug)]
pub(super) struct Server {
    pub sidecar: Sidecar,
    /// Whether a connection to the sidecar is open.
    pub connected: bool,
    /// Version of the server's description that the sidecar has sent over the present connection;
    /// the default if the description is from the leader's list.
    pub revision: Revision,
    /// Whether `sidecar` describes another version of the server than the one that its last load
    /// was of.
    pub outdated: bool,
    /// Whether the sidecar accepts start commands for the described incarnation of its server.
    open: bool,
    /// Whether that incarnation counts as lost.
    lost: bool,
    /// Whether its data centre is drained: nothing is commanded here.
    drained: bool,
    /// Whether the sidecar itself stops attempts that make no progress.
    pub watches_progress: bool,
    /// Resources of attempts of others that run or wait there.
    others: Resources,
    /// Resources of the attempts that this entry has commanded.
    own: IndexMap<Attempt, Resources>,
    own_total: Resources,
    /// Speed and health, estimated from the attempts that have ended.
    pace: Pace,
    /// Highest ratio of run time so far to declared time among the running attempts.
    pub running_ratio: f64,
    /// Task for which the server is held: nothing else starts here.
    pub held_for: Option<Task>,
    /// When it was last lost while it was held; `None` once it accepts start commands again.
    pub lost_held_ms: Option<u64>,
}

impl Server {
    pub fn new(sidecar: Sidecar) -> Server {
        Server {
            sidecar,
            connected: false,
            revision: Revision::default(),
            outdated: false,
            open: false,
            lost: false,
            drained: false,
            watches_progress: false,
            others: Resources::default(),
            own: IndexMap::new(),
            own_total: Resources::default(),
            pace: Pace::default(),
            running_ratio: 0.0,
            held_for: None,
            lost_held_ms: None,
        }
    }

    /// Replaces the description by that of the leader's list. If the sidecar itself has described
    /// another incarnation of its server, that one stays: the leader may not know it yet.
    pub fn describe(&mut self, sidecar: Sidecar) {
        let described = self.revision != Revision::default();
        let server = match described && self.sidecar.server.id != sidecar.server.id {
            true => self.sidecar.server.clone(),
            false => sidecar.server.clone(),
        };
        self.describe_server(server);
        self.sidecar = Sidecar { server: self.sidecar.server.clone(), ..sidecar };
    }

    /// Replaces the description of the backend server. For another one or another incarnation, the
    /// estimates start anew.
    pub fn describe_server(&mut self, server: queue::Server) {
        if self.sidecar.server.id != server.id {
            self.pace = Pace::default();
        }
        self.sidecar.server = server;
    }

    /// Returns what the sidecar has shown of a crash of `incarnation` that was not confirmed: whether
    /// it is, or `None` if that is still not known.
    pub fn confirms_crash(&self, incarnation: &ServerId) -> Option<bool> {
        let described = self.connected && self.revision != Revision::default();
        match described && self.sidecar.server.id != *incarnation {
            true => Some(true),
            false => (described && !self.lost).then_some(false),
        }
    }

    /// Number of this entry's attempts here that have not ended.
    pub fn outstanding(&self) -> usize {
        self.own.len()
    }

    /// Handles a sidecar's report of its load, from which the resources of others are estimated.
    pub fn update_load(&mut self, load: &Load) {
        self.outdated = load.revision != self.revision;
        self.open = load.open && load.revision.incarnation == self.revision.incarnation;
        self.watches_progress = load.watches_progress;
        self.lost = load.lost || load.revision.incarnation != self.revision.incarnation;
        if load.open {
            self.lost_held_ms = None;
        }
        let mut others = load.used;
        others.add(&load.queued);
        others.sub(&self.own_total);
        self.others = others;
    }

    pub fn add_attempt(&mut self, attempt: Attempt, needs: Resources) {
        self.own_total.add(&needs);
        self.own.insert(attempt, needs);
    }

    pub fn remove_attempt(&mut self, attempt: &Attempt) {
        if let Some(needs) = self.own.swap_remove(attempt) {
            self.own_total.sub(&needs);
        }
    }

    /// Whether the server accepts start commands at all.
    pub fn is_open(&self) -> bool {
        self.connected && self.open && !self.sidecar.server.draining && !self.drained
    }

    /// Whether the data centre of the server is drained.
    pub fn is_drained(&self) -> bool {
        self.drained
    }

    pub fn set_drained(&mut self, drains: &Drains) {
        self.drained = drains.includes(&self.sidecar.server.data_centre);
    }

    /// Whether `task`, which belongs to `step`, may start here once there is free capacity.
    pub fn suits(&self, now_ms: u64, service: &str, task: Task, step: &Step) -> bool {
        self.serves(service, step)
            && self.pace.may_start(now_ms, self.own.len())
            && step.max_per_server.is_none_or(|most| self.count(task) < usize::from(most))
    }

    /// Whether the server accepts start commands of the service and suits the step.
    pub fn serves(&self, service: &str, step: &Step) -> bool {
        self.is_open() && self.is_of_kind(service, step)
    }

    /// Whether the server could run the step if it were open and free.
    pub fn matches(&self, service: &str, step: &Step) -> bool {
        self.is_of_kind(service, step) && self.sidecar.server.capacity.fits(&step.needs)
    }

    /// Whether the server is of the service and has the label that the step requires.
    fn is_of_kind(&self, service: &str, step: &Step) -> bool {
        let server = &self.sidecar.server;
        server.service == service
            && step.required_label.as_ref().is_none_or(|label| server.labels.contains(label))
    }

    /// Number of this entry's attempts of the task's step here.
    fn count(&self, task: Task) -> usize {
        let same =
            |attempt: &&Attempt| attempt.task.job == task.job && attempt.task.step == task.step;
        self.own.keys().filter(same).count()
    }

    fn used(&self) -> Resources {
        let mut used = self.others;
        used.add(&self.own_total);
        used
    }

    /// Whether an attempt that needs `needs` may be commanded now.
    pub fn has_capacity(&self, needs: &Resources) -> bool {
        let capacity = self.sidecar.server.capacity;
        if !capacity.fits(needs) {
            return false;
        }
        let mut used = self.used();
        let mut limit = capacity;
        let excess = (capacity.cpu_milli as f64 * EXCESS_CPU_SHARE) as u64;
        limit.cpu_milli = limit.cpu_milli.saturating_add(excess);
        used.add(needs);
        limit.fits(&used)
    }

    /// Number of tasks of `step` for which there is free capacity here.
    pub fn free_slots(&self, step: &Step) -> u64 {
        let mut free = self.sidecar.server.capacity;
        free.sub(&self.used());
        let slots = free.count(&step.needs);
        step.max_per_server.map_or(slots, |most| slots.min(most.into()))
    }

    /// Returns the expected run time of a task of `step` here, divided by the declared one.
    fn slowdown(&self, step: &Step) -> f64 {
        let rack_factor = pace::rack_factor(step, &self.sidecar.server.labels);
        self.pace.ratio().max(RUNNING_RATIO_WEIGHT * self.running_ratio) * rack_factor
    }

    /// Expected run time of a task of `step` here, in ms.
    pub fn expected_ms(&self, step: &Step) -> f64 {
        f64::from(step.estimate_ms) * self.slowdown(step)
    }

    /// Relative cost of running a task of `step` here: its slowdown, raised by the load.
    pub fn cost(&self, step: &Step) -> f64 {
        let capacity = self.sidecar.server.capacity.cpu_milli.max(1);
        let load = self.used().cpu_milli as f64 / capacity as f64;
        self.slowdown(step) * (1.0 + LOAD_WEIGHT * load)
    }

    /// Updates the estimates of speed and health by the outcome of a start command.
    pub fn record_outcome(
        &mut self,
        now_ms: u64,
        outcome: Outcome,
        took_ms: u64,
        estimate_ms: u32,
    ) {
        match outcome {
            Outcome::Done => self.pace.done(took_ms, estimate_ms),
            Outcome::Failed => self.failed(now_ms),
            Outcome::NotStarted(Reason::Unavailable | Reason::NoAnswer) | Outcome::Lost(_) => {
                self.pace.pause(now_ms + REFUSED_PAUSE_MS);
            }
            Outcome::Stopped
            | Outcome::Canceled
            | Outcome::NotStarted(Reason::NoCapacity | Reason::Expired | Reason::Replaced) => {}
        }
    }

    /// Records that an attempt here has failed or stalled.
    pub fn failed(&mut self, now_ms: u64) {
        if let Some(pause_ms) = self.pace.failed(now_ms) {
            log::info!("event=server_paused server={} pause_ms={pause_ms}", self.sidecar.server.id);
        }
    }
}
