//! Bound on the memory that an entry uses for request bodies, task inputs and answers.

use std::sync::{
    Arc,
    atomic::{AtomicUsize, Ordering::Relaxed},
};

/// Counter of the reserved bytes, shared by all reservations.
///
/// The counter is atomic because `Bytes` requires that its owner can be sent between threads.
#[derive(Debug)]
pub struct Budget {
    used: AtomicUsize,
    max: usize,
}

/// Bytes reserved from a budget; they are released when the reservation is dropped.
#[derive(Debug)]
pub struct Reservation {
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

    /// Whether a new submission may be accepted that has already reserved `own` bytes.
    ///
    /// New submissions may use only the first half of the budget. The second half is left for the
    /// answers of submissions in progress.
    pub fn has_capacity(&self, own: usize) -> bool {
        self.used() - own < self.max / 2
    }

    /// Returns an empty reservation, which grows with [`Reservation::grow`].
    pub fn reserve(self: &Arc<Budget>) -> Reservation {
        Reservation { budget: self.clone(), bytes: 0 }
    }
}

impl Reservation {
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Adds `bytes` to the reservation and returns whether all reservations are still within the
    /// budget.
    ///
    /// The bytes are counted in either case.
    pub fn grow(&mut self, bytes: usize) -> bool {
        self.bytes += bytes;
        self.budget.used.fetch_add(bytes, Relaxed) + bytes <= self.budget.max
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.budget.used.fetch_sub(self.bytes, Relaxed);
    }
}
