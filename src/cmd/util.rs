//! What the commands share: options, clients and output.

use std::{env, future::Future, io, net::SocketAddr, time::Duration};

use actix_http::Method;
use getopts::{Matches, Options};
use serde::Serialize;

use crate::{
    client,
    error::{self, Error, Result},
    protocol::job,
};

/// Time a control call of an operator may take.
pub const CONTROL_LIMIT: Duration = Duration::from_secs(10);
/// Largest response of an entry that the command line reads, in bytes.
const RESPONSE_MAX_BYTES: usize = 64 * 1024 * 1024;

/// Environment variable that stands in for `--control`.
const CONTROL_VAR: &str = "BRIARGAUGE_CONTROL";
/// Environment variable that stands in for `--entry`.
const ENTRY_VAR: &str = "BRIARGAUGE_ENTRY";

/// Options of a command that talks to control.
pub fn control_options() -> Options {
    let mut options = Options::new();
    options.optopt("c", "control", "", "ADDRS");
    options.optflag("", "json", "");
    options
}

/// Options of a command that talks to an entry.
pub fn entry_options() -> Options {
    let mut options = Options::new();
    options.optopt("e", "entry", "", "ADDR");
    options.optflag("", "json", "");
    options
}

/// Parses a command's arguments.
pub fn parse(options: &Options, args: &[String]) -> Result<Matches> {
    options.parse(args).map_err(|e| usage(e.to_string()))
}

/// An error of the command line.
pub fn usage(reason: impl Into<String>) -> Error {
    error::UsageSnafu { reason }.build()
}

/// The control instances named by `--control` or the environment.
pub fn control(matches: &Matches) -> Result<client::Control> {
    Ok(client::Control::new(&control_addrs(matches)?))
}

/// The addresses named by `--control` or the environment, at least one.
pub fn control_addrs(matches: &Matches) -> Result<Vec<SocketAddr>> {
    let text = setting(matches, "control", CONTROL_VAR)?;
    text.split(',').map(|part| address("--control", part.trim())).collect()
}

/// The entry named by `--entry` or the environment.
pub fn entry(matches: &Matches) -> Result<SocketAddr> {
    address("--entry", &setting(matches, "entry", ENTRY_VAR)?)
}

fn setting(matches: &Matches, name: &str, var: &str) -> Result<String> {
    matches
        .opt_str(name)
        .or_else(|| env::var(var).ok())
        .ok_or_else(|| usage(format!("--{name} is missing, and {var} is not set")))
}

/// Parses an address with its port.
pub fn address(option: &str, text: &str) -> Result<SocketAddr> {
    text.parse().map_err(|_| usage(format!("{option}: '{text}' is not an address with a port")))
}

/// Runs a command's future on a runtime of its own.
pub fn block_on<T>(future: impl Future<Output = T>) -> T {
    actix_rt::System::new().block_on(future)
}

/// Prints `value` as JSON.
pub fn print_json(value: &impl Serialize) {
    let text = serde_json::to_string_pretty(value).expect("output types have string keys");
    println!("{text}");
}

/// Calls an entry.
///
/// `Error::Net` means that there is no response, so the outcome of a submission is unknown.
pub async fn call_entry(
    entry: SocketAddr,
    method: Method,
    path: &str,
    body: Option<Vec<u8>>,
) -> Result<job::Response> {
    let broken =
        |e: String| Error::Net { step: "call entry", peer: entry, source: io::Error::other(e) };
    let request = awc::Client::builder()
        .disable_timeout()
        .finish()
        .request(method, format!("http://{entry}{path}"))
        .insert_header(("content-type", "application/json"));
    let mut response =
        request.send_body(body.unwrap_or_default()).await.map_err(|e| broken(e.to_string()))?;
    let body =
        response.body().limit(RESPONSE_MAX_BYTES).await.map_err(|e| broken(e.to_string()))?;
    serde_json::from_slice(&body).map_err(|e| broken(format!("response is not valid: {e}")))
}
