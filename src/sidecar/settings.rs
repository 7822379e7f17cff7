//! Settings of the sidecar.

use std::{net::SocketAddr, time::Duration};

use serde::Deserialize;
use serde_with::{DurationMilliSeconds, serde_as};

use crate::{config, protocol::announce, transport::http};

/// Settings of the sidecar.
#[serde_as]
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Address to listen on for HTTP: announcements of the backend server, `/metrics` and
    /// `/health`.
    pub http: SocketAddr,
    /// Address to listen on for the calls of entries.
    pub rpc: SocketAddr,
    /// Address at which entries reach `rpc`, if it differs.
    #[serde(default)]
    pub advertise: Option<SocketAddr>,
    pub data_centre: String,
    pub rack: String,
    /// Addresses of the control instances, which are tried in this order.
    pub control: Vec<SocketAddr>,
    /// Maximum number of attempts that are queued for a slot.
    #[serde(default = "defaults::queue")]
    pub queue: u16,
    /// Maximum size of a task's answer.
    #[serde(default = "defaults::answer_max_bytes")]
    pub answer_max_bytes: usize,
    /// Idle time after which the sidecar closes a connection to the backend server. It must be less
    /// than the idle time after which the backend server closes the connection: the outcome of a
    /// request that is sent while the backend server closes it is unknown.
    #[serde(default = "defaults::keep_alive_ms")]
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub keep_alive_ms: Duration,
    /// Interval between reports to control.
    #[serde(default = "defaults::sync_interval_ms")]
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub sync_interval_ms: Duration,
    /// Time within which a control instance must confirm a report.
    #[serde(default = "defaults::control_limit_ms")]
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub control_limit_ms: Duration,
    /// The backend server is treated as gone once its last announcement is this old.
    #[serde(default = "defaults::announce_lease_ms")]
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub announce_lease_ms: Duration,
    /// Maximum time to wait for running attempts when the backend server or the sidecar stops.
    #[serde(default = "defaults::drain_limit_ms")]
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub drain_limit_ms: Duration,
    /// Minimum time for which a stopping sidecar keeps its port open and refuses attempts, so that
    /// control can notify entries that the sidecar has left before they find the port closed.
    #[serde(default = "defaults::linger_ms")]
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub linger_ms: Duration,
    #[serde(default)]
    pub task: Task,
}

/// Settings for the supervision of running tasks.
#[serde_as]
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Task {
    /// Duration of a task's worker lease. The sidecar renews it three times within this duration.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub lease_ms: Duration,
    /// Interval at which the usage of tasks is fetched and checked.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub usage_interval_ms: Duration,
    /// Ratio of used to declared resources above which a task is throttled.
    pub throttle_ratio: f64,
    /// Ratio of used to declared resources above which a task is stopped.
    pub stop_ratio: f64,
    /// Time after which a throttled task is stopped if its ratio is still above `throttle_ratio`.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub throttle_grace_ms: Duration,
}

impl Default for Task {
    fn default() -> Task {
        Task {
            lease_ms: Duration::from_secs(3),
            usage_interval_ms: Duration::from_secs(1),
            throttle_ratio: 1.5,
            stop_ratio: 3.0,
            throttle_grace_ms: Duration::from_secs(2),
        }
    }
}

mod defaults {
    use super::{Duration, announce, http};

    pub fn queue() -> u16 {
        8
    }

    pub fn answer_max_bytes() -> usize {
        1024 * 1024
    }

    pub fn keep_alive_ms() -> Duration {
        http::CLIENT_KEEP_ALIVE
    }

    pub fn sync_interval_ms() -> Duration {
        Duration::from_secs(1)
    }

    pub fn control_limit_ms() -> Duration {
        Duration::from_secs(3)
    }

    pub fn announce_lease_ms() -> Duration {
        Duration::from_millis(announce::ANNOUNCE_LEASE_MS)
    }

    pub fn drain_limit_ms() -> Duration {
        Duration::from_secs(30)
    }

    pub fn linger_ms() -> Duration {
        Duration::from_millis(1_500)
    }
}

impl config::Settings for Settings {
    fn check(&self) -> Result<(), (String, String)> {
        let fail = |key: &str, reason: &str| Err((key.to_owned(), reason.to_owned()));
        if self.control.is_empty() {
            return fail("control", "needs at least one address");
        }
        if self.answer_max_bytes == 0 {
            return fail("answer_max_bytes", "must be positive");
        }
        if self.sync_interval_ms.is_zero() {
            return fail("sync_interval_ms", "must be positive");
        }
        if self.control_limit_ms.is_zero() {
            return fail("control_limit_ms", "must be positive");
        }
        let Task { lease_ms, usage_interval_ms, throttle_ratio, stop_ratio, .. } = self.task;
        if lease_ms.as_millis() < 3 {
            return fail("task.lease_ms", "must be at least 3");
        }
        if usage_interval_ms.is_zero() {
            return fail("task.usage_interval_ms", "must be positive");
        }
        if !(throttle_ratio >= 1.0 && throttle_ratio <= stop_ratio) {
            return fail("task.throttle_ratio", "must be between 1 and task.stop_ratio");
        }
        Ok(())
    }
}
