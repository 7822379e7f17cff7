use std::process::ExitCode;

use crate::{cmd::util, error::Result, protocol::wire::control};

pub const USAGE: &str = "
Lists the backend servers that are announced to the system and hold a lease.

Usage:
    briargauge servers [options]

Options:
    -c, --control ADDRS  rpc addresses of control instances, comma-separated
                         (default: $BRIARGAUGE_CONTROL)
        --json           print JSON
";

pub fn run(args: &[String]) -> Result<ExitCode> {
    let matches = util::parse(&util::control_options(), args)?;
    let client = util::control(&matches)?;
    let mut servers =
        util::block_on(client.call("members", util::CONTROL_LIMIT, |c, context, _| async move {
            c.servers(context).await
        }))?;
    servers
        .sort_by(|a, b| (&a.data_centre, &a.rack, a.addr).cmp(&(&b.data_centre, &b.rack, b.addr)));
    if matches.opt_present("json") {
        util::print_json(&servers);
        return Ok(ExitCode::SUCCESS);
    }
    for server in &servers {
        println!("{}", line(server));
    }
    Ok(ExitCode::SUCCESS)
}

fn line(server: &control::Server) -> String {
    let kinds = if server.kinds.is_empty() { "all".into() } else { server.kinds.join(",") };
    format!(
        "{} data_centre={} rack={} slots={} connections={} kinds={kinds} state={:?}",
        server.addr,
        server.data_centre,
        server.rack,
        server.slots,
        server.connections,
        server.state
    )
}
