//! Runs one case of this review: `review-harness CASE FOLDER`. Writes `record.txt` to the folder and
//! exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.

mod cases;
mod http;
mod json;
mod record;
mod runner;
mod system;

use std::{env, path::Path, process::ExitCode};

use record::Record;

fn main() -> ExitCode {
    let arguments: Vec<String> = env::args().collect();
    let [_, case, folder] = arguments.as_slice() else {
        eprintln!("usage: review-harness CASE FOLDER");
        return ExitCode::from(2);
    };
    let trouble = env::var("TROUBLE").as_deref() != Ok("0");
    let record = Record::new();
    record.add(format!("case {case}, disruption: {trouble}"));
    let result = cases::run(case, &record, trouble);
    let (text, code) = match result {
        Ok(None) => ("the rule held".to_owned(), 0),
        Ok(Some(fault)) => (format!("the rule was broken: {fault}"), 1),
        Err(reason) => (format!("the case could not run: {reason}"), 2),
    };
    println!("{case}: {text}");
    record.add(text);
    if let Err(e) = record.write(&Path::new(folder).join("record.txt")) {
        eprintln!("record.txt: {e}");
        return ExitCode::from(2);
    }
    ExitCode::from(code)
}
