//! Compares briargauge's dispatch policy with a naive one on a virtual clock: `cargo bench --bench
//! policy`. The naive policy starts tasks in order of arrival, round robin over the servers, with a
//! constant bound on attempts in flight, a fixed timeout and three retries.
//!
//! Prints one line per scenario, load and measure, with the value of each policy and the `ratio` of
//! briargauge's value to the naive one:
//!
//! - `response`, `p99`: mean and 99th percentile of the response time of a job divided by its ideal
//!   one. A failed or expired job counts with its whole deadline. Refused jobs, cancelled jobs and
//!   those of the greedy account are left out.
//! - `wasted`: messages other than one start call and one reply per task of the completed jobs,
//!   divided by the number of tasks of all jobs.
//! - `goodput`: work of completed jobs per unit of time, relative to the lower of the offered work
//!   and the capacity. Cancelled jobs do not count as offered.
//! - `p99_to_alone`, only for the scenario `greedy`: `p99` divided by the `p99` of a simulation
//!   without the greedy account.
//!
//! Arguments select scenarios by name; `cost` selects the cost of a decision.

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
    world::JobOutcome,
};

/// Offered loads, in percent of the capacity.
const LOADS: [u32; 3] = [50, 80, 120];
/// Jobs that complete before this do not count for goodput, because queues still fill up.
const WARM_UP_US: u64 = 5_000_000;

/// Figures of one simulation.
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
    let briargauge = measure(&plan, Policy::Briargauge);
    let line = |measure: &str, naive: f64, briargauge: f64| {
        println!(
            "scenario={name} load={load} measure={measure} policy=both naive={naive:.4} \
             briargauge={briargauge:.4} ratio={:.3}",
            briargauge / naive
        );
    };
    line("response", naive.response, briargauge.response);
    line("p99", naive.p99, briargauge.p99);
    line("wasted", naive.wasted, briargauge.wasted);
    line("goodput", naive.goodput, briargauge.goodput);
    if scenario == Scenario::Greedy {
        // The other accounts' p99 relative to their p99 without the greedy account.
        let alone = Plan::new(scenario, f64::from(load) / 100.0, false);
        let naive = naive.p99 / measure(&alone, Policy::Naive).p99;
        let briargauge = briargauge.p99 / measure(&alone, Policy::Briargauge).p99;
        line("p99_to_alone", naive, briargauge);
    }
}

fn measure(plan: &Plan, policy: Policy) -> Measures {
    let result = world::simulate(plan, policy);
    // Account 9 is the greedy one; only `Scenario::Greedy` has it.
    let greedy = plan.jobs.iter().map(|j| j.account).max().filter(|account| *account == 9);
    let mut ratios = Vec::new();
    let (mut needed_messages, mut tasks, mut done_us, mut offered_us) = (0, 0, 0.0, 0.0);
    for (job, outcome) in plan.jobs.iter().zip(&result.outcomes) {
        let outcome = outcome.expect("every job ends");
        tasks += job.tasks.len();
        if outcome != JobOutcome::Cancelled {
            offered_us += load::total_work_us(&job.tasks);
        }
        let took = match outcome {
            JobOutcome::Completed(at) => {
                needed_messages += 2 * job.tasks.len() as u64;
                if (WARM_UP_US..SECONDS * 1_000_000).contains(&at) {
                    done_us += load::total_work_us(&job.tasks);
                }
                at - job.at
            }
            JobOutcome::Failed => DEADLINE_US,
            JobOutcome::Refused | JobOutcome::Cancelled => continue,
        };
        if Some(job.account) != greedy {
            ratios.push(took as f64 / world::ideal_us(plan, job));
        }
    }
    ratios.sort_by(f64::total_cmp);
    let window_us = (SECONDS * 1_000_000 - WARM_UP_US) as f64;
    let offered_ratio = (offered_us / (SECONDS * 1_000_000) as f64 / plan.capacity()).min(1.0);
    Measures {
        response: ratios.iter().sum::<f64>() / ratios.len() as f64,
        p99: ratios[ratios.len() * 99 / 100],
        wasted: (result.messages - needed_messages) as f64 / tasks as f64,
        goodput: done_us / window_us / plan.capacity() / offered_ratio,
    }
}
