//! Metrics of the group of control instances, as one instance sees it.

use std::cell::RefCell;

use prometheus::{IntCounter, IntCounterVec, IntGauge, Registry};
use tokio::time::Instant;

use crate::{
    control::replica::{Introductions, Replica},
    coordination::consensus::Change,
    metric::{self, BoundedLog},
    protocol::{
        queue::Id,
        wire::{
            control::{Role, Status},
            queue::Drains,
        },
    },
};

/// Value of a gauge that only a leader knows, at another instance.
const UNKNOWN: i64 = -1;

pub(super) struct Meter {
    registry: Registry,
    leader: IntGauge,
    voter: IntGauge,
    term: IntGauge,
    members: IntGauge,
    voters: IntGauge,
    learners: IntGauge,
    applicants: IntGauge,
    unresponsive: IntGauge,
    oldest_applicant_age_ms: IntGauge,
    outside_ms: IntGauge,
    drained_data_centres: IntGauge,
    heard_while_leading: IntCounter,
    heard_while_following: IntCounter,
    changes: IntCounterVec,
    job_bytes: IntGauge,
    job_bytes_max: IntGauge,
    jobs_refused: IntCounterVec,
    refusals: RefCell<BoundedLog>,
}

impl Meter {
    pub fn new() -> Meter {
        let registry = Registry::new();
        let gauge = |name: &str, help: &str| metric::gauge(&registry, name, help);
        let heard = metric::counter(
            &registry,
            "briargauge_control_introductions_total",
            "Introductions of other instances heard, by whether this instance led.",
            &["led"],
        );
        Meter {
            leader: gauge("briargauge_control_leader", "1 if this instance leads."),
            voter: gauge("briargauge_control_voter", "1 if this instance is a voter."),
            term: gauge("briargauge_control_term", "Term that this instance knows."),
            members: gauge(
                "briargauge_control_group_members",
                "Members of the group by this instance's log, learners included.",
            ),
            voters: gauge("briargauge_control_group_voters", "Voters by this instance's log."),
            learners: gauge(
                "briargauge_control_group_learners",
                "Learners by this instance's log.",
            ),
            applicants: gauge(
                "briargauge_control_group_applicants",
                "Instances outside the group that the leader knows; -1 unless this one leads.",
            ),
            unresponsive: gauge(
                "briargauge_control_group_unresponsive",
                "Members that the leader takes for unresponsive; -1 unless this one leads.",
            ),
            oldest_applicant_age_ms: gauge(
                "briargauge_control_oldest_applicant_age_ms",
                "Longest time since the first introduction of an applicant; -1 without one, and \
                 unless this instance leads.",
            ),
            outside_ms: gauge(
                "briargauge_control_outside_ms",
                "Time that this instance has had no leader or has not been a member; 0 if it has \
                 one and is.",
            ),
            drained_data_centres: gauge(
                metric::DRAINED_DATA_CENTRES,
                metric::DRAINED_DATA_CENTRES_HELP,
            ),
            heard_while_leading: heard.with_label_values(&["true"]),
            heard_while_following: heard.with_label_values(&["false"]),
            job_bytes: gauge(
                "briargauge_control_job_bytes",
                "Memory of the jobs that are stored, as this instance has applied them.",
            ),
            job_bytes_max: gauge(
                "briargauge_control_job_bytes_max",
                "Memory for jobs above which this instance, as the leader, accepts none.",
            ),
            jobs_refused: metric::counter(
                &registry,
                "briargauge_control_jobs_refused_total",
                "Jobs that this instance has refused as the leader.",
                &["reason"],
            ),
            refusals: RefCell::default(),
            changes: metric::counter(
                &registry,
                "briargauge_control_voter_changes_total",
                "Changes of the members that this instance began as the leader, and those of them \
                 that were refused.",
                &["change", "step"],
            ),
            registry,
        }
    }

    pub fn change_begun(&self, change: &Change) {
        self.changes.with_label_values(&[label(change), "begun"]).inc();
    }

    pub fn change_refused(&self, change: &Change) {
        self.changes.with_label_values(&[label(change), "refused"]).inc();
    }

    /// Records that a job was refused for lack of memory.
    pub fn job_refused(&self, id: Id) {
        self.jobs_refused.with_label_values(&["memory"]).inc();
        if let Some(left_out) = self.refusals.borrow_mut().line(Instant::now()) {
            log::warn!("event=submit_refused job={id} reason=memory left_out={left_out}");
        }
    }

    /// The metrics in the Prometheus text format. Jobs may take `job_bytes_max`.
    pub fn render(&self, replica: &Replica, drains: &Drains, job_bytes_max: usize) -> Vec<u8> {
        self.drained_data_centres.set(drains.data_centres.len() as i64);
        self.job_bytes.set(replica.state().queues().memory_bytes() as i64);
        self.job_bytes_max.set(job_bytes_max as i64);
        let Status { role, term, node, disk, members, .. } = replica.status();
        let leads = role == Role::Leader;
        let voters = members.iter().filter(|member| member.votes).count();
        let votes = members.iter().any(|m| (m.node, m.disk, m.votes) == (node, disk, true));
        self.leader.set(leads.into());
        self.voter.set(votes.into());
        self.term.set(term as i64);
        self.members.set(members.len() as i64);
        self.voters.set(voters as i64);
        self.learners.set((members.len() - voters) as i64);
        let group = replica.group();
        let by_leader = |value: usize| if leads { value as i64 } else { UNKNOWN };
        self.applicants.set(by_leader(group.applicants.len()));
        self.unresponsive.set(by_leader(group.unresponsive()));
        let oldest_ms = group.applicants.iter().map(|applicant| applicant.waited_ms).max();
        self.oldest_applicant_age_ms.set(oldest_ms.map_or(UNKNOWN, |ms| ms as i64));
        let Introductions { outside_ms, while_leading, while_following } = replica.introductions();
        self.outside_ms.set(outside_ms.unwrap_or(0) as i64);
        raise(&self.heard_while_leading, while_leading);
        raise(&self.heard_while_following, while_following);
        metric::render(&self.registry)
    }
}

/// Raises a counter to `count`.
fn raise(counter: &IntCounter, count: u64) {
    counter.inc_by(count.saturating_sub(counter.get()));
}

fn label(change: &Change) -> &'static str {
    match change {
        Change::Add(_) => "add",
        Change::Remove(_) => "remove",
    }
}
