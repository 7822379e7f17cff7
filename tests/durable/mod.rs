//! A queue and a job for tests of durable jobs.

use briargauge::protocol::queue::{Config, Job, Queue, Resources, Service, Step};

pub const HOST: &str = "co-op.example";

/// A configuration with the queue `/q/`, whose service is "quotes".
pub fn config(max_attempts: u32) -> Config {
    let queue = Queue {
        host: HOST.to_owned(),
        prefix: "/q/".to_owned(),
        service: "quotes".to_owned(),
        max_attempts,
        timeout_ms: 100,
        ..Queue::default()
    };
    Config {
        version: 1,
        queues: vec![queue],
        services: vec![Service { name: "quotes".to_owned(), enforces_capacity: false }],
        document: String::new(),
    }
}

/// A job of one step, whose tasks need one core each.
pub fn job(tasks: u16) -> Job {
    let needs = Resources { cpu_milli: 1_000, memory_mb: 1, accelerators: 0 };
    let step = Step { tasks, needs, estimate_ms: 10, ..Step::default() };
    Job::new("spec".to_owned(), vec![step])
}
