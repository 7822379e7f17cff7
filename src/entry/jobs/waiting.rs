//! The callers of a transient job, and the memory that is reserved for it until it has ended.

use tokio::sync::oneshot;

use crate::{budget::Reservation, coordination::transient::JobOutcome};

/// Passes the outcome of a job to a caller.
type Caller = oneshot::Sender<JobOutcome>;

/// Callers that wait for the outcome of the same job.
#[derive(Debug, Default)]
pub(super) struct Waiting {
    callers: Vec<Caller>,
    /// The memory of the job stays reserved although the caller that sent it first may leave.
    _reservation: Option<Reservation>,
}

impl Waiting {
    /// The first caller of a job.
    pub fn new(caller: Caller, reservation: Reservation) -> Waiting {
        Waiting { callers: vec![caller], _reservation: Some(reservation) }
    }

    pub fn add(&mut self, caller: Caller) {
        self.callers.push(caller);
    }

    /// Whether a caller still waits.
    pub fn is_wanted(&mut self) -> bool {
        self.callers.retain(|caller| !caller.is_closed());
        !self.callers.is_empty()
    }

    /// Passes the outcome to the callers.
    pub fn end(self, outcome: JobOutcome) {
        for caller in self.callers {
            let _ = caller.send(outcome);
        }
    }
}
