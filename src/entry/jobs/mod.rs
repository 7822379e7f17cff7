//! The entry of the job queues. It schedules transient jobs itself and forwards all other calls to
//! the leader of the control instances.

mod call;
mod config;
mod connection;
mod meter;
mod waiting;

use std::{
    cell::{Cell, RefCell, RefMut},
    net::SocketAddr,
    rc::Rc,
    sync::Arc,
    time::{Duration, Instant},
};

use indexmap::IndexMap;
use tokio::{
    sync::{Mutex, watch},
    time,
};

use crate::{
    budget::Budget,
    coordination::{
        connection::Watermark,
        transient::{JobOutcome, Key, Scheduler},
    },
    leader::LeaderClient,
    protocol::{
        queue::{Config, Id},
        wire::queue::{Sidecar, View},
    },
    supervisor,
    transport::limit::bound::Instance,
    util,
};
pub use call::Ended;
use connection::Connection;
use meter::Meter;
use waiting::Waiting;

/// Time before the end of the process that is reserved for the last answers to reach their callers.
const ANSWER_TIME: Duration = Duration::from_millis(100);
/// Memory of an attempt that has been commanded and has not ended, in bytes: its call to the sidecar.
const ATTEMPT_BYTES: usize = 8 * 1024;
/// Interval at which queued tasks are checked.
const TICK_INTERVAL: Duration = Duration::from_millis(25);

/// An entry. Clones are cheap and refer to the same entry.
#[derive(Clone)]
pub struct Entry {
    inner: Rc<Inner>,
}

struct Inner {
    leader: LeaderClient,
    /// Bounds the memory of the jobs that are held here.
    memory: Arc<Budget>,
    scheduler: RefCell<Scheduler>,
    watermark: Cell<Watermark>,
    connections: RefCell<IndexMap<Key, Connection>>,
    config: RefCell<Option<Arc<Config>>>,
    config_check: Cell<config::Check>,
    /// Locked while a check is in progress beside the watch calls, so that calls share it.
    config_checking: Mutex<()>,
    /// Version of the newest list of sidecars received.
    sidecar_list_version: Cell<u64>,
    /// The callers of each job.
    waiting: RefCell<IndexMap<Id, Waiting>>,
    /// When the process ends; `None` unless it is stopping.
    stops_at: watch::Sender<Option<Instant>>,
    meter: Meter,
}

impl Inner {
    /// Passes the outcome of a job to its callers, and releases its memory.
    fn end(&self, id: Id, outcome: JobOutcome) {
        if let Some(waiting) = self.waiting.borrow_mut().swap_remove(&id) {
            waiting.end(outcome);
        }
    }
}

impl Entry {
    /// Starts an entry that gets the configuration and the list of sidecars from the leader. What it
    /// holds is bounded by the limits of `instance`.
    pub fn start(leader: LeaderClient, instance: Instance) -> Entry {
        let job_bytes = instance.job_bytes();
        let attempts_max = (job_bytes / 2 / ATTEMPT_BYTES).max(1);
        let inner = Inner {
            leader,
            memory: Budget::new(job_bytes),
            scheduler: RefCell::new(Scheduler::default().with_attempts_max(attempts_max)),
            watermark: Cell::new(Watermark::new(util::boot_ms())),
            connections: RefCell::default(),
            config: RefCell::default(),
            config_check: Cell::default(),
            config_checking: Mutex::default(),
            sidecar_list_version: Cell::new(0),
            waiting: RefCell::default(),
            stops_at: watch::Sender::new(None),
            meter: Meter::new(),
        };
        let entry = Entry { inner: Rc::new(inner) };
        supervisor::spawn("watch", &entry, Entry::watch);
        supervisor::spawn("entry_tick", &entry, Entry::tick);
        entry
    }

    /// Whether callers should send calls to this entry.
    pub fn ready(&self) -> bool {
        let configured = self.inner.config.borrow().is_some();
        configured && self.inner.stops_at.borrow().is_none()
    }

    /// Marks the entry as stopping: callers should use another one. The process ends after
    /// `time_left`.
    pub fn close(&self, time_left: Duration) {
        self.inner.stops_at.send_replace(Some(Instant::now() + time_left));
    }

    /// Returns when what has no answer yet has to get one, as the process is about to end.
    pub async fn wait_for_end(&self) {
        let mut stops_at = self.inner.stops_at.subscribe();
        // The sender lives as long as this entry.
        if let Ok(stops_at) = stops_at.wait_for(Option::is_some).await.map(|at| *at)
            && let Some(stops_at) = stops_at
        {
            let answer_at = stops_at.checked_sub(ANSWER_TIME).unwrap_or(stops_at);
            time::sleep_until(answer_at.into()).await;
        }
    }

    /// The metrics in the Prometheus text format.
    pub fn metrics(&self) -> Vec<u8> {
        self.inner.meter.render(&self.inner.memory)
    }

    /// Logs that a job of `peer` was refused for lack of memory.
    pub fn log_refusal(&self, peer: Option<SocketAddr>, path: &str) {
        self.inner.meter.log_refusal(peer, path);
    }

    fn apply_view(&self, view: View) {
        if let Some(config) = view.config {
            let current = self.inner.config.borrow().as_ref().map_or(0, |config| config.version);
            if config.version > current {
                log::info!("event=config version={} held={current}", config.version);
                self.inner.config.replace(Some(config));
            }
        }
        if let Some((version, sidecars)) = view.sidecars {
            self.apply_list(version, sidecars);
        }
        if let Some(drains) = view.drains
            && self.scheduler().update_drains(util::boot_ms(), &drains)
        {
            self.inner.meter.set_drained(drains.data_centres.len());
            self.renew_all();
        }
        self.carry_out();
    }

    fn apply_list(&self, version: u64, sidecars: Vec<Sidecar>) {
        log::info!("event=sidecars version={version} count={}", sidecars.len());
        self.inner.sidecar_list_version.set(version);
        for sidecar in sidecars {
            let (name, addr) = (sidecar.name.clone(), sidecar.addr);
            let key = self.scheduler().describe(sidecar);
            let known = self.inner.connections.borrow().contains_key(&key);
            if !known {
                let connection = Connection::new(name, addr, key);
                self.inner.connections.borrow_mut().insert(key, connection.clone());
                let maintained = (self.clone(), connection);
                supervisor::spawn("maintain_connection", &maintained, |(entry, connection)| {
                    entry.maintain_connection(connection)
                });
            }
        }
        // Further servers may be ones that a waiting job needs, all of which are drained.
        self.scheduler().refuse_drained();
    }

    async fn tick(self) {
        let mut ticks = time::interval(TICK_INTERVAL);
        ticks.set_missed_tick_behavior(time::MissedTickBehavior::Delay);
        loop {
            ticks.tick().await;
            let mut watermark = self.inner.watermark.get();
            watermark.tick(util::boot_ms());
            self.inner.watermark.set(watermark);
            let busy = self.scheduler().busy();
            if busy {
                self.scheduler().tick(util::boot_ms());
                self.carry_out();
            }
        }
    }

    /// The scheduler. Each use tells it that the process runs.
    fn scheduler(&self) -> RefMut<'_, Scheduler> {
        let mut scheduler = self.inner.scheduler.borrow_mut();
        scheduler.observe(util::boot_ms());
        scheduler
    }

    /// Carries out the actions that the scheduler has decided on.
    fn carry_out(&self) {
        let actions = self.scheduler().take_actions();
        for command in actions.commands {
            let connection = self.inner.connections.borrow().get(&command.server).cloned();
            if let Some(connection) = connection {
                actix_rt::spawn(self.clone().run_attempt(connection, command));
            }
        }
        for (key, attempt) in actions.stops {
            let connection = self.inner.connections.borrow().get(&key).cloned();
            if let Some(connection) = connection {
                connection.stop(attempt);
            }
        }
        for (id, outcome) in actions.finished {
            self.inner.end(id, outcome);
        }
    }
}
