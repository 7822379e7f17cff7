//! Signals that stop a process.

use tokio::signal::unix::{self, SignalKind};

/// Waits for SIGTERM and SIGINT.
pub struct Stop {
    terminate: unix::Signal,
    interrupt: unix::Signal,
}

impl Stop {
    /// Takes the signals over from their default action.
    pub fn new() -> std::io::Result<Stop> {
        Ok(Stop {
            terminate: unix::signal(SignalKind::terminate())?,
            interrupt: unix::signal(SignalKind::interrupt())?,
        })
    }

    /// Returns at the next signal.
    pub async fn recv(&mut self) {
        tokio::select! {
            _ = self.terminate.recv() => {}
            _ = self.interrupt.recv() => {}
        }
    }
}
