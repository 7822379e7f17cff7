//! Tests of the calls between the system's own processes.

use std::{
    cell::Cell,
    net::SocketAddr,
    panic,
    rc::Rc,
    sync::{
        Arc,
        atomic::{AtomicU32, Ordering},
    },
    time::Duration,
};

use briargauge::{
    protocol::{
        id,
        wire::queue::{Answer, Call, Commands, Refusal, Report, Service, ServiceClient},
    },
    transport::rpc,
};
use tarpc::context::Context;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    sync::Notify,
    time,
};

/// Time limit for a condition; only reached by a failing test.
const LIMIT: Duration = Duration::from_secs(10);

/// A handler that waits in the middle of a call.
#[derive(Clone, Default)]
struct Handler {
    begun: Rc<Notify>,
    proceed: Rc<Notify>,
    finished: Rc<Notify>,
    finished_count: Rc<Cell<u32>>,
}

impl Service for Handler {
    async fn call(self, _: Context, _: Option<id::Cluster>, _: Call) -> Result<Answer, Refusal> {
        self.begun.notify_one();
        self.proceed.notified().await;
        self.finished_count.set(self.finished_count.get() + 1);
        self.finished.notify_one();
        Ok(Answer::Accepted)
    }

    async fn report(
        self,
        _: Context,
        _: Option<id::Cluster>,
        _: Report,
    ) -> Result<Commands, Refusal> {
        unreachable!("not called");
    }
}

async fn within_limit(event: &Notify) {
    time::timeout(LIMIT, event.notified()).await.expect("the event happens");
}

/// Guards against a handler that is dropped in the middle, between a committed change and what has
/// to follow it, when its caller gives up or disconnects.
#[actix_rt::test]
async fn a_handler_runs_to_its_end_without_its_caller() {
    let handler = Handler::default();
    let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
    let server = rpc::serve_to_end(any_port, handler.clone().serve()).await.unwrap();

    let client: ServiceClient = rpc::connect(server.addr()).await.unwrap();
    let given_up = client.call(rpc::context(Duration::from_millis(50)), None, Call::ReadConfig);
    let (answer, ()) = futures::join!(given_up, within_limit(&handler.begun));
    assert!(answer.is_err(), "the call has exceeded its deadline");
    handler.proceed.notify_one();
    within_limit(&handler.finished).await;

    let disconnected = client.call(rpc::context(LIMIT), None, Call::ReadConfig);
    tokio::select! {
        answer = disconnected => panic!("{answer:?}"),
        () = within_limit(&handler.begun) => {}
    }
    drop(client);
    // The connection is closed before the handler goes on.
    time::sleep(Duration::from_millis(50)).await;
    handler.proceed.notify_one();
    within_limit(&handler.finished).await;
    assert_eq!(handler.finished_count.get(), 2);
}

/// Guards against a call whose deadline no clock can represent: the task of its connection panicked.
#[actix_rt::test]
async fn a_call_with_an_impossible_deadline_is_refused() {
    let panics = Arc::new(AtomicU32::new(0));
    let counted = panics.clone();
    panic::set_hook(Box::new(move |_| {
        counted.fetch_add(1, Ordering::Relaxed);
    }));
    let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
    let server = rpc::serve(any_port, Handler::default().serve()).await.unwrap();
    // The variant of a request, the seconds until its deadline, and the rest.
    let frame = [&[0, 0xfd][..], &u64::MAX.to_le_bytes(), &[0; 100]].concat();
    let mut stream = TcpStream::connect(server.addr()).await.unwrap();
    let message = [&(frame.len() as u32).to_be_bytes()[..], &frame].concat();
    stream.write_all(&message).await.unwrap();
    let read = time::timeout(LIMIT, stream.read(&mut [0])).await.expect("a closed connection");
    assert!(matches!(read, Ok(0) | Err(_)));
    drop(panic::take_hook());
    assert_eq!(panics.load(Ordering::Relaxed), 0);
}
