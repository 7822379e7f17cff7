//! Sends submissions and classifies their responses.

use std::{cell::Cell, net::SocketAddr, time::Duration};

use actix_http::Method;
use serde_json::{json, value::RawValue};
use tokio::time::{self, Instant};

use crate::{
    load::{
        Arrival,
        options::{Class, Options},
        work,
    },
    protocol::{announce, id, job},
    util,
};

/// Outcome of a submission, as its caller sees it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Outcome {
    Completed,
    Failed,
    NotRun,
    /// Any other result: no valid response, `Running`, `Unknown`, or answers that do not match the
    /// tasks. A direct call without a successful response counts as `Failed` instead.
    Wrong,
}

/// Measurement of one submission.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Sample {
    pub account: usize,
    pub outcome: Outcome,
    pub tasks: usize,
    /// Time from the arrival's due time to the end of the response.
    pub response_time: Duration,
    /// Shortest possible time, see [`work::ideal_ms`].
    pub ideal: Duration,
    /// Whether the load generator sent a cancellation some time after the submission. The
    /// submission may have ended before that.
    pub cancel_planned: bool,
}

/// Sends submissions to the entries in turn, or directly to a backend server.
pub struct Sender {
    options: Options,
    client: awc::Client,
    /// Included in each key, so that experiments with the same seed use different keys.
    nonce: u64,
    in_flight: Cell<usize>,
}

impl Sender {
    pub fn new(options: &Options) -> Sender {
        let connector = awc::Connector::new().limit(0).timeout(Duration::from_secs(5));
        let client = awc::Client::builder().connector(connector).disable_timeout().finish();
        let nonce = rand::random();
        Sender { options: options.clone(), client, nonce, in_flight: Cell::new(0) }
    }

    pub fn in_flight(&self) -> usize {
        self.in_flight.get()
    }

    /// Sends a submission that is due at `due`, waits for the response and measures it.
    pub async fn send(&self, arrival: Arrival, due: Instant) -> Sample {
        self.in_flight.set(self.in_flight.get() + 1);
        let outcome = self.outcome(&arrival).await;
        let response_time = due.elapsed();
        self.in_flight.set(self.in_flight.get() - 1);
        let Options { slots, speed, .. } = self.options;
        let ideal_ms = work::ideal_ms(&arrival.work_ms, slots, speed);
        Sample {
            account: arrival.account,
            outcome,
            tasks: arrival.work_ms.len(),
            response_time,
            ideal: Duration::from_secs_f64(ideal_ms / 1_000.0),
            cancel_planned: arrival.cancel_after.is_some(),
        }
    }

    async fn outcome(&self, arrival: &Arrival) -> Outcome {
        let Some(entry) = self.entry(arrival) else {
            return self.run_directly(arrival).await;
        };
        let key = format!("load-{:x}-{}", self.nonce, arrival.number);
        let (path, body) = self.body(arrival, &key);
        let Some(cancel_after) = arrival.cancel_after else {
            return self.post(entry, path, body, arrival).await;
        };
        let cancel = async {
            time::sleep(cancel_after).await;
            let body = job::Cancel { account: account(arrival.account), key: key.clone() };
            let body = serde_json::to_vec(&body).expect("a cancel has string keys");
            let _ = self.request(entry, "/v1/jobs/cancel", body).await;
        };
        let (outcome, ()) = tokio::join!(self.post(entry, path, body, arrival), cancel);
        outcome
    }

    /// The entry for an arrival; `None` if a backend server is called directly.
    fn entry(&self, arrival: &Arrival) -> Option<SocketAddr> {
        let entries = &self.options.entries;
        (!entries.is_empty()).then(|| entries[arrival.number as usize % entries.len()])
    }

    /// Path and body of a submission.
    fn body(&self, arrival: &Arrival, key: &str) -> (&'static str, Vec<u8>) {
        let tasks: Vec<job::Task> =
            arrival.work_ms.iter().enumerate().map(|(n, ms)| self.task(arrival, n, *ms)).collect();
        let (account, deadline_ms) = (account(arrival.account), Some(self.options.deadline_ms));
        let created_at_ms = util::unix_ms();
        let encoded = match self.options.class {
            Class::Job => {
                let key = key.to_owned();
                let job = job::Submission { account, key, created_at_ms, deadline_ms, tasks };
                serde_json::to_vec(&job)
            }
            Class::Keyed | Class::Idempotent => {
                let keyed = self.options.class == Class::Keyed;
                let request = job::Request {
                    account,
                    idempotent: !keyed,
                    key: keyed.then(|| key.to_owned()),
                    created_at_ms: keyed.then_some(created_at_ms),
                    deadline_ms,
                    task: tasks.into_iter().next().expect("a request has one task"),
                };
                serde_json::to_vec(&request)
            }
        };
        let path = if self.options.class == Class::Job { "/v1/jobs" } else { "/v1/requests" };
        (path, encoded.expect("a submission has string keys"))
    }

    fn task(&self, arrival: &Arrival, index: usize, work_ms: u64) -> job::Task {
        let declared_ms = (work_ms as f64 * self.options.declared_factor).round() as u32;
        job::Task {
            kind: "load".into(),
            input: input(arrival, index, work_ms),
            declared_ms: (self.options.declared_factor > 0.0).then_some(declared_ms),
            needs: None,
        }
    }

    /// Sends a submission and classifies the response.
    async fn post(
        &self,
        entry: SocketAddr,
        path: &'static str,
        body: Vec<u8>,
        arrival: &Arrival,
    ) -> Outcome {
        match self.request(entry, path, body).await {
            Some(job::Response::Completed { answers }) if matches(&answers, arrival) => {
                Outcome::Completed
            }
            Some(job::Response::Failed { .. }) => Outcome::Failed,
            Some(job::Response::NotRun { .. }) => Outcome::NotRun,
            Some(
                job::Response::Completed { .. }
                | job::Response::Running { .. }
                | job::Response::Unknown { .. },
            )
            | None => Outcome::Wrong,
        }
    }

    /// Sends a request; `None` if there is no valid response.
    async fn request(&self, entry: SocketAddr, path: &str, body: Vec<u8>) -> Option<job::Response> {
        let request = self
            .client
            .request(Method::POST, format!("http://{entry}{path}"))
            .insert_header(("content-type", "application/json"));
        let mut response = request.send_body(body).await.ok()?;
        let body = response.body().limit(BODY_MAX_BYTES).await.ok()?;
        serde_json::from_slice(&body).ok()
    }

    /// Sends the tasks directly to the backend server, all at once.
    async fn run_directly(&self, arrival: &Arrival) -> Outcome {
        let Some(backend) = self.options.direct else { return Outcome::Wrong };
        let runs = arrival.work_ms.iter().enumerate().map(|(index, work_ms)| {
            let run = announce::Run {
                account: account(arrival.account).0,
                kind: "load".into(),
                input: input(arrival, index, *work_ms),
            };
            let attempt = format!("{:x}-{}-{index}-0", self.nonce, arrival.number);
            let request = self
                .client
                .post(format!("http://{backend}/run"))
                .insert_header((announce::ATTEMPT_HEADER, attempt));
            async move {
                let mut response = request.send_json(&run).await.ok()?;
                response.body().await.ok().filter(|_| response.status().is_success())
            }
        });
        let answers = futures::future::join_all(runs).await;
        if answers.iter().all(Option::is_some) { Outcome::Completed } else { Outcome::Failed }
    }
}

/// Largest response, in bytes.
const BODY_MAX_BYTES: usize = 64 * 1024 * 1024;

fn account(number: usize) -> id::Account {
    id::Account(format!("team-{number}"))
}

fn input(arrival: &Arrival, index: usize, work_ms: u64) -> Box<RawValue> {
    let input = json!({"work_ms": work_ms, "tag": tag(arrival, index)});
    serde_json::value::to_raw_value(&input).expect("an input has string keys")
}

/// Identifies a task within the experiment. Its answer repeats the input, and with it the tag.
fn tag(arrival: &Arrival, index: usize) -> String {
    format!("{}/{index}", arrival.number)
}

/// Whether there is one answer for each task and each has the tag of its task.
fn matches(answers: &[Box<RawValue>], arrival: &Arrival) -> bool {
    answers.len() == arrival.work_ms.len()
        && answers
            .iter()
            .enumerate()
            .all(|(index, answer)| answer.get().contains(&format!("\"{}\"", tag(arrival, index))))
}
