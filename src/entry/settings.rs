//! Settings of an entry.

use std::{collections::BTreeMap, net::SocketAddr, time::Duration};

use serde::Deserialize;

use crate::{config, coordination::dispatch, protocol::job, transport::limit::bound::Instance};

/// Highest allowed `rules_confirm_limit_ms`. A change of the rules must be in force in all
/// processes within 8 s.
const RULES_CONFIRM_MAX_MS: u64 = 8_000;

/// Settings file of `briargauge-entry`.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Listen address for callers.
    pub http: SocketAddr,
    /// Listen address for other entries.
    pub rpc: SocketAddr,
    /// Address at which other entries reach this one if it differs from `rpc`, e.g. because `rpc`
    /// is 0.0.0.0.
    #[serde(default)]
    pub advertise: Option<SocketAddr>,
    pub data_centre: String,
    /// Addresses of the control instances.
    pub control: Vec<SocketAddr>,
    #[serde(default)]
    pub limits: Limits,
    #[serde(default)]
    pub dispatch: Dispatch,
}

/// Settings of the dispatch policy.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Dispatch {
    pub policy: Policy,
    /// Highest number of queued tasks of all accounts together.
    pub waiting_max: usize,
    /// Submissions whose expected queueing time is longer are refused.
    pub wait_max_ms: u64,
    /// Known round-trip times to data centres, by name. Those of other data centres are measured.
    pub round_trips_us: BTreeMap<String, u64>,
}

/// Dispatch policy.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Policy {
    Briargauge,
    /// A baseline for comparisons.
    Naive,
}

impl Default for Dispatch {
    fn default() -> Dispatch {
        let default = dispatch::Settings::default();
        Dispatch {
            policy: Policy::Briargauge,
            waiting_max: default.waiting_max,
            wait_max_ms: default.wait_max_us / 1_000,
            round_trips_us: BTreeMap::new(),
        }
    }
}

impl Settings {
    /// Settings of the dispatcher.
    pub fn dispatcher(&self) -> dispatch::Settings {
        let Dispatch { policy, waiting_max, wait_max_ms, round_trips_us } = self.dispatch.clone();
        dispatch::Settings {
            policy: match policy {
                Policy::Briargauge => dispatch::Policy::Briargauge,
                Policy::Naive => dispatch::Policy::Naive,
            },
            data_centre: self.data_centre.clone(),
            round_trips: round_trips_us.into_iter().collect(),
            waiting_max,
            wait_max_us: wait_max_ms.saturating_mul(1_000),
            ..dispatch::Settings::default()
        }
    }
}

/// Limits of an entry; each has a default.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Limits {
    /// New submissions are refused when the last confirmation of the rules is older than this.
    pub rules_confirm_limit_ms: u64,
    /// Time between two reports to control.
    pub sync_interval_ms: u64,
    /// Longest wait for control to admit a submission.
    pub admit_limit_ms: u64,
    /// Longest wait until a cancel has ended the submission. After it the caller gets `running`.
    pub cancel_limit_ms: u64,
    /// Time after the deadline for which a caller's request waits until the outcome is recorded.
    pub finish_grace_ms: u64,
    /// Deadline of submissions that do not set one.
    pub deadline_default_ms: u32,
    pub deadline_max_ms: u32,
    pub tasks_max: usize,
    /// Largest request body.
    pub body_max_bytes: usize,
    /// Time limit for a request body to arrive.
    pub body_limit_ms: u64,
    /// Largest answer of one task.
    pub answer_max_bytes: usize,
    /// Largest total answer of one submission.
    pub job_answer_max_bytes: usize,
    /// Memory for inputs and for answers, while these are collected, kept for resubmissions or not
    /// yet read by callers. New submissions are accepted only while less than half of it is used.
    pub memory_max_bytes: usize,
    /// Memory for answers that are too large for the control log and are kept for resubmissions.
    pub held_max_bytes: usize,
    /// Time for which these answers are kept.
    pub held_max_ms: u64,
    /// Highest number of requests that are answered at once, and also of submissions that are
    /// handled at once.
    pub requests_max: usize,
    /// Time between the first failing health check and the first refusal of a stopping entry.
    pub drain_notice_ms: u64,
    /// Time for which a stopping entry waits until its requests and submissions have ended.
    pub drain_limit_ms: u64,
}

impl Limits {
    /// The instance for which the bounds on connections are derived. A body is counted there while it
    /// arrives and an answer while it is sent, and [`Limits::memory_max_bytes`] counts both again; half
    /// of the instance's memory is thus for as many bytes of each.
    pub fn instance(&self) -> Instance {
        let memory_bytes = Some((self.memory_max_bytes as u64).saturating_mul(4));
        Instance { memory_bytes, descriptors: None }
    }
}

impl Default for Limits {
    fn default() -> Limits {
        Limits {
            rules_confirm_limit_ms: 6_000,
            sync_interval_ms: 1_000,
            admit_limit_ms: 5_000,
            cancel_limit_ms: 5_000,
            finish_grace_ms: 1_000,
            deadline_default_ms: 60_000,
            deadline_max_ms: 600_000,
            tasks_max: job::TASKS_MAX,
            body_max_bytes: 8 * 1024 * 1024,
            body_limit_ms: 20_000,
            answer_max_bytes: 1024 * 1024,
            job_answer_max_bytes: 16 * 1024 * 1024,
            memory_max_bytes: 512 * 1024 * 1024,
            held_max_bytes: 128 * 1024 * 1024,
            held_max_ms: 10 * 60 * 1_000,
            requests_max: 8_192,
            drain_notice_ms: 5_000,
            drain_limit_ms: 60_000,
        }
    }
}

impl Limits {
    pub fn rules_confirm_limit(&self) -> Duration {
        Duration::from_millis(self.rules_confirm_limit_ms)
    }

    /// Time until a submission's deadline, from the `deadline_ms` that its caller sent, if any.
    pub fn deadline(&self, requested_ms: Option<u32>) -> Duration {
        let ms = requested_ms.unwrap_or(self.deadline_default_ms).min(self.deadline_max_ms);
        Duration::from_millis(ms.into())
    }
}

impl config::Settings for Settings {
    fn check(&self) -> Result<(), (String, String)> {
        let limits = &self.limits;
        let invalid = |key: &str, reason: String| Err((key.to_owned(), reason));
        if self.control.is_empty() {
            return invalid("control", "at least one control instance is needed".into());
        }
        if self.advertise.unwrap_or(self.rpc).ip().is_unspecified() {
            return invalid("advertise", "needed when `rpc` is an unspecified address".into());
        }
        if limits.rules_confirm_limit_ms > RULES_CONFIRM_MAX_MS {
            let reason = format!("at most {RULES_CONFIRM_MAX_MS}");
            return invalid("limits.rules_confirm_limit_ms", reason);
        }
        if limits.sync_interval_ms == 0 || limits.sync_interval_ms > 1_000 {
            return invalid("limits.sync_interval_ms", "from 1 to 1000".into());
        }
        if limits.tasks_max == 0 || limits.tasks_max > job::TASKS_MAX {
            return invalid("limits.tasks_max", format!("from 1 to {}", job::TASKS_MAX));
        }
        // The answers of a job are sent between entries in one message.
        if limits.job_answer_max_bytes > crate::transport::rpc::FRAME_MAX_BYTES / 2 {
            let max = crate::transport::rpc::FRAME_MAX_BYTES / 2;
            return invalid("limits.job_answer_max_bytes", format!("at most {max}"));
        }
        Ok(())
    }
}
