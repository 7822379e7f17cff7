//! Settings of an entry.

use std::{collections::BTreeMap, net::SocketAddr, time::Duration};

use serde::Deserialize;

use crate::{config, coordination::dispatch, protocol::job};

/// Highest allowed `rules_confirm_limit_ms`: a change must be in force everywhere within 8 s.
const RULES_CONFIRM_MAX_MS: u64 = 8_000;

/// Settings file of `briargauge-entry`.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Where callers connect.
    pub http: SocketAddr,
    /// Where other entries connect.
    pub rpc: SocketAddr,
    /// Address that other entries use if it is not the one of `rpc`, e.g. when that is 0.0.0.0.
    #[serde(default)]
    pub advertise: Option<SocketAddr>,
    pub data_centre: String,
    /// Control instances.
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
    /// Most tasks that wait, of all teams together.
    pub waiting_max: usize,
    /// Longest expected wait with which a submission is still taken.
    pub wait_max_ms: u64,
    /// Known round trips to data centres, by name; others are learned.
    pub round_trips_us: BTreeMap<String, u64>,
}

/// Which policy decides.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Policy {
    Briargauge,
    /// The baseline for comparisons.
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
    /// Age of the last confirmation of the rules above which no new work is taken.
    pub rules_confirm_limit_ms: u64,
    /// Pause between two reports to control.
    pub sync_interval_ms: u64,
    /// Longest wait for control to admit a submission.
    pub admit_limit_ms: u64,
    /// Time for a cancel to end the submission; after it the answer is `running`.
    pub cancel_limit_ms: u64,
    /// Time after the deadline for recording how a submission ended.
    pub finish_grace_ms: u64,
    /// Deadline of submissions that name none.
    pub deadline_default_ms: u32,
    pub deadline_max_ms: u32,
    pub tasks_max: usize,
    /// Longest request body.
    pub body_max_bytes: usize,
    /// Time for a request body to arrive.
    pub body_limit_ms: u64,
    /// Longest answer of one task.
    pub answer_max_bytes: usize,
    /// Longest answer of one submission.
    pub job_answer_max_bytes: usize,
    /// Inputs, and answers being gathered, held for resubmissions or waiting to be read by
    /// callers. New work is only taken below a half of it.
    pub memory_max_bytes: usize,
    /// Answers too large for the log that are held for resubmissions.
    pub held_max_bytes: usize,
    pub held_max_ms: u64,
    /// Requests being answered at once, and submissions being handled at once.
    pub requests_max: usize,
    /// Time between the health check turning bad and the first refusal.
    pub drain_notice_ms: u64,
    /// Time for the work in flight to end.
    pub drain_limit_ms: u64,
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

    /// The time a caller has, from the `deadline_ms` it sent.
    pub fn deadline(&self, asked_ms: Option<u32>) -> Duration {
        let ms = asked_ms.unwrap_or(self.deadline_default_ms).min(self.deadline_max_ms);
        Duration::from_millis(ms.into())
    }
}

impl config::Settings for Settings {
    fn check(&self) -> Result<(), (String, String)> {
        let limits = &self.limits;
        let wrong = |key: &str, reason: String| Err((key.to_owned(), reason));
        if self.control.is_empty() {
            return wrong("control", "at least one control instance is needed".into());
        }
        if self.advertise.unwrap_or(self.rpc).ip().is_unspecified() {
            return wrong("advertise", "needed when `rpc` is an unspecified address".into());
        }
        if limits.rules_confirm_limit_ms > RULES_CONFIRM_MAX_MS {
            let reason = format!("at most {RULES_CONFIRM_MAX_MS}");
            return wrong("limits.rules_confirm_limit_ms", reason);
        }
        if limits.sync_interval_ms == 0 || limits.sync_interval_ms > 1_000 {
            return wrong("limits.sync_interval_ms", "from 1 to 1000".into());
        }
        if limits.tasks_max == 0 || limits.tasks_max > job::TASKS_MAX {
            return wrong("limits.tasks_max", format!("from 1 to {}", job::TASKS_MAX));
        }
        // An answer travels between entries in one message.
        if limits.job_answer_max_bytes > crate::transport::rpc::FRAME_MAX_BYTES / 2 {
            let max = crate::transport::rpc::FRAME_MAX_BYTES / 2;
            return wrong("limits.job_answer_max_bytes", format!("at most {max}"));
        }
        Ok(())
    }
}
