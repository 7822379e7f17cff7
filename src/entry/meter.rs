//! Metrics of an entry.

use std::cell::RefCell;

use prometheus::{Histogram, HistogramVec, IntCounter, IntCounterVec, IntGauge, Registry};

use crate::{
    metric,
    protocol::{id, job},
};

/// Kinds of submission whose response times are measured separately.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Class {
    Job,
    Keyed,
    Idempotent,
}

impl Class {
    pub fn label(self) -> &'static str {
        match self {
            Class::Job => "job",
            Class::Keyed => "keyed",
            Class::Idempotent => "idempotent",
        }
    }
}

/// Why messages did not contribute to an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WasteCause {
    /// The attempt was refused.
    Refused,
    /// No reply arrived. The calls that revoke such attempts count as well.
    Lost,
    /// The execution had ended when the reply, or the cancel, arrived.
    Late,
    /// Another attempt had already answered the task.
    Unused,
}

/// Metrics of an entry.
pub struct Meter {
    pub registry: Registry,
    accounts: RefCell<metric::LabelSet>,
    response: HistogramVec,
    task: HistogramVec,
    not_run: IntCounterVec,
    failed: IntCounterVec,
    pub starts: IntCounter,
    wasted: [IntCounter; 4],
    pub queued: IntGauge,
    pub running: IntGauge,
    pub ejected: IntGauge,
    pub rules_version: IntGauge,
    pub confirmed_age_ms: IntGauge,
    pub answer_bytes: IntGauge,
}

impl Meter {
    pub fn new() -> Meter {
        let registry = Registry::new();
        let wasted = metric::counter(
            &registry,
            "briargauge_entry_wasted_messages_total",
            "Messages that did not help to form an answer.",
            &["cause"],
        );
        let gauge = |name: &str, help: &str| {
            let gauge = IntGauge::new(name, help).expect("metric names are valid");
            registry.register(Box::new(gauge.clone())).expect("each metric is registered once");
            gauge
        };
        let starts = IntCounter::new("briargauge_entry_starts_total", "Attempts sent to sidecars.")
            .expect("metric names are valid");
        registry.register(Box::new(starts.clone())).expect("each metric is registered once");
        Meter {
            accounts: RefCell::default(),
            response: metric::seconds(
                &registry,
                "briargauge_entry_response_seconds",
                "Time from the arrival of a submission to its answer.",
                &["team", "class"],
            ),
            task: metric::seconds(
                &registry,
                "briargauge_entry_task_seconds",
                "Time from sending an attempt to its reply.",
                &["team"],
            ),
            not_run: metric::counter(
                &registry,
                "briargauge_entry_not_run_total",
                "Submissions refused.",
                &["reason"],
            ),
            failed: metric::counter(
                &registry,
                "briargauge_entry_failed_total",
                "Submissions failed.",
                &["reason"],
            ),
            starts,
            wasted: ["refused", "lost", "late", "unused"].map(|c| wasted.with_label_values(&[c])),
            queued: gauge("briargauge_entry_queued_tasks", "Tasks waiting to be sent."),
            ejected: gauge("briargauge_entry_ejected", "Backend servers ejected for their health."),
            running: gauge("briargauge_entry_running", "Submissions in progress."),
            rules_version: gauge("briargauge_entry_rules_version", "Version of the rules held."),
            confirmed_age_ms: gauge(
                "briargauge_entry_rules_confirmed_age_ms",
                "Age of the last confirmation of the rules; -1 before the first.",
            ),
            answer_bytes: gauge("briargauge_entry_answer_bytes", "Bytes of answers in memory."),
            registry,
        }
    }

    pub fn response(&self, account: &id::Account, class: Class, seconds: f64) {
        let mut accounts = self.accounts.borrow_mut();
        let labels = [accounts.label(&account.0), class.label()];
        self.response.with_label_values(&labels).observe(seconds);
    }

    /// The histogram of an account's task times.
    pub fn task(&self, account: &id::Account) -> Histogram {
        self.task.with_label_values(&[self.accounts.borrow_mut().label(&account.0)])
    }

    pub fn not_run(&self, reason: job::Refusal) {
        self.not_run.with_label_values(&[reason.label()]).inc();
    }

    pub fn failed(&self, reason: job::Failure) {
        self.failed.with_label_values(&[reason.label()]).inc();
    }

    /// Counts messages that did not contribute to an answer. A call and its reply are two messages.
    pub fn wasted(&self, cause: WasteCause, messages: u64) {
        self.wasted[cause as usize].inc_by(messages);
    }
}

impl Default for Meter {
    fn default() -> Meter {
        Meter::new()
    }
}
