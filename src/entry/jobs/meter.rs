//! Metrics of the transient jobs that an entry runs.

use std::{cell::RefCell, time::Duration};

use prometheus::{HistogramVec, IntCounterVec, IntGauge, Registry};

use crate::{coordination::transient::JobOutcome, metric};

/// Counters and histograms by queue.
pub(super) struct Meter {
    registry: Registry,
    queues: RefCell<metric::LabelSet>,
    response: HistogramVec,
    jobs: IntCounterVec,
    drained_data_centres: IntGauge,
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
        Meter { registry, queues: RefCell::default(), response, jobs, drained_data_centres }
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

    pub fn render(&self) -> Vec<u8> {
        metric::render(&self.registry)
    }
}
