//! Client of the leading control instance: finds it and follows it when it changes.
//!
//! A client follows one cluster. Each call names it, and instances of other clusters refuse the call,
//! so that terms, versions, generations and addresses of two clusters never mix.

use std::{
    cell::{Cell, RefCell},
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant},
};

use indexmap::{IndexMap, IndexSet};
use snafu::Snafu;
use tokio::{
    sync::{Semaphore, SemaphorePermit},
    time,
};

use crate::{
    cluster::Followed,
    control::replica::Replica,
    error::{Error, Result},
    protocol::{
        id,
        wire::queue::{Answer, Call, Commands, Members, Refusal, Report, ServiceClient},
    },
    transport::rpc::{self, Link},
};

/// Time limit of one try of a call, which is then repeated, possibly at another instance.
const TRY_TIMEOUT: Duration = Duration::from_millis(700);
/// Time to open a connection before another instance is tried. The connection continues to be
/// opened in the background.
const OPEN_TIMEOUT: Duration = Duration::from_millis(100);
/// Delay before the next try if an instance is selected: the leader that another one has named, or
/// the same instance after a refusal other than `NotLeader`.
const SELECTED_DELAY: Duration = Duration::from_millis(2);
/// Delay before another instance is tried.
const RETRY_DELAY: Duration = Duration::from_millis(20);
/// Delay that replaces [`RETRY_DELAY`] about once per round of the known instances.
const ROUND_DELAY: Duration = Duration::from_millis(80);
/// Most reads of the configuration that are sent at once. Each answer is a copy of up to 8 MiB, in the
/// buffers of both ends of the connection too.
const CONFIG_READS_MAX: usize = 4;

/// Reason why a call has no answer.
#[derive(Debug, Snafu)]
pub enum Failure {
    /// The call was not carried out and will not be.
    #[snafu(display("not done: {detail}"))]
    NotDone { detail: String },
    /// The call may have been carried out, or may be carried out later.
    #[snafu(display("outcome unknown: {detail}"))]
    Unknown { detail: String },
}

/// Client of the leading control instance. Clones are cheap and refer to the same client.
#[derive(Clone)]
pub struct LeaderClient {
    inner: Rc<Inner>,
}

struct Inner {
    /// Configured addresses of control instances, which may be outdated.
    seeds: RefCell<Vec<SocketAddr>>,
    /// The newest list of control instances that any process has sent.
    members: RefCell<Option<Members>>,
    followed: Followed,
    /// The control instance that the client is part of, if it is part of one.
    replica: Option<Replica>,
    links: RefCell<IndexMap<SocketAddr, Rc<Link<ServiceClient>>>>,
    /// Instance to call, until it turns out not to lead or not to answer.
    current: Cell<Option<SocketAddr>>,
    /// Counts the choices of an instance, from a random start so that clients begin at different
    /// instances. Each choice first adds 1; the remainder by the number of known instances then
    /// selects the instance.
    choice_count: Cell<usize>,
    /// When a leader last answered.
    last_answer: Cell<Option<Instant>>,
    /// One for each [`Call::ReadConfig`] that may be sent at once.
    config_reads: Semaphore,
}

impl LeaderClient {
    /// Starts with `seeds` as the addresses of control instances. They may be outdated.
    pub fn new(seeds: Vec<SocketAddr>) -> LeaderClient {
        LeaderClient::with_inner(seeds, None)
    }

    /// A client that is part of a control instance. It follows the cluster of the instance, and while
    /// the instance belongs to none, the one that answers first.
    pub fn with_replica(seeds: Vec<SocketAddr>, replica: Replica) -> LeaderClient {
        let client = LeaderClient::with_inner(seeds, Some(replica));
        client.cluster();
        client
    }

    fn with_inner(seeds: Vec<SocketAddr>, replica: Option<Replica>) -> LeaderClient {
        let inner = Inner {
            seeds: RefCell::new(seeds),
            members: RefCell::default(),
            followed: Followed::default(),
            replica,
            links: RefCell::default(),
            current: Cell::new(None),
            choice_count: Cell::new(rand::random_range(0..1_000)),
            last_answer: Cell::new(None),
            config_reads: Semaphore::new(CONFIG_READS_MAX),
        };
        LeaderClient { inner: Rc::new(inner) }
    }

    /// Replaces the seed addresses.
    pub fn set_seeds(&self, seeds: Vec<SocketAddr>) {
        *self.inner.seeds.borrow_mut() = seeds;
    }

    /// Stores a list of control instances that another process sent, if it is newer than the one
    /// known. A client that follows no cluster yet takes the first list, of any cluster: its addresses
    /// are only tried. The next choice of an instance is one of a new list, as the other addresses may be
    /// silent.
    pub fn learn(&self, members: &Members) {
        let followed = self.cluster();
        if members.addrs.is_empty() || followed.is_some_and(|cluster| cluster != members.cluster) {
            return;
        }
        let mut known = self.inner.members.borrow_mut();
        let newer = known.as_ref().is_none_or(|known| match known.cluster == members.cluster {
            true => known.index < members.index,
            false => followed.is_some(),
        });
        if !newer {
            return;
        }
        log::info!("event=members index={} members={:?}", members.index, members.addrs);
        *known = Some(members.clone());
        drop(known);
        let listed = |addr: &SocketAddr| members.addrs.contains(addr);
        if !self.inner.current.get().as_ref().is_some_and(listed) {
            self.inner.current.set(None);
            let known = self.known();
            let addr = members.addrs[rand::random_range(0..members.addrs.len())];
            let at = known.get_index_of(&addr).expect("the list is known");
            // Each choice first adds 1.
            self.inner.choice_count.set(at + known.len() - 1);
        }
    }

    /// The newest list of the followed cluster's control instances that is known, to be passed on.
    pub fn members(&self) -> Option<Members> {
        let followed = self.cluster()?;
        self.inner.members.borrow().clone().filter(|members| members.cluster == followed)
    }

    /// The cluster that the client follows; `None` until a leader has named one. It does not change,
    /// unless the client is part of a control instance that joins another cluster.
    pub fn cluster(&self) -> Option<id::Cluster> {
        let followed = self.inner.followed.get();
        let own = self.inner.replica.as_ref().and_then(Replica::cluster);
        let Some(own) = own.filter(|own| followed != Some(*own)) else { return followed };
        self.inner.followed.set_own(own);
        self.inner.current.set(None);
        Some(own)
    }

    /// Whether a leader has answered within `limit`.
    pub fn in_touch(&self, limit: Duration) -> bool {
        self.inner.last_answer.get().is_some_and(|at| at.elapsed() < limit)
    }

    /// Waits until a call may be sent, if it is one of those of which only some may be at once.
    async fn config_permit(
        &self,
        call: &Call,
        limit: Duration,
    ) -> Result<Option<SemaphorePermit<'_>>, Failure> {
        if !matches!(call, Call::ReadConfig) {
            return Ok(None);
        }
        match time::timeout(limit, self.inner.config_reads.acquire()).await {
            Ok(permit) => Ok(permit.ok()),
            Err(_) => {
                let detail = "too many reads at once".to_owned();
                log::info!("event=call_given_up unknown=false detail={detail:?}");
                Err(Failure::NotDone { detail })
            }
        }
    }

    /// Makes a call, at one instance after another until the leader answers or `limit` is over.
    pub async fn call(&self, call: Call, limit: Duration) -> Result<Answer, Failure> {
        let end = Instant::now() + limit;
        let mut outcome_unknown = false;
        let _permit = self.config_permit(&call, limit).await?;
        loop {
            let time_left = end.saturating_duration_since(Instant::now());
            let cluster = self.cluster();
            let addr = self.choose_addr();
            let try_limit = time_left.min(TRY_TIMEOUT);
            let request = call.clone();
            let answer = self
                .call_once(addr, cluster, "call_leader", try_limit, |client| async move {
                    client.call(rpc::context(try_limit), cluster, request).await
                })
                .await;
            let detail = match answer {
                Ok(Ok(Answer::View(view))) => {
                    if let Some(members) = &view.members {
                        self.learn(members);
                    }
                    return Ok(Answer::View(view));
                }
                // An earlier try may still be carried out once there is room.
                Ok(Ok(Answer::Full)) if outcome_unknown => {
                    return Err(Failure::Unknown { detail: "no memory for the job".to_owned() });
                }
                Ok(Ok(answer)) => return Ok(answer),
                Ok(Err(refusal)) => {
                    outcome_unknown |= matches!(refusal, Refusal::Unknown { .. });
                    format!("{refusal:?}")
                }
                Err(e) => {
                    outcome_unknown |= !matches!(e, Error::Net { .. });
                    e.to_string()
                }
            };
            if Instant::now() + RETRY_DELAY >= end {
                log::info!(
                    "event=call_given_up peer={addr} unknown={outcome_unknown} detail={detail:?}"
                );
                return Err(match outcome_unknown {
                    true => Failure::Unknown { detail },
                    false => Failure::NotDone { detail },
                });
            }
            self.pause().await;
        }
    }

    /// Sends a report once. After an error the report may or may not have been handled.
    pub async fn report(
        &self,
        report: Report,
        limit: Duration,
    ) -> Result<Result<Commands, Refusal>> {
        let cluster = self.cluster();
        let addr = self.choose_addr();
        self.call_once(addr, cluster, "report", limit, |client| async move {
            client.report(rpc::context(limit), cluster, report).await
        })
        .await
    }

    /// Waits before the next try: shortest if an instance is selected, longer if another one has to
    /// be chosen, and longest about once per round of the known instances. That is approximate, as the
    /// count of choices starts at a random number.
    pub async fn pause(&self) {
        if self.inner.current.get().is_some() {
            return time::sleep(SELECTED_DELAY).await;
        }
        let known_count = self.known().len().max(1);
        let round_complete = self.inner.choice_count.get().is_multiple_of(known_count);
        time::sleep(if round_complete { ROUND_DELAY } else { RETRY_DELAY }).await;
    }

    /// Makes a call that names `cluster` once, at `addr`, and updates the current instance by its
    /// result.
    async fn call_once<T, F>(
        &self,
        addr: SocketAddr,
        cluster: Option<id::Cluster>,
        step: &'static str,
        limit: Duration,
        call: impl FnOnce(ServiceClient) -> F,
    ) -> Result<Result<T, Refusal>>
    where
        F: Future<Output = Result<Result<T, Refusal>, tarpc::client::RpcError>>,
    {
        let link = self.link(addr);
        if !open_within(&link, limit.min(OPEN_TIMEOUT)).await {
            self.switch_from(addr, None);
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
        let superseded = self.cluster() != cluster;
        match &result {
            Ok(Ok(_)) if superseded => {
                let detail = "the cluster that answered is not followed any more".to_owned();
                return Ok(Err(Refusal::Unknown { detail }));
            }
            Ok(Ok(_)) => self.inner.last_answer.set(Some(Instant::now())),
            Ok(Err(Refusal::NotLeader { leader, members })) => {
                if let Some(members) = members {
                    self.learn(members);
                }
                self.switch_from(addr, leader.filter(|_| !superseded));
            }
            Ok(Err(Refusal::OtherCluster { cluster })) => {
                if !self.inner.followed.handle_refusal(addr, *cluster) {
                    self.switch_from(addr, None);
                }
            }
            Ok(Err(_)) => {}
            Err(e) => {
                log::debug!("event=attempt_failed {e}");
                // The connection is dropped: after a partition it may send nothing until TCP's
                // back-off has ended, which can take long.
                let mut links = self.inner.links.borrow_mut();
                if links.get(&addr).is_some_and(|open| Rc::ptr_eq(open, &link)) {
                    links.swap_remove(&addr);
                }
                drop(links);
                self.switch_from(addr, None);
            }
        }
        result
    }

    /// After `addr` did not serve a call, selects the leader that it named, or else leaves the
    /// choice to [`LeaderClient::choose_addr`].
    fn switch_from(&self, addr: SocketAddr, leader: Option<SocketAddr>) {
        if self.inner.current.get().is_none_or(|current| current == addr) {
            self.inner.current.set(leader.filter(|leader| *leader != addr));
        }
    }

    /// The current instance, or else the next one of those known.
    fn choose_addr(&self) -> SocketAddr {
        if let Some(current) = self.inner.current.get() {
            return current;
        }
        let count = self.inner.choice_count.get() + 1;
        self.inner.choice_count.set(count);
        let known = self.known();
        let addr = known[count % known.len()];
        self.inner.current.set(Some(addr));
        addr
    }

    /// Addresses of all instances that are known: by the own replica, by the newest list and by the
    /// settings.
    fn known(&self) -> IndexSet<SocketAddr> {
        let own = self.inner.replica.iter().flat_map(Replica::control_addrs);
        let followed = self.inner.followed.get();
        let list = self.inner.members.borrow();
        let list = list.iter().filter(|list| followed.is_none_or(|f| f == list.cluster));
        let listed = list.flat_map(|list| &list.addrs);
        let seeds = self.inner.seeds.borrow();
        own.chain(listed.copied()).chain(seeds.iter().copied()).collect()
    }

    fn link(&self, addr: SocketAddr) -> Rc<Link<ServiceClient>> {
        self.inner.links.borrow_mut().entry(addr).or_insert_with(|| Link::new(addr)).clone()
    }
}

/// Opens a connection. Returns false if that takes longer than `limit`; it then continues in the
/// background.
async fn open_within(link: &Rc<Link<ServiceClient>>, limit: Duration) -> bool {
    if link.is_open() {
        return true;
    }
    let opening = link.clone();
    let opened = actix_rt::spawn(async move { opening.ready().await });
    // A failure to open is ignored here, because the call itself then fails in the same way.
    time::timeout(limit, opened).await.is_ok()
}
