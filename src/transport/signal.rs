//! Signals that stop a process or make it reload its settings.

use tokio::signal::unix::{self, SignalKind};

/// What a signal requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Event {
    Stop,
    Reload,
}

/// Waits for SIGTERM, SIGINT and SIGHUP.
pub struct Signals {
    terminate: unix::Signal,
    interrupt: unix::Signal,
    hangup: unix::Signal,
}

impl Signals {
    /// Replaces the default action of the signals.
    pub fn new() -> std::io::Result<Signals> {
        Ok(Signals {
            terminate: unix::signal(SignalKind::terminate())?,
            interrupt: unix::signal(SignalKind::interrupt())?,
            hangup: unix::signal(SignalKind::hangup())?,
        })
    }

    /// Waits for the next signal.
    pub async fn next(&mut self) -> Event {
        tokio::select! {
            _ = self.terminate.recv() => Event::Stop,
            _ = self.interrupt.recv() => Event::Stop,
            _ = self.hangup.recv() => Event::Reload,
        }
    }

    /// Waits for the next signal that requests a stop; other signals are ignored.
    pub async fn stop_requested(&mut self) {
        while self.next().await != Event::Stop {}
    }
}
