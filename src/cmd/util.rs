//! Options, clients and output that several commands use.

use std::{env, future::Future, io, net::SocketAddr, time::Duration};

use actix_http::Method;
use getopts::{Matches, Options};
use serde::Serialize;

use crate::{
    client,
    error::{self, Error, Result},
    protocol::job,
};

/// Time limit of a command's call to control, repetitions included.
pub const CONTROL_LIMIT: Duration = Duration::from_secs(10);
/// Largest response that is read from an entry, in bytes.
const RESPONSE_MAX_BYTES: usize = 64 * 1024 * 1024;

/// Environment variable that is used if `--control` is not given.
const CONTROL_VAR: &str = "BRIARGAUGE_CONTROL";
/// Environment variable that is used if `--entry` is not given.
const ENTRY_VAR: &str = "BRIARGAUGE_ENTRY";

/// Options of a command that calls control.
pub fn control_options() -> Options {
    let mut options = Options::new();
    options.optopt("c", "control", "", "ADDRS");
    options.optflag("", "json", "");
    options
}

/// Options of a command that calls an entry.
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

/// An error in the command line.
pub fn usage(reason: impl Into<String>) -> Error {
    error::UsageSnafu { reason }.build()
}

/// A client of the control instances given by `--control` or the environment.
pub fn control(matches: &Matches) -> Result<client::Control> {
    Ok(client::Control::new(&control_addrs(matches)?))
}

/// The addresses given by `--control` or the environment, at least one.
pub fn control_addrs(matches: &Matches) -> Result<Vec<SocketAddr>> {
    let text = option_or_env(matches, "control", CONTROL_VAR)?;
    text.split(',').map(|addr| address("--control", addr.trim())).collect()
}

/// The address given by `--entry` or the environment.
pub fn entry(matches: &Matches) -> Result<SocketAddr> {
    address("--entry", &option_or_env(matches, "entry", ENTRY_VAR)?)
}

/// The value of option `name`, or else of the environment variable `var`.
fn option_or_env(matches: &Matches, name: &str, var: &str) -> Result<String> {
    matches
        .opt_str(name)
        .or_else(|| env::var(var).ok())
        .ok_or_else(|| usage(format!("--{name} is missing, and {var} is not set")))
}

/// Parses an address with a port; `option` names it in the error.
pub fn address(option: &str, text: &str) -> Result<SocketAddr> {
    text.parse().map_err(|_| usage(format!("{option}: '{text}' is not an address with a port")))
}

/// Runs a command's future to completion on a new runtime.
pub fn block_on<T>(future: impl Future<Output = T>) -> T {
    actix_rt::System::new().block_on(future)
}

/// Prints `value` as indented JSON.
pub fn print_json(value: &impl Serialize) {
    let text = serde_json::to_string_pretty(value).expect("output types have string keys");
    println!("{text}");
}

/// Calls an entry.
///
/// An error means that there is no valid response, so the outcome of a submission is unknown. This
/// holds although the error is [`Error::Net`], which after a call to control means that the call
/// was not executed.
pub async fn call_entry(
    entry: SocketAddr,
    method: Method,
    path: &str,
    body: Option<Vec<u8>>,
) -> Result<job::Response> {
    let failed =
        |e: String| Error::Net { step: "call entry", peer: entry, source: io::Error::other(e) };
    let request = awc::Client::builder()
        .disable_timeout()
        .finish()
        .request(method, format!("http://{entry}{path}"))
        .insert_header(("content-type", "application/json"));
    let mut response =
        request.send_body(body.unwrap_or_default()).await.map_err(|e| failed(e.to_string()))?;
    let body =
        response.body().limit(RESPONSE_MAX_BYTES).await.map_err(|e| failed(e.to_string()))?;
    serde_json::from_slice(&body).map_err(|e| failed(format!("response is not valid: {e}")))
}
