//! Client of the control instances: finds the leader and repeats idempotent calls.

use std::{
    cell::{Cell, RefCell},
    future::Future,
    net::SocketAddr,
    rc::Rc,
    time::Duration,
};

use rand::Rng;
use tarpc::{client::RpcError, context};
use tokio::time::{self, Instant};

use crate::{
    cluster::Followed,
    error::{Error, Result},
    protocol::{id, wire::control},
    transport::rpc,
};

/// Time limit for one instance to answer before the next one is called. It is needed because a
/// frozen instance keeps its connections open.
const ATTEMPT_LIMIT: Duration = Duration::from_millis(1_500);
/// Pause after the first failed attempt. It is doubled after each further one up to [`PAUSE_MAX`],
/// and varied at random by up to a half, so that clients do not repeat their calls at the same
/// time.
const PAUSE: Duration = Duration::from_millis(40);
const PAUSE_MAX: Duration = Duration::from_millis(300);
/// Successive redirects to a named leader, and changes of the followed cluster, after which there is
/// no pause.
const REDIRECTS_MAX: u32 = 3;

/// Why a call to control has no result.
#[derive(Debug)]
pub enum Failure {
    /// Control answered that it refuses the call.
    Refused { peer: SocketAddr, refusal: control::Refusal },
    /// There was no answer within the limit. The call may have been executed, or may be later,
    /// unless the error is [`Error::Net`]: then each attempt either opened no connection or was
    /// refused without being executed.
    NoAnswer(Error),
}

impl Failure {
    /// Whether the call may have been executed, or may be later.
    pub fn may_have_executed(&self) -> bool {
        match self {
            Failure::Refused { refusal, .. } => matches!(refusal, control::Refusal::Storage { .. }),
            Failure::NoAnswer(e) => !matches!(e, Error::Net { .. }),
        }
    }
}

impl From<Failure> for Error {
    fn from(failure: Failure) -> Error {
        match failure {
            Failure::Refused { peer, refusal } => {
                Error::Refused { step: "control", peer, reason: describe(&refusal) }
            }
            Failure::NoAnswer(e) => e,
        }
    }
}

/// Describes a refusal for operators and logs.
pub fn describe(refusal: &control::Refusal) -> String {
    match refusal {
        control::Refusal::NotLeader { leader: Some(leader) } => format!("{leader} leads"),
        control::Refusal::NotLeader { leader: None } => "no leader is known".into(),
        control::Refusal::NotInitialised => {
            "no cluster has been formed: run `briargauge init` once".into()
        }
        control::Refusal::OtherCluster { cluster } => format!("it belongs to cluster {cluster}"),
        control::Refusal::Stopping => "the instance is stopping".into(),
        control::Refusal::Fenced => "the session has ended".into(),
        control::Refusal::Storage { detail } => format!("the record was not stored: {detail}"),
        control::Refusal::Invalid { detail } => detail.clone(),
    }
}

/// A client of all control instances. Cheap to clone; clones share connections.
#[derive(Clone)]
pub struct Control {
    inner: Rc<Inner>,
}

struct Inner {
    links: RefCell<Vec<Rc<rpc::Link<control::ServiceClient>>>>,
    /// Index of the link to call next, modulo the number of links.
    current: Cell<usize>,
    followed: Followed,
}

impl Control {
    /// A client of the instances at `addrs`, of which there must be at least one.
    pub fn new(addrs: &[SocketAddr]) -> Control {
        let links = addrs.iter().map(|addr| rpc::Link::new(*addr)).collect();
        let inner = Inner {
            links: RefCell::new(links),
            current: Cell::new(0),
            followed: Followed::default(),
        };
        Control { inner: Rc::new(inner) }
    }

    /// Makes a call to the leader and repeats it until it is answered or `limit` has passed.
    ///
    /// The call must be idempotent, because an instance may execute it although its answer is lost. It
    /// gets the cluster that this client follows, if it follows one yet.
    pub async fn call<T, F>(
        &self,
        step: &'static str,
        limit: Duration,
        call: impl Fn(control::ServiceClient, context::Context, Option<id::Cluster>) -> F,
    ) -> Result<T, Failure>
    where
        F: Future<Output = Result<Result<T, control::Refusal>, RpcError>>,
    {
        let deadline = Instant::now() + limit;
        // The last failure after which the call may have been executed. It is returned in place of
        // any later failure, because that one may claim that the call was not executed.
        let mut maybe_executed = None;
        let mut pause = PAUSE;
        let mut redirects = 0;
        loop {
            let link = self.link();
            let left = deadline.saturating_duration_since(Instant::now());
            if left.is_zero() {
                let source = std::io::ErrorKind::TimedOut.into();
                let timeout = Error::Net { step, peer: link.addr(), source };
                return Err(maybe_executed.unwrap_or(Failure::NoAnswer(timeout)));
            }
            let context = rpc::context(left.min(ATTEMPT_LIMIT));
            let cluster = self.inner.followed.get();
            let failure = match link.call(step, |client| call(client, context, cluster)).await {
                Ok(Ok(answer)) => return Ok(answer),
                Ok(Err(refusal)) => {
                    let peer = link.addr();
                    match refusal {
                        control::Refusal::NotLeader { leader: Some(leader) }
                            if self.inner.followed.get() == cluster =>
                        {
                            self.prefer(leader);
                            redirects += 1;
                            if redirects <= REDIRECTS_MAX {
                                continue;
                            }
                        }
                        control::Refusal::OtherCluster { cluster } => {
                            if !self.inner.followed.handle_refusal(peer, cluster) {
                                self.next(&link);
                            } else if redirects < REDIRECTS_MAX {
                                redirects += 1;
                                continue;
                            }
                        }
                        control::Refusal::NotLeader { .. }
                        | control::Refusal::NotInitialised
                        | control::Refusal::Stopping => self.next(&link),
                        control::Refusal::Storage { .. } => {}
                        control::Refusal::Fenced | control::Refusal::Invalid { .. } => {
                            return Err(Failure::Refused { peer, refusal });
                        }
                    }
                    Failure::Refused { peer, refusal }
                }
                Err(e) => {
                    self.next(&link);
                    Failure::NoAnswer(e)
                }
            };
            redirects = 0;
            let jittered = pause.mul_f64(rand::rng().random_range(0.5..1.5));
            if Instant::now() + jittered >= deadline {
                return Err(maybe_executed.unwrap_or(failure));
            }
            if failure.may_have_executed() {
                maybe_executed = Some(failure);
            }
            time::sleep(jittered).await;
            pause = (pause * 2).min(PAUSE_MAX);
        }
    }

    fn link(&self) -> Rc<rpc::Link<control::ServiceClient>> {
        let links = self.inner.links.borrow();
        links[self.inner.current.get() % links.len()].clone()
    }

    /// Selects the next instance, unless another call has already done so.
    fn next(&self, tried: &Rc<rpc::Link<control::ServiceClient>>) {
        if Rc::ptr_eq(&self.link(), tried) {
            self.inner.current.set(self.inner.current.get().wrapping_add(1));
        }
    }

    /// Selects the instance at `addr`, even if it is not among the given addresses.
    fn prefer(&self, addr: SocketAddr) {
        let mut links = self.inner.links.borrow_mut();
        let index = links.iter().position(|l| l.addr() == addr).unwrap_or_else(|| {
            links.push(rpc::Link::new(addr));
            links.len() - 1
        });
        self.inner.current.set(index);
    }
}
