//! Histograms and totals of an experiment, printed as key=value lines.

use std::{fmt, time::Duration};

use hdrhistogram::Histogram;
use indexmap::IndexMap;

use crate::load::{
    options::Options,
    scrape::Totals,
    send::{Outcome, Sample},
};

/// Longest response time that a histogram records, in µs. Longer ones are recorded as this one.
const RESPONSE_MAX_US: u64 = 3_600_000_000;

/// Results of an experiment.
#[derive(Debug, Clone)]
pub struct Report {
    scenario: String,
    policy: String,
    class: &'static str,
    load: f64,
    /// Response times of completed submissions, in µs, by client account.
    accounts: IndexMap<usize, Histogram<u64>>,
    outcomes: IndexMap<Outcome, u64>,
    /// Sum over completed submissions of response time divided by ideal time.
    ratio_sum: f64,
    completed_tasks: usize,
    skipped: u64,
    unanswered: usize,
    elapsed: Duration,
    totals: Totals,
}

impl Report {
    pub fn new(options: &Options) -> Report {
        Report {
            scenario: options.scenario.clone(),
            policy: options.policy.clone(),
            class: options.class.name(),
            load: options.load,
            accounts: IndexMap::new(),
            outcomes: IndexMap::new(),
            ratio_sum: 0.0,
            completed_tasks: 0,
            skipped: 0,
            unanswered: 0,
            elapsed: Duration::ZERO,
            totals: Totals::default(),
        }
    }

    /// Adds the measurement of a submission. Times count only if it completed.
    pub fn add(&mut self, sample: Sample) {
        *self.outcomes.entry(sample.outcome).or_default() += 1;
        if sample.outcome != Outcome::Completed {
            return;
        }
        let histogram = self.accounts.entry(sample.account).or_insert_with(histogram);
        histogram.saturating_record(micros(sample.response_time));
        self.completed_tasks += sample.tasks;
        self.ratio_sum += sample.response_time.as_secs_f64() / sample.ideal.as_secs_f64().max(1e-3);
    }

    /// Counts an arrival that was not sent because too many were in flight.
    pub fn add_skipped(&mut self) {
        self.skipped += 1;
    }

    /// Sets the values that are known only after the experiment.
    pub fn finish(&mut self, elapsed: Duration, totals: Totals, unanswered: usize) {
        self.elapsed = elapsed;
        self.totals = totals;
        self.unanswered = unanswered;
    }

    /// Number of submissions with the given outcome.
    pub fn count(&self, outcome: Outcome) -> u64 {
        self.outcomes.get(&outcome).copied().unwrap_or(0)
    }

    /// Response times of completed submissions of all client accounts.
    fn all_accounts(&self) -> Histogram<u64> {
        let mut all = histogram();
        for histogram in self.accounts.values() {
            all.add(histogram).expect("histograms have the same bounds");
        }
        all
    }
}

fn histogram() -> Histogram<u64> {
    Histogram::new_with_max(RESPONSE_MAX_US, 3).expect("the bounds are valid")
}

fn micros(duration: Duration) -> u64 {
    duration.as_micros().try_into().unwrap_or(u64::MAX)
}

fn ms(us: u64) -> f64 {
    us as f64 / 1_000.0
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let head = format!(
            "scenario={} load={:.2} policy={} class={}",
            self.scenario, self.load, self.policy, self.class
        );
        let completed = self.count(Outcome::Completed);
        let all = self.all_accounts();
        writeln!(
            f,
            "{head} measure=ends completed={completed} failed={} not_run={} wrong={} \
             skipped={} unanswered={}",
            self.count(Outcome::Failed),
            self.count(Outcome::NotRun),
            self.count(Outcome::Wrong),
            self.skipped,
            self.unanswered
        )?;
        let ratio = self.ratio_sum / completed.max(1) as f64;
        writeln!(
            f,
            "{head} measure=response mean_over_ideal={ratio:.3} p50_ms={:.3} p99_ms={:.3} \
             max_ms={:.3}",
            ms(all.value_at_quantile(0.5)),
            ms(all.value_at_quantile(0.99)),
            ms(all.max())
        )?;
        let starts = self.totals.starts;
        writeln!(
            f,
            "{head} measure=wasted messages={} starts={starts} per_start={:.4}",
            self.totals.wasted,
            self.totals.wasted / starts.max(1.0)
        )?;
        writeln!(
            f,
            "{head} measure=goodput tasks_per_s={:.1}",
            self.completed_tasks as f64 / self.elapsed.as_secs_f64().max(1e-3)
        )?;
        for (account, histogram) in &self.accounts {
            writeln!(
                f,
                "{head} measure=team team=team-{account} completed={} p50_ms={:.3} p99_ms={:.3}",
                histogram.len(),
                ms(histogram.value_at_quantile(0.5)),
                ms(histogram.value_at_quantile(0.99))
            )?;
        }
        Ok(())
    }
}
