//! Finds the leading control instance and calls it.

use std::{
    cell::{Cell, RefCell},
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant},
};

use indexmap::{IndexMap, IndexSet};
use snafu::Snafu;
use tokio::time;

use crate::{
    error::{Error, Result},
    protocol::wire::queue::{Answer, Call, Commands, Refusal, Report, ServiceClient},
    transport::rpc::{self, Link},
};

/// Time after which a call is made again, perhaps at another instance.
const ATTEMPT_LIMIT: Duration = Duration::from_millis(700);
/// Time to open a connection before another instance is tried. The connection goes on being opened
/// meanwhile.
const OPEN_LIMIT: Duration = Duration::from_millis(100);
/// Pause before the leader that an instance has named is called.
const NAMED_PAUSE: Duration = Duration::from_millis(2);
/// Pause before another instance is tried.
const PAUSE: Duration = Duration::from_millis(20);
/// Pause after all known instances were tried.
const ROUND_PAUSE: Duration = Duration::from_millis(80);

/// Why a call has no answer.
#[derive(Debug, Snafu)]
pub enum Failure {
    /// Nothing was done, and nothing will be.
    #[snafu(display("not done: {detail}"))]
    NotDone { detail: String },
    /// The call may have been carried out, or may be later.
    #[snafu(display("outcome unknown: {detail}"))]
    Unknown { detail: String },
}

/// The leading control instance, wherever it is. Cheap to clone.
#[derive(Clone)]
pub struct Leader {
    inner: Rc<Inner>,
}

struct Inner {
    seeds: RefCell<Vec<SocketAddr>>,
    control_addrs: RefCell<Vec<SocketAddr>>,
    links: RefCell<IndexMap<SocketAddr, Rc<Link<ServiceClient>>>>,
    current: Cell<Option<SocketAddr>>,
    next: Cell<usize>,
    answered: Cell<Option<Instant>>,
}

impl Leader {
    /// Starts from addresses of instances that may be stale.
    pub fn new(seeds: Vec<SocketAddr>) -> Leader {
        let inner = Inner {
            seeds: RefCell::new(seeds),
            control_addrs: RefCell::default(),
            links: RefCell::default(),
            current: Cell::new(None),
            next: Cell::new(rand::random_range(0..1_000)),
            answered: Cell::new(None),
        };
        Leader { inner: Rc::new(inner) }
    }

    /// Takes other addresses to start from.
    pub fn set_seeds(&self, seeds: Vec<SocketAddr>) {
        *self.inner.seeds.borrow_mut() = seeds;
    }

    /// Stores the addresses of the control instances that a leader sent.
    pub fn set_control_addrs(&self, control_addrs: Vec<SocketAddr>) {
        if !control_addrs.is_empty() && *self.inner.control_addrs.borrow() != control_addrs {
            log::info!("event=members members={control_addrs:?}");
            *self.inner.control_addrs.borrow_mut() = control_addrs;
        }
    }

    /// Whether a leader has answered within `limit`.
    pub fn in_touch(&self, limit: Duration) -> bool {
        self.inner.answered.get().is_some_and(|at| at.elapsed() < limit)
    }

    /// Makes a call, at one instance after the other until `limit` is over.
    pub async fn call(&self, call: Call, limit: Duration) -> Result<Answer, Failure> {
        let end = Instant::now() + limit;
        let mut unknown = false;
        loop {
            let left = end.saturating_duration_since(Instant::now());
            let addr = self.addr();
            let attempt = left.min(ATTEMPT_LIMIT);
            let request = call.clone();
            let answer = self
                .attempt(addr, "call_leader", attempt, |client| async move {
                    client.call(rpc::context(attempt), request).await
                })
                .await;
            let detail = match answer {
                Ok(Ok(Answer::View(view))) => {
                    self.set_control_addrs(view.control_addrs.clone());
                    return Ok(Answer::View(view));
                }
                Ok(Ok(answer)) => return Ok(answer),
                Ok(Err(refusal)) => {
                    unknown |= matches!(refusal, Refusal::Unknown { .. });
                    format!("{refusal:?}")
                }
                Err(e) => {
                    unknown |= !matches!(e, Error::Net { .. });
                    e.to_string()
                }
            };
            if Instant::now() + PAUSE >= end {
                log::info!("event=call_given_up peer={addr} unknown={unknown} detail={detail:?}");
                return Err(match unknown {
                    true => Failure::Unknown { detail },
                    false => Failure::NotDone { detail },
                });
            }
            self.pause().await;
        }
    }

    /// Reports once. An error leaves open whether the report was taken.
    pub async fn report(
        &self,
        report: Report,
        limit: Duration,
    ) -> Result<Result<Commands, Refusal>> {
        let addr = self.addr();
        self.attempt(addr, "report", limit, |client| async move {
            client.report(rpc::context(limit), report).await
        })
        .await
    }

    /// Waits before another instance is tried.
    pub async fn pause(&self) {
        if self.inner.current.get().is_some() {
            return time::sleep(NAMED_PAUSE).await;
        }
        let known =
            self.inner.seeds.borrow().len().max(self.inner.control_addrs.borrow().len()).max(1);
        let round = self.inner.next.get().is_multiple_of(known);
        time::sleep(if round { ROUND_PAUSE } else { PAUSE }).await;
    }

    async fn attempt<T, F>(
        &self,
        addr: SocketAddr,
        step: &'static str,
        limit: Duration,
        call: impl FnOnce(ServiceClient) -> F,
    ) -> Result<Result<T, Refusal>>
    where
        F: Future<Output = Result<Result<T, Refusal>, tarpc::client::RpcError>>,
    {
        let link = self.link(addr);
        if !open(&link, limit.min(OPEN_LIMIT)).await {
            self.leave(addr, None);
            let source = std::io::ErrorKind::TimedOut.into();
            return Err(Error::Net { step, peer: addr, source });
        }
        let result = match time::timeout(limit, link.call(step, call)).await {
            Ok(result) => result,
            Err(_) => Err(Error::Rpc {
                step,
                peer: addr,
                source: tarpc::client::RpcError::DeadlineExceeded,
            }),
        };
        match &result {
            Ok(Ok(_)) => self.inner.answered.set(Some(Instant::now())),
            Ok(Err(Refusal::NotLeader { leader })) => self.leave(addr, *leader),
            Ok(Err(_)) => {}
            Err(e) => {
                log::debug!("event=attempt_failed {e}");
                // After a partition a silent connection may stay stuck for as long as TCP
                // backs off.
                let mut links = self.inner.links.borrow_mut();
                if links.get(&addr).is_some_and(|open| Rc::ptr_eq(open, &link)) {
                    links.swap_remove(&addr);
                }
                drop(links);
                self.leave(addr, None);
            }
        }
        result
    }

    /// Leaves an instance that did not serve, for the named one or the next.
    fn leave(&self, addr: SocketAddr, leader: Option<SocketAddr>) {
        if self.inner.current.get().is_none_or(|current| current == addr) {
            self.inner.current.set(leader.filter(|leader| *leader != addr));
        }
    }

    fn addr(&self) -> SocketAddr {
        if let Some(current) = self.inner.current.get() {
            return current;
        }
        let next = self.inner.next.get() + 1;
        self.inner.next.set(next);
        let control_addrs = self.inner.control_addrs.borrow();
        let seeds = self.inner.seeds.borrow();
        let known: IndexSet<SocketAddr> =
            control_addrs.iter().chain(seeds.iter()).copied().collect();
        let addr = known[next % known.len()];
        self.inner.current.set(Some(addr));
        addr
    }

    fn link(&self, addr: SocketAddr) -> Rc<Link<ServiceClient>> {
        self.inner.links.borrow_mut().entry(addr).or_insert_with(|| Link::new(addr)).clone()
    }
}

/// Opens a connection. `false` if that takes longer than `limit`; it then goes on.
async fn open(link: &Rc<Link<ServiceClient>>, limit: Duration) -> bool {
    if link.is_open() {
        return true;
    }
    let opening = link.clone();
    let opened = actix_rt::spawn(async move { opening.ready().await });
    // A failure to open is met again by the call itself.
    time::timeout(limit, opened).await.is_ok()
}
