//! The entry's session with control: its epoch, its lease, and the rules with the time of their
//! last confirmation.

use std::{
    cell::{Cell, RefCell},
    time::Duration,
};

use tokio::{
    sync::Notify,
    time::{self, Instant},
};

use crate::protocol::{id, wire::control};

/// State of the session. Without an epoch, the entry has no session.
#[derive(Debug)]
pub struct Session {
    epoch: Cell<Option<id::Epoch>>,
    lease: Cell<Duration>,
    /// Control does not end the session before this time, provided that the clocks of both run at
    /// the same rate.
    leased_until: Cell<Option<Instant>>,
    /// Latest time for which control has confirmed that the entry's rules were in force.
    rules_confirmed_at: Cell<Option<Instant>>,
    rules: RefCell<control::Rules>,
    /// Number of execution ids drawn.
    executions: Cell<u64>,
    /// Number of reports to control.
    reports: Cell<u64>,
    /// Requests a report to control before the next regular one.
    pub report_now: Notify,
    /// Notifies callers of `wait_until_open`.
    opened: Notify,
}

impl Session {
    pub fn new() -> Session {
        Session {
            epoch: Cell::new(None),
            lease: Cell::new(Duration::ZERO),
            leased_until: Cell::new(None),
            rules_confirmed_at: Cell::new(None),
            rules: RefCell::new(control::Rules { version: 0, text: String::new() }),
            executions: Cell::new(0),
            reports: Cell::new(0),
            report_now: Notify::new(),
            opened: Notify::new(),
        }
    }

    pub fn epoch(&self) -> Option<id::Epoch> {
        self.epoch.get()
    }

    /// Draws a new execution id; its epoch is 0 while there is no session.
    pub fn next_execution(&self) -> id::Execution {
        let seq = self.executions.get() + 1;
        self.executions.set(seq);
        id::Execution { epoch: self.epoch.get().unwrap_or(id::Epoch(0)), seq }
    }

    /// Draws the number of the next report to control.
    pub fn next_report(&self) -> u64 {
        self.reports.set(self.reports.get() + 1);
        self.reports.get()
    }

    /// Whether attempts of `epoch` may be started now.
    ///
    /// The process may have been frozen since the last report, so the lease must be checked
    /// immediately before each start.
    pub fn may_start(&self, epoch: id::Epoch) -> bool {
        self.epoch.get() == Some(epoch) && self.is_leased()
    }

    /// Whether the lease has not expired.
    pub fn is_leased(&self) -> bool {
        self.leased_until.get().is_some_and(|until| Instant::now() < until)
    }

    /// Time since the last confirmation of the rules; `None` before the first.
    pub fn rules_confirmed_age(&self) -> Option<Duration> {
        self.rules_confirmed_at.get().map(|at| at.elapsed())
    }

    pub fn rules_version(&self) -> u64 {
        self.rules.borrow().version
    }

    pub fn rules_text(&self) -> String {
        self.rules.borrow().text.clone()
    }

    /// Opens a session that control granted in reply to a `register` sent at `sent`.
    ///
    /// The lease counts from the time of sending, so that it ends here before it ends at control.
    pub fn open(&self, sent: Instant, session: control::Session) {
        self.epoch.set(Some(session.epoch));
        self.lease.set(Duration::from_millis(session.lease_ms));
        self.leased_until.set(Some(sent + self.lease.get()));
        self.opened.notify_waiters();
    }

    /// Waits until there is a session, but no longer than until `until`.
    pub async fn wait_until_open(&self, until: Instant) {
        let opened = self.opened.notified();
        if self.epoch.get().is_none() {
            let _ = time::timeout_at(until, opened).await;
        }
    }

    /// Renews the lease with control's reply to a report that was sent at `sent`. Returns whether
    /// the reply brought newer rules.
    pub fn renew(&self, sent: Instant, view: &control::EntryView) -> bool {
        self.leased_until.set(Some(sent + self.lease.get()));
        // A reply that arrives late must not replace a later confirmation by an earlier one.
        let at = sent.checked_sub(Duration::from_millis(view.confirmed_age_ms));
        self.rules_confirmed_at.set(at.max(self.rules_confirmed_at.get()));
        match &view.rules {
            Some(rules) if rules.version > self.rules_version() => {
                self.rules.replace(rules.clone());
                true
            }
            _ => false,
        }
    }

    /// Ends the session locally: nothing starts until a new one is opened.
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
