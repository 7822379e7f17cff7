use std::{net::SocketAddr, process::ExitCode};

use futures::future;

use crate::{
    cmd::util,
    error::Result,
    protocol::{id, wire::control},
    transport::rpc,
};

pub const USAGE: &str = "
Shows the control instances, or adds or removes a voter.

Usage:
    briargauge members [options]
    briargauge members [options] add ADDR
    briargauge members [options] remove NODE DISK

`add` lets the instance at ADDR (its rpc address) copy the log and vote once it
has caught up. `remove` takes a voter out; NODE and DISK are as listed.

Options:
    -c, --control ADDRS  rpc addresses of control instances, comma-separated
                         (default: $BRIARGAUGE_CONTROL)
        --json           print JSON
";

pub fn run(args: &[String]) -> Result<ExitCode> {
    let matches = util::parse(&util::control_options(), args)?;
    let operands: Vec<&str> = matches.free.iter().map(String::as_str).collect();
    let change = match operands[..] {
        [] => return list(&util::control_addrs(&matches)?, matches.opt_present("json")),
        ["add", addr] => control::MemberChange::Add { addr: util::address("add", addr)? },
        ["remove", node, disk] => control::MemberChange::Remove {
            node: id::Node(number("NODE", node, 10)?),
            disk: id::Disk(number("DISK", disk, 16)?),
        },
        _ => return Err(util::usage("expected nothing, `add ADDR` or `remove NODE DISK`")),
    };
    let client = util::control(&matches)?;
    util::block_on(client.call(
        "change voters",
        util::CONTROL_LIMIT,
        |c, context, _| async move { c.change_members(context, change).await },
    ))?;
    println!("accepted");
    Ok(ExitCode::SUCCESS)
}

fn number(name: &str, text: &str, radix: u32) -> Result<u64> {
    u64::from_str_radix(text, radix)
        .map_err(|_| util::usage(format!("{name}: '{text}' is not a number")))
}

fn list(addrs: &[SocketAddr], json: bool) -> Result<ExitCode> {
    let states = util::block_on(future::join_all(addrs.iter().map(|addr| status(*addr))));
    if json {
        let states: Vec<_> = states.iter().map(|(addr, s)| (addr, s.as_ref().ok())).collect();
        util::print_json(&states);
        return Ok(ExitCode::SUCCESS);
    }
    for (addr, state) in &states {
        match state {
            Ok(s) => println!(
                "{addr} node={} disk={:x} role={:?} term={} commit={} applied={} rules={}",
                s.node.0, s.disk.0, s.role, s.term, s.commit, s.applied, s.rules_version
            ),
            Err(e) => println!("{addr} unreachable: {e}"),
        }
    }
    // Members as a leader reports them or, without one, the instance with the highest term.
    let reachable = states.iter().filter_map(|(_, s)| s.as_ref().ok());
    if let Some(state) = reachable.max_by_key(|s| (s.role == control::Role::Leader, s.term)) {
        for member in &state.members {
            let kind = if member.votes { "voter" } else { "learner" };
            println!("{kind} node={} disk={:x} addr={}", member.node.0, member.disk.0, member.addr);
        }
    }
    Ok(ExitCode::SUCCESS)
}

async fn status(addr: SocketAddr) -> (SocketAddr, Result<control::Status>) {
    let link = rpc::Link::<control::ServiceClient>::new(addr);
    let context = rpc::context(util::CONTROL_LIMIT);
    (addr, link.call("status", |c| async move { c.status(context).await }).await)
}
