//! HTTP towards callers, backend servers and the platform.

use std::{
    cell::Cell, convert::Infallible, future::Future, net::SocketAddr, rc::Rc, time::Duration,
};

use actix_http::{
    HttpService, Method, Payload, Request, Response, StatusCode,
    body::{BoxBody, MessageBody},
    header,
};
use actix_service::{Service, ServiceFactory, fn_service};
use bytes::{Bytes, BytesMut};
use futures::StreamExt;
use snafu::ResultExt;
use tokio::{net::TcpListener, sync::watch, time};

use crate::error::{self, Result};

/// Idle time after which a kept-alive connection is closed.
const KEEP_ALIVE: Duration = Duration::from_secs(5);
/// Time a client has to send the head of a request.
const HEAD_LIMIT: Duration = Duration::from_secs(5);
/// Pause after a failed `accept`, which fails at once again while file descriptors run out.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);
/// How often a stopping server looks whether its requests have ended.
const DRAIN_POLL: Duration = Duration::from_millis(10);

/// Time after [`KEEP_ALIVE`] within which an idle connection has closed: the timer is coarse.
const IDLE_MARGIN: Duration = Duration::from_secs(1);

/// Why a request body could not be read.
#[derive(Debug)]
pub enum BodyError {
    /// Longer than the given limit, in bytes.
    TooLarge(usize),
    /// The connection broke off.
    Broken(String),
}

/// Part of an answer that is handed to a connection at once; the rest waits uncopied in the body
/// until a slow reader has taken it.
const CHUNK_MAX_BYTES: usize = 32 * 1024;

/// A listening HTTP server.
pub struct Server {
    addr: SocketAddr,
    shared: Rc<Shared>,
    stop: watch::Sender<()>,
}

struct Shared {
    /// Whether answers carry `Connection: close`.
    closing: Cell<bool>,
    in_flight: Cell<usize>,
    /// Open connections.
    connections: Cell<usize>,
}

/// Counts a connection for as long as it is open.
struct Connected(Rc<Shared>);

impl Connected {
    fn new(shared: &Rc<Shared>) -> Connected {
        shared.connections.set(shared.connections.get() + 1);
        Connected(shared.clone())
    }
}

impl Drop for Connected {
    fn drop(&mut self) {
        self.0.connections.set(self.0.connections.get() - 1);
    }
}

/// Counts a request for as long as its answer is being written.
struct Guard(Rc<Shared>);

impl Guard {
    fn new(shared: &Rc<Shared>) -> Guard {
        shared.in_flight.set(shared.in_flight.get() + 1);
        Guard(shared.clone())
    }
}

impl Drop for Guard {
    fn drop(&mut self) {
        self.0.in_flight.set(self.0.in_flight.get() - 1);
    }
}

/// A body that keeps its request counted until the body has been handed to the connection.
struct Counted {
    body: Option<Bytes>,
    _guard: Guard,
}

impl MessageBody for Counted {
    type Error = Infallible;

    fn size(&self) -> actix_http::body::BodySize {
        let len = self.body.as_ref().map_or(0, Bytes::len);
        actix_http::body::BodySize::Sized(len as u64)
    }

    fn poll_next(
        mut self: std::pin::Pin<&mut Self>,
        _: &mut std::task::Context<'_>,
    ) -> std::task::Poll<Option<Result<Bytes, Infallible>>> {
        let body = match &mut self.body {
            Some(body) if body.len() > CHUNK_MAX_BYTES => Some(body.split_to(CHUNK_MAX_BYTES)),
            _ => self.body.take().filter(|b| !b.is_empty()),
        };
        std::task::Poll::Ready(body.map(Ok))
    }
}

impl Server {
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Requests being answered.
    pub fn in_flight(&self) -> usize {
        self.shared.in_flight.get()
    }

    /// Open connections, idle ones included.
    pub fn connections(&self) -> usize {
        self.shared.connections.get()
    }

    /// From now on each answer closes its connection.
    pub fn close_connections(&self) {
        self.shared.closing.set(true);
    }

    /// Waits until no request is in flight, at most `limit`. Returns how many were left.
    pub async fn drain(&self, limit: Duration) -> usize {
        self.close_connections();
        let end = time::Instant::now() + limit;
        while self.in_flight() > 0 && time::Instant::now() < end {
            time::sleep(DRAIN_POLL).await;
        }
        self.in_flight()
    }

    /// Waits until all connections have closed, which idle ones do after [`KEEP_ALIVE`], at most
    /// `limit`: a request that arrives on one meanwhile is still answered.
    pub async fn idle_out(&self, limit: Duration) {
        self.connections_closed(limit.min(KEEP_ALIVE + IDLE_MARGIN)).await;
    }

    async fn connections_closed(&self, limit: Duration) {
        let end = time::Instant::now() + limit;
        while self.connections() > 0 && time::Instant::now() < end {
            time::sleep(DRAIN_POLL).await;
        }
    }

    /// As [`Server::idle_out`], but new connections are expected during `notice`.
    pub async fn idle_out_after(&self, notice: Duration, limit: Duration) {
        time::sleep(notice).await;
        self.connections_closed(limit.saturating_sub(notice)).await;
    }

    /// Closes the listener; open connections go on until they are idle.
    pub fn stop(&self) {
        let _ = self.stop.send(());
    }
}

/// Serves HTTP/1.1 at `addr`, on the current thread.
pub async fn serve<H, F>(addr: SocketAddr, handler: H) -> Result<Server>
where
    H: Fn(Request) -> F + Clone + 'static,
    F: Future<Output = Response<Bytes>> + 'static,
{
    let listener =
        TcpListener::bind(addr).await.context(error::NetSnafu { step: "listen", peer: addr })?;
    let addr = listener.local_addr().context(error::NetSnafu { step: "listen", peer: addr })?;
    let (stop, stopped) = watch::channel(());
    let shared = Rc::new(Shared {
        closing: Cell::new(false),
        in_flight: Cell::new(0),
        connections: Cell::new(0),
    });
    actix_rt::spawn(accept(listener, handler, shared.clone(), stopped));
    Ok(Server { addr, shared, stop })
}

async fn accept<H, F>(
    listener: TcpListener,
    handler: H,
    shared: Rc<Shared>,
    mut stopped: watch::Receiver<()>,
) where
    H: Fn(Request) -> F + Clone + 'static,
    F: Future<Output = Response<Bytes>> + 'static,
{
    let counted = shared.clone();
    let service = HttpService::build()
        .keep_alive(KEEP_ALIVE)
        .client_request_timeout(HEAD_LIMIT)
        .tcp_nodelay(true)
        // Ends a handler whose caller has hung up.
        .h1_allow_half_closed(false)
        .finish(fn_service(move |request: Request| {
            answer(handler.clone(), shared.clone(), request)
        }))
        .tcp();
    let Ok(service) = service.new_service(()).await else { return };
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            _ = stopped.changed() => return,
        };
        match accepted {
            Ok((stream, _)) => {
                let connected = Connected::new(&counted);
                let connection = service.call(stream);
                actix_rt::spawn(async move {
                    let _ = connection.await;
                    drop(connected);
                });
            }
            Err(e) => {
                log::warn!("event=accept_failed error={e:?}");
                time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

async fn answer<H, F>(
    handler: H,
    shared: Rc<Shared>,
    request: Request,
) -> Result<Response<BoxBody>, Infallible>
where
    H: Fn(Request) -> F,
    F: Future<Output = Response<Bytes>>,
{
    let guard = Guard::new(&shared);
    let mut response = handler(request).await;
    if shared.closing.get() {
        response.head_mut().set_connection_type(actix_http::ConnectionType::Close);
    }
    Ok(response.map_body(|_, body| BoxBody::new(Counted { body: Some(body), _guard: guard })))
}

/// Reads a request's body of at most `limit` bytes.
pub async fn body(payload: &mut Payload, limit: usize) -> Result<Bytes, BodyError> {
    let mut body = BytesMut::new();
    while let Some(chunk) = payload.next().await {
        let chunk = chunk.map_err(|e| BodyError::Broken(e.to_string()))?;
        if body.len() + chunk.len() > limit {
            return Err(BodyError::TooLarge(limit));
        }
        body.extend_from_slice(&chunk);
    }
    Ok(body.freeze())
}

/// A JSON response.
pub fn json(status: StatusCode, body: impl Into<Bytes>) -> Response<Bytes> {
    typed(status, "application/json", body)
}

/// A plain text response.
pub fn text(status: StatusCode, body: impl Into<Bytes>) -> Response<Bytes> {
    typed(status, "text/plain; charset=utf-8", body)
}

fn typed(status: StatusCode, kind: &'static str, body: impl Into<Bytes>) -> Response<Bytes> {
    let mut response = Response::with_body(status, body.into());
    response.headers_mut().insert(header::CONTENT_TYPE, header::HeaderValue::from_static(kind));
    response
}

/// Idle time after which a client closes a connection. Below [`KEEP_ALIVE`], so that no request
/// is written to a connection that the server is about to close.
pub const CLIENT_KEEP_ALIVE: Duration = Duration::from_secs(3);
/// Age at which a client replaces a connection.
const CLIENT_LIFETIME: Duration = Duration::from_secs(600);
/// Time a client has to open a connection.
const CLIENT_CONNECT_LIMIT: Duration = Duration::from_millis(500);

/// Why no connection could be made.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Unsent {
    pub reason: String,
    /// Whether the peer refused, as it does where nothing listens.
    pub refused: bool,
}

impl Unsent {
    /// Any other reason than that the peer refused.
    pub fn new(reason: String) -> Unsent {
        Unsent { reason, refused: false }
    }
}

impl std::fmt::Display for Unsent {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(&self.reason)
    }
}

/// Why a request got no usable answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CallError {
    /// No connection could be made: nothing of the request was written.
    NotSent(Unsent),
    /// The request was written, in part or whole; its answer is missing or not whole.
    Broken(String),
    /// The answer is longer than the given limit, in bytes.
    TooLarge(usize),
}

impl std::fmt::Display for CallError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            CallError::NotSent(reason) => write!(f, "not sent: {reason}"),
            CallError::Broken(reason) => write!(f, "broken: {reason}"),
            CallError::TooLarge(limit) => write!(f, "answer over {limit} bytes"),
        }
    }
}

/// A request of a [`Client`].
#[derive(Debug, Clone)]
pub struct Call<'a> {
    pub method: Method,
    pub addr: SocketAddr,
    pub path: &'a str,
    pub headers: &'a [(&'static str, &'a str)],
    pub body: Bytes,
    /// Longest answer body, in bytes.
    pub limit: usize,
}

/// An answer.
#[derive(Debug, Clone)]
pub struct Answer {
    pub status: StatusCode,
    pub headers: header::HeaderMap,
    pub body: Bytes,
    /// Whether the length was stated. If not, the end of `body` may be missing.
    pub sized: bool,
}

impl Answer {
    /// The value of a header, if it is there exactly once and is text.
    pub fn header(&self, name: &str) -> Option<&str> {
        let mut all = self.headers.get_all(name);
        let value = all.next()?;
        if all.next().is_some() {
            return None;
        }
        value.to_str().ok()
    }
}

/// An HTTP client with a bounded number of connections. Sends each request at most once: it
/// follows no redirects and never repeats a request on another connection.
#[derive(Clone)]
pub struct Client {
    client: awc::Client,
}

impl Client {
    /// A client with at most `connections` connections in all; requests wait for a free one.
    pub fn new(connections: usize) -> Client {
        Client::with_keep_alive(connections, CLIENT_KEEP_ALIVE)
    }

    /// A client that closes connections which have been idle for `keep_alive`.
    pub fn with_keep_alive(connections: usize, keep_alive: Duration) -> Client {
        let connector = awc::Connector::new()
            .limit(connections.max(1))
            .conn_keep_alive(keep_alive)
            .conn_lifetime(CLIENT_LIFETIME)
            .timeout(CLIENT_CONNECT_LIMIT);
        let client = awc::Client::builder()
            .connector(connector)
            .disable_timeout()
            .disable_redirects()
            .no_default_headers()
            .finish();
        Client { client }
    }

    /// Sends a request and reads its whole answer. Dropping the future closes the connection.
    ///
    /// `awc` reports a connection that ends early like a body that ends. So a body is compared
    /// with its stated length; without one, see [`Answer::sized`].
    pub async fn call(&self, call: Call<'_>) -> Result<Answer, CallError> {
        let uri = format!("http://{}{}", call.addr, call.path);
        let mut request = self.client.request(call.method, uri).address(call.addr);
        for pair in call.headers {
            request = request.insert_header(*pair);
        }
        let mut response = request.send_body(call.body).await.map_err(call_error)?;
        let length = response.headers().get(header::CONTENT_LENGTH);
        let length = length.and_then(|v| v.to_str().ok()?.parse::<usize>().ok());
        if length.is_some_and(|l| l > call.limit) {
            return Err(CallError::TooLarge(call.limit));
        }
        let body = response.body().limit(call.limit).await;
        let body = body.map_err(|e| match e {
            awc::error::PayloadError::Overflow => CallError::TooLarge(call.limit),
            e => CallError::Broken(format!("{e:?}")),
        })?;
        if let Some(length) = length.filter(|l| *l != body.len()) {
            let reason = format!("answer ended after {} of {length} bytes", body.len());
            return Err(CallError::Broken(reason));
        }
        let headers = response.headers().clone();
        Ok(Answer { status: response.status(), headers, body, sized: length.is_some() })
    }
}

fn call_error(error: awc::error::SendRequestError) -> CallError {
    use awc::error::{ConnectError, SendRequestError};
    match error {
        // Also reported when a connection ends before the head of the answer.
        SendRequestError::Connect(ConnectError::Disconnected) => {
            CallError::Broken("connection closed before an answer".into())
        }
        SendRequestError::Connect(e) => {
            let refused = matches!(&e, ConnectError::Io(io)
                if io.kind() == std::io::ErrorKind::ConnectionRefused);
            CallError::NotSent(Unsent { reason: e.to_string(), refused })
        }
        SendRequestError::Url(e) => CallError::NotSent(Unsent::new(e.to_string())),
        e => CallError::Broken(format!("{e:?}")),
    }
}
