//! Small helper functions that several modules use.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use sha2::{Digest, Sha256};

/// Milliseconds since the Unix epoch, by the wall clock of this machine.
pub fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |d| d.as_millis() as u64)
}

/// Milliseconds of a monotonic clock that also counts the time during which the machine is
/// suspended. Leases are measured by it.
pub fn boot_ms() -> u64 {
    let now = nix::time::clock_gettime(nix::time::ClockId::CLOCK_BOOTTIME);
    now.map_or(0, |t| t.tv_sec() as u64 * 1_000 + t.tv_nsec() as u64 / 1_000_000)
}

/// Whole milliseconds of `duration`, saturating.
pub fn millis(duration: Duration) -> u64 {
    duration.as_millis().try_into().unwrap_or(u64::MAX)
}

/// SHA-256 of `bytes`.
pub fn sha256(bytes: &[u8]) -> [u8; 32] {
    Sha256::digest(bytes).into()
}
