use std::process::ExitCode;

use actix_http::Method;

use crate::{
    cmd::{submit, util},
    error::Result,
    protocol::id,
};

pub const USAGE: &str = "
Shows what is known of a job: running, completed with its answer, failed or not
run.

Usage:
    briargauge status [options] TEAM KEY

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
    let path = submit::path(&id::Account(account.clone()), key);
    let response = util::block_on(util::call_entry(entry, Method::GET, &path, None))?;
    Ok(submit::print(&response, matches.opt_present("json")))
}
