use std::process::ExitCode;

use crate::{
    client, cmd,
    cmd::util,
    error::{self, Result},
    protocol::{rule::Edit, wire::control},
};

pub const USAGE: &str = "
Lets a data centre, a rack or a backend server take no new work, or ends that.
This is a change of the rules: it adds or removes one `drain` line.

Usage:
    briargauge drain [options] TARGET REASON
    briargauge drain [options] --end TARGET

TARGET is `data-centre NAME`, `rack DATA-CENTRE/NAME` or `server ADDR`, as one
argument. REASON says why; the line names the operator as the one who asked.

Options:
    -c, --control ADDRS   rpc addresses of control instances, comma-separated
                          (default: $BRIARGAUGE_CONTROL)
    -o, --operator NAME   who asks for it (default: $USER)
        --end             remove the line
";

/// Attempts to make the change. One fails if another operator changes the rules between reading and
/// changing them.
const ATTEMPTS_MAX: usize = 5;

pub fn run(args: &[String]) -> Result<ExitCode> {
    let mut options = util::control_options();
    options.optopt("o", "operator", "", "NAME");
    options.optflag("", "end", "");
    let matches = util::parse(&options, args)?;
    let operator = matches
        .opt_str("operator")
        .or_else(|| std::env::var("USER").ok())
        .ok_or_else(|| util::usage("--operator is missing, and USER is not set"))?;
    let operands: Vec<&str> = matches.free.iter().map(String::as_str).collect();
    let edit = match (matches.opt_present("end"), &operands[..]) {
        (false, [target, reason]) => Edit::Add(format!("drain {target} # {operator}: {reason}")),
        (true, [target]) => Edit::Remove(format!("drain {target}")),
        _ => return Err(util::usage("expected TARGET REASON, or --end TARGET")),
    };
    let client = util::control(&matches)?;
    util::block_on(change(&client, &operator, &edit))
}

/// Returns the rules `text` after the change.
fn apply(edit: &Edit, text: &str) -> Result<String> {
    let changed = edit.apply(text).map_err(|faults| {
        let reason = faults.to_string();
        error::InputSnafu { step: "check rules", at: "drain", reason }.build()
    })?;
    changed.ok_or_else(|| match edit {
        Edit::Add(line) => util::usage(format!("the rules already contain `{line}`")),
        Edit::Remove(words) => util::usage(format!("there is no rule `{words}`")),
    })
}

async fn change(client: &client::Control, operator: &str, edit: &Edit) -> Result<ExitCode> {
    let mut last_winner = String::new();
    for _ in 0..ATTEMPTS_MAX {
        let rules = cmd::rules::rules(client).await?;
        let change = control::Change {
            id: format!("{:016x}", rand::random::<u64>()),
            operator: operator.to_owned(),
            base: rules.version,
            text: apply(edit, &rules.text)?,
        };
        match cmd::rules::change(client, change).await? {
            control::Changed::Accepted { version } => {
                println!("accepted as version {version}");
                return Ok(ExitCode::SUCCESS);
            }
            control::Changed::Conflict { winner, .. } => last_winner = winner,
            control::Changed::Invalid { detail } => return Err(util::usage(detail)),
        }
    }
    eprintln!(
        "refused: other operators changed the rules during each of {ATTEMPTS_MAX} attempts, \
         most recently {last_winner}"
    );
    Ok(ExitCode::from(cmd::EXIT_REFUSED))
}
