//! Metrics of the sidecar.

use std::{cell::RefCell, time::Duration};

use prometheus::{HistogramVec, IntCounterVec, IntGaugeVec, Opts, Registry};

use crate::{
    metric,
    protocol::wire::sidecar::{Load, NotStarted, RunResult},
};

/// Counters and histograms of one sidecar.
pub struct Meter {
    registry: Registry,
    starts: IntCounterVec,
    refusals: IntCounterVec,
    ends: IntCounterVec,
    run_by_account: HistogramVec,
    run_by_kind: HistogramVec,
    load: IntGaugeVec,
    syncs: IntCounterVec,
    /// Label values in use. Callers choose them, so their number is limited.
    accounts: RefCell<metric::LabelSet>,
    kinds: RefCell<metric::LabelSet>,
}

impl Meter {
    #[allow(clippy::new_without_default)]
    pub fn new() -> Meter {
        let registry = Registry::new();
        let counter = |name, help, labels: &[&str]| metric::counter(&registry, name, help, labels);
        let load =
            IntGaugeVec::new(Opts::new("briargauge_sidecar_load", "Slots and queue"), &["of"])
                .expect("metric names are valid");
        registry.register(Box::new(load.clone())).expect("each metric is registered once");
        Meter {
            starts: counter("briargauge_sidecar_starts_total", "Attempts given a slot", &["team"]),
            refusals: counter(
                "briargauge_sidecar_refusals_total",
                "Attempts not started",
                &["reason"],
            ),
            ends: counter("briargauge_sidecar_ends_total", "Started attempts ended", &["result"]),
            syncs: counter("briargauge_sidecar_syncs_total", "Calls to control", &["result"]),
            run_by_account: metric::seconds(
                &registry,
                "briargauge_sidecar_run_seconds",
                "Run time by team",
                &["team"],
            ),
            run_by_kind: metric::seconds(
                &registry,
                "briargauge_sidecar_kind_run_seconds",
                "Run time by kind of task",
                &["kind"],
            ),
            load,
            accounts: RefCell::default(),
            kinds: RefCell::default(),
            registry,
        }
    }

    /// Counts an attempt that was given a slot.
    pub fn started(&self, account: &str) {
        self.starts.with_label_values(&[self.accounts.borrow_mut().label(account)]).inc();
    }

    /// Counts an attempt that did not start.
    pub fn refused(&self, reason: NotStarted) {
        let reason = match reason {
            NotStarted::WrongIncarnation => "wrong_incarnation",
            NotStarted::NoLease => "no_lease",
            NotStarted::Fenced => "fenced",
            NotStarted::Draining => "draining",
            NotStarted::Revoked => "revoked",
            NotStarted::Expired => "expired",
            NotStarted::Full => "full",
            NotStarted::TooLarge => "too_large",
            NotStarted::Unreachable => "unreachable",
        };
        self.refusals.with_label_values(&[reason]).inc();
    }

    /// Counts an attempt that was given a slot and has ended, and records its run time. An attempt
    /// that did not reach the backend server is counted by [`Self::refused`] instead, although
    /// [`Self::started`] has counted it too.
    pub fn ended(&self, account: &str, kind: &str, result: &RunResult, ran: Duration) {
        let label = match result {
            RunResult::Done { .. } => "done",
            RunResult::Failed { .. } => "failed",
            RunResult::NotStarted { reason } => {
                self.refused(*reason);
                return;
            }
        };
        self.ends.with_label_values(&[label]).inc();
        let ran = ran.as_secs_f64();
        let account = self.accounts.borrow_mut().label(account);
        self.run_by_account.with_label_values(&[account]).observe(ran);
        let kind = self.kinds.borrow_mut().label(kind);
        self.run_by_kind.with_label_values(&[kind]).observe(ran);
    }

    pub fn set_load(&self, load: Load) {
        let set = |of, value: u16| self.load.with_label_values(&[of]).set(value.into());
        set("slots", load.slots);
        set("busy", load.busy);
        set("queued", load.queued);
    }

    /// Counts a report to control with its result.
    pub fn synced(&self, result: &str) {
        self.syncs.with_label_values(&[result]).inc();
    }

    /// All metrics in the Prometheus text format.
    pub fn render(&self) -> Vec<u8> {
        metric::render(&self.registry)
    }
}
