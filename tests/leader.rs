//! Tests of the client that finds the leading control instance.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use briargauge::{
    leader::LeaderClient,
    protocol::{
        id,
        wire::queue::{Answer, Call, Commands, Refusal, Report, Service, ServiceClient},
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
