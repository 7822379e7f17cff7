//! Metrics of a control instance.

use prometheus::{IntCounterVec, IntGauge, Registry};

use crate::{
    metric,
    protocol::wire::control::{Admission, Refusal},
    state::machine,
};

pub struct Meter {
    registry: Registry,
    calls: IntCounterVec,
    admissions: IntCounterVec,
    refusals: IntCounterVec,
    servers: IntGauge,
    sessions: IntGauge,
    rules_version: IntGauge,
    keys: IntGauge,
    open_jobs: IntGauge,
    answer_bytes: IntGauge,
    in_flight: IntGauge,
    leader: IntGauge,
}

impl Default for Meter {
    fn default() -> Meter {
        let registry = Registry::new();
        let counter = |name, help, label| metric::counter(&registry, name, help, &[label]);
        let gauge = |name, help| {
            let gauge = IntGauge::new(name, help).expect("metric names are valid");
            registry.register(Box::new(gauge.clone())).expect("each metric is registered once");
            gauge
        };
        Meter {
            calls: counter("briargauge_control_calls_total", "Calls taken.", "call"),
            admissions: counter(
                "briargauge_control_admissions_total",
                "Admissions by result.",
                "result",
            ),
            refusals: counter(
                "briargauge_control_refusals_total",
                "Refused calls by reason.",
                "reason",
            ),
            servers: gauge("briargauge_control_members", "Backend servers that hold a lease."),
            sessions: gauge("briargauge_control_sessions", "Open entry sessions."),
            rules_version: gauge(
                "briargauge_control_rules_version",
                "Version of the rules applied here.",
            ),
            keys: gauge("briargauge_control_keys", "Keys kept."),
            open_jobs: gauge("briargauge_control_open_jobs", "Jobs without an outcome."),
            answer_bytes: gauge("briargauge_control_answer_bytes", "Bytes of the answers kept."),
            in_flight: gauge(
                "briargauge_control_proposals_in_flight",
                "Proposals not yet applied.",
            ),
            leader: gauge("briargauge_control_leader", "1 if this instance leads."),
            registry,
        }
    }
}

/// Decrements the gauge when dropped.
pub struct Guard<'a>(&'a IntGauge);

impl Drop for Guard<'_> {
    fn drop(&mut self) {
        self.0.dec();
    }
}

impl Meter {
    pub fn count_call(&self, call: &str) {
        self.calls.with_label_values(&[call]).inc();
    }

    pub fn count_refusal(&self, refusal: &Refusal) {
        let reason = match refusal {
            Refusal::NotLeader { .. } => "not_leader",
            Refusal::OtherCluster { .. } => "other_cluster",
            Refusal::NotInitialised => "not_initialised",
            Refusal::Stopping => "stopping",
            Refusal::Fenced => "fenced",
            Refusal::Storage { .. } => "storage",
            Refusal::Invalid { .. } => "invalid",
        };
        self.refusals.with_label_values(&[reason]).inc();
    }

    pub fn count_admission(&self, admission: &Admission) {
        let result = match admission {
            Admission::Admitted { .. } => "admitted",
            Admission::Running { .. } => "running",
            Admission::Finished { .. } => "finished",
            Admission::Conflict => "conflict",
            Admission::Expired => "expired",
            Admission::Unknown => "unknown",
        };
        self.admissions.with_label_values(&[result]).inc();
    }

    /// Counts a proposal as in flight until the guard is dropped.
    pub fn in_flight(&self) -> Guard<'_> {
        self.in_flight.inc();
        Guard(&self.in_flight)
    }

    /// Number of proposals that are not applied yet.
    pub fn proposals(&self) -> usize {
        self.in_flight.get().try_into().unwrap_or(0)
    }

    pub fn set_state(&self, state: &machine::State) {
        self.sessions.set(state.sessions().live.len() as i64);
        self.rules_version.set(state.rules().version as i64);
        self.keys.set(state.keys() as i64);
        self.open_jobs.set(state.open_jobs() as i64);
        self.answer_bytes.set(state.answer_bytes() as i64);
    }

    pub fn set_leader(&self, leading: bool, servers: usize) {
        self.leader.set(leading.into());
        self.servers.set(servers as i64);
    }

    pub fn render(&self) -> Vec<u8> {
        metric::render(&self.registry)
    }
}
