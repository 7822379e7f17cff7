use std::process::ExitCode;

use briargauge::{control::Control, daemon};

fn main() -> ExitCode {
    daemon::main::<Control>()
}
