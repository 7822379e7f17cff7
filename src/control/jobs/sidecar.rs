//! Sessions of sidecars with the leader: fences, leases, and orders until they were taken.

use std::{cell::Cell, collections::BTreeSet, net::SocketAddr, rc::Rc};

use tokio::sync::Notify;

use crate::{
    coordination::schedule::Key,
    protocol::wire::queue::{Backend, Batch, Report, ServerId},
};

/// Time after which orders are sent again if no report says that they were taken, in ms.
const RESEND_MS: u64 = 400;

/// What the leader knows of a sidecar.
#[derive(Debug)]
pub struct Sidecar {
    pub incarnation: u64,
    /// Where entries reach it.
    pub addr: SocketAddr,
    pub generation: u64,
    /// Whether all that runs at the server was reported under `generation`.
    pub synced: bool,
    pub server: Option<(ServerId, Key)>,
    /// When the last lease ends, on the leader's clock.
    pub lease_until_ms: u64,
    /// When nothing runs any more of what an earlier process of the sidecar ordered, if the present
    /// one has not met the server.
    pub over_ms: Option<u64>,
    /// Wakes the report that waits for orders.
    pub wake: Rc<Notify>,
    /// Number of the newest report.
    pub reports: Rc<Cell<u64>>,
    batches: Vec<(Batch, u64)>,
    batch: u64,
    completions: Completions,
}

/// Which completions of a server may be acknowledged.
#[derive(Debug, Default)]
struct Completions {
    seen: u64,
    storing: BTreeSet<u64>,
}

impl Sidecar {
    pub fn new(incarnation: u64, addr: SocketAddr, generation: u64) -> Sidecar {
        Sidecar {
            incarnation,
            addr,
            generation,
            synced: false,
            server: None,
            lease_until_ms: 0,
            over_ms: None,
            wake: Rc::default(),
            reports: Rc::default(),
            batches: Vec::new(),
            batch: 0,
            completions: Completions::default(),
        }
    }

    /// Starts anew under a higher generation.
    pub fn reset(&mut self, incarnation: u64, generation: u64) {
        self.incarnation = incarnation;
        self.generation = generation;
        self.synced = false;
        self.batches.clear();
        self.batch = 0;
    }

    /// A new server has a list of ends of its own.
    pub fn reset_completions(&mut self) {
        self.completions = Completions::default();
    }

    /// Whether a report belongs to the present incarnation and server.
    pub fn knows(&self, report: &Report) -> bool {
        let server = self.server.as_ref().map(|(id, _)| id);
        let same = match &report.backend {
            Backend::Unknown => true,
            Backend::Lost => server.is_none(),
            Backend::Present(present) => server == Some(&present.id),
        };
        self.incarnation == report.incarnation && same
    }

    /// Whether an end is new; it then counts as being stored.
    pub fn take_completion(&mut self, number: u64) -> bool {
        let new = number > self.completions.seen;
        if new {
            self.completions.seen = number;
            self.completions.storing.insert(number);
        }
        new
    }

    /// An end is stored, or need not be.
    pub fn stored(&mut self, number: u64) {
        self.completions.storing.remove(&number);
    }

    /// Ends up to here may be acknowledged.
    pub fn completions_stored(&self) -> u64 {
        self.completions.storing.first().map_or(self.completions.seen, |first| first - 1)
    }

    /// Forgets batches that were taken.
    pub fn taken(&mut self, batch: u64) {
        self.batches.retain(|(b, _)| b.number > batch);
    }

    pub fn push(&mut self, mut batch: Batch) {
        self.batch += 1;
        batch.number = self.batch;
        self.batches.push((batch, 0));
    }

    /// Batches to be sent now: new ones, and those that seem to have been lost.
    pub fn due(&mut self, now_ms: u64) -> Vec<Batch> {
        let mut due = Vec::new();
        for (batch, sent_ms) in &mut self.batches {
            if *sent_ms == 0 || *sent_ms + RESEND_MS <= now_ms {
                *sent_ms = now_ms.max(1);
                due.push(batch.clone());
            }
        }
        due
    }

    /// Whether there are batches to be sent now.
    pub fn has_due(&self, now_ms: u64) -> bool {
        self.batches.iter().any(|(_, sent_ms)| *sent_ms == 0 || *sent_ms + RESEND_MS <= now_ms)
    }
}
