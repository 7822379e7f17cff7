//! Drains: nothing starts on the servers of drained data centres, and what runs there runs on.

use super::{Key, Scheduler};
use crate::protocol::wire::queue::{self, Drains};

impl Scheduler {
    /// Sets which data centres are drained.
    pub fn set_drains(&mut self, drains: Drains) {
        for (_, server) in &mut self.servers {
            server.set_drained(&drains);
        }
        self.drains = drains;
    }

    /// Replaces the description of a server. Returns whether it differs from the earlier one.
    pub fn describe(&mut self, key: Key, info: &queue::Server) -> bool {
        let Some(server) = self.servers.get_mut(key.0) else { return false };
        if server.info == *info {
            return false;
        }
        server.describe(info.clone());
        server.set_drained(&self.drains);
        true
    }
}
