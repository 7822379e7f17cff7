//! Holds: each renews the lease of what runs at the backend server and reads what has ended.

use std::time::Duration;

use tokio::time;

use super::{Backend, Look, Sidecar};
use crate::util;

/// Longest time that a hold waits for an end while nothing runs.
const IDLE_WAIT: Duration = Duration::from_millis(250);
/// Longest time that a hold waits for an end while something runs. An end is learned from the next
/// answer, so a lost answer delays it by this time at most.
const BUSY_WAIT: Duration = Duration::from_millis(100);
/// Time after its wait from which on a hold without an answer is followed by the next one.
const OVERDUE: Duration = Duration::from_millis(40);
/// Pause after a hold that did not wait, or at whose address nothing listens.
const RETRY: Duration = Duration::from_millis(40);

impl<B: Backend> Sidecar<B> {
    /// Keeps one hold under way, and more while answers are overdue.
    pub(super) async fn run_holds(self) {
        loop {
            if !self.can_hold() {
                // Woken, or time has passed: either way it looks again.
                let _ = time::timeout(IDLE_WAIT, self.inner.due.notified()).await;
                continue;
            }
            let wait = self.hold_wait();
            self.inner.idle.set(wait == IDLE_WAIT);
            let answered = actix_rt::spawn(self.clone().hold(wait));
            tokio::select! {
                answered = time::timeout(wait + OVERDUE, answered) => match answered {
                    Ok(Ok(true)) if !wait.is_zero() => {}
                    Ok(_) => time::sleep(RETRY).await,
                    Err(_) => {}
                },
                () = self.inner.due.notified() => {}
            }
        }
    }

    /// Something is about to run: a hold that waits for long is followed by one that does not.
    pub(super) fn hold_sooner(&self) {
        if self.inner.idle.replace(false) {
            self.inner.due.notify_one();
        }
    }

    /// Reads at once what runs.
    pub(super) fn hold_once(&self) {
        actix_rt::spawn(self.clone().hold(Duration::ZERO));
    }

    fn can_hold(&self) -> bool {
        let state = self.inner.state.borrow();
        state.fenced() && state.server().is_some()
    }

    fn hold_wait(&self) -> Duration {
        let state = self.inner.state.borrow();
        match (state.may_wait(), state.busy()) {
            (false, _) => Duration::ZERO,
            (true, true) => BUSY_WAIT,
            (true, false) => IDLE_WAIT,
        }
    }

    /// Holds once. Returns whether the backend server is there.
    async fn hold(self, wait: Duration) -> bool {
        let sent_ms = util::boot_ms();
        let hold = self.inner.state.borrow_mut().hold(sent_ms);
        let (Some(hold), Some((server, addr))) = (hold, self.server()) else { return false };
        let look = self.inner.backend.hold(addr, &server, &hold, wait).await;
        if self.server().is_none_or(|(id, _)| id != server) {
            return true;
        }
        let refused = matches!(look, Look::Refused);
        let done_ms = util::boot_ms();
        match look {
            Look::Held(held) => self.inner.state.borrow_mut().held(sent_ms, done_ms, held),
            Look::Refused | Look::Silent => {
                self.inner.state.borrow_mut().silent(sent_ms, done_ms, refused);
            }
        }
        self.carry_out();
        !refused
    }
}
