//! The load tool: its draws and its arithmetic.

use briargauge::load::{self, options, scrape, work};

fn options(extra: &[&str]) -> options::Options {
    let mut args = vec!["--entry", "127.0.0.1:9", "--seconds", "20"];
    args.extend(extra);
    let args: Vec<String> = args.into_iter().map(str::to_owned).collect();
    options::Options::new(&args).unwrap()
}

/// Two policies are only comparable if they get the same arrivals from the same seed.
#[test]
fn same_seed_gives_same_arrivals() {
    let arrivals = |seed| load::Arrivals::new(&options(&["--seed", seed])).collect::<Vec<_>>();
    assert_eq!(arrivals("7"), arrivals("7"));
    assert_ne!(arrivals("7"), arrivals("8"));
}

/// Guards against an offered load that differs from the one in the report.
#[test]
fn arrivals_offer_the_asked_load() {
    let options = options(&["--load", "0.8", "--capacity", "88", "--tasks", "4"]);
    let work_ms: u64 = load::Arrivals::new(&options).flat_map(|a| a.work_ms).sum();
    let offered = work_ms as f64 / 1_000.0 / options.seconds / options.capacity;
    assert!((offered - 0.8).abs() < 0.1, "offered {offered}");
}

/// Guards against an ideal that is below what any system could reach, or above the best one.
#[test]
fn ideal_is_bounded_by_longest_task_and_by_slots() {
    assert_eq!(work::ideal_ms(&[100, 400, 200], 8, 2.0), 200.0);
    assert_eq!(work::ideal_ms(&[100; 16], 8, 1.0), 200.0);
}

/// Guards against sums that mix metrics with a common prefix.
#[test]
fn scrape_sums_one_metric() {
    let page = "a_total{team=\"x\"} 2\na_total{team=\"y\"} 3\na_total_other 7\n# a_total 9\n";
    assert_eq!(scrape::sum(page, "a_total"), 5.0);
}
