//! Accepts jobs from callers, runs them and reports their outcome.

use std::process::ExitCode;

use briargauge::{daemon, entry};

fn main() -> ExitCode {
    daemon::main::<entry::Entry>()
}
