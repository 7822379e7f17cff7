//! Answers that are too large for the control log and are kept in memory for resubmissions.

use std::{collections::VecDeque, rc::Rc, time::Duration};

use indexmap::IndexMap;
use sha2::{Digest, Sha256};
use tokio::time::Instant;

use crate::{budget::Reservation, protocol::id};

/// Answers of completed jobs, bounded by total size and by age. They are evicted in the order in
/// which their jobs were first inserted.
#[derive(Debug)]
pub struct RetainedAnswers {
    max_bytes: usize,
    max_age: Duration,
    bytes: usize,
    answers: IndexMap<id::Job, Rc<Answers>>,
    /// Time and job of each insertion, oldest first.
    order: VecDeque<(Instant, id::Job)>,
}

/// The answers of one job.
#[derive(Debug)]
pub struct Answers {
    /// One JSON text for each task, in the order of the tasks.
    pub texts: Vec<String>,
    /// Memory that the texts take.
    pub reservation: Reservation,
}

impl Answers {
    pub fn bytes(&self) -> usize {
        self.texts.iter().map(String::len).sum()
    }
}

impl RetainedAnswers {
    pub fn new(max_bytes: usize, max_age: Duration) -> RetainedAnswers {
        RetainedAnswers {
            max_bytes,
            max_age,
            bytes: 0,
            answers: IndexMap::new(),
            order: VecDeque::new(),
        }
    }

    pub fn insert(&mut self, job: id::Job, answers: Rc<Answers>) {
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

    /// Evicts the oldest answers until the rest is within the bounds of size and age.
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

/// SHA-256 of a job's answers. The control log stores it in place of answers that are too large.
pub fn digest(texts: &[String]) -> [u8; 32] {
    let mut hash = Sha256::new();
    for text in texts {
        hash.update((text.len() as u64).to_be_bytes());
        hash.update(text);
    }
    hash.finalize().into()
}
