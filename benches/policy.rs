//! Compares the dispatch policy with the naive one: `cargo bench --bench policy`.
//!
//! Prints one line per scenario, load and measure. `response` and `p99` are the mean and the 99th
//! percentile of response time divided by the ideal; a failed or expired job counts as having taken
//! its whole deadline, a refused one does not count. `wasted` is messages that did not help to form
//! an answer, per task. `goodput` is the work of completed jobs per time, relative to what was
//! offered or could be done. An argument selects scenarios by name.

#[path = "policy/cost.rs"]
mod cost;
#[path = "policy/fake.rs"]
mod fake;
#[path = "policy/load.rs"]
mod load;
#[path = "policy/world.rs"]
mod world;

use briargauge::coordination::dispatch::Policy;

use crate::{
    load::{DEADLINE_US, Plan, SCENARIOS, SECONDS, Scenario},
    world::End,
};

const LOADS: [u32; 3] = [50, 80, 120];
/// Jobs that complete in the first seconds do not count for goodput: queues fill up.
const FILL_US: u64 = 5_000_000;

/// What is measured of one run.
#[derive(Debug)]
struct Measures {
    response: f64,
    p99: f64,
    wasted: f64,
    goodput: f64,
}

fn main() {
    let args: Vec<String> = std::env::args().skip(1).filter(|a| !a.starts_with("--")).collect();
    for scenario in SCENARIOS {
        let name = format!("{scenario:?}").to_lowercase();
        if !args.is_empty() && !args.contains(&name) {
            continue;
        }
        for load in LOADS {
            compare(scenario, &name, load);
        }
    }
    if args.is_empty() || args.iter().any(|a| a == "cost") {
        cost::print();
    }
}

fn compare(scenario: Scenario, name: &str, load: u32) {
    let plan = Plan::new(scenario, f64::from(load) / 100.0, true);
    let naive = measure(&plan, Policy::Naive);
    let real = measure(&plan, Policy::Briargauge);
    let line = |measure: &str, naive: f64, real: f64| {
        println!(
            "scenario={name} load={load} measure={measure} policy=both naive={naive:.4} \
             briargauge={real:.4} ratio={:.3}",
            real / naive
        );
    };
    line("response", naive.response, real.response);
    line("p99", naive.p99, real.p99);
    line("wasted", naive.wasted, real.wasted);
    line("goodput", naive.goodput, real.goodput);
    if scenario == Scenario::Greedy {
        // The other teams' p99 relative to their p99 without the greedy team.
        let alone = Plan::new(scenario, f64::from(load) / 100.0, false);
        let naive = naive.p99 / measure(&alone, Policy::Naive).p99;
        let real = real.p99 / measure(&alone, Policy::Briargauge).p99;
        line("p99_to_alone", naive, real);
    }
}

fn measure(plan: &Plan, policy: Policy) -> Measures {
    let outcome = world::play(plan, policy);
    let greedy = plan.jobs.iter().map(|j| j.account).max().filter(|t| *t == 9);
    let mut ratios = Vec::new();
    let (mut useful, mut tasks, mut done, mut offered) = (0, 0, 0.0, 0.0);
    for (job, end) in plan.jobs.iter().zip(&outcome.ends) {
        let end = end.expect("every job ends");
        tasks += job.tasks.len();
        if end != End::Cancelled {
            offered += load::work(&job.tasks);
        }
        let took = match end {
            End::Completed(at) => {
                useful += 2 * job.tasks.len() as u64;
                if (FILL_US..SECONDS * 1_000_000).contains(&at) {
                    done += load::work(&job.tasks);
                }
                at - job.at
            }
            End::Failed => DEADLINE_US,
            End::Refused | End::Cancelled => continue,
        };
        if Some(job.account) != greedy {
            ratios.push(took as f64 / world::ideal_us(plan, job));
        }
    }
    ratios.sort_by(f64::total_cmp);
    let window = (SECONDS * 1_000_000 - FILL_US) as f64;
    let possible = (offered / (SECONDS * 1_000_000) as f64 / plan.capacity()).min(1.0);
    Measures {
        response: ratios.iter().sum::<f64>() / ratios.len() as f64,
        p99: ratios[ratios.len() * 99 / 100],
        wasted: (outcome.messages - useful) as f64 / tasks as f64,
        goodput: done / window / plan.capacity() / possible,
    }
}
