//! Admission of durable jobs. It bounds the memory that the jobs take at every control instance: the
//! leader decides before a job is proposed, since all instances apply what is committed.

use std::{
    cell::{Cell, RefCell},
    rc::Rc,
};

use indexmap::IndexMap;
use tokio::sync::Notify;

use crate::{
    budget,
    protocol::queue::{Id, Job},
    state::machine::queue::{self, Queues},
};

/// Decides which submissions are proposed.
#[derive(Debug)]
pub struct Admission {
    max_bytes: usize,
    pending: Rc<Pending>,
}

/// Submissions that are being proposed.
#[derive(Debug, Default)]
struct Pending {
    /// Their ids, and what is notified when they are stored or have failed.
    jobs: RefCell<IndexMap<Id, Rc<Notify>>>,
    bytes: Cell<usize>,
}

/// Whether a submission is proposed.
#[derive(Debug)]
pub enum Verdict {
    /// It is, and the guard counts it until it is stored or has failed.
    Admitted(Guard),
    /// A job with its id is stored.
    Stored,
    /// A job with its id is being proposed. The notice is given when that has ended.
    Pending(Rc<Notify>),
    /// There is no memory for it.
    Full,
}

/// Counts a submission as pending until dropped.
#[derive(Debug)]
pub struct Guard {
    pending: Rc<Pending>,
    id: Id,
    bytes: usize,
}

impl Admission {
    /// Jobs may take `max_bytes`.
    pub fn new(max_bytes: usize) -> Admission {
        Admission { max_bytes, pending: Rc::default() }
    }

    pub fn max_bytes(&self) -> usize {
        self.max_bytes
    }

    /// Decides on a submission. While it is proposed it counts twice: as it was received, and as it is
    /// applied.
    pub fn decide(&self, id: Id, job: &Job, queues: &Queues) -> Verdict {
        if queues.job(id).is_some() {
            return Verdict::Stored;
        }
        if let Some(ended) = self.pending.jobs.borrow().get(&id) {
            return Verdict::Pending(ended.clone());
        }
        let job_bytes = queue::memory_bytes(job);
        let used = queues.memory_bytes() + self.pending.bytes.get();
        if !budget::admits(self.max_bytes, used, job_bytes) {
            return Verdict::Full;
        }
        let bytes = 2 * job_bytes;
        self.pending.jobs.borrow_mut().insert(id, Rc::default());
        self.pending.bytes.set(self.pending.bytes.get() + bytes);
        Verdict::Admitted(Guard { pending: self.pending.clone(), id, bytes })
    }
}

impl Drop for Guard {
    fn drop(&mut self) {
        self.pending.bytes.set(self.pending.bytes.get() - self.bytes);
        if let Some(ended) = self.pending.jobs.borrow_mut().swap_remove(&self.id) {
            ended.notify_waiters();
        }
    }
}
