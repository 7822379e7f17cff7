//! Tests of the client that finds the leading control instance.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use briargauge::{
    leader::LeaderClient,
    protocol::{
        id,
        wire::queue::{Answer, Call, Commands, Members, Refusal, Report, Service, ServiceClient},
    },
    transport::rpc,
};
use tarpc::context::Context;
use tokio::net::{TcpSocket, TcpStream};

/// A control instance that leads and answers every call.
#[derive(Clone)]
struct Leading;

impl Service for Leading {
    async fn call(self, _: Context, _: Option<id::Cluster>, _: Call) -> Result<Answer, Refusal> {
        Ok(Answer::NoConfig)
    }

    async fn report(
        self,
        _: Context,
        _: Option<id::Cluster>,
        _: Report,
    ) -> Result<Commands, Refusal> {
        Ok(Commands::default())
    }
}

/// The cluster of [`Member`].
const CLUSTER: id::Cluster = id::Cluster(1);
const OTHER_CLUSTER: id::Cluster = id::Cluster(2);
/// Time limit of calls that are answered.
const CALL_LIMIT: Duration = Duration::from_secs(2);

/// A member of a cluster that leads, or else knows no leader and refers to other members.
#[derive(Clone)]
struct Member {
    referral: Option<Members>,
}

impl Service for Member {
    async fn call(
        self,
        _: Context,
        cluster: Option<id::Cluster>,
        _: Call,
    ) -> Result<Answer, Refusal> {
        match self.referral {
            Some(_) => Err(Refusal::NotLeader { leader: None, members: self.referral }),
            None if cluster == Some(CLUSTER) => Ok(Answer::NoConfig),
            None => Err(Refusal::OtherCluster { cluster: CLUSTER }),
        }
    }

    async fn report(
        self,
        _: Context,
        _: Option<id::Cluster>,
        _: Report,
    ) -> Result<Commands, Refusal> {
        Ok(Commands::default())
    }
}

async fn serve(referral: Option<Members>) -> rpc::Server {
    rpc::serve(loopback(), Member { referral }.serve()).await.unwrap()
}

fn members(cluster: id::Cluster, index: u64, addrs: &[SocketAddr]) -> Members {
    Members { cluster, index, addrs: addrs.to_vec() }
}

/// Guards against a client that never finds the leader, although an instance that it knows knows the
/// members: every other address that the client had was replaced, and the one that is left knows no
/// leader or one that the client cannot reach.
#[test]
fn a_client_follows_the_referral_of_a_member_that_does_not_lead() {
    actix_rt::System::new().block_on(async {
        let leading = serve(None).await;
        let referral = members(CLUSTER, 7, &[leading.addr()]);
        let following = serve(Some(referral.clone())).await;
        let client = LeaderClient::new(vec![following.addr()]);
        let answer = client.call(Call::ReadConfig, CALL_LIMIT).await;
        assert!(matches!(answer, Ok(Answer::NoConfig)), "{answer:?}");
        assert_eq!(client.members(), Some(referral));
    });
}

/// Guards against a client that tries silent addresses of its settings, 0.7 s each and longer for a
/// sidecar's report, before those of a list that it has just been sent.
#[test]
fn a_client_tries_a_new_list_before_silent_seeds() {
    const LIMIT: Duration = Duration::from_millis(300);
    actix_rt::System::new().block_on(async {
        let leading = serve(None).await;
        // They accept connections, and never answer.
        let silent = [(); 3].map(|()| std::net::TcpListener::bind(loopback()).unwrap());
        let seeds = silent.each_ref().map(|listener| listener.local_addr().unwrap());
        // The first instance to call is random, so some callers start at the leading one.
        for _ in 0..10 {
            let client = LeaderClient::new(seeds.to_vec());
            client.learn(&members(CLUSTER, 1, &[leading.addr()]));
            let started = Instant::now();
            let answer = client.call(Call::ReadConfig, CALL_LIMIT).await;
            assert!(matches!(answer, Ok(Answer::NoConfig)), "{answer:?}");
            assert!(started.elapsed() < LIMIT, "{:?}", started.elapsed());
        }
    });
}

/// Guards against a client that goes back to an older list, or takes that of another cluster, whose
/// indexes say nothing of its own.
#[test]
fn a_client_keeps_the_newest_list_of_its_cluster() {
    actix_rt::System::new().block_on(async {
        let leading = serve(None).await;
        let addrs = [leading.addr()];
        let client = LeaderClient::new(addrs.to_vec());
        // Before it follows a cluster, it tries any list but passes none on.
        client.learn(&members(OTHER_CLUSTER, 9, &addrs));
        assert_eq!(client.members(), None);
        let answer = client.call(Call::ReadConfig, CALL_LIMIT).await;
        assert!(matches!(answer, Ok(Answer::NoConfig)), "{answer:?}");
        assert_eq!(client.members(), None);
        let newest = members(CLUSTER, 5, &addrs);
        client.learn(&newest);
        for other in [
            members(CLUSTER, 4, &[loopback()]),
            members(OTHER_CLUSTER, 9, &[loopback()]),
            members(CLUSTER, 6, &[]),
        ] {
            client.learn(&other);
            assert_eq!(client.members().as_ref(), Some(&newest), "after {other:?}");
        }
        let newer = members(CLUSTER, 6, &[loopback()]);
        client.learn(&newer);
        assert_eq!(client.members(), Some(newer));
    });
}

fn loopback() -> SocketAddr {
    "127.0.0.1:0".parse().unwrap()
}

/// A listener whose backlog is full, so that it drops SYN packets like an instance without power.
async fn unresponsive_listener() -> (SocketAddr, impl Sized) {
    let socket = TcpSocket::new_v4().unwrap();
    socket.bind(loopback()).unwrap();
    let listener = socket.listen(0).unwrap();
    let addr = listener.local_addr().unwrap();
    let mut pending = Vec::new();
    for _ in 0..4 {
        let open = tokio::time::timeout(Duration::from_millis(50), TcpStream::connect(addr)).await;
        pending.push(open);
    }
    (addr, (listener, pending))
}

/// Guards against callers that wait until the connection to an instance without power times out
/// (500 ms) although another instance leads. All sidecars and entries did so after a power loss.
#[test]
fn a_caller_skips_an_unresponsive_instance() {
    const LIMIT: Duration = Duration::from_millis(300);
    actix_rt::System::new().block_on(async {
        let (unresponsive, _listener) = unresponsive_listener().await;
        let server = rpc::serve(loopback(), Leading.serve()).await.unwrap();
        // The first instance to call is random, so some callers start at the unresponsive one.
        for _ in 0..10 {
            let leader = LeaderClient::new(vec![unresponsive, server.addr()]);
            let started = Instant::now();
            let answer = leader.call(Call::ReadConfig, Duration::from_secs(2)).await;
            assert!(matches!(answer, Ok(Answer::NoConfig)), "{answer:?}");
            assert!(started.elapsed() < LIMIT, "{:?}", started.elapsed());
        }
    });
}

/// Guards against a connection that opens up to a second late although its instance is back: a lost
/// SYN packet is sent again only after a second.
#[test]
fn a_connection_is_retried_before_the_first_try_fails() {
    actix_rt::System::new().block_on(async {
        let (addr, listener) = unresponsive_listener().await;
        let opening = actix_rt::spawn(rpc::connect::<ServiceClient>(addr));
        tokio::time::sleep(Duration::from_millis(120)).await;
        drop(listener);
        let server = rpc::serve(addr, Leading.serve()).await.unwrap();
        let opened = Instant::now();
        opening.await.unwrap().unwrap();
        assert!(opened.elapsed() < Duration::from_millis(250), "{:?}", opened.elapsed());
        drop(server);
    });
}
