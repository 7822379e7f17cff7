//! The main function that all daemons use: settings, log, signals and graceful stop.

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
    output, supervisor,
    transport::signal,
};

/// Exit code after a stop that interrupted work, or after a failure to start or to run.
const EXIT_FAILED: u8 = 1;
/// Interval at which the settings file is checked for changes, so that a change takes effect
/// without a signal.
const SETTINGS_POLL: Duration = Duration::from_secs(2);
/// Environment variable with the path of the settings file. The option `--settings` overrides it.
const SETTINGS_VARIABLE: &str = "BRIARGAUGE_SETTINGS";
/// Exit code for a wrong command line or wrong settings.
const EXIT_USAGE: u8 = 2;

/// A long-running process of the system.
pub trait Process: Sized + 'static {
    type Settings: config::Settings;

    /// Name of the program, for the usage text and the log.
    const NAME: &'static str;

    /// Starts serving.
    fn start(settings: Self::Settings) -> impl Future<Output = Result<Self>>;

    /// Addresses at which it serves.
    fn listening(&self) -> Listening;

    /// Returns once the process cannot serve any more and must be started again.
    fn failed(&self) -> impl Future<Output = ()> {
        std::future::pending()
    }

    /// Applies changed settings while running. Settings that cannot change while running are
    /// ignored.
    fn reload(&self, _settings: Self::Settings) {}

    /// Waits, at most for the time limit of the process, until the work in flight has finished, and
    /// stops. Returns how many pieces of work were interrupted because they had not finished.
    fn stop(self) -> impl Future<Output = usize>;
}

/// Addresses at which a process serves.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Listening {
    pub http: Option<SocketAddr>,
    pub rpc: Option<SocketAddr>,
    /// Address for other control instances.
    pub peer: Option<SocketAddr>,
}

/// Runs a daemon until a signal stops it.
pub fn main<P: Process>() -> ExitCode {
    init_log("info", env_logger::Target::Pipe(Box::new(output::Output::new(std::io::stdout()))));
    supervisor::log_panics();
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
    std::thread::sleep(FLUSH_PAUSE);
    code
}

/// Initialises the log, which is written to `target`. `RUST_LOG` overrides `level`.
pub fn init_log(level: &str, target: env_logger::Target) {
    env_logger::Builder::from_env(env_logger::Env::default().default_filter_or(level))
        .target(target)
        // tarpc logs every call at the same level as events, and each call that times out as an
        // error without its cause. The callers log failed calls themselves.
        .filter_module("tarpc", log::LevelFilter::Off)
        .format(log_line)
        .init();
}

/// Writes one line of `key=value` pairs: time, level, then the pairs of the event.
fn log_line(out: &mut env_logger::fmt::Formatter, record: &log::Record<'_>) -> std::io::Result<()> {
    use std::io::Write;
    let at = crate::util::unix_ms();
    writeln!(out, "at_ms={at} level={} {}", record.level(), record.args())
}

/// Reads the settings file that the command line or the environment names. Returns `None` if the
/// command line only requested the usage text or a check.
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

/// Runs a process until a signal stops it. Returns how many pieces of work were interrupted, or 1
/// if a second signal ended the stop early and the number is therefore not known.
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
        let event = tokio::select! {
            event = time::timeout(SETTINGS_POLL, signals.next()) => event,
            () = process.failed() => {
                log::error!("event=stopped process={} reason=failed", P::NAME);
                return Ok(1);
            }
        };
        match event {
            Ok(signal::Event::Stop) => break,
            Ok(signal::Event::Reload) => {}
            Err(_) if modified == self::modified(&path) => continue,
            Err(_) => log::info!("event=settings_changed process={}", P::NAME),
        }
        modified = self::modified(&path);
        reload(&process, &path);
    }
    log::info!("event=stopping process={}", P::NAME);
    let interrupted = tokio::select! {
        interrupted = process.stop() => interrupted,
        () = signals.stop_requested() => {
            log::warn!("event=stopped process={} reason=second_signal", P::NAME);
            return Ok(1);
        }
    };
    log::info!("event=stopped process={} cut={interrupted}", P::NAME);
    Ok(interrupted)
}

/// Time of a file's last change. `None` if it cannot be read, for example while the file is being
/// replaced.
fn modified(path: &Path) -> Option<SystemTime> {
    let modified = fs::metadata(path).and_then(|file| file.modified());
    modified.map_err(|e| log::debug!("event=settings_not_found error={e}")).ok()
}

/// Reads the settings file again and applies it to the process. If the file is not valid, the
/// process keeps its settings.
fn reload<P: Process>(process: &P, path: &Path) {
    match config::load(path) {
        Ok(settings) => {
            log::info!("event=reloaded process={}", P::NAME);
            process.reload(settings);
        }
        Err(e) => log::error!("event=reload_failed process={} {e}", P::NAME),
    }
}

/// Pause before exit, in which the thread of [`output::Output`] writes the last log lines and the
/// kernel sends the last responses.
const FLUSH_PAUSE: Duration = Duration::from_millis(20);
