//! Bounds on what clients and peers use of a process: memory for unfinished requests and unread
//! answers, and connections. All listeners of a process share one [`Limiter`]; the decisions are
//! those of [`pool::Pool`].

pub mod bound;
mod meter;
pub mod pool;
mod stream;

use std::{
    cell::{Cell, RefCell},
    net::SocketAddr,
    rc::Rc,
    task::Waker,
    time::Duration,
};

use tokio::{
    net::TcpStream,
    sync::Notify,
    time::{self, Instant},
};

pub use self::stream::{Own, Stream};
use self::{
    bound::{Audience, Bounds, Instance},
    meter::Meter,
    pool::{Closed, Pool, Port, Reason, State},
};

/// Bytes of a request, of what follows it and of an answer that [`pool::CONNECTION_BYTES`] covers.
const COVERED_BYTES: usize = 8 * 1024;
/// Bytes that are reserved at once for a request that needs more.
const STEP_BYTES: usize = 16 * 1024;
/// Most bytes of a client that are read at once. The reader of a body then takes its chunks out of the queue
/// between two reads, so that the queue, which needs 32 bytes for each chunk, stays short.
const READ_MAX_BYTES: usize = 4 * 1024;
/// Interval at which time limits are checked.
const SWEEP_INTERVAL: Duration = Duration::from_millis(500);
/// Number of connections that are closed when the process is out of file descriptors.
const SHED_COUNT: usize = 8;
/// Pause after a failed `accept`: without it, the loop would spin while the process is out of file
/// descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

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
pub struct OwnConnection(());

impl OwnConnection {
    pub fn new() -> OwnConnection {
        shared().with_pool(|pool, closed| pool.open_own(closed));
        OwnConnection(())
    }
}

impl Drop for OwnConnection {
    fn drop(&mut self) {
        // The thread may be ending.
        let _ = SHARED.try_with(|limiter| limiter.pool.borrow_mut().close_own());
    }
}

/// The accepted connections of one listener.
pub struct Listener {
    limiter: Rc<Limiter>,
    listener: Rc<tokio::net::TcpListener>,
    port: Port,
    sweep: time::Interval,
    swept: Instant,
}

impl Listener {
    /// Must be called within the runtime.
    pub fn new(listener: Rc<tokio::net::TcpListener>, audience: Audience) -> Listener {
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
                        self.limiter.with_pool(|pool, closed| pool.shed(SHED_COUNT, closed));
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
                    stream::refuse(&stream);
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

/// An accepted connection.
pub struct Connection {
    limiter: Rc<Limiter>,
    signal: Rc<Signal>,
    id: pool::Id,
    audience: Audience,
    /// Bytes reserved beyond [`COVERED_BYTES`].
    reserved: Cell<usize>,
    /// Bytes that the unfinished request needs.
    needed: Cell<usize>,
    /// Memory that one byte of the request needs. A buffer of unknown final size grows by doubling.
    factor: Cell<usize>,
    /// Bytes read since the request was complete.
    ahead: Cell<usize>,
    /// Bytes of messages that have not been written.
    unwritten: Cell<usize>,
    /// Number of calls that are being answered.
    calls: Cell<usize>,
    /// Whether the connection has been passed the whole answer.
    answer_passed: Cell<bool>,
    /// Whether the body does not fit.
    refused: Cell<bool>,
    /// Wakes the reader of the body.
    body_waker: RefCell<Option<Waker>>,
    /// Wakes the connection to read on.
    read_waker: RefCell<Option<Waker>>,
}

impl Connection {
    fn new(
        limiter: Rc<Limiter>,
        signal: Rc<Signal>,
        id: pool::Id,
        audience: Audience,
    ) -> Connection {
        Connection {
            limiter,
            signal,
            id,
            audience,
            reserved: Cell::new(0),
            needed: Cell::new(0),
            factor: Cell::new(2),
            ahead: Cell::new(0),
            unwritten: Cell::new(0),
            calls: Cell::new(0),
            answer_passed: Cell::new(false),
            refused: Cell::new(false),
            body_waker: RefCell::default(),
            read_waker: RefCell::default(),
        }
    }

    /// Waits until the connection has to be closed.
    pub async fn closed(&self) {
        self.signal.notify.notified().await;
    }

    fn is_open(&self) -> bool {
        !self.signal.closed.get()
    }

    fn state(&self) -> State {
        if !self.is_open() {
            return State::Idle;
        }
        self.limiter.pool.borrow().state(self.id)
    }

    fn set_state(&self, state: State) {
        if self.is_open() {
            self.limiter.pool.borrow_mut().set_state(self.id, state, Instant::now());
        }
    }

    /// Reserves what is missing for `bytes` in total.
    fn reserve(&self, bytes: usize) -> Result<(), Reason> {
        let missing = bytes.saturating_sub(COVERED_BYTES + self.reserved.get());
        if missing == 0 || !self.is_open() {
            return Ok(());
        }
        let step = missing.next_multiple_of(STEP_BYTES);
        self.limiter.with_pool(|pool, closed| pool.grow(self.id, step, closed))?;
        self.reserved.set(self.reserved.get() + step);
        Ok(())
    }

    /// Releases what is not necessary for `bytes` in total.
    fn release(&self, bytes: usize) {
        let necessary = bytes.saturating_sub(COVERED_BYTES).next_multiple_of(STEP_BYTES);
        let excess = self.reserved.get().saturating_sub(necessary);
        if excess > 0 && self.is_open() {
            self.limiter.pool.borrow_mut().shrink(self.id, excess);
            self.reserved.set(self.reserved.get() - excess);
        }
    }

    /// Closes the connection because its bytes do not fit.
    pub fn close(&self, reason: Reason) {
        if self.is_open() {
            self.limiter.with_pool(|pool, closed| pool.expel(self.id, reason, closed));
        }
    }

    /// Whether what has been read must be processed before more is read.
    fn reads_in_parts(&self) -> bool {
        self.audience == Audience::Clients
    }

    /// Number of bytes that may be read now. They are reserved.
    fn readable(&self, wanted: usize) -> usize {
        let state = self.state();
        let clients = self.reads_in_parts();
        let most = if clients { wanted.min(READ_MAX_BYTES) } else { wanted };
        if self.refused.get() {
            // After the refusal, the rest of the body is read and dropped.
            return if state == State::Body { 0 } else { most };
        }
        if clients && matches!(state, State::Answering | State::Writing) {
            return most.min(READ_MAX_BYTES - self.ahead.get());
        }
        let unclaimed = state == State::Body && self.body_waker.borrow().is_none();
        if clients && unclaimed && self.needed.get() > COVERED_BYTES {
            return 0;
        }
        match self.reserve(self.needed.get() + self.unwritten.get() + self.factor.get() * most) {
            Ok(()) => most,
            Err(reason) => {
                self.refuse(state, reason);
                0
            }
        }
    }

    /// Refuses the unfinished request. If the handler waits for the body, it can still answer.
    fn refuse(&self, state: State, reason: Reason) {
        self.refused.set(true);
        match self.body_waker.take() {
            Some(waker) if state == State::Body => {
                self.request_refused(reason);
                waker.wake();
            }
            _ => self.close(reason),
        }
    }

    fn received(&self, bytes: usize) {
        if !self.is_open() {
            return;
        }
        let mut pool = self.limiter.pool.borrow_mut();
        let state = pool.state(self.id);
        let after_request = matches!(state, State::Answering | State::Writing);
        if self.audience == Audience::Clients && after_request {
            if !self.refused.get() {
                self.ahead.set(self.ahead.get() + bytes);
            }
            return;
        }
        if !self.refused.get() {
            self.needed.set(self.needed.get() + self.factor.get() * bytes);
        }
        let now = Instant::now();
        match state {
            State::Idle if self.audience == Audience::Clients => {
                pool.set_state(self.id, State::Head, now);
            }
            State::Writing => {}
            _ => pool.progress(self.id, now),
        }
    }

    fn written(&self, bytes: usize) {
        if !self.is_open() {
            return;
        }
        self.unwritten.set(self.unwritten.get().saturating_sub(bytes));
        let mut pool = self.limiter.pool.borrow_mut();
        if pool.state(self.id) == State::Writing {
            pool.progress(self.id, Instant::now());
        }
    }

    /// Records that everything that was passed to the connection has been written.
    fn flushed(&self) {
        match self.audience {
            Audience::Clients if self.answer_passed.get() => self.answered(),
            Audience::Clients => {}
            Audience::System => self.messages_written(),
        }
    }

    fn answered(&self) {
        self.answer_passed.set(false);
        if self.state() != State::Writing {
            return;
        }
        let ahead = self.begin_next();
        self.set_state(if ahead > 0 { State::Head } else { State::Idle });
    }

    /// Counts what was read after a request towards the next one. Returns how many bytes that are.
    fn begin_next(&self) -> usize {
        let ahead = self.ahead.take();
        self.factor.set(2);
        self.needed.set(2 * ahead);
        self.release(2 * ahead);
        self.read_on();
        ahead
    }

    /// Wakes the connection if it did not read because of [`Connection::readable`].
    fn read_on(&self) {
        if let Some(waker) = self.read_waker.take() {
            waker.wake();
        }
    }

    /// Records that the head of a request has arrived, with the length of its body if it has one.
    pub fn head_arrived(&self, body: Body) {
        self.answer_passed.set(false);
        if self.state() == State::Writing {
            self.begin_next();
        }
        match body {
            Body::None => self.request_arrived(),
            Body::Sized => {
                self.factor.set(1);
                self.set_state(State::Body);
            }
            Body::Chunked => self.set_state(State::Body),
        }
    }

    /// Records that the whole request has arrived.
    pub fn request_arrived(&self) {
        self.body_waker.take();
        self.set_state(State::Answering);
    }

    /// Whether the body does not fit. If it does, it is read on, and `waker` is woken once that changes.
    pub fn poll_refused(&self, waker: &Waker) -> bool {
        if self.refused.get() {
            return true;
        }
        let mut body_waker = self.body_waker.borrow_mut();
        if body_waker.as_ref().is_none_or(|known| !known.will_wake(waker)) {
            *body_waker = Some(waker.clone());
            self.read_on();
        }
        false
    }

    /// Replaces the reservation of a request by that of its answer. If that does not fit, the answer
    /// must not be sent.
    pub fn answer_made(&self, bytes: usize) -> Result<(), Reason> {
        self.body_waker.take();
        self.needed.set(0);
        self.release(bytes);
        let reserved = self.reserve(bytes);
        self.set_state(State::Writing);
        reserved
    }

    /// Records that the connection has been passed the whole answer, but may not have written it.
    pub fn answer_passed(&self) {
        self.answer_passed.set(true);
    }

    /// Whether the body of the request did not fit, so that nothing of it has been carried out.
    pub fn is_refused(&self) -> bool {
        self.refused.get()
    }

    /// Counts a request that is refused.
    pub fn request_refused(&self, reason: Reason) {
        self.limiter.meter.request_refused(reason);
    }

    /// Records a message that has arrived, and how many bytes are left of a next one.
    pub fn message_arrived(&self, left: usize) {
        self.needed.set(2 * left);
        self.release(self.needed.get() + self.unwritten.get());
        if self.is_open() {
            self.limiter.pool.borrow_mut().prove(self.id, Instant::now());
        }
    }

    /// Records that no whole message is left to decode.
    pub fn message_awaited(&self, left: usize) {
        let state = match left {
            _ if self.unwritten.get() > 0 => State::Writing,
            0 if self.calls.get() > 0 => State::Answering,
            0 => State::Idle,
            _ => State::Body,
        };
        self.set_state(state);
    }

    /// Records a call that is being answered until the result is dropped.
    pub fn call_begun(self: &Rc<Connection>) -> CallGuard {
        self.calls.set(self.calls.get() + 1);
        if self.state() == State::Idle {
            self.set_state(State::Answering);
        }
        CallGuard(self.clone())
    }

    /// Records a message that is to be written.
    pub fn message_made(&self, bytes: usize) -> Result<(), Reason> {
        self.unwritten.set(self.unwritten.get() + bytes);
        self.reserve(self.needed.get() + self.unwritten.get())?;
        if self.state() != State::Body {
            self.set_state(State::Writing);
        }
        Ok(())
    }

    fn messages_written(&self) {
        self.unwritten.set(0);
        self.release(self.needed.get());
        if self.state() == State::Writing {
            self.message_awaited(self.needed.get());
        }
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        if self.is_open() {
            self.limiter.pool.borrow_mut().close(self.id);
        }
    }
}

/// Body of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Body {
    None,
    /// Its length is stated.
    Sized,
    Chunked,
}

/// Counts a call as being answered until dropped.
pub struct CallGuard(Rc<Connection>);

impl Drop for CallGuard {
    fn drop(&mut self) {
        let connection = &self.0;
        connection.calls.set(connection.calls.get() - 1);
        if connection.calls.get() == 0 && connection.state() == State::Answering {
            connection.set_state(State::Idle);
        }
    }
}
