//! Registrations of sidecars with the leader: generations, leases, and commands that are not yet
//! acknowledged.
//!
//! A report says which process of a sidecar has sent it, but not when. One of another process than the
//! registered one may be of a new process, or a delayed one of an earlier process. The leader answers
//! it with a generation, and the process registers with a report that carries this generation, which
//! only a process can send that was running when the leader answered.

use std::{cell::Cell, collections::BTreeSet, net::SocketAddr, rc::Rc};

use tokio::sync::Notify;

use crate::{
    coordination::schedule::Key,
    protocol::wire::queue::{Backend, Batch, Report, ServerId},
};

/// Time after which a batch of commands is sent again unless a report has acknowledged it, in ms.
const RESEND_AFTER_MS: u64 = 400;

/// A sidecar as the leader knows it.
#[derive(Debug)]
pub struct Sidecar {
    pub incarnation: u64,
    /// How often the process has dropped the attempts at a backend server.
    pub losses: u64,
    /// Address at which entries reach the sidecar.
    pub addr: SocketAddr,
    /// Fencing generation of the registration.
    pub generation: u64,
    /// Whether the attempts that run at the server have been reported under `generation`.
    pub synced: bool,
    /// The backend server, with its key in the scheduler.
    pub server: Option<(ServerId, Key)>,
    /// Latest end of a lease of the sidecar, on the leader's clock. The lease of one that is not
    /// synced may end earlier.
    pub lease_until_ms: u64,
    /// When all attempts that an earlier process of the sidecar started have certainly ended. Set
    /// only while the present process does not know its backend server.
    pub earlier_attempts_ended_ms: Option<u64>,
    /// Wakes the reports that wait for commands.
    pub wake: Rc<Notify>,
    /// Number of reports received.
    pub report_count: Rc<Cell<u64>>,
    /// Number of the newest report of the present incarnation.
    newest_report: u64,
    /// The process of the sidecar that the leader has answered last among those that have not
    /// registered since, and the generation in the answer.
    candidate: Option<(u64, u64)>,
    /// Unacknowledged batches, and when each was last sent; 0 if never.
    batches: Vec<(Batch, u64)>,
    /// Number of the last batch.
    last_batch: u64,
    completions: Completions,
}

/// Tracks which completions of a server may be acknowledged.
#[derive(Debug, Default)]
struct Completions {
    /// Highest number received.
    last: u64,
    /// Numbers received and not yet stored.
    storing: BTreeSet<u64>,
}

impl Sidecar {
    pub fn new(report: &Report, generation: u64) -> Sidecar {
        Sidecar {
            incarnation: report.incarnation,
            losses: report.losses,
            addr: report.addr,
            generation,
            synced: false,
            server: None,
            lease_until_ms: 0,
            earlier_attempts_ended_ms: None,
            wake: Rc::default(),
            report_count: Rc::default(),
            newest_report: 0,
            candidate: None,
            batches: Vec::new(),
            last_batch: 0,
            completions: Completions::default(),
        }
    }

    /// Starts a new registration under a higher generation.
    pub fn reset(&mut self, report: &Report, generation: u64) {
        if self.incarnation != report.incarnation {
            self.newest_report = 0;
        }
        self.candidate = None;
        self.incarnation = report.incarnation;
        self.losses = report.losses;
        self.addr = report.addr;
        self.generation = generation;
        self.synced = false;
        self.batches.clear();
        self.last_batch = 0;
    }

    /// Whether a newer report of the same process was received before.
    pub fn is_outdated(&self, report: &Report) -> bool {
        self.incarnation == report.incarnation && report.number < self.newest_report
    }

    /// Whether another process of the sidecar has sent the report, and has not shown that it runs.
    pub fn is_unproven(&self, report: &Report) -> bool {
        let proven = self.candidate == Some((report.incarnation, report.generation));
        self.incarnation != report.incarnation && !proven
    }

    /// The generation that was sent to the process `incarnation`, if it is the candidate.
    pub fn generation_of_candidate(&self, incarnation: u64) -> Option<u64> {
        self.candidate.filter(|(process, _)| *process == incarnation).map(|(_, sent)| sent)
    }

    /// Records that the process `incarnation` is sent a generation.
    pub fn set_candidate(&mut self, incarnation: u64, generation: u64) {
        self.candidate = Some((incarnation, generation));
    }

    pub fn record_report(&mut self, report: &Report) {
        self.newest_report = self.newest_report.max(report.number);
    }

    pub fn server_id(&self) -> Option<&ServerId> {
        self.server.as_ref().map(|(id, _)| id)
    }

    /// Forgets the completions of an earlier server: each server numbers its own.
    pub fn reset_completions(&mut self) {
        self.completions = Completions::default();
    }

    /// Whether a report belongs to the present incarnation and server, and the server was not lost
    /// since the registration. A report of a sidecar that does not know its server belongs to any.
    pub fn matches(&self, report: &Report) -> bool {
        let server = self.server.as_ref().map(|(id, _)| id);
        let may_be_same_server = match &report.backend {
            Backend::Unknown => true,
            Backend::Lost => server.is_none(),
            Backend::Present(present) => server == Some(&present.id),
        };
        self.incarnation == report.incarnation && report.losses <= self.losses && may_be_same_server
    }

    /// Records that a completion is being stored. Returns false if it was received before.
    pub fn begin_storing(&mut self, number: u64) -> bool {
        let new = number > self.completions.last;
        if new {
            self.completions.last = number;
            self.completions.storing.insert(number);
        }
        new
    }

    /// Records that a completion is stored or need not be.
    pub fn mark_stored(&mut self, number: u64) {
        self.completions.storing.remove(&number);
    }

    /// Number up to which completions may be acknowledged.
    pub fn completions_stored(&self) -> u64 {
        self.completions.storing.first().map_or(self.completions.last, |first| first - 1)
    }

    /// Drops the batches up to number `batch`, which the sidecar has received.
    pub fn acknowledge_batches(&mut self, batch: u64) {
        self.batches.retain(|(sent, _)| sent.number > batch);
    }

    /// Numbers a batch and queues it for sending.
    pub fn push(&mut self, mut batch: Batch) {
        self.last_batch += 1;
        batch.number = self.last_batch;
        self.batches.push((batch, 0));
    }

    /// Marks the batches that are due as sent and returns them: new ones, and those that may have
    /// been lost.
    pub fn take_due(&mut self, now_ms: u64) -> Vec<Batch> {
        let mut due = Vec::new();
        for (batch, sent_ms) in &mut self.batches {
            if *sent_ms == 0 || *sent_ms + RESEND_AFTER_MS <= now_ms {
                *sent_ms = now_ms.max(1);
                due.push(batch.clone());
            }
        }
        due
    }

    /// Whether a batch is due to be sent.
    pub fn has_due(&self, now_ms: u64) -> bool {
        self.batches
            .iter()
            .any(|(_, sent_ms)| *sent_ms == 0 || *sent_ms + RESEND_AFTER_MS <= now_ms)
    }
}
