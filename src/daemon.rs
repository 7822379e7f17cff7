//! The shared main of the daemons: settings, log, signals, graceful stop.

use std::{
    env, fs,
    future::Future,
    net::SocketAddr,
    path::{Path, PathBuf},
    process::ExitCode,
    time::{Duration, SystemTime},
};

use getopts::Options;
use tokio::time;

use crate::{
    config,
    error::{self, Result},
    output,
    transport::signal,
};

/// Exit code after a stop that cut work off, or a failure while running.
const EXIT_FAILED: u8 = 1;
/// How often the settings file is looked at, as it may change without a signal.
const SETTINGS_POLL: Duration = Duration::from_secs(2);
/// Environment variable that names the settings file, unless an option does.
const SETTINGS_VARIABLE: &str = "BRIARGAUGE_SETTINGS";
/// Exit code for a wrong command line or wrong settings.
const EXIT_USAGE: u8 = 2;

/// A daemon.
pub trait Process: Sized + 'static {
    type Settings: config::Settings;

    /// Name in usage text and log.
    const NAME: &'static str;

    /// Starts serving.
    fn start(settings: Self::Settings) -> impl Future<Output = Result<Self>>;

    /// Where it serves.
    fn listening(&self) -> Listening;

    /// Takes changed settings while running. What cannot change stays as it is.
    fn reload(&self, _settings: Self::Settings) {}

    /// Finishes the work in flight and stops. Returns how many pieces of work were cut off.
    fn stop(self) -> impl Future<Output = usize>;
}

/// Addresses that a process serves at.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Listening {
    pub http: Option<SocketAddr>,
    pub rpc: Option<SocketAddr>,
    /// Where other control instances connect.
    pub peer: Option<SocketAddr>,
}

/// Runs a daemon until a signal stops it.
pub fn main<P: Process>() -> ExitCode {
    init_log("info", env_logger::Target::Pipe(Box::new(output::Output::new(std::io::stdout()))));
    let (path, settings) = match settings::<P>() {
        Ok(Some(settings)) => settings,
        Ok(None) => return ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("{}: {e}", P::NAME);
            return ExitCode::from(EXIT_USAGE);
        }
    };
    let code = match actix_rt::System::new().block_on(run::<P>(path, settings)) {
        Ok(0) => ExitCode::SUCCESS,
        Ok(_) => ExitCode::from(EXIT_FAILED),
        Err(e) => {
            log::error!("event=failed process={} {e}", P::NAME);
            ExitCode::from(EXIT_FAILED)
        }
    };
    // Lets the last log lines, and answers that were just written, leave the process.
    std::thread::sleep(FLUSH);
    code
}

/// Sends log lines to `target`; `RUST_LOG` goes before `level`.
pub fn init_log(level: &str, target: env_logger::Target) {
    env_logger::Builder::from_env(env_logger::Env::default().default_filter_or(level))
        .target(target)
        // tarpc logs each call at the level of events, and each one past its deadline as an error
        // without its cause; the callers log what failed.
        .filter_module("tarpc", log::LevelFilter::Off)
        .format(log_line)
        .init();
}

/// Writes one `key=value` line: time, level, then the event's own pairs.
fn log_line(out: &mut env_logger::fmt::Formatter, record: &log::Record<'_>) -> std::io::Result<()> {
    use std::io::Write;
    let at = crate::util::unix_ms();
    writeln!(out, "at_ms={at} level={} {}", record.level(), record.args())
}

fn settings<P: Process>() -> Result<Option<(PathBuf, P::Settings)>> {
    let mut options = Options::new();
    let help = format!("settings file: JSON with comments (default: ${SETTINGS_VARIABLE})");
    options.optopt("s", "settings", &help, "FILE");
    options.optflag("h", "help", "print this text");
    options.optflag("", "check", "check the settings file and exit");
    let args: Vec<String> = env::args().skip(1).collect();
    let usage = options.usage(&format!("Usage: {} --settings FILE", P::NAME));
    if args.iter().any(|a| a == "-h" || a == "--help") {
        print!("{usage}");
        return Ok(None);
    }
    let matches = options
        .parse(&args)
        .map_err(|e| error::UsageSnafu { reason: format!("{e}\n{usage}") }.build())?;
    let path = settings_path(matches.opt_str("settings"), &usage)?;
    let settings = config::load(&path)?;
    Ok((!matches.opt_present("check")).then_some((path, settings)))
}

fn settings_path(option: Option<String>, usage: &str) -> Result<PathBuf> {
    let path = option.map(PathBuf::from).or_else(|| env::var_os(SETTINGS_VARIABLE).map(Into::into));
    path.ok_or_else(|| error::UsageSnafu { reason: format!("no settings file\n{usage}") }.build())
}

async fn run<P: Process>(path: PathBuf, settings: P::Settings) -> Result<usize> {
    let mut signals = signal::Signals::new().map_err(|source| error::Error::File {
        step: "signals",
        path: "".into(),
        source,
    })?;
    let process = P::start(settings).await?;
    let Listening { http, rpc, peer } = process.listening();
    let mut line = String::from("listening");
    for (name, addr) in [("http", http), ("rpc", rpc), ("peer", peer)] {
        if let Some(addr) = addr {
            line += &format!(" {name}={addr}");
        }
    }
    println!("{line}");
    log::info!("event=started process={} {}", P::NAME, &line["listening".len()..].trim_start());
    let mut modified = modified(&path);
    loop {
        match time::timeout(SETTINGS_POLL, signals.next()).await {
            Ok(signal::Event::Stop) => break,
            Ok(signal::Event::Reload) => {}
            Err(_) if modified == self::modified(&path) => continue,
            Err(_) => log::info!("event=settings_changed process={}", P::NAME),
        }
        modified = self::modified(&path);
        reload(&process, &path);
    }
    log::info!("event=stopping process={}", P::NAME);
    let cut = tokio::select! {
        cut = process.stop() => cut,
        () = signals.stop_requested() => {
            log::warn!("event=stopped process={} reason=second_signal", P::NAME);
            return Ok(1);
        }
    };
    log::info!("event=stopped process={} cut={cut}", P::NAME);
    Ok(cut)
}

/// When a file was last written; `None` if that cannot be told, as while it is being replaced.
fn modified(path: &Path) -> Option<SystemTime> {
    let modified = fs::metadata(path).and_then(|file| file.modified());
    modified.map_err(|e| log::debug!("event=settings_not_found error={e}")).ok()
}

/// Hands changed settings to the process; a file that cannot be used changes nothing.
fn reload<P: Process>(process: &P, path: &Path) {
    match config::load(path) {
        Ok(settings) => {
            log::info!("event=reloaded process={}", P::NAME);
            process.reload(settings);
        }
        Err(e) => log::error!("event=reload_failed process={} {e}", P::NAME),
    }
}

/// Pause before exit.
const FLUSH: Duration = Duration::from_millis(20);
