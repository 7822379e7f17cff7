//! The load generator: random arrivals, ideal times and sums of metrics.

use briargauge::load::{self, options, scrape, work};

fn options(extra: &[&str]) -> options::Options {
    let mut args = vec!["--entry", "127.0.0.1:9", "--seconds", "20"];
    args.extend(extra);
    let args: Vec<String> = args.into_iter().map(str::to_owned).collect();
    options::Options::new(&args).unwrap()
}

/// Guards against arrivals that differ between experiments with the same seed: two policies are
/// comparable only if they get the same arrivals.
#[test]
fn same_seed_gives_same_arrivals() {
    let arrivals = |seed| load::Arrivals::new(&options(&["--seed", seed])).collect::<Vec<_>>();
    assert_eq!(arrivals("7"), arrivals("7"));
    assert_ne!(arrivals("7"), arrivals("8"));
}

/// Guards against an offered load that differs from the requested one, which the report states.
#[test]
fn arrivals_offer_the_requested_load() {
    let options = options(&["--load", "0.8", "--capacity", "88", "--tasks", "4"]);
    let work_ms: u64 = load::Arrivals::new(&options).flat_map(|a| a.work_ms).sum();
    let offered = work_ms as f64 / 1_000.0 / options.seconds / options.capacity;
    assert!((offered - 0.8).abs() < 0.1, "offered {offered}");
}

/// Guards against an ideal time that is shorter than any system can reach, or longer than the best
/// system needs.
#[test]
fn ideal_is_bounded_by_longest_task_and_by_slots() {
    assert_eq!(work::ideal_ms(&[100, 400, 200], 8, 2.0), 200.0);
    assert_eq!(work::ideal_ms(&[100; 16], 8, 1.0), 200.0);
}

/// Guards against sums that include other metrics whose names start with the same prefix.
#[test]
fn scrape_sums_one_metric() {
    let page = "a_total{team=\"x\"} 2\na_total{team=\"y\"} 3\na_total_other 7\n# a_total 9\n";
    assert_eq!(scrape::sum(page, "a_total"), 5.0);
}
