use std::{fs, process::ExitCode};

use getopts::Matches;
use serde_json::json;
use snafu::ResultExt;

use crate::{
    client,
    cmd::{self, util},
    error::{self, Result},
    protocol::{rule, wire::control},
};

pub const USAGE: &str = "
Checks, applies and shows the rules: plain text, one rule a line, each with a
comment that names who asked for it.

Usage:
    briargauge rules check FILE
    briargauge rules [options] apply FILE
    briargauge rules [options] show
    briargauge rules [options] history

`check` works offline. `apply` replaces the rules if they still have the version
given by --base, or else the version that it reads first. It prints the id of
the change: to repeat it after a lost answer, give it with --id and the same
--base. The answer is then the same as the first one.

Options:
    -c, --control ADDRS   rpc addresses of control instances, comma-separated
                          (default: $BRIARGAUGE_CONTROL)
    -b, --base VERSION    version that the change is based on
        --id ID           id of the change (default: drawn)
    -o, --operator NAME   who applies it (default: $USER)
    -n, --limit N         changes in the history (default: 20)
        --json            print JSON
";

pub fn run(args: &[String]) -> Result<ExitCode> {
    let mut options = util::control_options();
    options.optopt("b", "base", "", "VERSION");
    options.optopt("", "id", "", "ID");
    options.optopt("o", "operator", "", "NAME");
    options.optopt("n", "limit", "", "N");
    let matches = util::parse(&options, args)?;
    let operands: Vec<&str> = matches.free.iter().map(String::as_str).collect();
    match operands[..] {
        ["check", path] => check(path),
        ["apply", path] => apply(&matches, path),
        ["show"] => show(&matches),
        ["history"] => history(&matches),
        _ => Err(util::usage("expected `check FILE`, `apply FILE`, `show` or `history`")),
    }
}

/// Reads a file of rules and checks it.
fn read(path: &str) -> Result<(String, rule::Rules)> {
    let text = fs::read_to_string(path).context(error::FileSnafu { step: "read rules", path })?;
    let rules = rule::Rules::parse(&text).map_err(|faults| {
        let reason = format!("not valid\n{faults}");
        error::InputSnafu { step: "check rules", at: path, reason }.build()
    })?;
    Ok((text, rules))
}

fn check(path: &str) -> Result<ExitCode> {
    let (_, rules) = read(path)?;
    println!("{path}: {} rules are valid", rules.rule_lines().count());
    Ok(ExitCode::SUCCESS)
}

fn apply(matches: &Matches, path: &str) -> Result<ExitCode> {
    let (text, _) = read(path)?;
    let operator = matches
        .opt_str("operator")
        .or_else(|| std::env::var("USER").ok())
        .ok_or_else(|| util::usage("--operator is missing, and USER is not set"))?;
    let id = matches.opt_str("id").unwrap_or_else(|| format!("{:016x}", rand::random::<u64>()));
    let base = matches.opt_str("base").map(|text| number("base", &text)).transpose()?;
    let client = util::control(matches)?;
    let changed = util::block_on(async {
        let base = match base {
            Some(base) => base,
            None => rules(&client).await?.version,
        };
        eprintln!("id={id} base={base}");
        change(&client, control::Change { id, operator, base, text }).await
    })?;
    Ok(report(&changed, matches.opt_present("json")))
}

fn report(changed: &control::Changed, json: bool) -> ExitCode {
    if json {
        util::print_json(changed);
    }
    match changed {
        control::Changed::Accepted { version } => {
            if !json {
                println!("accepted as version {version}");
            }
            ExitCode::SUCCESS
        }
        control::Changed::Conflict { version, winner } => {
            eprintln!("refused: {winner} has made version {version}; read it and apply again");
            ExitCode::from(cmd::EXIT_REFUSED)
        }
        control::Changed::Invalid { detail } => {
            eprintln!("refused: {detail}");
            ExitCode::from(cmd::EXIT_REFUSED)
        }
    }
}

/// Submits a change. A change with an id that control has already seen gets the answer of the first
/// submission.
pub async fn change(client: &client::Control, change: control::Change) -> Result<control::Changed> {
    let call = client.call("change rules", util::CONTROL_LIMIT, |c, context, _| {
        let change = change.clone();
        async move { c.change_rules(context, change).await }
    });
    Ok(call.await?)
}

/// The rules in force.
pub async fn rules(client: &client::Control) -> Result<control::Rules> {
    let call = client.call("read rules", util::CONTROL_LIMIT, |c, context, _| async move {
        c.rules(context).await
    });
    Ok(call.await?)
}

fn show(matches: &Matches) -> Result<ExitCode> {
    let client = util::control(matches)?;
    let rules = util::block_on(rules(&client))?;
    if matches.opt_present("json") {
        util::print_json(&json!({"version": rules.version, "text": rules.text}));
    } else {
        eprintln!("version {}", rules.version);
        print!("{}", rules.text);
    }
    Ok(ExitCode::SUCCESS)
}

fn history(matches: &Matches) -> Result<ExitCode> {
    let limit = matches.opt_str("limit").map(|text| number("limit", &text)).transpose()?;
    let limit = u32::try_from(limit.unwrap_or(20)).unwrap_or(u32::MAX);
    let client = util::control(matches)?;
    let changes =
        util::block_on(client.call("history", util::CONTROL_LIMIT, |c, context, _| async move {
            c.history(context, limit).await
        }))?;
    if matches.opt_present("json") {
        util::print_json(&changes);
        return Ok(ExitCode::SUCCESS);
    }
    for (change, replaced) in changes.iter().zip(replaced_texts(&changes)) {
        let control::Accepted { version, operator, at_ms, id, .. } = change;
        println!("version {version} by {operator} at_ms={at_ms} id={id}");
        print_difference(&change.text, replaced);
    }
    Ok(ExitCode::SUCCESS)
}

/// Returns, for each of the `changes` (newest first), the text that the change replaced, or `None`
/// if that text is not among the `changes`.
fn replaced_texts(changes: &[control::Accepted]) -> impl Iterator<Item = Option<&str>> {
    (0..changes.len()).map(|n| changes.get(n + 1).map(|change| change.text.as_str()))
}

/// Prints the lines that a change removed and added, or all lines if the text before is not known.
fn print_difference(text: &str, replaced: Option<&str>) {
    let replaced: Vec<&str> = replaced.unwrap_or_default().lines().collect();
    for line in replaced.iter().filter(|line| !text.lines().any(|l| l == **line)) {
        println!("  - {line}");
    }
    for line in text.lines().filter(|line| !replaced.contains(line)) {
        println!("  + {line}");
    }
}

fn number(name: &str, text: &str) -> Result<u64> {
    text.parse().map_err(|_| util::usage(format!("--{name}: '{text}' is not a number")))
}
