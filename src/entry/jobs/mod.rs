//! The entry of the queues: runs the jobs that need not be kept, and passes all other calls to the
//! leader.

mod call;
mod link;
mod meter;

use std::{
    cell::{Cell, RefCell},
    rc::Rc,
    sync::Arc,
    time::{Duration, Instant},
};

use indexmap::IndexMap;
use tokio::{sync::oneshot, time};

use crate::{
    coordination::transient::{JobOutcome, Key, Scheduler},
    leader::{Failure, Leader},
    protocol::{
        queue::{Config, Id},
        wire::queue::{Answer, Call, View},
    },
    util,
};
pub use call::Ended;
use link::Link;
use meter::Meter;

/// Longest time that a watch waits for changes.
const WATCH_WAIT: Duration = Duration::from_millis(400);
/// Time that a watch may take in all.
const WATCH_LIMIT: Duration = Duration::from_millis(900);
/// How often waiting tasks are looked at.
const TICK: Duration = Duration::from_millis(25);

/// An entry. Cheap to clone.
#[derive(Clone)]
pub struct Entry {
    inner: Rc<Inner>,
}

struct Inner {
    leader: Leader,
    scheduler: RefCell<Scheduler>,
    links: RefCell<IndexMap<Key, Link>>,
    config: RefCell<Option<Arc<Config>>>,
    /// Version of the list of sidecars.
    sidecars: Cell<u64>,
    /// Callers that wait for the end of a job.
    waiters: RefCell<IndexMap<Id, Vec<oneshot::Sender<JobOutcome>>>>,
    /// When the process ends, once it is stopping.
    ends_at: Cell<Option<Instant>>,
    meter: Meter,
}

impl Entry {
    /// Starts an entry that follows the leader.
    pub fn start(leader: Leader) -> Entry {
        let inner = Inner {
            leader,
            scheduler: RefCell::default(),
            links: RefCell::default(),
            config: RefCell::default(),
            sidecars: Cell::new(0),
            waiters: RefCell::default(),
            ends_at: Cell::new(None),
            meter: Meter::new(),
        };
        let entry = Entry { inner: Rc::new(inner) };
        actix_rt::spawn(entry.clone().watch());
        actix_rt::spawn(entry.clone().tick());
        entry
    }

    /// Whether callers should come here.
    pub fn ready(&self) -> bool {
        let configured = self.inner.config.borrow().is_some();
        configured && self.inner.ends_at.get().is_none()
    }

    /// Callers should go elsewhere from now on; the process ends after `left`.
    pub fn close(&self, left: Duration) {
        self.inner.ends_at.set(Some(Instant::now() + left));
    }

    /// Metrics in the text format of Prometheus.
    pub fn metrics(&self) -> Vec<u8> {
        self.inner.meter.render()
    }

    /// Keeps configuration and sidecars up to date.
    async fn watch(self) {
        loop {
            let call = Call::Watch {
                config: self.inner.config.borrow().as_ref().map_or(0, |config| config.version),
                sidecars: self.inner.sidecars.get(),
                wait_ms: util::millis(WATCH_WAIT),
            };
            match self.inner.leader.call(call, WATCH_LIMIT).await {
                Ok(Answer::View(view)) => self.take_view(view),
                Ok(answer) => log::error!("event=watch_answer answer={answer:?}"),
                Err(Failure::NotDone { detail } | Failure::Unknown { detail }) => {
                    log::info!("event=watch_failed detail={detail:?}");
                }
            }
        }
    }

    fn take_view(&self, view: View) {
        if let Some(config) = view.config {
            let held = self.inner.config.borrow().as_ref().map_or(0, |config| config.version);
            if config.version > held {
                log::info!("event=config version={} held={held}", config.version);
                self.inner.config.replace(Some(config));
            }
        }
        let Some((version, sidecars)) = view.sidecars else { return };
        log::info!("event=sidecars version={version} count={}", sidecars.len());
        self.inner.sidecars.set(version);
        for sidecar in sidecars {
            let addr = sidecar.addr;
            let key = self.inner.scheduler.borrow_mut().describe(sidecar);
            let known = self.inner.links.borrow().contains_key(&key);
            if !known {
                let link = Link::new(addr, key);
                self.inner.links.borrow_mut().insert(key, link.clone());
                actix_rt::spawn(self.clone().run_link(link));
            }
        }
        self.carry_out();
    }

    async fn tick(self) {
        let mut ticks = time::interval(TICK);
        ticks.set_missed_tick_behavior(time::MissedTickBehavior::Delay);
        loop {
            ticks.tick().await;
            if self.inner.scheduler.borrow().busy() {
                self.inner.scheduler.borrow_mut().tick(util::boot_ms());
                self.carry_out();
            }
        }
    }

    /// Carries out the actions that the scheduler has decided on.
    fn carry_out(&self) {
        let actions = self.inner.scheduler.borrow_mut().take_actions();
        for command in actions.commands {
            let link = self.inner.links.borrow().get(&command.server).cloned();
            if let Some(link) = link {
                actix_rt::spawn(self.clone().run(link, command));
            }
        }
        for (key, attempt) in actions.stops {
            let link = self.inner.links.borrow().get(&key).cloned();
            if let Some(link) = link {
                link.stop(attempt);
            }
        }
        for (id, closed) in actions.finished {
            let waiters = self.inner.waiters.borrow_mut().swap_remove(&id);
            for waiter in waiters.into_iter().flatten() {
                let _ = waiter.send(closed);
            }
        }
    }
}
