//! Polls of the backend server. Each renews the lease of the attempts there and fetches the
//! completions.

use std::time::Duration;

use tokio::time;

use super::{Backend, PollResult, Sidecar};
use crate::util;

/// Longest time that a poll waits for a completion while nothing runs.
const IDLE_WAIT: Duration = Duration::from_millis(250);
/// Longest time that a poll waits for a completion while attempts run. After a lost answer the next
/// answer brings the completion, so it is delayed by at most this time.
const BUSY_WAIT: Duration = Duration::from_millis(100);
/// Time beyond its wait after which a poll is overdue and the next one is sent without its answer.
const OVERDUE_AFTER: Duration = Duration::from_millis(40);
/// Pause after a poll without a wait, and after one that was refused or could not be sent.
const RETRY_DELAY: Duration = Duration::from_millis(40);

impl<B: Backend> Sidecar<B> {
    /// Keeps one poll in flight, and more while answers are overdue.
    pub(super) async fn run_polls(self) {
        loop {
            if !self.can_poll() {
                // Checked again after a wake-up as well as after the time limit.
                let _ = time::timeout(IDLE_WAIT, self.inner.poll_wake.notified()).await;
                continue;
            }
            let wait = self.poll_wait();
            self.inner.idle_poll.set(wait == IDLE_WAIT);
            let answered = actix_rt::spawn(self.clone().poll(wait));
            tokio::select! {
                answered = time::timeout(wait + OVERDUE_AFTER, answered) => match answered {
                    Ok(Ok(true)) if !wait.is_zero() => {}
                    Ok(_) => time::sleep(RETRY_DELAY).await,
                    Err(_) => {}
                },
                () = self.inner.poll_wake.notified() => {}
            }
        }
    }

    /// Called before an attempt starts: if the newest poll has the long wait of an idle server,
    /// sends the next poll at once.
    pub(super) fn supersede_idle_poll(&self) {
        if self.inner.idle_poll.replace(false) {
            self.inner.poll_wake.notify_one();
        }
    }

    /// Polls without a wait, beside the polls in flight.
    pub(super) fn poll_once(&self) {
        actix_rt::spawn(self.clone().poll(Duration::ZERO));
    }

    fn can_poll(&self) -> bool {
        let state = self.inner.state.borrow();
        state.has_fencing_token() && state.server().is_some()
    }

    fn poll_wait(&self) -> Duration {
        let state = self.inner.state.borrow();
        match (state.may_wait(), state.busy()) {
            (false, _) => Duration::ZERO,
            (true, true) => BUSY_WAIT,
            (true, false) => IDLE_WAIT,
        }
    }

    /// Polls once. Returns false if nothing listens at the server's address or no poll could be
    /// sent.
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
            PollResult::Other => self.inner.state.borrow_mut().poll_misdirected(sent_ms, done_ms),
            PollResult::Refused | PollResult::NoReply => {
                self.inner.state.borrow_mut().poll_failed(sent_ms, done_ms, refused);
            }
        }
        self.carry_out();
        !refused
    }
}
