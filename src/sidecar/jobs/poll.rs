//! Polls: each renews the lease of what runs at the backend server and reads what has ended.

use std::time::Duration;

use tokio::time;

use super::{Backend, PollResult, Sidecar};
use crate::util;

/// Longest time that a poll waits for an end while nothing runs.
const IDLE_WAIT: Duration = Duration::from_millis(250);
/// Longest time that a poll waits for an end while something runs. An end is learned from the next
/// answer, so a lost answer delays it by this time at most.
const BUSY_WAIT: Duration = Duration::from_millis(100);
/// Time after its wait from which on a poll without an answer is followed by the next one.
const OVERDUE: Duration = Duration::from_millis(40);
/// Pause after a poll that did not wait, or at whose address nothing listens.
const RETRY: Duration = Duration::from_millis(40);

impl<B: Backend> Sidecar<B> {
    /// Keeps one poll under way, and more while answers are overdue.
    pub(super) async fn run_polls(self) {
        loop {
            if !self.can_poll() {
                // Woken, or time has passed: either way it looks again.
                let _ = time::timeout(IDLE_WAIT, self.inner.due.notified()).await;
                continue;
            }
            let wait = self.poll_wait();
            self.inner.idle.set(wait == IDLE_WAIT);
            let answered = actix_rt::spawn(self.clone().poll(wait));
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

    /// Something is about to run: a poll that waits for long is followed by one that does not.
    pub(super) fn poll_sooner(&self) {
        if self.inner.idle.replace(false) {
            self.inner.due.notify_one();
        }
    }

    /// Reads at once what runs.
    pub(super) fn poll_once(&self) {
        actix_rt::spawn(self.clone().poll(Duration::ZERO));
    }

    fn can_poll(&self) -> bool {
        let state = self.inner.state.borrow();
        state.fenced() && state.server().is_some()
    }

    fn poll_wait(&self) -> Duration {
        let state = self.inner.state.borrow();
        match (state.may_wait(), state.busy()) {
            (false, _) => Duration::ZERO,
            (true, true) => BUSY_WAIT,
            (true, false) => IDLE_WAIT,
        }
    }

    /// Polls once. Returns whether the backend server is there.
    async fn poll(self, wait: Duration) -> bool {
        let sent_ms = util::boot_ms();
        let poll = self.inner.state.borrow_mut().poll(sent_ms);
        let (Some(poll), Some((server, addr))) = (poll, self.server()) else { return false };
        let result = self.inner.backend.poll(addr, &server, &poll, wait).await;
        if self.server().is_none_or(|(id, _)| id != server) {
            return true;
        }
        let refused = matches!(result, PollResult::Refused);
        let done_ms = util::boot_ms();
        match result {
            PollResult::Replied(reply) => {
                self.inner.state.borrow_mut().polled(sent_ms, done_ms, reply)
            }
            PollResult::Refused | PollResult::Silent => {
                self.inner.state.borrow_mut().poll_failed(sent_ms, done_ms, refused);
            }
        }
        self.carry_out();
        !refused
    }
}
