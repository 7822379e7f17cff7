//! Bounds on what clients and peers use of a process: memory for unfinished requests and unread
//! answers, and connections. All listeners of a process share one [`Limiter`]; the decisions are
//! those of [`pool::Pool`].

pub mod bound;
mod connection;
mod meter;
pub mod pool;
mod stream;

use std::{
    cell::{Cell, RefCell},
    net::SocketAddr,
    rc::Rc,
    time::Duration,
};

use tokio::{
    net::{TcpListener, TcpSocket, TcpStream},
    sync::Notify,
    time::{self, Instant},
};

use self::{
    bound::{Audience, Bounds, Instance},
    meter::Meter,
    pool::{Closed, Pool, Port},
};
pub use self::{
    connection::{Body, CallGuard, Connection},
    stream::{OutboundStream, Stream},
};

/// Interval at which time limits are checked.
const SWEEP_INTERVAL: Duration = Duration::from_millis(500);
/// Number of connections that are closed when the process is out of file descriptors.
const SHED_COUNT: usize = 8;
/// Connections that may wait to be accepted.
const BACKLOG: u32 = 1_024;
/// Pause after a failed `accept`: without it, the loop would spin while the process is out of file
/// descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Size that is asked for the kernel's buffers of a client's connection. Bytes there count towards the
/// memory of the instance, also before the connection is accepted.
const BUFFER_BYTES: u32 = 16 * 1024;
/// Size that is asked for the receive buffer at ports for large bodies. A smaller one would make them slow
/// at long distances.
const LARGE_BUFFER_BYTES: u32 = 24 * 1024;
/// Size that is asked for the receive buffer of calls of the system's own processes, which may be large
/// and many on one connection.
const CALL_BUFFER_BYTES: u32 = 128 * 1024;

thread_local! {
    // All servers of a process run on one thread.
    static SHARED: Rc<Limiter> = Rc::new(Limiter::new());
}

/// Sets the limits of the instance for the servers of this thread.
pub fn configure(instance: Instance) {
    let bounds = Bounds::new(instance);
    log::info!(
        "event=connection_limits connections={} bytes={} client_connections={} client_bytes={}",
        bounds.total.connections,
        bounds.total.bytes,
        bounds.clients.connections,
        bounds.clients.bytes
    );
    shared().pool.borrow_mut().set_bounds(bounds);
}

/// Appends the metrics of the connections of this thread to `metrics`, a text in the Prometheus
/// format.
pub fn with_metrics(mut metrics: Vec<u8>) -> Vec<u8> {
    let limiter = shared();
    let pool = limiter.pool.borrow();
    metrics.extend(limiter.meter.render(pool.total(), &pool.by_port()));
    metrics
}

fn shared() -> Rc<Limiter> {
    SHARED.with(Rc::clone)
}

/// The connections of a process, and how to close each of them.
struct Limiter {
    pool: RefCell<Pool<Rc<Signal>>>,
    meter: Meter,
}

/// Tells the task of a connection that the connection is to be closed.
#[derive(Debug, Default)]
struct Signal {
    closed: Cell<bool>,
    notify: Notify,
}

impl Limiter {
    fn new() -> Limiter {
        let pool = RefCell::new(Pool::new(Bounds::new(Instance::default())));
        Limiter { pool, meter: Meter::new() }
    }

    /// Runs `change` and ends the connections that it closes.
    fn with_pool<R>(
        &self,
        change: impl FnOnce(&mut Pool<Rc<Signal>>, &mut Vec<Closed<Rc<Signal>>>) -> R,
    ) -> R {
        let mut closed = Vec::new();
        let result = change(&mut self.pool.borrow_mut(), &mut closed);
        for closed in closed {
            self.meter.closed(closed.port, closed.peer, closed.reason);
            closed.handle.closed.set(true);
            closed.handle.notify.notify_one();
        }
        result
    }
}

/// A connection that this process has opened. It counts towards the bound on connections.
#[derive(Debug)]
pub struct OutboundConnection(());

impl OutboundConnection {
    pub fn open() -> OutboundConnection {
        shared().with_pool(|pool, closed| pool.open_outbound(closed));
        OutboundConnection(())
    }
}

impl Drop for OutboundConnection {
    fn drop(&mut self) {
        // The thread may be ending.
        let _ = SHARED.try_with(|limiter| limiter.pool.borrow_mut().close_outbound());
    }
}

/// What is sent to a port. The sizes of the kernel's buffers follow from it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Traffic {
    /// Requests of clients.
    Requests,
    /// Requests of clients with large bodies.
    LargeRequests,
    /// Calls of the system's own processes.
    Calls,
}

/// Listens at `addr`. The buffers of its connections in the kernel are small, as far as it allows: bytes
/// that wait there are within no bound of this process.
pub fn listen(addr: SocketAddr, traffic: Traffic) -> std::io::Result<TcpListener> {
    let socket = match addr {
        SocketAddr::V4(_) => TcpSocket::new_v4()?,
        SocketAddr::V6(_) => TcpSocket::new_v6()?,
    };
    socket.set_reuseaddr(true)?;
    if traffic != Traffic::Calls {
        let _ = socket.set_send_buffer_size(BUFFER_BYTES);
    }
    let _ = socket.set_recv_buffer_size(match traffic {
        Traffic::Requests => BUFFER_BYTES,
        Traffic::LargeRequests => LARGE_BUFFER_BYTES,
        Traffic::Calls => CALL_BUFFER_BYTES,
    });
    socket.bind(addr)?;
    socket.listen(BACKLOG)
}

/// The accepted connections of one listener.
pub struct Listener {
    limiter: Rc<Limiter>,
    listener: Rc<TcpListener>,
    port: Port,
    sweep: time::Interval,
    swept: Instant,
}

impl Listener {
    /// Must be called within the runtime.
    pub fn new(listener: Rc<TcpListener>, audience: Audience) -> Listener {
        let number = listener.local_addr().map_or(0, |addr| addr.port());
        let mut sweep = time::interval(SWEEP_INTERVAL);
        sweep.set_missed_tick_behavior(time::MissedTickBehavior::Delay);
        let port = Port { number, audience };
        Listener { limiter: shared(), listener, port, sweep, swept: Instant::now() }
    }

    /// Waits for the next connection that is within the bounds, and checks the time limits of the
    /// open ones meanwhile.
    pub async fn accept(&mut self) -> Stream {
        loop {
            let accepted = tokio::select! {
                accepted = self.listener.accept() => accepted,
                _ = self.sweep.tick() => {
                    self.expire();
                    continue;
                }
            };
            match accepted {
                Ok((stream, peer)) => {
                    if let Some(stream) = self.admit(stream, peer) {
                        return stream;
                    }
                }
                Err(e) => {
                    log::warn!("event=accept_failed port={} error={e:?}", self.port.number);
                    if is_out_of_descriptors(&e) {
                        self.limiter.with_pool(|pool, closed| {
                            pool.evict_for_descriptors(SHED_COUNT, closed)
                        });
                    }
                    time::sleep(ACCEPT_PAUSE).await;
                }
            }
        }
    }

    fn admit(&self, stream: TcpStream, peer: SocketAddr) -> Option<Stream> {
        let signal = Rc::new(Signal::default());
        let opened = self.limiter.with_pool(|pool, closed| {
            pool.open(signal.clone(), self.port, peer, Instant::now(), closed)
        });
        match opened {
            Ok(id) => {
                let _ = stream.set_nodelay(true);
                let connection =
                    Connection::new(self.limiter.clone(), signal, id, self.port.audience);
                Some(Stream::new(stream, Rc::new(connection)))
            }
            Err(reason) => {
                self.limiter.meter.refused(self.port, peer, reason);
                if self.port.audience == Audience::Clients {
                    stream::refuse(stream);
                }
                None
            }
        }
    }

    /// Closes connections whose time limits have passed. A time in which this process did not run
    /// does not count.
    fn expire(&mut self) {
        let now = Instant::now();
        let late = now.saturating_duration_since(self.swept).saturating_sub(2 * SWEEP_INTERVAL);
        self.swept = now;
        let port = self.port;
        self.limiter.with_pool(|pool, closed| {
            if !late.is_zero() {
                pool.extend(port, late);
            }
            pool.expire(port, now, closed);
        });
    }
}

fn is_out_of_descriptors(error: &std::io::Error) -> bool {
    use nix::errno::Errno;
    error
        .raw_os_error()
        .is_some_and(|code| [Errno::EMFILE, Errno::ENFILE].contains(&Errno::from_raw(code)))
}
