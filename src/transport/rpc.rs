//! Remote calls between the system's own processes: `tarpc` over TCP.

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
    ClientMessage, RequestName, Response, client, context,
    serde_transport::{self, Transport as SerdeTransport},
    server::{self, Channel, Serve},
    tokio_serde::formats::Bincode,
};
use tokio::{
    net::{TcpListener, TcpStream},
    sync::{Mutex, watch},
    time,
};
use tokio_util::codec::{Decoder, LengthDelimitedCodec};

use crate::error::{self, Error, Result};

/// Largest message, in bytes. A job's answers travel between entries in one message.
pub const FRAME_MAX_BYTES: usize = 32 * 1024 * 1024;
/// Time to open a connection.
pub const CONNECT_LIMIT: Duration = Duration::from_millis(500);
/// Time after which a further connection is tried beside those under way. A lost opening packet,
/// as towards an instance that has just got its power back, is sent again only after a second.
const CONNECT_AGAIN: Duration = Duration::from_millis(80);

/// Calls that may wait for an answer on one connection.
const IN_FLIGHT_MAX: usize = 65_536;
/// Calls and answers buffered towards one connection.
const BUFFER_MAX: usize = 1_024;

/// A client's connection.
pub type Transport<Request, Answer> = SerdeTransport<
    TcpStream,
    Response<Answer>,
    ClientMessage<Request>,
    Bincode<Response<Answer>, ClientMessage<Request>>,
>;

/// A generated `tarpc` client.
pub trait Client: Clone + 'static {
    type Request: Serialize + 'static;
    type Response: DeserializeOwned + 'static;

    /// Runs a client over a connection; must be called within the runtime.
    fn new(transport: Transport<Self::Request, Self::Response>) -> Self;
}

/// Configuration shared by all clients.
pub fn client_config() -> client::Config {
    let mut config = client::Config::default();
    config.max_in_flight_requests = IN_FLIGHT_MAX;
    config.pending_request_buffer = BUFFER_MAX;
    config
}

/// Context of a call that gives up after `limit`.
pub fn context(limit: Duration) -> context::Context {
    let mut context = context::current();
    context.deadline = std::time::Instant::now() + limit;
    context
}

fn codec() -> LengthDelimitedCodec {
    LengthDelimitedCodec::builder().max_frame_length(FRAME_MAX_BYTES).new_codec()
}

/// Opens a connection by overlapping tries. The first answer decides.
async fn open(addr: SocketAddr) -> std::io::Result<TcpStream> {
    let mut tries = FuturesUnordered::new();
    loop {
        tries.push(TcpStream::connect(addr));
        if let Ok(Some(stream)) = time::timeout(CONNECT_AGAIN, tries.next()).await {
            return stream;
        }
    }
}

/// Connects to the service at `addr`.
pub async fn connect<C: Client>(addr: SocketAddr) -> Result<C> {
    let stream = match time::timeout(CONNECT_LIMIT, open(addr)).await {
        Ok(stream) => stream,
        Err(_) => Err(std::io::ErrorKind::TimedOut.into()),
    };
    let stream = stream.context(error::NetSnafu { step: "connect", peer: addr })?;
    stream.set_nodelay(true).context(error::NetSnafu { step: "connect", peer: addr })?;
    let framed = codec().framed(stream);
    Ok(C::new(serde_transport::new(framed, Bincode::default())))
}

/// A connection to one peer that is opened on demand and again after a failure.
pub struct Link<C> {
    addr: SocketAddr,
    /// The open connection and its number.
    client: RefCell<Option<(u64, C)>>,
    opened: Cell<u64>,
    /// Tries to connect.
    tried: Cell<u64>,
    /// Held while connecting, so that calls made meanwhile share the connection.
    connecting: Mutex<()>,
}

impl<C: Client> Link<C> {
    pub fn new(addr: SocketAddr) -> Rc<Link<C>> {
        Rc::new(Link {
            addr,
            client: RefCell::new(None),
            opened: Cell::new(0),
            tried: Cell::new(0),
            connecting: Mutex::new(()),
        })
    }

    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// The open connection, or a new one.
    pub async fn client(&self) -> Result<C> {
        Ok(self.numbered().await?.1)
    }

    /// Whether a connection is open, as far as is known.
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

    async fn numbered(&self) -> Result<(u64, C)> {
        if let Some(open) = self.open() {
            return Ok(open);
        }
        // Boxed, so that the futures of calls, of which there are many, stay small.
        Box::pin(self.connect()).await
    }

    async fn connect(&self) -> Result<(u64, C)> {
        let tried = self.tried.get();
        let _connecting = self.connecting.lock().await;
        if let Some(open) = self.open() {
            return Ok(open);
        }
        if self.tried.get() != tried {
            // Calls that waited for a try that failed fail with it.
            let source = std::io::ErrorKind::NotConnected.into();
            return Err(Error::Net { step: "connect", peer: self.addr, source });
        }
        self.tried.set(tried + 1);
        let client: C = connect(self.addr).await?;
        let number = self.opened.get() + 1;
        self.opened.set(number);
        self.client.replace(Some((number, client.clone())));
        Ok((number, client))
    }

    fn open(&self) -> Option<(u64, C)> {
        self.client.borrow().clone()
    }

    /// Drops a connection that broke, unless another call has replaced it.
    fn broke(&self, number: u64) {
        let mut client = self.client.borrow_mut();
        if client.as_ref().is_some_and(|(open, _)| *open == number) {
            client.take();
        }
    }

    /// Makes a call; drops the connection if it broke. A call that timed out leaves it open.
    ///
    /// An error says nothing about whether the peer carried the call out, except that
    /// [`Error::Net`] means that no connection was made, so the call was never sent.
    pub async fn call<T, F>(&self, step: &'static str, call: impl FnOnce(C) -> F) -> Result<T>
    where
        F: Future<Output = Result<T, client::RpcError>>,
    {
        let (number, client) = self.numbered().await?;
        call(client).await.map_err(|source| {
            if !matches!(source, client::RpcError::DeadlineExceeded) {
                self.broke(number);
            }
            Error::Rpc { step, peer: self.addr, source }
        })
    }
}

/// A listening service. Dropping it closes the listener and all connections.
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

/// Serves `service` (the result of a generated `serve()`) at `addr`, on the current thread.
///
/// Dropping a connection drops its handlers, so a handler must only wait for work that runs
/// elsewhere.
pub async fn serve<S>(addr: SocketAddr, service: S) -> Result<Server>
where
    S: Serve + Clone + 'static,
    S::Req: DeserializeOwned + RequestName + 'static,
    S::Resp: Serialize + 'static,
{
    let listener =
        TcpListener::bind(addr).await.context(error::NetSnafu { step: "listen", peer: addr })?;
    let addr = listener.local_addr().context(error::NetSnafu { step: "listen", peer: addr })?;
    let (stop, stopped) = watch::channel(());
    actix_rt::spawn(accept(listener, service, stopped));
    Ok(Server { addr, _stop: stop })
}

async fn accept<S>(listener: TcpListener, service: S, mut stopped: watch::Receiver<()>)
where
    S: Serve + Clone + 'static,
    S::Req: DeserializeOwned + RequestName + 'static,
    S::Resp: Serialize + 'static,
{
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            _ = stopped.changed() => return,
        };
        match accepted {
            Ok((stream, _)) => {
                let _ = stream.set_nodelay(true);
                actix_rt::spawn(handle(stream, service.clone(), stopped.clone()));
            }
            Err(e) => {
                log::warn!("event=accept_failed error={e:?}");
                time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

/// Pause after a failed `accept`, which fails at once again while file descriptors run out.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

async fn handle<S>(stream: TcpStream, service: S, mut stopped: watch::Receiver<()>)
where
    S: Serve + Clone + 'static,
    S::Req: DeserializeOwned + RequestName + 'static,
    S::Resp: Serialize + 'static,
{
    let transport = serde_transport::new(
        codec().framed(stream),
        Bincode::<ClientMessage<S::Req>, Response<S::Resp>>::default(),
    );
    let config = server::Config { pending_response_buffer: BUFFER_MAX };
    let channel = server::BaseChannel::new(config, transport);
    let requests = channel.execute(service).for_each(|request| async move {
        actix_rt::spawn(request);
    });
    tokio::select! {
        () = requests => {}
        _ = stopped.changed() => {}
    }
}
