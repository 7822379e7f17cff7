//! Drains: nothing starts on the servers of drained data centres, and what runs there runs on.

use super::{Key, Scheduler};
use crate::protocol::wire::queue::{self, Drains};

impl Scheduler {
    /// Sets which data centres are drained. Servers of those that no longer are warm up.
    pub fn set_drains(&mut self, now_ms: u64, drains: Drains) {
        for (_, server) in &mut self.servers {
            let was_drained = server.is_drained();
            server.set_drained(&drains);
            if was_drained && !server.is_drained() {
                server.begin_warmup(now_ms);
            }
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
