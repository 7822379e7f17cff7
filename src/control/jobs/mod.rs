//! Durable jobs at the control instances. The leader stores them, schedules their tasks and answers
//! calls about them; the other instances refuse calls and name the leader.

mod admission;
mod batcher;
mod call;
mod drain;
mod gate;
mod members;
mod meter;
mod report;
mod service;
mod sidecar;

use std::{
    cell::{Cell, RefCell},
    net::SocketAddr,
    rc::Rc,
    time::Duration,
};

use indexmap::{IndexMap, IndexSet};
use tokio::{
    sync::{Mutex, Notify},
    time,
};

use crate::{
    control::{barrier::SharedBarrier, replica::Replica},
    coordination::{membership::Monitor, schedule::Scheduler},
    protocol::{
        id,
        wire::queue::{self, Drains, Refusal},
    },
    supervisor,
    transport::limit::bound::Instance,
    util,
};
use admission::Admission;
use batcher::Batcher;
pub use gate::Gate;
use meter::Meter;
pub use service::Handler;
use sidecar::Sidecar;

/// Longest lease that a sidecar gets, in ms, counted from the last confirmation of leadership.
/// Until it ends the sidecar may start tasks and renew the lease of its backend server. It outlasts
/// the time without a leader after a failure.
const LEASE_MS: u64 = 2_500;
/// Time added to a sidecar's lease before the attempts under it count as ended, in ms. A backend
/// server's own lease can outlast its sidecar, and stopping an attempt takes time.
const LEASE_SLACK_MS: u64 = 1_200;
/// Longest time that a call waits until a leader is known.
const LEADER_WAIT_MAX: Duration = Duration::from_millis(150);
/// Interval at which leadership, leases and group members are checked.
const TICK_INTERVAL: Duration = Duration::from_millis(10);
/// Age of the last confirmation of leadership at which a new one is requested, in ms.
const CONFIRM_INTERVAL_MS: u64 = 100;
/// Age of the last confirmation of leadership beyond which no commands are sent, in ms.
const CONFIRM_MAX_AGE_MS: u64 = 1_000;

/// Settings of a [`Coordinator`].
#[derive(Debug, Clone)]
pub struct Settings {
    /// Number of voters that the group should have.
    pub voters: usize,
    /// How long the record of a finished job is kept.
    pub keep_ms: u64,
    /// Most memory for the records of jobs, in bytes.
    pub jobs_max_bytes: usize,
}

impl Settings {
    /// Settings of an instance of default size, whose limits are not known.
    pub fn new(voters: usize, keep_ms: u64) -> Settings {
        Settings { voters, keep_ms, jobs_max_bytes: Instance::default().job_bytes() }
    }

    /// Sets the memory for jobs by the limits of the instance.
    pub fn with_instance(self, instance: Instance) -> Settings {
        Settings { jobs_max_bytes: instance.job_bytes(), ..self }
    }
}

/// Coordinates the durable jobs while this instance leads. Clones are cheap and refer to the same
/// coordinator.
#[derive(Clone)]
pub struct Coordinator {
    inner: Rc<Inner>,
}

struct Inner {
    settings: Settings,
    replica: Replica,
    /// A barrier that passes confirms that this instance leads and that its state is current.
    barrier: SharedBarrier,
    batcher: Batcher,
    admission: Admission,
    /// Bounds the configurations that are being stored.
    config_gate: Gate,
    /// `None` unless this instance leads and has confirmed its leadership.
    leadership: RefCell<Option<Leadership>>,
    /// Whether a confirmation of leadership is in progress.
    confirming: Cell<bool>,
    /// Wakes the watch calls of entries after a change of the configuration or the drains, and after a sidecar
    /// was registered or its backend server has changed. The loss of a backend server whose lease
    /// has expired wakes no call: it is sent with the next answer.
    view_changed: Notify,
    /// Wakes calls that wait for a leader.
    leader_known: Notify,
    /// Whether the group has been formed. Calls and reports are refused before.
    formed: Cell<bool>,
    stopping: Cell<bool>,
    /// The drains by the rules that this instance has applied.
    drains: RefCell<Drains>,
    /// Locked while an order to drain a data centre is carried out.
    drain_turn: Mutex<()>,
    /// The data centres that may be drained; `None` if any may be.
    data_centres: RefCell<Option<IndexSet<String>>>,
    meter: Meter,
}

/// State that an instance holds only while it leads.
struct Leadership {
    term: u64,
    started_ms: u64,
    scheduler: Scheduler,
    sidecars: IndexMap<String, Sidecar>,
    /// Number of generations assigned in this term.
    generations_in_term: u64,
    /// Number of changes of the sidecar list in this term.
    list_changes: u64,
    /// When the last successful confirmation of leadership was requested.
    confirmed_ms: u64,
    member_monitor: Monitor,
    /// When applicants that wait were last logged.
    applicants_logged_ms: u64,
}

/// Distance between the first generations, and between the first versions of the sidecar list, of
/// two consecutive terms, so that those of a term are above those of earlier terms. It is small
/// enough that the numbers stay exact in JSON readers that use floating point.
const NUMBERS_PER_TERM: u64 = 1 << 24;

impl Leadership {
    fn sidecar_list_version(&self) -> u64 {
        self.term * NUMBERS_PER_TERM + self.list_changes
    }

    /// The sidecars that have a backend server.
    fn sidecar_list(&self) -> Vec<queue::Sidecar> {
        let with_server = self.sidecars.iter().filter_map(|(name, sidecar)| {
            let (_, key) = sidecar.server.as_ref()?;
            let server = self.scheduler.server(*key)?.info.clone();
            Some(queue::Sidecar { name: name.clone(), addr: sidecar.addr, server })
        });
        with_server.collect()
    }

    fn next_generation(&mut self) -> u64 {
        self.generations_in_term += 1;
        self.term * NUMBERS_PER_TERM + self.generations_in_term
    }

    /// Returns the generation under which the process that sent a report may register. It is the same
    /// for all reports that were sent before the process knew it.
    fn offer_generation(&mut self, report: &queue::Report) -> u64 {
        let known = self.sidecars.get(&report.sidecar);
        let offered = known.and_then(|sidecar| sidecar.generation_of_candidate(report.incarnation));
        let generation = offered.unwrap_or_else(|| self.next_generation());
        if let Some(sidecar) = self.sidecars.get_mut(&report.sidecar) {
            sidecar.set_candidate(report.incarnation, generation);
        }
        log::info!(
            "event=offer sidecar={} session={} link={generation}",
            report.sidecar,
            report.incarnation
        );
        generation
    }
}

impl Coordinator {
    pub fn new(replica: Replica, settings: Settings) -> Coordinator {
        replica.limit_voters(settings.voters);
        let inner = Inner {
            barrier: SharedBarrier::new(replica.clone()),
            batcher: Batcher::new(replica.clone()),
            admission: Admission::new(settings.jobs_max_bytes),
            config_gate: Gate::new(),
            replica,
            settings,
            leadership: RefCell::new(None),
            confirming: Cell::new(false),
            view_changed: Notify::new(),
            leader_known: Notify::new(),
            formed: Cell::new(false),
            stopping: Cell::new(false),
            drains: RefCell::default(),
            drain_turn: Mutex::default(),
            data_centres: RefCell::default(),
            meter: Meter::new(),
        };
        Coordinator { inner: Rc::new(inner) }
    }

    /// Coordinates whenever this instance leads, until [`Coordinator::stop`].
    pub async fn run(self) {
        if self.inner.leadership.borrow().is_some() {
            // A panic may have left the leadership half changed. The next leader starts from the
            // replicated state.
            self.inner.replica.transfer_leadership().await;
        }
        let mut ticks = time::interval(TICK_INTERVAL);
        ticks.set_missed_tick_behavior(time::MissedTickBehavior::Delay);
        while !self.inner.stopping.get() {
            ticks.tick().await;
            self.follow_leadership().await;
            self.tick();
            if self.is_leader_known() {
                self.inner.leader_known.notify_waiters();
            }
        }
        *self.inner.leadership.borrow_mut() = None;
    }

    /// Ends [`Coordinator::run`] after its current tick. Calls are then refused.
    pub fn stop(&self) {
        self.inner.stopping.set(true);
    }

    /// The metrics of the group in the Prometheus text format.
    pub fn metrics(&self) -> Vec<u8> {
        let job_bytes_max = self.inner.admission.max_bytes();
        self.inner.meter.render(&self.inner.replica, &self.inner.drains.borrow(), job_bytes_max)
    }

    /// Assumes or drops the leadership of the jobs when that of the group has changed.
    async fn follow_leadership(&self) {
        let term = self.inner.replica.leading();
        let previous_term =
            self.inner.leadership.borrow().as_ref().map(|leadership| leadership.term);
        if term == previous_term {
            return;
        }
        if previous_term.is_some() {
            log::info!("event=leadership_lost term={}", previous_term.unwrap_or(0));
            self.drop_leadership();
        }
        let Some(term) = term else { return };
        let requested_ms = util::boot_ms();
        if let Err(refusal) = self.inner.barrier.wait().await {
            log::debug!("event=not_confirmed term={term} refusal={refusal:?}");
            return;
        }
        if self.inner.replica.leading() != Some(term) {
            return;
        }
        self.assume_leadership(term, requested_ms);
    }

    fn assume_leadership(&self, term: u64, confirmed_ms: u64) {
        let now_ms = util::boot_ms();
        self.follow_rules();
        let state = self.inner.replica.state();
        let mut scheduler = Scheduler::new(term, now_ms, state.queues());
        scheduler.set_drains(now_ms, self.inner.drains.borrow().clone());
        log::info!(
            "event=leadership term={term} cluster={} jobs={} inherited={} version={}",
            self.inner.replica.cluster().map_or_else(String::new, |cluster| cluster.to_string()),
            state.queues().open().count(),
            scheduler.inherited(),
            state.queues().config().map_or(0, |config| config.version),
        );
        let leadership = Leadership {
            term,
            started_ms: now_ms,
            scheduler,
            sidecars: IndexMap::new(),
            generations_in_term: 0,
            list_changes: 0,
            confirmed_ms,
            member_monitor: Monitor::new(now_ms),
            applicants_logged_ms: 0,
        };
        *self.inner.leadership.borrow_mut() = Some(leadership);
    }

    fn drop_leadership(&self) {
        if let Some(leadership) = self.inner.leadership.take() {
            leadership.sidecars.values().for_each(|sidecar| sidecar.wake.notify_waiters());
        }
    }

    fn tick(&self) {
        self.follow_rules();
        let now_ms = util::boot_ms();
        let Some(confirmed_ms) =
            self.inner.leadership.borrow().as_ref().map(|leadership| leadership.confirmed_ms)
        else {
            return;
        };
        if confirmed_ms + CONFIRM_INTERVAL_MS <= now_ms && !self.inner.confirming.replace(true) {
            let coordinator = self.clone();
            actix_rt::spawn(async move {
                supervisor::catch("confirm_leadership", coordinator.confirm_leadership()).await;
                coordinator.inner.confirming.set(false);
            });
        }
        self.expire_leases(now_ms);
        self.maintain_members(now_ms);
        self.store_crashes(now_ms);
        self.assign(now_ms);
    }

    /// Requests a confirmation of leadership and, if it succeeds, records when it was requested.
    async fn confirm_leadership(&self) {
        let requested_ms = util::boot_ms();
        let term = self.inner.replica.leading();
        let confirmed = self.inner.barrier.wait().await;
        let mut leadership = self.inner.leadership.borrow_mut();
        let Some(leadership) =
            leadership.as_mut().filter(|leadership| Some(leadership.term) == term)
        else {
            return;
        };
        match confirmed {
            Ok(_) => leadership.confirmed_ms = leadership.confirmed_ms.max(requested_ms),
            Err(refusal) => log::debug!("event=not_confirmed refusal={refusal:?}"),
        }
    }

    /// Gives up a backend server when the lease of its sidecar has expired, or when nothing that an
    /// earlier process of the sidecar started is running any more and the present one does not know
    /// the server. Also gives up the inherited tasks, which an earlier leader may have started, once
    /// all leases that the earlier leader gave have expired; those of this leader end no later while
    /// the attempts under them are not known. Also gives up attempts at lost servers once all late
    /// calls have been carried out. What is given up starts again once its attempts are fenced, as
    /// ends of them may be reported later.
    fn expire_leases(&self, now_ms: u64) {
        let mut leadership = self.inner.leadership.borrow_mut();
        let Some(leadership) = leadership.as_mut() else { return };
        let mut given_up = leadership.scheduler.give_up_undecided(now_ms);
        for (name, sidecar) in &mut leadership.sidecars {
            let lease_over = sidecar.lease_until_ms + LEASE_SLACK_MS <= now_ms;
            let earlier_attempts_ended =
                sidecar.earlier_attempts_ended_ms.is_some_and(|ended_ms| ended_ms <= now_ms);
            if !lease_over && !earlier_attempts_ended {
                continue;
            }
            if let Some((id, key)) = sidecar.server.take() {
                log::warn!("event=server_lost sidecar={name} server={id} reason=silent");
                leadership.list_changes += 1;
                given_up.extend(leadership.scheduler.give_up_server(now_ms, key));
            }
        }
        if leadership.scheduler.inherited() > 0
            && leadership.started_ms + LEASE_MS + LEASE_SLACK_MS <= now_ms
        {
            let state = self.inner.replica.state();
            let inherited = leadership.scheduler.give_up_inherited(state.queues());
            if !inherited.is_empty() {
                log::info!("event=inherited_given_up tasks={}", inherited.len());
            }
            given_up.extend(inherited);
        }
        self.store_fence(leadership.term, given_up);
    }

    /// Assigns ready tasks by the rules in force, and wakes the reports that wait for the resulting
    /// commands.
    fn assign(&self, now_ms: u64) {
        self.follow_rules();
        let mut leadership = self.inner.leadership.borrow_mut();
        let Some(leadership) = leadership.as_mut() else { return };
        let state = self.inner.replica.state();
        leadership.scheduler.assign(now_ms, state.queues());
        for sidecar in leadership.sidecars.values_mut() {
            let Some((_, key)) = &sidecar.server else { continue };
            if !sidecar.synced {
                continue;
            }
            if let Some(batch) = leadership.scheduler.commands(*key) {
                sidecar.push(batch);
            }
            if sidecar.has_due(now_ms) {
                sidecar.wake.notify_waiters();
            }
        }
    }

    /// Returns once this instance can carry out calls or name the leader, or after
    /// [`LEADER_WAIT_MAX`]. Waiting here saves callers from repeating the call during an election, and
    /// while the group is being formed.
    async fn wait_for_leader(&self) {
        let known = async {
            loop {
                let leader_known = self.inner.leader_known.notified();
                if self.is_leader_known() {
                    return;
                }
                leader_known.await;
            }
        };
        // After a timeout the call goes on and is refused.
        let _ = time::timeout(LEADER_WAIT_MAX, known).await;
    }

    fn is_leader_known(&self) -> bool {
        let leads = self.inner.leadership.borrow().is_some() && self.inner.formed.get();
        let another_leads =
            self.inner.replica.leading().is_none() && self.inner.replica.leader().is_some();
        leads || another_leads
    }

    /// Refuses a call that does not name the cluster of this instance, before anything else looks at
    /// it. To a client that follows no cluster yet, only the leader of a formed group names its own.
    async fn check_cluster(&self, named: Option<id::Cluster>) -> Result<(), Refusal> {
        match (named, self.inner.replica.cluster()) {
            (_, None) => Err(self.not_leader()),
            (Some(named), Some(cluster)) if named == cluster => Ok(()),
            (Some(_), Some(cluster)) => Err(Refusal::OtherCluster { cluster }),
            (None, Some(cluster)) => {
                self.wait_for_leader().await;
                self.check_formed()?;
                self.confirm_current().await?;
                Err(Refusal::OtherCluster { cluster })
            }
        }
    }

    /// Refuses unless this instance leads a group that has been formed. Returns the term.
    fn check_formed(&self) -> Result<u64, Refusal> {
        let term = self.inner.leadership.borrow().as_ref().map(|leadership| leadership.term);
        let Some(term) = term else { return Err(self.not_leader()) };
        if !self.inner.formed.get() {
            return Err(Refusal::NotReady { detail: "the group is being formed".to_owned() });
        }
        Ok(term)
    }

    fn not_leader(&self) -> Refusal {
        self.led_by(self.inner.replica.leader())
    }

    /// The refusal of a call because another instance leads, at `leader` if that is known. It lists
    /// the members, as the caller may know only instances that are gone, and may not reach the leader.
    fn led_by(&self, leader: Option<SocketAddr>) -> Refusal {
        Refusal::NotLeader { leader, members: self.inner.replica.members() }
    }
}
