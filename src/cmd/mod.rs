//! Commands of the operators' command line, one file each.

pub mod cancel;
pub mod init;
pub mod members;
pub mod servers;
pub mod status;
pub mod submit;
pub mod util;
pub mod version;

use std::process::ExitCode;

use crate::error::{self, Result};

const USAGE: &str = "
Submits jobs to briargauge and operates it.

Usage:
    briargauge <command> [<args>...]
    briargauge help [<command>]

Commands:
    cancel      Cancel a job.
    help        Print the usage text of a command.
    init        Form a new cluster, once.
    members     Show control instances; add or remove a voter.
    servers     List the backend servers that are announced.
    status      Show what is known of a job.
    submit      Submit a job file and print the whole answer.
    version     Print the version.

Exit codes:
    0  done; a job completed
    1  failed; a job failed, or its outcome is unknown
    2  wrong command line or invalid file
    3  refused; a job was not run
";

/// Exit code for what failed.
pub const EXIT_FAILED: u8 = 1;
/// Exit code for a wrong command line or an invalid file.
pub const EXIT_USAGE: u8 = 2;
/// Exit code for what was refused and had no effect.
pub const EXIT_REFUSED: u8 = 3;

/// A command.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Command {
    Cancel,
    Init,
    Members,
    Servers,
    Status,
    Submit,
    Version,
}

impl Command {
    fn new(name: &str) -> Option<Command> {
        Some(match name {
            "cancel" => Command::Cancel,
            "init" => Command::Init,
            "members" => Command::Members,
            "servers" => Command::Servers,
            "status" => Command::Status,
            "submit" => Command::Submit,
            "version" => Command::Version,
            _ => return None,
        })
    }

    fn usage(self) -> &'static str {
        match self {
            Command::Cancel => cancel::USAGE,
            Command::Init => init::USAGE,
            Command::Members => members::USAGE,
            Command::Servers => servers::USAGE,
            Command::Status => status::USAGE,
            Command::Submit => submit::USAGE,
            Command::Version => version::USAGE,
        }
    }

    fn run(self, args: &[String]) -> Result<ExitCode> {
        match self {
            Command::Cancel => cancel::run(args),
            Command::Init => init::run(args),
            Command::Members => members::run(args),
            Command::Servers => servers::run(args),
            Command::Status => status::run(args),
            Command::Submit => submit::run(args),
            Command::Version => version::run(args),
        }
    }
}

/// Runs the command line `args`, without the program's name.
pub fn main(args: &[String]) -> ExitCode {
    match dispatch(args) {
        Ok(code) => code,
        Err(e) => {
            eprintln!("briargauge: {e}");
            ExitCode::from(exit_code(&e))
        }
    }
}

fn dispatch(args: &[String]) -> Result<ExitCode> {
    let Some(name) = args.first() else {
        eprint!("{}", USAGE.trim_start());
        return Ok(ExitCode::from(EXIT_USAGE));
    };
    let rest = &args[1..];
    if matches!(name.as_str(), "help" | "--help" | "-h") {
        let text = match rest.first() {
            Some(name) => find(name)?.usage(),
            None => USAGE,
        };
        print!("{}", text.trim_start());
        return Ok(ExitCode::SUCCESS);
    }
    let command = find(name)?;
    if rest.iter().any(|a| a == "--help" || a == "-h") {
        print!("{}", command.usage().trim_start());
        return Ok(ExitCode::SUCCESS);
    }
    command.run(rest)
}

fn find(name: &str) -> Result<Command> {
    Command::new(name).ok_or_else(|| {
        let reason = format!("unknown command '{name}'; `briargauge help` lists the commands");
        error::UsageSnafu { reason }.build()
    })
}

fn exit_code(e: &error::Error) -> u8 {
    match e {
        error::Error::Usage { .. }
        | error::Error::Settings { .. }
        | error::Error::Input { .. }
        | error::Error::File { .. } => EXIT_USAGE,
        error::Error::Refused { .. } => EXIT_REFUSED,
        error::Error::Net { .. } | error::Error::Rpc { .. } | error::Error::Corrupt { .. } => {
            EXIT_FAILED
        }
    }
}
