//! Bound on the bytes of answers that an entry holds.

use std::sync::{
    Arc,
    atomic::{AtomicUsize, Ordering::Relaxed},
};

/// Counter of the bytes held, shared by everything that holds some.
///
/// Atomic because `Bytes` requires that its owner can be sent between threads.
#[derive(Debug)]
pub struct Budget {
    used: AtomicUsize,
    max: usize,
}

/// Some bytes of a budget; given back on drop.
#[derive(Debug)]
pub struct Hold {
    budget: Arc<Budget>,
    bytes: usize,
}

impl Budget {
    pub fn new(max: usize) -> Arc<Budget> {
        Arc::new(Budget { used: AtomicUsize::new(0), max })
    }

    pub fn used(&self) -> usize {
        self.used.load(Relaxed)
    }

    /// Whether new work may be taken, of which `own` bytes are held already. The other half is
    /// left for the work in progress.
    pub fn has_room(&self, own: usize) -> bool {
        self.used() - own < self.max / 2
    }

    pub fn hold(self: &Arc<Budget>) -> Hold {
        Hold { budget: self.clone(), bytes: 0 }
    }
}

impl Hold {
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Adds `bytes`; returns whether the budget still suffices.
    pub fn grow(&mut self, bytes: usize) -> bool {
        self.bytes += bytes;
        self.budget.used.fetch_add(bytes, Relaxed) + bytes <= self.budget.max
    }
}

impl Drop for Hold {
    fn drop(&mut self) {
        self.budget.used.fetch_sub(self.bytes, Relaxed);
    }
}
