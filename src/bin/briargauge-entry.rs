//! Takes jobs from callers and is responsible for their outcome.

use std::process::ExitCode;

use briargauge::{daemon, entry};

fn main() -> ExitCode {
    daemon::main::<entry::Entry>()
}
