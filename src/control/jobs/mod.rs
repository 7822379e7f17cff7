//! Durable jobs at the control instances: the leader stores them, schedules their tasks and
//! answers for them; the others name the leader.

mod batcher;
mod call;
mod members;
mod report;
mod service;
mod sidecar;

use std::{
    cell::{Cell, RefCell},
    net::SocketAddr,
    rc::Rc,
    time::Duration,
};

use indexmap::IndexMap;
use tokio::{sync::Notify, time};

use crate::{
    control::{confirm::Confirm, replica::Replica},
    coordination::schedule::Scheduler,
    protocol::wire::queue::{self, Refusal},
    util,
};
use batcher::Batcher;
pub use service::Handler;
use sidecar::Sidecar;

/// Time from a sidecar's report for which it may start tasks and leases may last, in ms. Covers
/// the time without a leader after a failure.
const LEASE_MS: u64 = 2_500;
/// Time added to a lease before what runs under it counts as ended, in ms: a backend server's lease
/// outlasts its sidecar, and a stop takes time.
const LEASE_SLACK_MS: u64 = 1_200;
/// Longest time for which a call waits until a leader is known.
const LEADER_WAIT: Duration = Duration::from_millis(150);
/// How often leadership, leases and voters are looked at.
const TICK: Duration = Duration::from_millis(10);
/// Age of the last proof of leadership at which a new one is asked for, in ms.
const CONFIRM_AFTER_MS: u64 = 100;
/// Age of the last proof of leadership from which no orders are given, in ms.
const CONFIRM_MAX_MS: u64 = 1_000;

/// How durable jobs are kept.
#[derive(Debug, Clone)]
pub struct Settings {
    /// Voters wanted.
    pub voters: usize,
    /// How long a closed job is remembered.
    pub keep_ms: u64,
}

/// Coordinates the durable jobs while this instance leads. Cheap to clone.
#[derive(Clone)]
pub struct Coordinator {
    inner: Rc<Inner>,
}

struct Inner {
    settings: Settings,
    replica: Replica,
    confirm: Confirm,
    batcher: Batcher,
    lead: RefCell<Option<Lead>>,
    confirming: Cell<bool>,
    /// Wakes entries that watch for changes.
    changed: Notify,
    /// Wakes calls that wait for a leader.
    settled: Notify,
    formed: Cell<bool>,
    stopping: Cell<bool>,
}

/// What an instance knows while it leads.
struct Lead {
    term: u64,
    since_ms: u64,
    scheduler: Scheduler,
    sidecars: IndexMap<String, Sidecar>,
    generations: u64,
    /// Changes of the list of sidecars.
    lists: u64,
    /// When the last successful proof of leadership was asked for.
    confirmed_ms: u64,
    /// Whether an assignment has been asked for.
    dirty: bool,
    members: members::Watch,
}

/// Generations of a term are above those of earlier terms. Numbers stay exact in JSON readers that
/// use floating point.
const GENERATIONS_PER_TERM: u64 = 1 << 24;

impl Lead {
    fn list_version(&self) -> u64 {
        self.term * GENERATIONS_PER_TERM + self.lists
    }

    /// Sidecars with a backend server.
    fn list(&self) -> Vec<queue::Sidecar> {
        let described = self.sidecars.iter().filter_map(|(name, sidecar)| {
            let (_, key) = sidecar.server.as_ref()?;
            let server = self.scheduler.server(*key)?.info.clone();
            Some(queue::Sidecar { name: name.clone(), addr: sidecar.addr, server })
        });
        described.collect()
    }

    fn next_generation(&mut self) -> u64 {
        self.generations += 1;
        self.term * GENERATIONS_PER_TERM + self.generations
    }
}

impl Coordinator {
    pub fn new(replica: Replica, settings: Settings) -> Coordinator {
        let inner = Inner {
            confirm: Confirm::new(replica.clone()),
            batcher: Batcher::new(replica.clone()),
            replica,
            settings,
            lead: RefCell::new(None),
            confirming: Cell::new(false),
            changed: Notify::new(),
            settled: Notify::new(),
            formed: Cell::new(false),
            stopping: Cell::new(false),
        };
        Coordinator { inner: Rc::new(inner) }
    }

    /// Follows the leadership until [`Coordinator::stop`].
    pub async fn run(self) {
        let mut ticks = time::interval(TICK);
        ticks.set_missed_tick_behavior(time::MissedTickBehavior::Delay);
        while !self.inner.stopping.get() {
            ticks.tick().await;
            self.follow_leadership().await;
            if self.is_settled() {
                self.inner.settled.notify_waiters();
            }
            self.tick();
        }
        *self.inner.lead.borrow_mut() = None;
    }

    /// Gives up leadership of the jobs; calls are refused from now on.
    pub fn stop(&self) {
        self.inner.stopping.set(true);
    }

    async fn follow_leadership(&self) {
        let term = self.inner.replica.leading();
        let led = self.inner.lead.borrow().as_ref().map(|lead| lead.term);
        if term == led {
            return;
        }
        if led.is_some() {
            log::info!("event=leadership_lost term={}", led.unwrap_or(0));
            self.drop_lead();
        }
        let Some(term) = term else { return };
        let asked_ms = util::boot_ms();
        if let Err(refusal) = self.inner.confirm.wait().await {
            log::debug!("event=not_confirmed term={term} refusal={refusal:?}");
            return;
        }
        if self.inner.replica.leading() != Some(term) {
            return;
        }
        self.take_lead(term, asked_ms);
    }

    fn take_lead(&self, term: u64, confirmed_ms: u64) {
        let now_ms = util::boot_ms();
        let state = self.inner.replica.state();
        let scheduler = Scheduler::new(term, now_ms, state.queues());
        log::info!(
            "event=leadership term={term} jobs={} inherited={} version={}",
            state.queues().open().count(),
            scheduler.inherited(),
            state.queues().config().map_or(0, |config| config.version),
        );
        let lead = Lead {
            term,
            since_ms: now_ms,
            scheduler,
            sidecars: IndexMap::new(),
            generations: 0,
            lists: 0,
            confirmed_ms,
            dirty: false,
            members: members::Watch::new(now_ms),
        };
        *self.inner.lead.borrow_mut() = Some(lead);
    }

    fn drop_lead(&self) {
        if let Some(lead) = self.inner.lead.take() {
            lead.sidecars.values().for_each(|sidecar| sidecar.wake.notify_waiters());
        }
    }

    fn tick(&self) {
        let now_ms = util::boot_ms();
        let Some(confirmed_ms) = self.inner.lead.borrow().as_ref().map(|l| l.confirmed_ms) else {
            return;
        };
        if confirmed_ms + CONFIRM_AFTER_MS <= now_ms && !self.inner.confirming.replace(true) {
            actix_rt::spawn(self.clone().confirm());
        }
        self.expire(now_ms);
        self.tend_members(now_ms);
        self.assign(now_ms);
    }

    async fn confirm(self) {
        let asked_ms = util::boot_ms();
        let term = self.inner.replica.leading();
        let confirmed = self.inner.confirm.wait().await;
        self.inner.confirming.set(false);
        let mut lead = self.inner.lead.borrow_mut();
        let Some(lead) = lead.as_mut().filter(|lead| Some(lead.term) == term) else { return };
        match confirmed {
            Ok(_) => lead.confirmed_ms = lead.confirmed_ms.max(asked_ms),
            Err(refusal) => log::debug!("event=not_confirmed refusal={refusal:?}"),
        }
    }

    /// Gives up sidecars whose leases have ended, and releases what an earlier leader had running.
    fn expire(&self, now_ms: u64) {
        let mut lead = self.inner.lead.borrow_mut();
        let Some(lead) = lead.as_mut() else { return };
        let state = self.inner.replica.state();
        for (name, sidecar) in &mut lead.sidecars {
            let silent = sidecar.lease_until_ms + LEASE_SLACK_MS <= now_ms;
            let over = sidecar.over_ms.is_some_and(|over_ms| over_ms <= now_ms);
            if !silent && !over {
                continue;
            }
            if let Some((id, key)) = sidecar.server.take() {
                log::warn!("event=server_lost sidecar={name} server={id} reason=silent");
                lead.lists += 1;
                lead.scheduler.remove_server(key, state.queues());
                lead.dirty = true;
            }
        }
        if lead.scheduler.inherited() > 0 && lead.since_ms + LEASE_MS + LEASE_SLACK_MS <= now_ms {
            log::info!("event=inherited_released tasks={}", lead.scheduler.inherited());
            lead.scheduler.release_inherited();
            lead.dirty = true;
        }
    }

    /// Assigns ready tasks and wakes the reports that wait for the orders.
    fn assign(&self, now_ms: u64) {
        let mut lead = self.inner.lead.borrow_mut();
        let Some(lead) = lead.as_mut() else { return };
        let state = self.inner.replica.state();
        lead.dirty = false;
        lead.scheduler.assign(now_ms, state.queues());
        for sidecar in lead.sidecars.values_mut() {
            let Some((_, key)) = &sidecar.server else { continue };
            if !sidecar.synced {
                continue;
            }
            if let Some(batch) = lead.scheduler.commands(*key) {
                sidecar.push(batch);
            }
            if sidecar.has_due(now_ms) {
                sidecar.wake.notify_waiters();
            }
        }
    }

    /// Where the control instances serve calls.
    fn members(&self) -> Vec<SocketAddr> {
        self.inner.replica.status().members.iter().map(|member| member.addr).collect()
    }

    /// Returns once this instance can carry out calls or name the leader, or after
    /// [`LEADER_WAIT`]. Callers that wait here need not ask again and again during an election.
    async fn leader_known(&self) {
        let known = async {
            loop {
                let settled = self.inner.settled.notified();
                if self.is_settled() {
                    return;
                }
                settled.await;
            }
        };
        // Without a leader the call is refused.
        let _ = time::timeout(LEADER_WAIT, known).await;
    }

    fn is_settled(&self) -> bool {
        let leads = self.inner.lead.borrow().is_some();
        let other = self.inner.replica.leading().is_none() && self.inner.replica.leader().is_some();
        leads || other
    }

    fn not_leader(&self) -> Refusal {
        Refusal::NotLeader { leader: self.inner.replica.leader() }
    }
}
