//! Servers on loopback addresses whose limits are low.

use std::{net::SocketAddr, time::Duration};

use actix_http::{Method, Request, StatusCode};
use briargauge::{
    protocol::{
        id,
        wire::queue::{Answer, Call, Commands, Refusal, Report, Service, ServiceClient},
    },
    transport::{
        http::{self, Client, Server},
        limit::{self, bound::Instance},
        rpc,
    },
};
use bytes::Bytes;
use tarpc::context::Context;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    time,
};

/// Longest body that the server accepts.
const BODY_MAX_BYTES: usize = 256 * 1024;

fn any_port() -> SocketAddr {
    ([127, 0, 0, 1], 0).into()
}

/// A server that answers a body with its length, `GET /large` with 1 MB, and a refusal of its own if a
/// body cannot be read.
async fn serve(instance: Instance) -> Server {
    limit::configure(instance);
    http::serve(any_port(), |mut request: Request| async move {
        if request.path() == "/large" {
            return http::text(StatusCode::OK, vec![b'x'; 1_000_000]);
        }
        match http::body(&mut request, BODY_MAX_BYTES).await {
            Ok(body) => http::text(StatusCode::OK, body.len().to_string()),
            Err(e) => http::text(StatusCode::BAD_REQUEST, format!("{e:?}")),
        }
    })
    .await
    .unwrap()
}

/// An instance whose clients may hold this much memory.
fn memory(client_bytes: u64) -> Instance {
    Instance { memory_bytes: Some(client_bytes * 16 / 5), descriptors: None }
}

async fn call(server: &Server, method: Method, path: &str, body: Bytes) -> (u16, String) {
    let client = Client::new(1);
    let call = http::Call {
        method,
        addr: server.addr(),
        path,
        headers: &[],
        body,
        answer_max_bytes: 1 << 22,
    };
    let answer = client.call(call).await.expect("the server answers");
    (answer.status.as_u16(), String::from_utf8(answer.body.to_vec()).unwrap())
}

async fn post(server: &Server, bytes: usize) -> (u16, String) {
    call(server, Method::POST, "/", vec![b'x'; bytes].into()).await
}

/// The value of a metric without labels.
fn reserved() -> usize {
    let text = String::from_utf8(limit::with_metrics(Vec::new())).unwrap();
    let name = "briargauge_connection_reserved_bytes ";
    let line = text.lines().find_map(|line| line.strip_prefix(name));
    line.unwrap().parse().unwrap()
}

async fn send(server: &Server, head: &str, body: &[u8]) -> TcpStream {
    let mut stream = TcpStream::connect(server.addr()).await.unwrap();
    // The server may close the connection at any time.
    let _ = stream.write_all(head.as_bytes()).await;
    let _ = stream.write_all(body).await;
    stream
}

async fn until(what: &str, condition: impl Fn() -> bool) {
    let wait = async {
        while !condition() {
            time::sleep(Duration::from_millis(5)).await;
        }
    };
    time::timeout(Duration::from_secs(20), wait).await.expect(what);
}

/// Guards against bodies that stop just short of the end and keep their memory while ordinary requests
/// are refused, in one piece and in chunks of one byte.
#[actix_rt::test]
async fn unfinished_bodies_make_room() {
    let server = serve(memory(2_000_000)).await;
    let sized = "POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 262000\r\n\r\n";
    let chunked = "POST / HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\n";
    let mut streams = Vec::new();
    for _ in 0..30 {
        streams.push(send(&server, sized, &[b'x'; 250_000]).await);
        streams.push(send(&server, chunked, &b"1\r\nx\r\n".repeat(40_000)).await);
        assert!(reserved() <= 3_200_000, "{} bytes", reserved());
    }
    assert_eq!(post(&server, 200_000).await, (200, "200000".to_owned()));
    drop(streams);
    until("everything is released", || server.connections() == 0 && reserved() == 0).await;
}

/// Guards against a body without memory that is answered as if the caller were at fault, and against
/// a refusal after which the server holds on to the memory.
#[actix_rt::test]
async fn a_body_that_does_not_fit_is_refused() {
    let server = serve(memory(200_000)).await;
    assert_eq!(post(&server, 50_000).await, (200, "50000".to_owned()));
    let body = "x".repeat(250_000);
    let request = format!("POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 250000\r\n\r\n{body}");
    let mut stream = send(&server, &request[..150_000], &[]).await;
    let mut answer = [0; 1024];
    let read = stream.read(&mut answer).await.unwrap();
    let answer = String::from_utf8_lossy(&answer[..read]).to_lowercase();
    assert!(answer.starts_with("http/1.1 503 ") && answer.contains("retry-after: 1"), "{answer}");
    until("everything is released", || server.connections() == 0 && reserved() == 0).await;
}

/// Guards against clients that request large answers and do not read them.
#[actix_rt::test]
async fn unread_answers_are_bounded() {
    let server = serve(memory(4_000_000)).await;
    let mut streams = Vec::new();
    for _ in 0..20 {
        streams.push(send(&server, "GET /large HTTP/1.1\r\nhost: a\r\n\r\n", &[]).await);
    }
    let answer = call(&server, Method::GET, "/large", Bytes::new()).await;
    assert_eq!((answer.0, answer.1.len()), (200, 1_000_000));
    assert!(reserved() <= 4_000_000 * 8 / 5, "{} bytes", reserved());
    drop(streams);
    until("everything is released", || server.connections() == 0 && reserved() == 0).await;
}

/// Guards against requests in sequence on one connection whose states get mixed up: what is read of the
/// next one counts for it, and nothing is left behind.
#[actix_rt::test]
async fn requests_on_one_connection_follow_each_other() {
    let server = serve(Instance::default()).await;
    let one = "POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 30000\r\n\r\n".to_owned()
        + &"x".repeat(30_000);
    let chunked = "POST / HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\n".to_owned()
        + &"1\r\nx\r\n".repeat(5_000)
        + "0\r\n\r\n";
    let last = "POST / HTTP/1.1\r\nhost: a\r\nconnection: close\r\ncontent-length: 2\r\n\r\nxx";
    let requests = (one + &chunked).repeat(5) + last;
    let mut stream = send(&server, &requests, &[]).await;
    let mut answers = String::new();
    stream.read_to_string(&mut answers).await.unwrap();
    let lengths: Vec<&str> =
        answers.split("\r\n\r\n").skip(1).map(|a| a.split("HTTP").next().unwrap()).collect();
    let expected: Vec<&str> = ["30000", "5000"].repeat(5).into_iter().chain(["2"]).collect();
    assert_eq!(lengths, expected);
    until("everything is released", || server.connections() == 0 && reserved() == 0).await;
}

/// Guards against requests in sequence that are lost because many of them arrive at once, or because
/// blank lines in a body look like the ends of heads.
#[actix_rt::test]
async fn many_requests_that_arrive_at_once_are_answered() {
    let server = serve(Instance::default()).await;
    let body = "\n\r\n".repeat(1_000);
    let short = "GET / HTTP/1.1\nhost: a\n\n".repeat(300);
    let long = format!("POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 3000\r\n\r\n{body}");
    let last = "GET / HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n";
    let requests = format!("{short}{long}{short}{long}{last}");
    let mut stream = send(&server, &requests, &[]).await;
    let mut answers = String::new();
    stream.read_to_string(&mut answers).await.unwrap();
    assert_eq!(answers.matches("HTTP/1.1 200").count(), 603);
    assert_eq!(answers.matches("\r\n\r\n3000").count(), 2);
    until("everything is released", || server.connections() == 0 && reserved() == 0).await;
}

/// Guards against a server whose connections are all taken by idle clients.
#[actix_rt::test]
async fn idle_connections_give_way() {
    let server = serve(Instance { memory_bytes: None, descriptors: Some(60) }).await;
    let mut streams = Vec::new();
    for _ in 0..80 {
        streams.push(send(&server, "", &[]).await);
    }
    assert_eq!(post(&server, 10).await, (200, "10".to_owned()));
    until("connections are bounded", || server.connections() <= 30).await;
}

/// A service that accepts each call.
#[derive(Clone)]
struct Accepting;

impl Service for Accepting {
    async fn call(self, _: Context, _: Option<id::Cluster>, _: Call) -> Result<Answer, Refusal> {
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

/// Guards against strangers at a port for the system's own processes who announce long messages and
/// send none, or stop in the middle.
#[actix_rt::test]
async fn unfinished_messages_make_room() {
    limit::configure(memory(2_000_000));
    let server = rpc::serve(any_port(), Accepting.serve()).await.unwrap();
    let mut streams = Vec::new();
    for _ in 0..40 {
        let mut stream = TcpStream::connect(server.addr()).await.unwrap();
        let _ = stream.write_all(&(32_u32 << 20).to_be_bytes()).await;
        let _ = stream.write_all(&[0; 300_000]).await;
        streams.push(stream);
        assert!(reserved() <= 3_200_000, "{} bytes", reserved());
    }
    let client: ServiceClient = rpc::connect(server.addr()).await.unwrap();
    let answer = client.call(rpc::context(Duration::from_secs(10)), None, Call::ReadConfig).await;
    assert!(answer.unwrap().is_ok());
    drop(streams);
}
