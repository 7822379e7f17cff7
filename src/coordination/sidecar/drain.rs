//! Drains of data centres, as a sidecar learns of them from the leader and from entries.

use super::Sidecar;
use crate::{coordination::drain, protocol::wire::queue::Drains};

impl Sidecar {
    /// Takes over drains of a newer version. If the data centre of the backend server is drained, the
    /// attempts that wait for capacity are refused; what runs there runs on. If it is no longer
    /// drained, its server warms up.
    pub fn update_drains(&mut self, now_ms: u64, drains: &Drains) {
        let was_drained = self.is_drained();
        if !drain::update(&mut self.drains, drains) {
            return;
        }
        if was_drained && !self.is_drained() {
            self.begin_warmup(now_ms);
        }
        self.dispatch(now_ms);
    }

    /// Whether the data centre of the backend server is drained. In contrast to a draining server, it
    /// is not about to leave.
    pub fn is_drained(&self) -> bool {
        let backend = self.backend.as_ref();
        backend.is_some_and(|backend| self.drains.includes(&backend.server.data_centre))
    }

    /// Whether no attempt may start, whatever the state of the backend server.
    pub(super) fn is_closed(&self) -> bool {
        self.draining || self.is_drained()
    }
}
