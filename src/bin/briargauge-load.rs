use std::{env, process::ExitCode};

use briargauge::{cmd, load};

fn main() -> ExitCode {
    let args: Vec<String> = env::args().skip(1).collect();
    if args.iter().any(|a| a == "-h" || a == "--help") {
        print!("{}", load::options::USAGE.trim_start());
        return ExitCode::SUCCESS;
    }
    let report = load::options::Options::new(&args)
        .and_then(|options| cmd::util::block_on(load::run(options)));
    match report {
        Ok(report) => {
            print!("{report}");
            ExitCode::SUCCESS
        }
        Err(e) => {
            eprintln!("briargauge-load: {e}");
            ExitCode::from(cmd::EXIT_USAGE)
        }
    }
}
