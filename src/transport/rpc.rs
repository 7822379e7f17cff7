//! Remote calls between the system's own processes, by `tarpc` over TCP.

use std::{
    cell::{Cell, RefCell},
    future::Future,
    net::SocketAddr,
    rc::Rc,
    time::Duration,
};

use futures::{StreamExt, stream::FuturesUnordered};
use serde::{Serialize, de::DeserializeOwned};
use snafu::ResultExt;
use tarpc::{
    ClientMessage, RequestName, Response, ServerError, client, context,
    serde_transport::{self, Transport as SerdeTransport},
    server::{self, Channel, Serve},
    tokio_serde::{self, formats::Bincode},
};
use tokio::{
    net::{TcpListener, TcpStream},
    sync::{Mutex, watch},
    time,
};
use tokio_util::codec::{Decoder, LengthDelimitedCodec};

use crate::{
    error::{self, Error, Result},
    supervisor,
    transport::{
        format, frame,
        limit::{self, bound::Audience},
    },
};

/// Largest message, in bytes. It must be large enough for all answers of one job, which an entry
/// sends to another entry in one message.
pub const FRAME_MAX_BYTES: usize = 32 * 1024 * 1024;
/// Time limit to open a connection.
pub const CONNECT_LIMIT: Duration = Duration::from_millis(500);
/// Interval at which further attempts to connect are started beside the pending ones. TCP resends a
/// lost SYN only after a second, and a SYN to a machine that was just powered on again gets lost.
const CONNECT_INTERVAL: Duration = Duration::from_millis(80);

/// Maximum number of calls that wait for a response on one connection.
const IN_FLIGHT_MAX: usize = 65_536;
/// Maximum number of calls, and of responses, that are buffered for one connection.
const BUFFER_MAX: usize = 1_024;

/// The client's side of a connection.
pub type Transport<Request, Answer> = SerdeTransport<
    limit::OutboundStream,
    Response<Answer>,
    ClientMessage<Request>,
    Bincode<Response<Answer>, ClientMessage<Request>>,
>;

/// A generated `tarpc` client.
pub trait Client: Clone + 'static {
    type Request: Serialize + 'static;
    type Response: DeserializeOwned + 'static;

    /// Starts a client on a connection. Must be called within the runtime.
    fn new(transport: Transport<Self::Request, Self::Response>) -> Self;
}

/// The configuration of every client.
pub fn client_config() -> client::Config {
    let mut config = client::Config::default();
    config.max_in_flight_requests = IN_FLIGHT_MAX;
    config.pending_request_buffer = BUFFER_MAX;
    config
}

/// Context of a call that times out after `limit`.
pub fn context(limit: Duration) -> context::Context {
    let mut context = context::current();
    context.deadline = std::time::Instant::now() + limit;
    context
}

fn codec() -> LengthDelimitedCodec {
    LengthDelimitedCodec::builder().max_frame_length(FRAME_MAX_BYTES).new_codec()
}

/// Opens a connection by overlapping attempts. The first one that succeeds or fails decides.
async fn open(addr: SocketAddr) -> std::io::Result<TcpStream> {
    let mut attempts = FuturesUnordered::new();
    loop {
        attempts.push(TcpStream::connect(addr));
        if let Ok(Some(stream)) = time::timeout(CONNECT_INTERVAL, attempts.next()).await {
            return stream;
        }
    }
}

/// Connects to the service at `addr`.
pub async fn connect<C: Client>(addr: SocketAddr) -> Result<C> {
    let own = limit::OutboundConnection::open();
    let stream = match time::timeout(CONNECT_LIMIT, open(addr)).await {
        Ok(stream) => stream,
        Err(_) => Err(std::io::ErrorKind::TimedOut.into()),
    };
    let stream = stream.context(error::NetSnafu { step: "connect", peer: addr })?;
    stream.set_nodelay(true).context(error::NetSnafu { step: "connect", peer: addr })?;
    let framed = codec().framed(limit::OutboundStream::new(stream, own));
    Ok(C::new(serde_transport::new(framed, Bincode::default())))
}

/// A connection to one peer that is opened on demand and reopened after a failure.
pub struct Link<C> {
    addr: SocketAddr,
    /// The open connection and its number.
    client: RefCell<Option<(u64, C)>>,
    /// Number of connections opened so far.
    opened: Cell<u64>,
    /// Number of attempts to connect so far.
    attempts: Cell<u64>,
    /// Locked while connecting, so that concurrent calls share the new connection.
    connecting: Mutex<()>,
}

impl<C: Client> Link<C> {
    pub fn new(addr: SocketAddr) -> Rc<Link<C>> {
        Rc::new(Link {
            addr,
            client: RefCell::new(None),
            opened: Cell::new(0),
            attempts: Cell::new(0),
            connecting: Mutex::new(()),
        })
    }

    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Returns the open connection, or opens one.
    pub async fn client(&self) -> Result<C> {
        Ok(self.numbered_client().await?.1)
    }

    /// Whether a connection is open. A failed connection counts as open until a call fails on it.
    pub fn is_open(&self) -> bool {
        self.client.borrow().is_some()
    }

    /// Opens a connection unless one is open.
    pub async fn ready(&self) -> Result<()> {
        if self.is_open() {
            return Ok(());
        }
        Box::pin(self.connect()).await.map(|_| ())
    }

    /// Returns the open connection and its number, or opens one.
    async fn numbered_client(&self) -> Result<(u64, C)> {
        if let Some(open) = self.current() {
            return Ok(open);
        }
        // Boxed to keep the futures of calls small, because there are many of them.
        Box::pin(self.connect()).await
    }

    async fn connect(&self) -> Result<(u64, C)> {
        let attempts = self.attempts.get();
        let _connecting = self.connecting.lock().await;
        if let Some(open) = self.current() {
            return Ok(open);
        }
        if self.attempts.get() != attempts {
            // Another call tried to connect while this one waited for the lock, and failed. This
            // call fails too instead of connecting again.
            let source = std::io::ErrorKind::NotConnected.into();
            return Err(Error::Net { step: "connect", peer: self.addr, source });
        }
        self.attempts.set(attempts + 1);
        let client: C = connect(self.addr).await?;
        let number = self.opened.get() + 1;
        self.opened.set(number);
        self.client.replace(Some((number, client.clone())));
        Ok((number, client))
    }

    /// Returns the open connection and its number, if there is one.
    fn current(&self) -> Option<(u64, C)> {
        self.client.borrow().clone()
    }

    /// Drops the failed connection `number`, unless another call has replaced it.
    fn discard(&self, number: u64) {
        let mut client = self.client.borrow_mut();
        if client.as_ref().is_some_and(|(open, _)| *open == number) {
            client.take();
        }
    }

    /// Makes a call. If the call fails, its connection is dropped, unless the call timed out: then
    /// the connection stays open.
    ///
    /// [`Error::Net`] from this function means that no connection was opened, so the call was never
    /// sent. After any other error, the peer may or may not have executed the call.
    pub async fn call<T, F>(&self, step: &'static str, call: impl FnOnce(C) -> F) -> Result<T>
    where
        F: Future<Output = Result<T, client::RpcError>>,
    {
        let (number, client) = self.numbered_client().await?;
        call(client).await.map_err(|source| {
            if !matches!(source, client::RpcError::DeadlineExceeded) {
                self.discard(number);
            }
            Error::Rpc { step, peer: self.addr, source }
        })
    }
}

/// A listening service. Dropping it closes the listener and all its connections.
#[derive(Debug)]
pub struct Server {
    addr: SocketAddr,
    _stop: watch::Sender<()>,
}

impl Server {
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }
}

/// Serves `service` (the result of a generated `serve()`) at `addr` on the current thread.
///
/// `tarpc` drops a handler when its connection closes or its deadline passes, although each runs in a
/// task of its own. This tells a handler that nobody waits for it any more. A service whose handlers
/// must not be dropped in the middle is served by [`serve_to_end`].
pub async fn serve<S>(addr: SocketAddr, service: S) -> Result<Server>
where
    S: Serve + Clone + 'static,
    S::Req: DeserializeOwned + RequestName + 'static,
    S::Resp: Serialize + 'static,
{
    let listener = limit::listen(addr, limit::Traffic::Calls)
        .context(error::NetSnafu { step: "listen", peer: addr })?;
    let addr = listener.local_addr().context(error::NetSnafu { step: "listen", peer: addr })?;
    let (stop, stopped) = watch::channel(());
    let accepting = (Rc::new(listener), service, stopped);
    supervisor::spawn("accept", &accepting, |(listener, service, stopped)| {
        accept(listener, service, stopped)
    });
    Ok(Server { addr, _stop: stop })
}

/// Serves `service` as [`serve`] does, but each handler that has begun runs to its end. This is for
/// services that propose changes: dropped between the commit and what has to follow it, a handler
/// would leave a change of which the process has taken no note.
pub async fn serve_to_end<S>(addr: SocketAddr, service: S) -> Result<Server>
where
    S: Serve + Clone + 'static,
    S::Req: DeserializeOwned + RequestName + 'static,
    S::Resp: Serialize + 'static,
{
    serve(addr, ToEnd(service)).await
}

/// Runs each handler of a service in a further task, which is not dropped with the caller's.
#[derive(Clone)]
struct ToEnd<S>(S);

impl<S> Serve for ToEnd<S>
where
    S: Serve + 'static,
    S::Req: 'static,
    S::Resp: 'static,
{
    type Req = S::Req;
    type Resp = S::Resp;

    async fn serve(self, context: context::Context, req: S::Req) -> Result<S::Resp, ServerError> {
        let handler = actix_rt::spawn(self.0.serve(context, req));
        handler.await.unwrap_or_else(|e| {
            Err(ServerError::new(std::io::ErrorKind::Other, format!("handler failed: {e}")))
        })
    }
}

async fn accept<S>(listener: Rc<TcpListener>, service: S, mut stopped: watch::Receiver<()>)
where
    S: Serve + Clone + 'static,
    S::Req: DeserializeOwned + RequestName + 'static,
    S::Resp: Serialize + 'static,
{
    let mut listener = limit::Listener::new(listener, Audience::System);
    loop {
        let stream = tokio::select! {
            stream = listener.accept() => stream,
            _ = stopped.changed() => return,
        };
        actix_rt::spawn(handle(stream, service.clone(), stopped.clone()));
    }
}

async fn handle<S>(stream: limit::Stream, service: S, mut stopped: watch::Receiver<()>)
where
    S: Serve + Clone + 'static,
    S::Req: DeserializeOwned + RequestName + 'static,
    S::Resp: Serialize + 'static,
{
    let connection = stream.connection().clone();
    let transport = tokio_serde::Framed::new(
        frame::Codec::new(connection.clone()).framed(stream),
        format::Calls::<S::Req, S::Resp>::default(),
    );
    let config = server::Config { pending_response_buffer: BUFFER_MAX };
    let channel = server::BaseChannel::new(config, transport);
    let requests = channel.execute(service).for_each(|request| {
        let call = connection.call_begun();
        actix_rt::spawn(async move {
            request.await;
            drop(call);
        });
        std::future::ready(())
    });
    tokio::select! {
        () = requests => {}
        _ = stopped.changed() => {}
        () = connection.closed() => {}
    }
}
