//! Bound on the configurations that are handled at the same time. A large one takes several times its
//! bytes while it is decoded, passed on and stored.

use std::time::Duration;

use tokio::{
    sync::{Semaphore, SemaphorePermit},
    time,
};

/// Most bytes of all configurations that are handled at the same time. The largest one takes all.
const BYTES_MAX: usize = 8 * 1024 * 1024;

/// Lets configurations pass while their sum allows it.
#[derive(Debug)]
pub struct Gate {
    free_bytes: Semaphore,
}

/// Counts a configuration until dropped.
#[derive(Debug)]
pub struct Pass<'a>(#[expect(dead_code, reason = "held until dropped")] SemaphorePermit<'a>);

impl Gate {
    pub fn new() -> Gate {
        Gate { free_bytes: Semaphore::new(BYTES_MAX) }
    }

    /// Waits until a configuration of `bytes` may be handled. Returns `None` after `limit`.
    pub async fn enter(&self, bytes: usize, limit: Duration) -> Option<Pass<'_>> {
        let permits = self.free_bytes.acquire_many(bytes.min(BYTES_MAX) as u32);
        Some(Pass(time::timeout(limit, permits).await.ok()?.ok()?))
    }
}

impl Default for Gate {
    fn default() -> Gate {
        Gate::new()
    }
}
