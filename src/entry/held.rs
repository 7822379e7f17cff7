//! Answers that are too large for the control log, kept for resubmissions.

use std::{collections::VecDeque, rc::Rc, time::Duration};

use indexmap::IndexMap;
use sha2::{Digest, Sha256};
use tokio::time::Instant;

use crate::{entry::budget::Hold, protocol::id};

/// Answers of ended jobs, bounded in bytes and time; the oldest go first.
#[derive(Debug)]
pub struct Held {
    max_bytes: usize,
    max_age: Duration,
    bytes: usize,
    answers: IndexMap<id::Job, Rc<Answers>>,
    order: VecDeque<(Instant, id::Job)>,
}

/// The answers of one job.
#[derive(Debug)]
pub struct Answers {
    /// JSON texts in the order of the tasks.
    pub texts: Vec<String>,
    pub hold: Hold,
}

impl Answers {
    pub fn bytes(&self) -> usize {
        self.texts.iter().map(String::len).sum()
    }
}

impl Held {
    pub fn new(max_bytes: usize, max_age: Duration) -> Held {
        Held { max_bytes, max_age, bytes: 0, answers: IndexMap::new(), order: VecDeque::new() }
    }

    pub fn put(&mut self, job: id::Job, answers: Rc<Answers>) {
        self.bytes += answers.bytes();
        self.order.push_back((Instant::now(), job));
        if let Some(old) = self.answers.insert(job, answers) {
            self.bytes -= old.bytes();
        }
        self.trim();
    }

    pub fn get(&mut self, job: id::Job) -> Option<Rc<Answers>> {
        self.trim();
        self.answers.get(&job).cloned()
    }

    /// Drops answers that are too old or too many.
    pub fn trim(&mut self) {
        while let Some((at, job)) = self.order.front().copied() {
            if self.bytes <= self.max_bytes && at.elapsed() <= self.max_age {
                break;
            }
            self.order.pop_front();
            if let Some(old) = self.answers.swap_remove(&job) {
                self.bytes -= old.bytes();
            }
        }
    }
}

/// Digest of a job's answers, by which the log names answers that it does not hold.
pub fn digest(texts: &[String]) -> [u8; 32] {
    let mut hash = Sha256::new();
    for text in texts {
        hash.update((text.len() as u64).to_be_bytes());
        hash.update(text);
    }
    hash.finalize().into()
}
