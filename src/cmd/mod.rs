//! The `briargauge` command line for operators: one file for each command.

pub mod cancel;
pub mod drain;
pub mod init;
pub mod local;
pub mod members;
pub mod rules;
pub mod servers;
pub mod settings;
pub mod status;
pub mod submit;
pub mod util;
pub mod version;

use std::process::ExitCode;

use crate::{
    daemon,
    error::{self, Result},
};

const USAGE: &str = "
Submits jobs to briargauge and operates it.

Usage:
    briargauge <command> [<args>...]
    briargauge help [<command>]

Commands:
    cancel      Cancel a job.
    drain       Let a data centre, rack or backend server take no new work.
    help        Print the usage text of a command.
    init        Form a new cluster, once.
    local       Run a whole system in one process and submit a job file to it.
    members     Show control instances; add or remove a voter.
    rules       Check, apply and show the rules.
    servers     List the backend servers that are announced.
    settings    Check a settings file.
    status      Show what is known of a job.
    submit      Submit a job file and print the whole answer.
    version     Print the version.

Exit codes:
    0  done; a job completed
    1  failed; a job failed, or its outcome is unknown
    2  wrong command line or invalid file
    3  refused; a job was not run
";

/// Exit code of a command or job that failed, or whose outcome is unknown.
pub const EXIT_FAILED: u8 = 1;
/// Exit code of a wrong command line or an invalid file.
pub const EXIT_USAGE: u8 = 2;
/// Exit code of a command or job that was refused and had no effect.
pub const EXIT_REFUSED: u8 = 3;

/// The commands, except `help`.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Command {
    Cancel,
    Drain,
    Init,
    Local,
    Members,
    Rules,
    Servers,
    Settings,
    Status,
    Submit,
    Version,
}

impl Command {
    fn new(name: &str) -> Option<Command> {
        Some(match name {
            "cancel" => Command::Cancel,
            "drain" => Command::Drain,
            "init" => Command::Init,
            "local" => Command::Local,
            "members" => Command::Members,
            "rules" => Command::Rules,
            "servers" => Command::Servers,
            "settings" => Command::Settings,
            "status" => Command::Status,
            "submit" => Command::Submit,
            "version" => Command::Version,
            _ => return None,
        })
    }

    fn usage(self) -> &'static str {
        match self {
            Command::Cancel => cancel::USAGE,
            Command::Drain => drain::USAGE,
            Command::Init => init::USAGE,
            Command::Local => local::USAGE,
            Command::Members => members::USAGE,
            Command::Rules => rules::USAGE,
            Command::Servers => servers::USAGE,
            Command::Settings => settings::USAGE,
            Command::Status => status::USAGE,
            Command::Submit => submit::USAGE,
            Command::Version => version::USAGE,
        }
    }

    fn run(self, args: &[String]) -> Result<ExitCode> {
        match self {
            Command::Cancel => cancel::run(args),
            Command::Drain => drain::run(args),
            Command::Init => init::run(args),
            Command::Local => local::run(args),
            Command::Members => members::run(args),
            Command::Rules => rules::run(args),
            Command::Servers => servers::run(args),
            Command::Settings => settings::run(args),
            Command::Status => status::run(args),
            Command::Submit => submit::run(args),
            Command::Version => version::run(args),
        }
    }
}

/// Runs the command that `args` give, without the program's name.
pub fn main(args: &[String]) -> ExitCode {
    daemon::init_log("warn", env_logger::Target::Stderr);
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
