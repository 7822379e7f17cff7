//! Load generator for experiments: sends open-loop arrivals to entries, or directly to a backend
//! server as a baseline.

pub mod options;
pub mod report;
pub mod scrape;
pub mod send;
pub mod work;

use std::{cell::RefCell, rc::Rc, time::Duration};

use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64;
use tokio::time::{self, Instant};

use crate::{
    error::Result,
    load::{options::Options, report::Report},
};

/// Maximum number of submissions in flight. Arrivals above this limit are not sent and are counted
/// as skipped.
const IN_FLIGHT_MAX: usize = 20_000;
/// Time limit for the responses that are still missing after the last arrival.
const RESPONSES_LIMIT: Duration = Duration::from_secs(60);

/// Runs the experiment and returns its report.
pub async fn run(options: Options) -> Result<Report> {
    let before = scrape::totals(&options.entries).await?;
    let report = Rc::new(RefCell::new(Report::new(&options)));
    let sender = Rc::new(send::Sender::new(&options));
    let started = Instant::now();
    let mut tasks = Vec::new();
    for arrival in Arrivals::new(&options) {
        time::sleep_until(started + arrival.at).await;
        if sender.in_flight() >= IN_FLIGHT_MAX {
            report.borrow_mut().add_skipped();
            continue;
        }
        let (sender, report) = (sender.clone(), report.clone());
        let due = started + arrival.at;
        tasks.push(actix_rt::spawn(async move {
            let sample = sender.send(arrival, due).await;
            report.borrow_mut().add(sample);
        }));
    }
    let _ = time::timeout(RESPONSES_LIMIT, futures::future::join_all(tasks)).await;
    let elapsed = started.elapsed();
    let after = scrape::totals(&options.entries).await?;
    let mut report = report.borrow().clone();
    report.finish(elapsed, after - before, sender.in_flight());
    Ok(report)
}

/// One submission to be sent.
#[derive(Debug, Clone, PartialEq)]
pub struct Arrival {
    /// Time since the start of the experiment.
    pub at: Duration,
    pub number: u64,
    pub account: usize,
    /// Run time of each task on a backend server of speed 1, in ms.
    pub work_ms: Vec<u64>,
    /// Time from sending the submission to cancelling it, if it is cancelled.
    pub cancel_after: Option<Duration>,
}

/// Poisson arrivals. They depend only on the seed and the options.
#[derive(Debug)]
pub struct Arrivals {
    options: Options,
    random: Pcg64,
    /// Time of the last arrival, in seconds since the start of the experiment.
    at: f64,
    /// Number of arrivals so far.
    number: u64,
}

impl Arrivals {
    pub fn new(options: &Options) -> Arrivals {
        let random = Pcg64::seed_from_u64(options.seed);
        Arrivals { options: options.clone(), random, at: 0.0, number: 0 }
    }

    /// Submissions per second at `at` seconds. The burst covers a tenth of the experiment, from 40%
    /// to 50% of its length.
    fn rate(&self, at: f64) -> f64 {
        let options = &self.options;
        let total = options.seconds;
        let burst = at >= total * 0.4 && at < total * 0.5;
        options.rate() * if burst { options.burst } else { 1.0 }
    }
}

impl Iterator for Arrivals {
    type Item = Arrival;

    fn next(&mut self) -> Option<Arrival> {
        let draw: f64 = self.random.random_range(f64::EPSILON..1.0);
        self.at += -draw.ln() / self.rate(self.at);
        if self.at > self.options.seconds {
            return None;
        }
        self.number += 1;
        let account = if self.random.random_bool(self.options.greedy) {
            0
        } else {
            self.random.random_range(0..self.options.accounts)
        };
        let work_ms =
            (0..self.options.tasks).map(|_| self.options.work.draw(&mut self.random)).collect();
        let cancel = self.random.random_bool(self.options.cancel);
        let cancel_after = cancel.then(|| {
            let ms = self.random.random_range(0..self.options.cancel_within_ms);
            Duration::from_millis(ms)
        });
        Some(Arrival {
            at: Duration::from_secs_f64(self.at),
            number: self.number,
            account,
            work_ms,
            cancel_after,
        })
    }
}
