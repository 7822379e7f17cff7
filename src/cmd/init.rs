use std::{net::SocketAddr, process::ExitCode};

use crate::{
    client,
    cmd::util,
    error::{self, Result},
    protocol::wire::control,
    transport::rpc,
};

pub const USAGE: &str = "
Forms a new cluster with one control instance as its first voter. Run it once in
the life of a cluster; add the other instances with `briargauge members add`.
Refused if the instance's data folder is in use.

Usage:
    briargauge init [options]

Options:
    -c, --control ADDR   rpc address of the instance
                         (default: $BRIARGAUGE_CONTROL)
";

pub fn run(args: &[String]) -> Result<ExitCode> {
    let matches = util::parse(&util::control_options(), args)?;
    let addr = util::control_addrs(&matches)?[0];
    util::block_on(form(addr))?;
    println!("formed a cluster at {addr}");
    Ok(ExitCode::SUCCESS)
}

/// Forms a cluster with the control instance at `addr` as its only voter.
pub async fn form(addr: SocketAddr) -> Result<()> {
    let link = rpc::Link::<control::ServiceClient>::new(addr);
    let context = rpc::context(util::CONTROL_LIMIT);
    let formed = link.call("init", |c| async move { c.init(context).await }).await?;
    formed.map_err(|refusal| {
        let reason = client::describe(&refusal);
        error::RefusedSnafu { step: "init", peer: addr, reason }.build()
    })
}
