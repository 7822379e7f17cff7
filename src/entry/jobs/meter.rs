//! Metrics of the transient jobs that an entry runs.

use std::{cell::RefCell, net::SocketAddr, time::Duration};

use prometheus::{HistogramVec, IntCounterVec, IntGauge, Registry};
use tokio::time::Instant;

use crate::{
    budget::Budget,
    coordination::transient::JobOutcome,
    metric::{self, BoundedLog},
};

/// Counters and histograms by queue.
pub(super) struct Meter {
    registry: Registry,
    queues: RefCell<metric::LabelSet>,
    response: HistogramVec,
    jobs: IntCounterVec,
    drained_data_centres: IntGauge,
    job_bytes: IntGauge,
    job_bytes_max: IntGauge,
    refused: IntCounterVec,
    refusals: RefCell<BoundedLog>,
}

impl Meter {
    pub fn new() -> Meter {
        let registry = Registry::new();
        let response = metric::seconds(
            &registry,
            "briargauge_queue_response_seconds",
            "Time from the arrival of a job to its end.",
            &["queue"],
        );
        let jobs = metric::counter(
            &registry,
            "briargauge_queue_jobs_total",
            "Jobs by how they ended.",
            &["queue", "outcome"],
        );
        let drained_data_centres = metric::gauge(
            &registry,
            metric::DRAINED_DATA_CENTRES,
            metric::DRAINED_DATA_CENTRES_HELP,
        );
        let gauge = |name: &str, help: &str| metric::gauge(&registry, name, help);
        Meter {
            queues: RefCell::default(),
            response,
            jobs,
            drained_data_centres,
            job_bytes: gauge(
                "briargauge_entry_job_bytes",
                "Memory reserved for the jobs that are held here.",
            ),
            job_bytes_max: gauge(
                "briargauge_entry_job_bytes_max",
                "Memory for jobs above which none is taken.",
            ),
            refused: metric::counter(
                &registry,
                "briargauge_entry_jobs_refused_total",
                "Jobs that were refused before anything of them was done.",
                &["reason"],
            ),
            refusals: RefCell::default(),
            registry,
        }
    }

    /// Records the outcome of a job and its response time.
    pub fn ended(&self, queue: &str, outcome: JobOutcome, took: Duration) {
        let mut queues = self.queues.borrow_mut();
        let queue = queues.label(queue);
        let label = match outcome {
            JobOutcome::Completed => "completed",
            JobOutcome::Failed => "failed",
            JobOutcome::Canceled => "canceled",
            JobOutcome::NotRun => "not_run",
        };
        self.response.with_label_values(&[queue]).observe(took.as_secs_f64());
        self.jobs.with_label_values(&[queue, label]).inc();
    }

    pub fn set_drained(&self, data_centres: usize) {
        self.drained_data_centres.set(data_centres as i64);
    }

    /// Counts a job that was refused for lack of memory.
    pub fn refused(&self) {
        self.refused.with_label_values(&["memory"]).inc();
    }

    /// Logs that a job was refused for lack of memory, here or at the control instances.
    pub fn log_refusal(&self, peer: Option<SocketAddr>, path: &str) {
        let Some(left_out) = self.refusals.borrow_mut().line(Instant::now()) else { return };
        let peer = peer.map_or_else(|| "none".to_owned(), |peer| peer.to_string());
        log::warn!("event=refused peer={peer} path={path:?} reason=memory left_out={left_out}");
    }

    pub fn render(&self, memory: &Budget) -> Vec<u8> {
        self.job_bytes.set(memory.used() as i64);
        self.job_bytes_max.set(memory.max() as i64);
        metric::render(&self.registry)
    }
}
