use std::{path::Path, process::ExitCode};

use crate::{backend, cmd::util, config, control, entry, error::Result, sidecar};

pub const USAGE: &str = "
Checks a settings file without starting anything.

Usage:
    briargauge settings check PROGRAM FILE

PROGRAM is control, entry, sidecar or backend.
";

pub fn run(args: &[String]) -> Result<ExitCode> {
    let matches = util::parse(&getopts::Options::new(), args)?;
    let operands: Vec<&str> = matches.free.iter().map(String::as_str).collect();
    let ["check", program, path] = operands[..] else {
        return Err(util::usage("expected `check PROGRAM FILE`"));
    };
    let file = Path::new(path);
    match program {
        "control" => config::load::<control::settings::Settings>(file).map(drop)?,
        "entry" => config::load::<entry::settings::Settings>(file).map(drop)?,
        "sidecar" => config::load::<sidecar::settings::Settings>(file).map(drop)?,
        "backend" => config::load::<backend::settings::Settings>(file).map(drop)?,
        _ => return Err(util::usage(format!("unknown program '{program}'"))),
    }
    println!("{path}: valid");
    Ok(ExitCode::SUCCESS)
}
