//! Calls to control: finds the leader and repeats idempotent calls until a point in time.

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
    error::Error,
    protocol::wire::control::{Refusal, ServiceClient},
    transport::rpc,
};

/// Time for one try; a leader that does not answer within it may be frozen or cut off.
const TRY_LIMIT: Duration = Duration::from_millis(1_000);
/// Pause after the first failed try; doubled up to [`PAUSE_MAX`], with jitter of one half.
const PAUSE: Duration = Duration::from_millis(20);
const PAUSE_MAX: Duration = Duration::from_millis(300);
/// Times that a named leader is followed without a pause.
const HOPS_MAX: u32 = 3;
/// Addresses kept; leaders that are named but not configured are added up to this number.
const LINKS_MAX: usize = 16;

type Link = Rc<rpc::Link<ServiceClient>>;

/// Client of the control group.
pub struct Client {
    links: RefCell<Vec<Link>>,
    current: Cell<usize>,
}

/// Why a call has no result.
#[derive(Debug)]
pub enum Rejected {
    /// The entry's session has ended.
    Fenced,
    /// Control cannot carry the call out.
    Invalid { detail: String },
    /// No answer in time. If it was sent, it may have been carried out, or may be later.
    Unanswered { sent: bool, detail: String },
}

impl Client {
    pub fn new(addrs: &[SocketAddr]) -> Client {
        let links = addrs.iter().map(|addr| rpc::Link::new(*addr)).collect();
        Client { links: RefCell::new(links), current: Cell::new(0) }
    }

    /// Calls the leader, again and again until it answers or `until` has passed.
    ///
    /// `call` must be idempotent: an unanswered try may have been carried out.
    pub async fn call<T, F>(
        &self,
        step: &'static str,
        until: Instant,
        call: impl Fn(ServiceClient, context::Context) -> F,
    ) -> Result<T, Rejected>
    where
        F: Future<Output = Result<Result<T, Refusal>, RpcError>>,
    {
        let mut pause = PAUSE;
        let mut hops = 0;
        let mut sent = false;
        let mut last = String::from("no time was left to ask");
        loop {
            let left = until.saturating_duration_since(Instant::now());
            if left.is_zero() {
                return Err(Rejected::Unanswered { sent, detail: last });
            }
            let link = self.link();
            let context = rpc::context(left.min(TRY_LIMIT));
            // The limit also covers the time to connect.
            let result =
                time::timeout(left.min(TRY_LIMIT), link.call(step, |client| call(client, context)));
            match result.await {
                Ok(Ok(Ok(value))) => return Ok(value),
                Ok(Ok(Err(Refusal::Fenced))) => return Err(Rejected::Fenced),
                Ok(Ok(Err(Refusal::Invalid { detail }))) => {
                    return Err(Rejected::Invalid { detail });
                }
                Ok(Ok(Err(Refusal::NotLeader { leader: Some(leader) }))) if hops < HOPS_MAX => {
                    hops += 1;
                    last = format!("step={step} peer={}: not the leader", link.addr());
                    self.follow(leader);
                    continue;
                }
                Ok(Ok(Err(refusal))) => {
                    sent |= matches!(refusal, Refusal::Storage { .. });
                    last = format!("step={step} peer={}: {refusal:?}", link.addr());
                }
                Ok(Err(e)) => {
                    sent |= !never_sent(&e);
                    last = e.to_string();
                }
                Err(_) => {
                    sent = true;
                    last = format!("step={step} peer={}: no answer", link.addr());
                }
            }
            hops = 0;
            self.skip(&link);
            let jittered = pause.mul_f64(rand::rng().random_range(0.5..1.5));
            time::sleep(jittered.min(until.saturating_duration_since(Instant::now()))).await;
            pause = (pause * 2).min(PAUSE_MAX);
        }
    }

    fn link(&self) -> Link {
        let links = self.links.borrow();
        links[self.current.get() % links.len()].clone()
    }

    /// Makes the named leader the one to ask.
    fn follow(&self, leader: SocketAddr) {
        let mut links = self.links.borrow_mut();
        let known = links.iter().position(|l| l.addr() == leader);
        let index = known.unwrap_or_else(|| {
            links.truncate(LINKS_MAX - 1);
            links.push(rpc::Link::new(leader));
            links.len() - 1
        });
        self.current.set(index);
    }

    /// Goes on to the next address, unless another call has done so.
    fn skip(&self, tried: &Link) {
        if Rc::ptr_eq(&self.link(), tried) {
            self.current.set((self.current.get() + 1) % self.links.borrow().len());
        }
    }
}

/// Whether an error tells that the call never left this process.
pub fn never_sent(error: &Error) -> bool {
    matches!(error, Error::Net { .. })
}
