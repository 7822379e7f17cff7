use std::process::ExitCode;

use actix_http::Method;

use crate::{
    cmd::{submit, util},
    error::Result,
    protocol::{id, job},
};

pub const USAGE: &str = "
Cancels a job: tasks that have not started never will, running ones are stopped.
Prints how the job ended, which is `completed` if it was faster.

Usage:
    briargauge cancel [options] TEAM KEY

Options:
    -e, --entry ADDR   http address of an entry (default: $BRIARGAUGE_ENTRY)
        --json         print the response as JSON
";

pub fn run(args: &[String]) -> Result<ExitCode> {
    let matches = util::parse(&util::entry_options(), args)?;
    let [account, key] = &matches.free[..] else {
        return Err(util::usage("expected a team and a key"));
    };
    let entry = util::entry(&matches)?;
    let cancel = job::Cancel { account: id::Account(account.clone()), key: key.clone() };
    let body = serde_json::to_vec(&cancel).expect("a cancel has string keys");
    let call = util::call_entry(entry, Method::POST, "/v1/jobs/cancel", Some(body));
    let response = util::block_on(call)?;
    Ok(submit::print(&response, matches.opt_present("json")))
}
