use std::process::ExitCode;

use crate::error::Result;

pub const USAGE: &str = "
Prints the version.

Usage:
    briargauge version
";

pub fn run(_args: &[String]) -> Result<ExitCode> {
    println!("{}", env!("CARGO_PKG_VERSION"));
    Ok(ExitCode::SUCCESS)
}
