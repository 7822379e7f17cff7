//! A simulated sidecar that completes tasks at once and injects faults.

use std::{
    cell::{Cell, RefCell},
    collections::HashSet,
    net::SocketAddr,
    rc::Rc,
    time::Duration,
};

use briargauge::{
    protocol::{
        id, job,
        wire::{
            control::{Server, ServerState},
            sidecar::{Cancelled, Load, NotStarted, Reply, Revoked, RunResult, Service, Task},
        },
    },
    transport::rpc,
};
use tarpc::context::Context;
use tokio::{sync::watch, time};

use super::relay::Relay;

/// What the sidecar does with an attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    None,
    Refuse(NotStarted),
    /// The attempt starts and fails.
    Fail,
    /// The attempt starts and is answered after this many ms.
    Late(u64),
    /// The attempt starts, but the reply names another attempt.
    Crossed,
    /// The answer does not match its checksum.
    BadCrc,
    /// The answer is not valid JSON.
    BadJson,
    /// The connection breaks, and the attempt waits unstarted until it is revoked.
    CutBefore,
    /// The connection breaks after the attempt has started.
    CutAfter,
    /// The attempt starts and is answered when the test calls `release`.
    Hold,
}

type Plan = Rc<dyn Fn(&Task) -> Fault>;

pub struct Sidecar {
    pub relay: Rc<Relay>,
    pub incarnation: id::Incarnation,
    server: RefCell<Option<rpc::Server>>,
    plan: RefCell<Plan>,
    /// Attempts in the order in which they started.
    pub started: RefCell<Vec<id::Attempt>>,
    revoked: RefCell<HashSet<id::Attempt>>,
    /// Executions for which the entry has sent a cancel call.
    pub cancels: RefCell<Vec<id::Execution>>,
    /// Number of run calls received.
    pub runs: Cell<usize>,
    release: watch::Sender<bool>,
}

impl Sidecar {
    pub async fn start() -> Rc<Sidecar> {
        let sidecar_cell = Rc::new(RefCell::new(None));
        let handler = Handler(sidecar_cell.clone());
        let rpc = rpc::serve(super::any(), handler.serve()).await.unwrap();
        let relay = Relay::start(rpc.addr()).await;
        let sidecar = Rc::new(Sidecar {
            relay,
            incarnation: id::Incarnation(rand::random()),
            server: RefCell::new(Some(rpc)),
            plan: RefCell::new(Rc::new(|_| Fault::None)),
            started: RefCell::default(),
            revoked: RefCell::default(),
            cancels: RefCell::default(),
            runs: Cell::new(0),
            release: watch::channel(false).0,
        });
        *sidecar_cell.borrow_mut() = Some(sidecar.clone());
        sidecar
    }

    /// Its backend server, reachable through the relay.
    pub fn as_server(&self) -> Server {
        self.as_server_at(self.relay.addr)
    }

    /// Its own address, without the relay.
    pub fn addr(&self) -> SocketAddr {
        self.server.borrow().as_ref().unwrap().addr()
    }

    pub fn as_server_at(&self, addr: SocketAddr) -> Server {
        Server {
            incarnation: self.incarnation,
            addr,
            data_centre: "fukuoka".into(),
            rack: "r1".into(),
            slots: 1_000,
            connections: 64,
            kinds: Vec::new(),
            size: job::Needs { cpus: 64, memory_mb: 131_072, accelerators: 0 },
            state: ServerState::Serving,
        }
    }

    /// Sets the fault of each later attempt.
    pub fn plan(&self, plan: impl Fn(&Task) -> Fault + 'static) {
        self.plan.replace(Rc::new(plan));
    }

    /// Answers the attempts that wait under `Fault::Hold`, now and later.
    pub fn release(&self) {
        self.release.send_replace(true);
    }

    pub fn starts(&self) -> usize {
        self.started.borrow().len()
    }

    /// Whether a task of an execution has started more than once.
    pub fn has_repeats(&self) -> bool {
        let started = self.started.borrow();
        let mut seen = HashSet::new();
        !started.iter().all(|a| seen.insert((a.execution, a.task)))
    }

    async fn run(&self, task: Task) -> Reply {
        self.runs.set(self.runs.get() + 1);
        let attempt = task.attempt;
        let plan = self.plan.borrow().clone();
        let fault = plan(&task);
        let reply = |attempt, result| {
            let load = Load { slots: 1_000, busy: 0, queued: 0 };
            Reply { attempt, load, result }
        };
        let not_started = |reason| reply(attempt, RunResult::NotStarted { reason });
        match fault {
            Fault::Refuse(reason) => return not_started(reason),
            Fault::CutBefore => {
                self.relay.cut();
                // Models an attempt that is queued at the sidecar until the entry has revoked it.
                super::until("the revocation of the attempt", || {
                    self.revoked.borrow().contains(&attempt)
                })
                .await;
            }
            _ => {}
        }
        if self.revoked.borrow().contains(&attempt) {
            return not_started(NotStarted::Revoked);
        }
        self.started.borrow_mut().push(attempt);
        let done = |answer: String| {
            let crc = crc32fast::hash(answer.as_bytes());
            RunResult::Done { answer, crc, ran_us: 10 }
        };
        let result = match fault {
            Fault::Fail => RunResult::Failed {
                reason: job::Failure::TaskFailed,
                detail: "status=500".into(),
                ran_us: 10,
            },
            Fault::Late(ms) => {
                time::sleep(Duration::from_millis(ms)).await;
                done(task.input)
            }
            Fault::Hold => {
                let _ = self.release.subscribe().wait_for(|released| *released).await;
                done(task.input)
            }
            Fault::Crossed => {
                let other = id::Attempt { task: attempt.task + 1, ..attempt };
                return reply(other, done(task.input));
            }
            Fault::BadCrc => RunResult::Done { answer: task.input, crc: 1, ran_us: 10 },
            Fault::BadJson => done("{".into()),
            Fault::CutAfter => {
                self.relay.cut();
                done(task.input)
            }
            Fault::None | Fault::Refuse(_) | Fault::CutBefore => done(task.input),
        };
        reply(attempt, result)
    }

    fn revoke(&self, attempts: Vec<id::Attempt>) -> Vec<Revoked> {
        let started = self.started.borrow();
        let revoke = |attempt: id::Attempt| {
            if started.contains(&attempt) {
                return Revoked::Started;
            }
            self.revoked.borrow_mut().insert(attempt);
            Revoked::NotStarted
        };
        attempts.into_iter().map(revoke).collect()
    }
}

#[derive(Clone)]
struct Handler(Rc<RefCell<Option<Rc<Sidecar>>>>);

impl Handler {
    fn sidecar(&self) -> Rc<Sidecar> {
        self.0.borrow().clone().unwrap()
    }
}

impl Service for Handler {
    async fn run(self, _: Context, task: Task) -> Reply {
        let sidecar = self.sidecar();
        // Spawned, because `rpc::serve` drops the handlers of a broken connection, and a started
        // attempt must continue all the same.
        actix_rt::spawn(async move { sidecar.run(task).await }).await.unwrap()
    }

    async fn cancel(self, _: Context, execution: id::Execution) -> Cancelled {
        self.sidecar().cancels.borrow_mut().push(execution);
        Cancelled { queued: 0, running: 1 }
    }

    async fn revoke(
        self,
        _: Context,
        incarnation: id::Incarnation,
        attempts: Vec<id::Attempt>,
    ) -> Vec<Revoked> {
        let sidecar = self.sidecar();
        if incarnation != sidecar.incarnation {
            return vec![Revoked::Unknown; attempts.len()];
        }
        sidecar.revoke(attempts)
    }
}
