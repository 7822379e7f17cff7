//! How the leading control instance is found.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use briargauge::{
    leader::Leader,
    protocol::wire::queue::{Answer, Call, Commands, Refusal, Report, Service, ServiceClient},
    transport::rpc,
};
use tarpc::context::Context;
use tokio::net::{TcpSocket, TcpStream};

/// An instance that leads.
#[derive(Clone)]
struct Leading;

impl Service for Leading {
    async fn call(self, _: Context, _: Call) -> Result<Answer, Refusal> {
        Ok(Answer::NoConfig)
    }

    async fn report(self, _: Context, _: Report) -> Result<Commands, Refusal> {
        Ok(Commands::default())
    }
}

fn loopback() -> SocketAddr {
    "127.0.0.1:0".parse().unwrap()
}

/// A listener whose queue is full: opening packets are dropped, as by an instance without power.
async fn silent() -> (SocketAddr, impl Sized) {
    let socket = TcpSocket::new_v4().unwrap();
    socket.bind(loopback()).unwrap();
    let listener = socket.listen(0).unwrap();
    let addr = listener.local_addr().unwrap();
    let mut held = Vec::new();
    for _ in 0..4 {
        let open = tokio::time::timeout(Duration::from_millis(50), TcpStream::connect(addr)).await;
        held.push(open);
    }
    (addr, (listener, held))
}

/// Guards against callers that wait for an instance without power until its connection times out
/// (500 ms), while another leads: after a loss of power all sidecars and entries did.
#[test]
fn a_caller_goes_on_from_an_instance_that_does_not_answer() {
    const LIMIT: Duration = Duration::from_millis(300);
    actix_rt::System::new().block_on(async {
        let (dark, _held) = silent().await;
        let server = rpc::serve(loopback(), Leading.serve()).await.unwrap();
        // Where a caller begins is drawn: some begin at the dark instance.
        for _ in 0..10 {
            let leader = Leader::new(vec![dark, server.addr()]);
            let asked = Instant::now();
            let answer = leader.call(Call::ReadConfig, Duration::from_secs(2)).await;
            assert!(matches!(answer, Ok(Answer::NoConfig)), "{answer:?}");
            assert!(asked.elapsed() < LIMIT, "{:?}", asked.elapsed());
        }
    });
}

/// Guards against a lost opening packet that is sent again only after a second, when the instance
/// has long been there.
#[test]
fn a_connection_is_tried_again_before_the_first_try_ends() {
    actix_rt::System::new().block_on(async {
        let (addr, held) = silent().await;
        let opening = actix_rt::spawn(rpc::connect::<ServiceClient>(addr));
        tokio::time::sleep(Duration::from_millis(120)).await;
        drop(held);
        let server = rpc::serve(addr, Leading.serve()).await.unwrap();
        let opened = Instant::now();
        opening.await.unwrap().unwrap();
        assert!(opened.elapsed() < Duration::from_millis(250), "{:?}", opened.elapsed());
        drop(server);
    });
}
