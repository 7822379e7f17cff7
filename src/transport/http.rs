//! HTTP server and client, used with callers, backend servers and the platform.

use std::{
    cell::Cell,
    convert::Infallible,
    future::{Future, poll_fn},
    net::SocketAddr,
    rc::Rc,
    task::{Context, Poll},
    time::Duration,
};

use actix_http::{
    Extensions, HttpMessage, HttpService, Method, Payload, Protocol, Request, Response, StatusCode,
    body::{BoxBody, MessageBody},
    header,
};
use actix_service::{Service, ServiceFactory, fn_service};
use bytes::{Bytes, BytesMut};
use futures::StreamExt;
use snafu::ResultExt;
use tokio::{net::TcpListener, sync::watch, task, time};

use crate::{
    error::{self, Result},
    supervisor,
    transport::limit::{self, bound::Audience},
};

/// Idle time after which the server closes a kept-alive connection.
const KEEP_ALIVE: Duration = Duration::from_secs(5);
/// Time for which the rest of a refused body is read. A connection that is closed with unread bytes is
/// reset, and the client may then lose the response.
const LINGER: Duration = Duration::from_secs(1);
/// Turns of the runtime within which a connection that closed before its request was read is dropped:
/// one each to read its end, to shut it down and to drop its requests.
const CLOSE_TURNS: u32 = 3;
/// Interval at which a stopping server checks whether requests or connections remain.
const DRAIN_POLL: Duration = Duration::from_millis(10);

/// Extra time after [`KEEP_ALIVE`] for an idle connection to close, because the keep-alive timer is
/// coarse.
const IDLE_MARGIN: Duration = Duration::from_secs(1);

/// Why a request body could not be read.
#[derive(Debug)]
pub enum BodyError {
    /// The body is longer than this limit, in bytes.
    TooLarge(usize),
    /// The connection failed before the whole body was read.
    Broken(String),
    /// The body did not arrive within this time.
    Late(Duration),
    /// There is no memory for the body. Whatever the handler answers is replaced by a refusal.
    Refused,
}

/// Largest piece of a response body that is passed to a connection at once. The rest stays in the
/// body, uncopied, until a slow reader has received the piece before it.
const CHUNK_MAX_BYTES: usize = 16 * 1024;
/// Bytes of responses above which a connection writes before it takes more.
const WRITE_BUFFER_BYTES: usize = 8 * 1024;

/// A listening HTTP server.
pub struct Server {
    addr: SocketAddr,
    shared: Rc<Shared>,
    stop: watch::Sender<()>,
}

struct Shared {
    /// Whether responses carry `Connection: close`.
    closing: Cell<bool>,
    in_flight: Cell<usize>,
    /// Number of open connections, idle ones included.
    connections: Cell<usize>,
}

/// Counts a connection as open until dropped.
struct ConnectionGuard(Rc<Shared>);

impl ConnectionGuard {
    fn new(shared: &Rc<Shared>) -> ConnectionGuard {
        shared.connections.set(shared.connections.get() + 1);
        ConnectionGuard(shared.clone())
    }
}

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        self.0.connections.set(self.0.connections.get() - 1);
    }
}

/// Counts a request as in flight until dropped.
struct InFlightGuard(Rc<Shared>);

impl InFlightGuard {
    fn new(shared: &Rc<Shared>) -> InFlightGuard {
        shared.in_flight.set(shared.in_flight.get() + 1);
        InFlightGuard(shared.clone())
    }
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        self.0.in_flight.set(self.0.in_flight.get() - 1);
    }
}

/// A response body that keeps its request counted as in flight until the whole body has been passed
/// to the connection.
struct CountedBody {
    body: Option<Bytes>,
    connection: Option<Rc<limit::Connection>>,
    _in_flight: InFlightGuard,
}

impl Drop for CountedBody {
    fn drop(&mut self) {
        if let Some(connection) = &self.connection {
            connection.answer_passed();
        }
    }
}

impl MessageBody for CountedBody {
    type Error = Infallible;

    fn size(&self) -> actix_http::body::BodySize {
        let len = self.body.as_ref().map_or(0, Bytes::len);
        actix_http::body::BodySize::Sized(len as u64)
    }

    fn poll_next(
        mut self: std::pin::Pin<&mut Self>,
        _: &mut Context<'_>,
    ) -> Poll<Option<Result<Bytes, Infallible>>> {
        let body = match &mut self.body {
            Some(body) if body.len() > CHUNK_MAX_BYTES => Some(body.split_to(CHUNK_MAX_BYTES)),
            _ => self.body.take().filter(|b| !b.is_empty()),
        };
        Poll::Ready(body.map(Ok))
    }
}

impl Server {
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Number of requests whose response has not been passed to the connection in full.
    pub fn in_flight(&self) -> usize {
        self.shared.in_flight.get()
    }

    /// Number of open connections, idle ones included.
    pub fn connections(&self) -> usize {
        self.shared.connections.get()
    }

    /// Makes each response from now on close its connection.
    pub fn close_connections(&self) {
        self.shared.closing.set(true);
    }

    /// Closes connections after their next response and waits until no request is in flight, at
    /// most `limit`. Returns how many requests are left.
    pub async fn drain(&self, limit: Duration) -> usize {
        self.close_connections();
        let deadline = time::Instant::now() + limit;
        while self.in_flight() > 0 && time::Instant::now() < deadline {
            time::sleep(DRAIN_POLL).await;
        }
        self.in_flight()
    }

    /// Waits until all connections have closed, at most `limit` and at most [`KEEP_ALIVE`] plus
    /// [`IDLE_MARGIN`]. Idle connections close after [`KEEP_ALIVE`]; a request that arrives on one
    /// before that is still answered.
    pub async fn wait_closed(&self, limit: Duration) {
        self.wait_for_no_connections(limit.min(KEEP_ALIVE + IDLE_MARGIN)).await;
    }

    async fn wait_for_no_connections(&self, limit: Duration) {
        let deadline = time::Instant::now() + limit;
        while self.connections() > 0 && time::Instant::now() < deadline {
            time::sleep(DRAIN_POLL).await;
        }
    }

    /// Like [`Server::wait_closed`], but starts to wait only after `notice`, because new
    /// connections are expected until then. `limit` includes `notice`. It alone bounds the wait:
    /// [`KEEP_ALIVE`] plus [`IDLE_MARGIN`] does not shorten it.
    pub async fn wait_closed_after(&self, notice: Duration, limit: Duration) {
        time::sleep(notice).await;
        self.wait_for_no_connections(limit.saturating_sub(notice)).await;
    }

    /// Closes the listener. Open connections stay open until they have been idle for
    /// [`KEEP_ALIVE`].
    pub fn stop(&self) {
        let _ = self.stop.send(());
    }
}

/// Serves HTTP/1.1 at `addr` on the current thread.
pub async fn serve<H, F>(addr: SocketAddr, handler: H) -> Result<Server>
where
    H: Fn(Request) -> F + Clone + 'static,
    F: Future<Output = Response<Bytes>> + 'static,
{
    serve_traffic(addr, limit::Traffic::Requests, handler)
}

/// Like [`serve`], at a port for large bodies.
pub async fn serve_large<H, F>(addr: SocketAddr, handler: H) -> Result<Server>
where
    H: Fn(Request) -> F + Clone + 'static,
    F: Future<Output = Response<Bytes>> + 'static,
{
    serve_traffic(addr, limit::Traffic::LargeRequests, handler)
}

fn serve_traffic<H, F>(addr: SocketAddr, traffic: limit::Traffic, handler: H) -> Result<Server>
where
    H: Fn(Request) -> F + Clone + 'static,
    F: Future<Output = Response<Bytes>> + 'static,
{
    let listener =
        limit::listen(addr, traffic).context(error::NetSnafu { step: "listen", peer: addr })?;
    let addr = listener.local_addr().context(error::NetSnafu { step: "listen", peer: addr })?;
    let (stop, stopped) = watch::channel(());
    let shared = Rc::new(Shared {
        closing: Cell::new(false),
        in_flight: Cell::new(0),
        connections: Cell::new(0),
    });
    let accepting = (Rc::new(listener), handler, shared.clone(), stopped);
    supervisor::spawn("accept", &accepting, |(listener, handler, shared, stopped)| {
        accept(listener, handler, shared, stopped)
    });
    Ok(Server { addr, shared, stop })
}

async fn accept<H, F>(
    listener: Rc<TcpListener>,
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
        .client_request_timeout(limit::pool::HEAD_LIMIT)
        .client_disconnect_timeout(LINGER)
        .h1_write_buffer_size(WRITE_BUFFER_BYTES)
        // Drops the handler's future when the caller closes its connection.
        .h1_allow_half_closed(false)
        .on_connect_ext(|stream: &limit::Stream, data: &mut Extensions| {
            data.insert(stream.connection().clone());
        })
        .finish(fn_service(move |request: Request| {
            answer(handler.clone(), shared.clone(), request)
        }));
    let Ok(service) = service.new_service(()).await else { return };
    let mut listener = limit::Listener::new(listener, Audience::Clients);
    loop {
        let stream = tokio::select! {
            stream = listener.accept() => stream,
            _ = stopped.changed() => return,
        };
        let connected = ConnectionGuard::new(&counted);
        let (connection, peer) = (stream.connection().clone(), stream.peer_addr());
        let served = service.call((stream, Protocol::Http1, peer));
        actix_rt::spawn(async move {
            tokio::select! {
                _ = served => {}
                () = connection.closed() => {}
            }
            drop(connected);
        });
    }
}

async fn answer<H, F>(
    handler: H,
    shared: Rc<Shared>,
    mut request: Request,
) -> Result<Response<BoxBody>, Infallible>
where
    H: Fn(Request) -> F,
    F: Future<Output = Response<Bytes>>,
{
    let in_flight = InFlightGuard::new(&shared);
    let connection = request.conn_data::<Rc<limit::Connection>>().cloned();
    let reads_only = matches!(*request.method(), Method::GET | Method::HEAD);
    if let Some(connection) = &connection {
        connection.head_arrived(body_kind(&mut request));
    }
    let mut response = handler(request).await;
    if let Some(connection) = &connection {
        response = reserve_response(connection, response, reads_only);
    }
    if shared.closing.get() {
        response.head_mut().set_connection_type(actix_http::ConnectionType::Close);
    }
    Ok(response.map_body(|_, body| {
        BoxBody::new(CountedBody { body: Some(body), connection, _in_flight: in_flight })
    }))
}

/// Lets the end of a connection be read that has arrived with a request, as after a stall of the network
/// or a pause of the process. The future that handles the request is then dropped here: its client has
/// left, and may have gone on elsewhere.
pub async fn drop_if_closed() {
    for _ in 0..CLOSE_TURNS {
        task::yield_now().await;
    }
}

fn body_kind(request: &mut Request) -> limit::Body {
    let chunked = request.headers().contains_key(header::TRANSFER_ENCODING);
    match request.payload() {
        Payload::None => limit::Body::None,
        _ if chunked => limit::Body::Chunked,
        _ => limit::Body::Sized,
    }
}

/// Reserves memory for a response. If there is none, a request that only reads is refused; another one
/// may have been carried out, so its connection is closed without an answer.
fn reserve_response(
    connection: &limit::Connection,
    response: Response<Bytes>,
    reads_only: bool,
) -> Response<Bytes> {
    let response = if connection.is_refused() { refusal() } else { response };
    match connection.answer_made(response.body().len()) {
        Ok(()) => response,
        Err(reason) if reads_only => {
            connection.request_refused(reason);
            refusal()
        }
        Err(reason) => {
            connection.close(reason);
            response
        }
    }
}

/// Refuses a request of which nothing has been carried out.
fn refusal() -> Response<Bytes> {
    let mut response = json(StatusCode::SERVICE_UNAVAILABLE, "{}");
    response.headers_mut().insert(header::RETRY_AFTER, header::HeaderValue::from_static("1"));
    response.head_mut().set_connection_type(actix_http::ConnectionType::Close);
    response
}

/// Reads the body of a request, of at most `max` bytes.
pub async fn body(request: &mut Request, max: usize) -> Result<Bytes, BodyError> {
    body_within(request, max, limit::pool::BODY_LIMIT).await
}

/// Like [`body`], with a time limit of the caller's.
pub async fn body_within(
    request: &mut Request,
    max: usize,
    limit: Duration,
) -> Result<Bytes, BodyError> {
    let connection = request.conn_data::<Rc<limit::Connection>>().cloned();
    let length = request.headers().get(header::CONTENT_LENGTH);
    let length = length.and_then(|l| l.to_str().ok()?.parse::<usize>().ok()).unwrap_or(0);
    if length > max {
        return Err(BodyError::TooLarge(max));
    }
    let mut payload = request.take_payload();
    // Pages that no bytes have reached take no memory. Growth by doubling would need twice the length, of
    // which `limit::Body::Sized` reserves only once.
    let mut body = BytesMut::with_capacity(length);
    let chunks = async {
        while let Some(chunk) = poll_fn(|cx| poll_chunk(&mut payload, &connection, cx)).await {
            let chunk = chunk?;
            if body.len() + chunk.len() > max {
                return Err(BodyError::TooLarge(max));
            }
            body.extend_from_slice(&chunk);
        }
        Ok(())
    };
    time::timeout(limit, chunks).await.unwrap_or(Err(BodyError::Late(limit)))?;
    if let Some(connection) = connection {
        connection.request_arrived();
    }
    Ok(body.freeze())
}

fn poll_chunk(
    payload: &mut Payload,
    connection: &Option<Rc<limit::Connection>>,
    cx: &mut Context<'_>,
) -> Poll<Option<Result<Bytes, BodyError>>> {
    if connection.as_ref().is_some_and(|connection| connection.poll_refused(cx.waker())) {
        return Poll::Ready(Some(Err(BodyError::Refused)));
    }
    payload.poll_next_unpin(cx).map_err(|e| BodyError::Broken(e.to_string()))
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

/// Idle time after which a client closes a connection. It is below [`KEEP_ALIVE`], so that no
/// request is written to a connection that the server is about to close.
pub const CLIENT_KEEP_ALIVE: Duration = Duration::from_secs(3);
/// Age after which a client replaces a connection.
const CLIENT_LIFETIME: Duration = Duration::from_secs(600);
/// Time limit for a client to open a connection.
const CLIENT_CONNECT_LIMIT: Duration = Duration::from_millis(500);

/// Why a request was not sent.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct NotSent {
    pub reason: String,
    /// Whether the peer refused the connection, as happens where no process listens.
    pub refused: bool,
}

impl NotSent {
    /// A reason other than a refused connection.
    pub fn new(reason: String) -> NotSent {
        NotSent { reason, refused: false }
    }
}

impl std::fmt::Display for NotSent {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(&self.reason)
    }
}

/// Why a request has no usable response.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CallError {
    /// No connection could be opened, so no byte of the request was written.
    NotSent(NotSent),
    /// The request was written in part or in full, and the response is missing or incomplete.
    Broken(String),
    /// The response is longer than this limit, in bytes.
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

/// A request that a [`Client`] sends.
#[derive(Debug, Clone)]
pub struct Call<'a> {
    pub method: Method,
    pub addr: SocketAddr,
    pub path: &'a str,
    pub headers: &'a [(&'static str, &'a str)],
    pub body: Bytes,
    /// Longest response body that is accepted, in bytes.
    pub answer_max_bytes: usize,
}

/// A response to a [`Call`], with its whole body.
#[derive(Debug, Clone)]
pub struct Answer {
    pub status: StatusCode,
    pub headers: header::HeaderMap,
    pub body: Bytes,
    /// Whether the response stated its length. If not, the end of `body` may be missing.
    pub sized: bool,
}

impl Answer {
    /// The value of a header that is present exactly once and is text.
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
    /// A client with at most `connections` connections in total. Further requests wait until a
    /// connection is free.
    pub fn new(connections: usize) -> Client {
        Client::with_keep_alive(connections, CLIENT_KEEP_ALIVE)
    }

    /// Like [`Client::new`], but closes connections that have been idle for `keep_alive`.
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

    /// Sends a request and reads the whole response. Dropping the future closes the connection.
    ///
    /// `awc` does not tell a connection that closes early from the end of the body. The body is
    /// therefore compared with its stated length; if none is stated, see [`Answer::sized`].
    pub async fn call(&self, call: Call<'_>) -> Result<Answer, CallError> {
        let uri = format!("http://{}{}", call.addr, call.path);
        let mut request = self.client.request(call.method, uri).address(call.addr);
        for pair in call.headers {
            request = request.insert_header(*pair);
        }
        let mut response = request.send_body(call.body).await.map_err(call_error)?;
        let length = response.headers().get(header::CONTENT_LENGTH);
        let length = length.and_then(|v| v.to_str().ok()?.parse::<usize>().ok());
        if length.is_some_and(|l| l > call.answer_max_bytes) {
            return Err(CallError::TooLarge(call.answer_max_bytes));
        }
        let body = response.body().limit(call.answer_max_bytes).await;
        let body = body.map_err(|e| match e {
            awc::error::PayloadError::Overflow => CallError::TooLarge(call.answer_max_bytes),
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
        // `awc` also reports this when the connection closes before the head of the response.
        SendRequestError::Connect(ConnectError::Disconnected) => {
            CallError::Broken("connection closed before an answer".into())
        }
        SendRequestError::Connect(e) => {
            let refused = matches!(&e, ConnectError::Io(io)
                if io.kind() == std::io::ErrorKind::ConnectionRefused);
            CallError::NotSent(NotSent { reason: e.to_string(), refused })
        }
        SendRequestError::Url(e) => CallError::NotSent(NotSent::new(e.to_string())),
        e => CallError::Broken(format!("{e:?}")),
    }
}
