//! Plays the cases of the review: `tool CASE FOLDER`, in the repository's root. Exits with 1 if the
//! rule was broken, 0 if it held, and 2 if the case could not run.

mod cases;
mod http;
mod json;
mod proxy;
mod record;
mod runner;
mod system;

use std::{path::Path, process::exit, sync::Arc};

fn main() {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let [case, folder] = arguments.as_slice() else {
        eprintln!("usage: tool CASE FOLDER");
        exit(2);
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let record = Arc::new(record::Record::new(&Path::new(folder).join("record.txt")));
    record.log(format!("case={case} trouble={trouble}"));
    let code = match cases::play(case, trouble, record.clone()) {
        Ok(broken) if broken.is_empty() => {
            record.log("held");
            println!("the rule held");
            0
        }
        Ok(broken) => {
            for line in &broken {
                record.log(format!("broken {line}"));
                println!("broken: {line}");
            }
            1
        }
        Err(reason) => {
            record.log(format!("not_run {reason}"));
            println!("the case could not run: {reason}");
            2
        }
    };
    exit(code);
}
