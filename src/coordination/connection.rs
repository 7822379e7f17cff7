//! The lease that an entry holds with a sidecar over one connection, as the entry knows it.
//!
//! Both processes measure time by clocks of their own, so the entry estimates the sidecar's clock
//! from readings in its answers. A reading was taken before its answer arrived. Counted from the
//! arrival, it gives a lower bound of the clock, however long the request and the answer took. The
//! end of a lease has to be derived from that bound, because a higher estimate would lengthen the
//! lease by the delay of the answer.

use super::sidecar;

/// Length of the lease, in ms.
const LEASE_MS: u64 = 700;
/// Longest lease of a backend server, in ms. Nothing that a sidecar started is still running this
/// long after the lease has ended, even if the sidecar's process has died.
const BACKEND_LEASE_MAX_MS: u64 = 1_100;
/// Time for which the sidecar's answer that attempts may be left counts, in ms. It is asked again
/// sooner.
const LEFT_ANSWER_MS: u64 = 1_000;
/// Most by which the rates of two instances' clocks differ, in millionths: NTP changes the rate of
/// each by at most 500.
const DRIFT_MAX_PPM: u64 = 1_000;

/// A reading of the sidecar's clock.
#[derive(Debug, Clone, Copy)]
struct Reading {
    clock_ms: u64,
    /// When the answer with the reading arrived, on the entry's clock.
    received_ms: u64,
}

impl Reading {
    /// Lower bound of the sidecar's clock at `at_ms`, which may be before the answer arrived.
    fn lower_bound(&self, at_ms: u64) -> u64 {
        let drift_ms = |elapsed_ms: u64| (elapsed_ms * DRIFT_MAX_PPM).div_ceil(1_000_000);
        match at_ms.checked_sub(self.received_ms) {
            Some(elapsed_ms) => self.clock_ms + elapsed_ms - drift_ms(elapsed_ms),
            None => {
                let before_ms = self.received_ms - at_ms;
                self.clock_ms.saturating_sub(before_ms + drift_ms(before_ms))
            }
        }
    }
}

/// Lease of one connection of an entry to a sidecar. Times are ms on the entry's monotonic clock,
/// which counts suspended time, unless they are said to be on the sidecar's.
#[derive(Debug, Clone, Copy)]
pub struct Lease {
    /// The reading that gives the highest lower bound of the sidecar's clock.
    reading: Reading,
    /// Latest end that was requested, on the sidecar's clock.
    until_ms: u64,
    /// Until when the sidecar's last answer that attempts may be left counts.
    left_until_ms: u64,
}

impl Lease {
    /// A lease that was never extended. The sidecar's clock showed `clock_ms` in an answer that
    /// arrived at `received_ms`.
    pub fn new(clock_ms: u64, received_ms: u64) -> Lease {
        Lease { reading: Reading { clock_ms, received_ms }, until_ms: 0, left_until_ms: 0 }
    }

    /// Records a further reading of the sidecar's clock, if it gives a higher lower bound than the
    /// recorded one.
    pub fn record(&mut self, clock_ms: u64, received_ms: u64) {
        if self.reading.lower_bound(received_ms) <= clock_ms {
            self.reading = Reading { clock_ms, received_ms };
        }
    }

    /// Lower bound of the sidecar's clock at `at_ms`.
    pub fn clock_lower_bound(&self, at_ms: u64) -> u64 {
        self.reading.lower_bound(at_ms)
    }

    /// Extends the lease to [`LEASE_MS`] after `watermark_ms`, the time that a [`Watermark`] gives.
    /// Returns that end on the sidecar's clock.
    pub fn extend(&mut self, watermark_ms: u64) -> u64 {
        let until_ms = self.clock_lower_bound(watermark_ms) + LEASE_MS;
        self.until_ms = self.until_ms.max(until_ms);
        until_ms
    }

    /// Records the sidecar's answer, received at `now_ms`, that attempts under the lease may run or
    /// start although it has ended: a call that their backend server has not answered may be carried
    /// out late.
    pub fn record_left(&mut self, now_ms: u64) {
        self.left_until_ms = now_ms + LEFT_ANSWER_MS;
    }

    /// Whether no attempt that was started under the lease is running any more: the lease and, after
    /// it, the longest lease of the backend server have ended, and the sidecar does not say that
    /// attempts may be left. At the latest, that is when all late calls have been carried out.
    pub fn over(&self, now_ms: u64) -> bool {
        let clock_ms = self.clock_lower_bound(now_ms);
        let ended_ms = self.until_ms + BACKEND_LEASE_MAX_MS;
        let left = now_ms < self.left_until_ms && clock_ms <= ended_ms + sidecar::LATE_CALL_MAX_MS;
        ended_ms < clock_ms && !left
    }
}

/// Until when a process has handled what has arrived, such as the ends of its callers' connections. A
/// process that goes on after a pause sends calls before it has. A lease counts from this time, so
/// that none outlasts a caller that left during the pause for longer than one that left before. So
/// does the deadline of a request, which may have waited to be read since then.
#[derive(Debug, Clone, Copy)]
pub struct Watermark {
    /// Time of the tick before the last one. What had arrived by then was read before the last one.
    before_ms: u64,
    last_ms: u64,
}

impl Watermark {
    /// A process that starts has missed nothing.
    pub fn new(now_ms: u64) -> Watermark {
        Watermark { before_ms: now_ms, last_ms: now_ms }
    }

    /// Records a tick. Between two ticks, the process reads what has arrived.
    pub fn tick(&mut self, now_ms: u64) {
        self.before_ms = std::mem::replace(&mut self.last_ms, now_ms);
    }

    /// What had arrived by this time has been handled.
    pub fn until_ms(&self) -> u64 {
        self.before_ms
    }

    /// When the caller of a request that is read now leaves at the earliest: it waits for `wait_ms`.
    pub fn leaves_ms(&self, wait_ms: u64) -> u64 {
        self.before_ms.saturating_add(wait_ms)
    }
}
