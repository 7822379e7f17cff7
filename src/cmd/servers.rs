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
    let mut members =
        util::block_on(client.call("members", util::CONTROL_LIMIT, |c, context| async move {
            c.members(context).await
        }))?;
    members
        .sort_by(|a, b| (&a.data_centre, &a.rack, a.addr).cmp(&(&b.data_centre, &b.rack, b.addr)));
    if matches.opt_present("json") {
        util::print_json(&members);
        return Ok(ExitCode::SUCCESS);
    }
    for member in &members {
        println!("{}", line(member));
    }
    Ok(ExitCode::SUCCESS)
}

fn line(member: &control::Member) -> String {
    let kinds = if member.kinds.is_empty() { "all".into() } else { member.kinds.join(",") };
    format!(
        "{} data_centre={} rack={} slots={} connections={} kinds={kinds} state={:?}",
        member.addr,
        member.data_centre,
        member.rack,
        member.slots,
        member.connections,
        member.state
    )
}
