use std::{
    fs,
    io::{self, IsTerminal},
    net::SocketAddr,
    process::ExitCode,
    time::Duration,
};

use actix_http::Method;
use serde::Deserialize;
use snafu::ResultExt;

use crate::{
    cmd::{self, util},
    error::{self, Result},
    protocol::{id, job},
    util as shared,
};

pub const USAGE: &str = "
Submits a job file to an entry, waits, and prints the whole answer: one JSON
value a line, in the order of the tasks.

Usage:
    briargauge submit [options] FILE

FILE is JSON as in docs/api.md; `key` and `created_at_ms` may be left out and
are then drawn anew. They are printed on stderr: to submit the same job again,
give them with --key and --created-at.

Options:
    -e, --entry ADDR       http address of an entry (default: $BRIARGAUGE_ENTRY)
    -k, --key KEY          the job's key
        --created-at MS    the job's creation time, ms since the Unix epoch
        --json             print the response as JSON
";

/// Interval at which the job's progress is requested.
const PROGRESS_INTERVAL: Duration = Duration::from_millis(200);

/// The content of a job file.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct File {
    #[serde(rename = "team")]
    account: id::Account,
    key: Option<String>,
    created_at_ms: Option<u64>,
    deadline_ms: Option<u32>,
    tasks: Vec<job::Task>,
}

pub fn run(args: &[String]) -> Result<ExitCode> {
    let mut options = util::entry_options();
    options.optopt("k", "key", "", "KEY");
    options.optopt("", "created-at", "", "MS");
    let matches = util::parse(&options, args)?;
    let [path] = &matches.free[..] else {
        return Err(util::usage("expected one job file"));
    };
    let mut submission = read(path)?;
    if let Some(key) = matches.opt_str("key") {
        submission.key = key;
    }
    if let Some(text) = matches.opt_str("created-at") {
        submission.created_at_ms = text
            .parse()
            .map_err(|_| util::usage(format!("--created-at: '{text}' is not a number")))?;
    }
    let entry = util::entry(&matches)?;
    eprintln!("key={} created_at_ms={}", submission.key, submission.created_at_ms);
    let response = util::block_on(send(entry, &submission))?;
    Ok(print(&response, matches.opt_present("json")))
}

/// Reads a job file. Draws a key and sets the creation time to now if the file has none.
pub fn read(path: &str) -> Result<job::Submission> {
    let text = fs::read_to_string(path).context(error::FileSnafu { step: "read job", path })?;
    let file: File = serde_json::from_str(&text).map_err(|e| {
        let at = format!("{path}:{}:{}", e.line(), e.column());
        error::InputSnafu { step: "read job", at, reason: e.to_string() }.build()
    })?;
    Ok(job::Submission {
        account: file.account,
        key: file.key.unwrap_or_else(|| format!("cli-{:016x}", rand::random::<u64>())),
        created_at_ms: file.created_at_ms.unwrap_or_else(shared::unix_ms),
        deadline_ms: file.deadline_ms,
        tasks: file.tasks,
    })
}

/// Submits a job and waits for its response. Shows progress if stderr is a terminal.
pub async fn send(entry: SocketAddr, submission: &job::Submission) -> Result<job::Response> {
    let body = serde_json::to_vec(submission).expect("a submission has string keys");
    let path = path(&submission.account, &submission.key);
    let progress = async {
        if !io::stderr().is_terminal() {
            std::future::pending::<()>().await;
        }
        loop {
            actix_rt::time::sleep(PROGRESS_INTERVAL).await;
            if let Ok(job::Response::Running { done, tasks }) =
                util::call_entry(entry, Method::GET, &path, None).await
            {
                eprint!("\r{done}/{tasks} tasks done");
            }
        }
    };
    tokio::select! {
        response = util::call_entry(entry, Method::POST, "/v1/jobs", Some(body)) => {
            if io::stderr().is_terminal() {
                eprintln!();
            }
            response
        }
        () = progress => unreachable!("progress is shown until the response arrives"),
    }
}

/// Path and query for the status of a job.
pub fn path(account: &id::Account, key: &str) -> String {
    let escape = |text: &str| -> String {
        text.bytes()
            .map(|b| match b {
                b'a'..=b'z' | b'A'..=b'Z' | b'0'..=b'9' | b'-' | b'_' | b'.' | b'~' => {
                    char::from(b).to_string()
                }
                _ => format!("%{b:02X}"),
            })
            .collect()
    };
    format!("/v1/jobs?team={}&key={}", escape(&account.0), escape(key))
}

/// Prints a response and returns its exit code.
pub fn print(response: &job::Response, json: bool) -> ExitCode {
    if json {
        util::print_json(response);
    }
    match response {
        job::Response::Completed { answers } => {
            if !json {
                answers.iter().for_each(|answer| println!("{answer}"));
            }
            ExitCode::SUCCESS
        }
        job::Response::Failed { reason, detail } => {
            eprintln!("failed: {}: {detail}", name(reason));
            ExitCode::from(cmd::EXIT_FAILED)
        }
        job::Response::NotRun { reason, detail } => {
            eprintln!("not run: {}: {detail}", name(reason));
            ExitCode::from(cmd::EXIT_REFUSED)
        }
        job::Response::Running { done, tasks } => {
            if !json {
                println!("running: {done} of {tasks} tasks done");
            }
            ExitCode::SUCCESS
        }
        job::Response::Unknown { detail } => {
            eprintln!("unknown: {detail}");
            ExitCode::from(cmd::EXIT_REFUSED)
        }
    }
}

/// The name of a reason in JSON responses.
fn name(reason: &impl serde::Serialize) -> String {
    serde_json::to_value(reason)
        .ok()
        .and_then(|v| v.as_str().map(str::to_owned))
        .unwrap_or_default()
}
