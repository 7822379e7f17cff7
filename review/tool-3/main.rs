//! Runs a case of the review: `case NAME RECORD`. Exits with 1 if the rule was broken, 0 if it held,
//! and 2 if the case could not run. With `TROUBLE=0` the disruption is left out.

mod cases;
mod http;
mod json;
mod proxy;
mod record;
mod runner;
mod soak;
mod system;
mod watch;

use std::process::ExitCode;

/// What a case has shown.
pub enum Verdict {
    Held(String),
    Broken(String),
    NotRun(String),
}

fn main() -> ExitCode {
    let mut args = std::env::args().skip(1);
    let (Some(name), Some(path)) = (args.next(), args.next()) else {
        eprintln!("usage: case NAME RECORD");
        return ExitCode::from(2);
    };
    let trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let record = record::Record::new(&path);
    let verdict = cases::run(&name, record.clone(), trouble);
    let (word, text, code) = match verdict {
        Verdict::Held(text) => ("held", text, 0),
        Verdict::Broken(text) => ("broken", text, 1),
        Verdict::NotRun(text) => ("not run", text, 2),
    };
    record.line(&format!("{word}: {text}"));
    println!("{word}: {text}");
    ExitCode::from(code)
}
