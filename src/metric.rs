//! Metrics in the Prometheus text format.

use std::{
    cell::RefCell,
    collections::HashSet,
    time::{Duration, Instant},
};

use bytes::Bytes;
use prometheus::{
    Encoder, HistogramOpts, HistogramVec, IntCounterVec, IntGauge, Opts, Registry, TextEncoder,
};
use tokio::time;

/// Maximum number of distinct values that each get their own label. Further values share the label
/// [`OTHER`].
pub const LABELS_MAX: usize = 1_000;
/// Label of all values after the first [`LABELS_MAX`] ones.
pub const OTHER: &str = "other";
/// Name and help text of the gauge of drained data centres, which several programs have.
pub const DRAINED_DATA_CENTRES: &str = "briargauge_drained_data_centres";
pub const DRAINED_DATA_CENTRES_HELP: &str =
    "Data centres that are drained, as this instance knows.";
/// Upper bounds of latency buckets, in seconds.
pub const SECONDS: [f64; 12] = [0.001, 0.005, 0.02, 0.05, 0.1, 0.2, 0.5, 1.0, 2.0, 5.0, 10.0, 30.0];

/// Set of label values (client accounts, kinds, queues). It is bounded, so that a caller cannot
/// exhaust memory with invented names.
#[derive(Debug, Default)]
pub struct LabelSet {
    known: HashSet<String>,
}

impl LabelSet {
    /// The label to use for `value`.
    pub fn label<'a>(&mut self, value: &'a str) -> &'a str {
        if self.known.contains(value) {
            return value;
        }
        if self.known.len() >= LABELS_MAX {
            return OTHER;
        }
        self.known.insert(value.to_owned());
        value
    }
}

/// Registers a histogram with buckets in seconds.
pub fn seconds(registry: &Registry, name: &str, help: &str, labels: &[&str]) -> HistogramVec {
    let opts = HistogramOpts::new(name, help).buckets(SECONDS.to_vec());
    let histogram = HistogramVec::new(opts, labels).expect("metric names are valid");
    registry.register(Box::new(histogram.clone())).expect("each metric is registered once");
    histogram
}

/// Registers a counter.
pub fn counter(registry: &Registry, name: &str, help: &str, labels: &[&str]) -> IntCounterVec {
    let counter =
        IntCounterVec::new(Opts::new(name, help), labels).expect("metric names are valid");
    registry.register(Box::new(counter.clone())).expect("each metric is registered once");
    counter
}

/// Registers a gauge.
pub fn gauge(registry: &Registry, name: &str, help: &str) -> IntGauge {
    let gauge = IntGauge::new(name, help).expect("metric names are valid");
    registry.register(Box::new(gauge.clone())).expect("each metric is registered once");
    gauge
}

/// Longest time for which requests share a text of metrics.
const CACHE_AGE_MAX: Duration = Duration::from_millis(100);

/// The text of all metrics of a process. Many requests at once share one text.
#[derive(Debug, Default)]
pub struct Cache {
    text: RefCell<Option<(Instant, Bytes)>>,
}

impl Cache {
    /// The text at `now`. `render` makes it unless there is one that is new enough.
    pub fn text(&self, now: Instant, render: impl FnOnce() -> Vec<u8>) -> Bytes {
        let mut text = self.text.borrow_mut();
        match &*text {
            Some((made, text)) if now.saturating_duration_since(*made) < CACHE_AGE_MAX => {
                text.clone()
            }
            _ => {
                let rendered = Bytes::from(render());
                *text = Some((now, rendered.clone()));
                rendered
            }
        }
    }
}

/// Most log lines in each [`LOG_WINDOW`].
const LOG_LINES_MAX: u32 = 10;
const LOG_WINDOW: Duration = Duration::from_secs(1);

/// Bounds the number of log lines of a kind of event.
#[derive(Debug, Default)]
pub struct BoundedLog {
    window: Option<time::Instant>,
    lines: u32,
    left_out: u64,
}

impl BoundedLog {
    /// The number of lines that were left out before this one, or `None` if it is left out too.
    pub fn line(&mut self, now: time::Instant) -> Option<u64> {
        if self.window.is_none_or(|began| now.saturating_duration_since(began) >= LOG_WINDOW) {
            (self.window, self.lines) = (Some(now), 0);
        }
        if self.lines == LOG_LINES_MAX {
            self.left_out += 1;
            return None;
        }
        self.lines += 1;
        Some(std::mem::take(&mut self.left_out))
    }
}

/// All metrics of `registry` as text.
pub fn render(registry: &Registry) -> Vec<u8> {
    let mut out = Vec::new();
    let encoded = TextEncoder::new().encode(&registry.gather(), &mut out);
    if let Err(e) = encoded {
        log::error!("event=metrics_failed error={e:?}");
    }
    out
}
