//! The entry's session at control: epoch, lease, rules and how fresh they are.

use std::{
    cell::{Cell, RefCell},
    time::Duration,
};

use tokio::{
    sync::Notify,
    time::{self, Instant},
};

use crate::protocol::{id, wire::control};

/// State of the session.
#[derive(Debug)]
pub struct Session {
    epoch: Cell<Option<id::Epoch>>,
    lease: Cell<Duration>,
    /// Until when no other process can have ended the session.
    leased_until: Cell<Option<Instant>>,
    /// Latest point in time at which the rules held were known to be in force.
    confirmed: Cell<Option<Instant>>,
    rules: RefCell<control::Rules>,
    seq: Cell<u64>,
    reports: Cell<u64>,
    /// Asks for a report to control at once.
    pub hurry: Notify,
    opened: Notify,
}

impl Session {
    pub fn new() -> Session {
        Session {
            epoch: Cell::new(None),
            lease: Cell::new(Duration::ZERO),
            leased_until: Cell::new(None),
            confirmed: Cell::new(None),
            rules: RefCell::new(control::Rules { version: 0, text: String::new() }),
            seq: Cell::new(0),
            reports: Cell::new(0),
            hurry: Notify::new(),
            opened: Notify::new(),
        }
    }

    pub fn epoch(&self) -> Option<id::Epoch> {
        self.epoch.get()
    }

    /// A new execution id; its epoch is 0 while there is no session.
    pub fn execution(&self) -> id::Execution {
        let seq = self.seq.get() + 1;
        self.seq.set(seq);
        id::Execution { epoch: self.epoch.get().unwrap_or(id::Epoch(0)), seq }
    }

    /// Number of the next report to control.
    pub fn report(&self) -> u64 {
        self.reports.set(self.reports.get() + 1);
        self.reports.get()
    }

    /// Whether attempts of `epoch` may be started now.
    ///
    /// The process may have been frozen since the last report, so this is asked before each start.
    pub fn may_start(&self, epoch: id::Epoch) -> bool {
        self.epoch.get() == Some(epoch) && self.is_leased()
    }

    pub fn is_leased(&self) -> bool {
        self.leased_until.get().is_some_and(|until| Instant::now() < until)
    }

    /// Age of the last confirmation of the rules.
    pub fn confirmed_age(&self) -> Option<Duration> {
        self.confirmed.get().map(|at| at.elapsed())
    }

    pub fn rules_version(&self) -> u64 {
        self.rules.borrow().version
    }

    pub fn rules_text(&self) -> String {
        self.rules.borrow().text.clone()
    }

    /// Opens a session whose `register` was sent at `sent`.
    pub fn open(&self, sent: Instant, session: control::Session) {
        self.epoch.set(Some(session.epoch));
        self.lease.set(Duration::from_millis(session.lease_ms));
        self.leased_until.set(Some(sent + self.lease.get()));
        self.opened.notify_waiters();
    }

    /// Returns once there is a session, at the latest at `until`.
    pub async fn wait(&self, until: Instant) {
        let opened = self.opened.notified();
        if self.epoch.get().is_none() {
            let _ = time::timeout_at(until, opened).await;
        }
    }

    /// Takes over the answer to a report that was sent at `sent`. Returns whether the rules are new.
    pub fn renew(&self, sent: Instant, view: &control::EntryView) -> bool {
        self.leased_until.set(Some(sent + self.lease.get()));
        // An answer that came late must not make the confirmation older.
        let at = sent.checked_sub(Duration::from_millis(view.confirmed_age_ms));
        self.confirmed.set(at.max(self.confirmed.get()));
        match &view.rules {
            Some(rules) if rules.version > self.rules_version() => {
                self.rules.replace(rules.clone());
                true
            }
            _ => false,
        }
    }

    /// Forgets the session.
    pub fn close(&self) {
        self.epoch.set(None);
        self.leased_until.set(None);
    }
}

impl Default for Session {
    fn default() -> Session {
        Session::new()
    }
}
