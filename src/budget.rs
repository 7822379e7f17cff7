//! Bounds on the memory that a process uses for its work, such as request bodies, jobs and answers.

use std::sync::{
    Arc,
    atomic::{AtomicUsize, Ordering::Relaxed},
};

/// Largest part of the memory that is left which one job may take, as a divisor. Smaller jobs then
/// still fit when large ones do not any more.
const JOB_DIVISOR: usize = 4;

/// Whether a job that takes `bytes` may be accepted when jobs take `used` of `max` bytes.
pub fn admits(max: usize, used: usize, bytes: usize) -> bool {
    bytes <= max.saturating_sub(used) / JOB_DIVISOR
}

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

    /// Number of bytes that may be reserved.
    pub fn max(&self) -> usize {
        self.max
    }

    /// Number of bytes that are reserved.
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

    /// Reserves the memory of a job if [`admits`] allows it.
    pub fn reserve_job(self: &Arc<Budget>, bytes: usize) -> Option<Reservation> {
        if !admits(self.max, self.used(), bytes) {
            return None;
        }
        let mut reservation = self.reserve();
        reservation.grow(bytes);
        Some(reservation)
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
