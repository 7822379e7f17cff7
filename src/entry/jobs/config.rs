//! The configuration by which an entry handles calls, and how it is kept up to date.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use tokio::time;

use super::Entry;
use crate::{
    leader::Failure,
    protocol::{
        queue::Config,
        wire::queue::{Answer, Call},
    },
    util,
};

/// Longest time that the leader waits for changes before it answers a watch call.
const WATCH_WAIT: Duration = Duration::from_millis(400);
/// Time limit of a watch call.
const WATCH_TIMEOUT: Duration = Duration::from_millis(900);
/// Longest time that a job waits at an entry that has just started and has no configuration yet, or
/// for the answer that its queue does not exist. After this time most jobs can still end before
/// their callers' deadlines.
const CONFIG_WAIT: Duration = Duration::from_millis(1_000);
/// Interval at which a waiting job checks for the configuration.
const CONFIG_POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Time without an answered or failed watch call after which jobs wait for a check of the
/// configuration, in ms. It is longer than two watch calls in a row take unless this process was
/// paused.
const CHECK_AGE_MAX_MS: u64 = 1_500;
/// Longest time that a job of a known queue waits for that check.
const CHECK_LIMIT: Duration = Duration::from_millis(150);
/// Time by which a call may end after its time limit without a pause of this process, in ms.
const END_SLACK_MS: u64 = 100;

/// What is known of the age of the configuration. Times are ms on a monotonic clock that counts
/// suspended time.
#[derive(Debug, Default, Clone, Copy)]
pub(super) struct Check {
    /// When the newest call that a leader has answered was sent. Every change that was accepted
    /// before is in the configuration.
    answered_ms: u64,
    /// When the newest call failed that no leader has answered in time.
    failed_ms: u64,
}

impl Check {
    /// Whether the configuration holds every change that was accepted before `at_ms`.
    fn covers(&self, at_ms: u64) -> bool {
        at_ms <= self.answered_ms
    }

    /// Whether the configuration was checked shortly before `now_ms`, or there was no leader then.
    fn recent(&self, now_ms: u64) -> bool {
        now_ms <= self.answered_ms.max(self.failed_ms) + CHECK_AGE_MAX_MS
    }
}

impl Entry {
    /// Keeps the configuration and the list of sidecars up to date.
    pub(super) async fn watch(self) {
        loop {
            self.update(WATCH_WAIT, WATCH_TIMEOUT).await;
        }
    }

    /// Returns the configuration by which a call for a queue is handled, or `None` if that is not
    /// known. That a queue does not exist has to be confirmed by a leader after the call's arrival:
    /// it may have been added just before. Known queues are served on without a leader, but after a
    /// pause of this process a leader is asked first, as changes may wait to be read.
    pub(super) async fn config_for(&self, host: &str, path: &str) -> Option<Arc<Config>> {
        let config = self.wait_for_config().await?;
        let now_ms = util::boot_ms();
        if config.route(host, path).is_some() {
            self.check(CHECK_LIMIT, |check| check.recent(now_ms)).await;
        } else if !self.check(CONFIG_WAIT, |check| check.covers(now_ms)).await {
            log::info!("event=refused reason=unconfirmed queue={host}{path}");
            return None;
        }
        self.config()
    }

    fn config(&self) -> Option<Arc<Config>> {
        self.inner.config.borrow().clone()
    }

    /// Returns the configuration, and waits up to [`CONFIG_WAIT`] for it on an entry that has just
    /// started.
    async fn wait_for_config(&self) -> Option<Arc<Config>> {
        let end = Instant::now() + CONFIG_WAIT;
        loop {
            let config = self.config();
            if config.is_some() || Instant::now() >= end {
                return config;
            }
            time::sleep(CONFIG_POLL_INTERVAL).await;
        }
    }

    /// Asks a leader for changes unless the last check is `sufficient`. Returns whether it is then.
    /// One answer serves all calls that wait for it.
    async fn check(&self, limit: Duration, sufficient: impl Fn(Check) -> bool) -> bool {
        if sufficient(self.inner.config_check.get()) {
            return true;
        }
        let checked = async {
            let _turn = self.inner.config_checking.lock().await;
            if !sufficient(self.inner.config_check.get()) {
                self.update(Duration::ZERO, limit).await;
            }
        };
        // After a timeout the last check decides.
        let _ = time::timeout(limit, checked).await;
        sufficient(self.inner.config_check.get())
    }

    /// Asks a leader once for changes, for which it may wait.
    async fn update(&self, wait: Duration, limit: Duration) {
        let call = Call::Watch {
            config: self.config().map_or(0, |config| config.version),
            sidecars: self.inner.sidecar_list_version.get(),
            wait_ms: util::millis(wait),
            drains: self.inner.scheduler.borrow().drains().version,
        };
        let sent_ms = util::boot_ms();
        let answer = self.inner.leader.call(call, limit).await;
        let mut check = self.inner.config_check.get();
        match answer {
            Ok(Answer::View(view)) => {
                self.apply_view(view);
                check.answered_ms = check.answered_ms.max(sent_ms);
            }
            Ok(answer) => log::error!("event=watch_answer answer={answer:?}"),
            Err(Failure::NotDone { detail } | Failure::Unknown { detail }) => {
                log::info!("event=watch_failed detail={detail:?}");
                // A call that ended later was cut short by a pause, which says nothing of the leader.
                let now_ms = util::boot_ms();
                if now_ms <= sent_ms + util::millis(limit) + END_SLACK_MS {
                    check.failed_ms = now_ms;
                }
            }
        }
        self.inner.config_check.set(check);
    }
}
