//! Signals that stop a process or make it read its settings again.

use tokio::signal::unix::{self, SignalKind};

/// What a signal asks for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Event {
    Stop,
    Reload,
}

/// Waits for SIGTERM, SIGINT and SIGHUP.
pub struct Stop {
    terminate: unix::Signal,
    interrupt: unix::Signal,
    hangup: unix::Signal,
}

impl Stop {
    /// Takes the signals over from their default action.
    pub fn new() -> std::io::Result<Stop> {
        Ok(Stop {
            terminate: unix::signal(SignalKind::terminate())?,
            interrupt: unix::signal(SignalKind::interrupt())?,
            hangup: unix::signal(SignalKind::hangup())?,
        })
    }

    /// Returns what the next signal asks for.
    pub async fn next(&mut self) -> Event {
        tokio::select! {
            _ = self.terminate.recv() => Event::Stop,
            _ = self.interrupt.recv() => Event::Stop,
            _ = self.hangup.recv() => Event::Reload,
        }
    }

    /// Returns at the next signal to stop.
    pub async fn recv(&mut self) {
        while self.next().await != Event::Stop {}
    }
}
