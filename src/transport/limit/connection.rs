//! What a connection reserves, and what it does.

use std::{
    cell::{Cell, RefCell},
    rc::Rc,
    task::Waker,
};

use tokio::time::Instant;

use super::{
    Limiter, Signal,
    bound::Audience,
    pool::{self, Reason, State},
};

/// Bytes of a request, of what follows it and of an answer that [`pool::CONNECTION_BYTES`] covers.
const COVERED_BYTES: usize = 8 * 1024;
/// Bytes that are reserved at once for a request that needs more.
const STEP_BYTES: usize = 16 * 1024;
/// Most requests that wait on a connection. `actix-http` decodes all that it has read, and a decoded
/// request needs many times the bytes of a short one. The count begins anew with each read of a head.
const HEADS_MAX: usize = 2;
/// Bytes that a connection buffers of an answer that is not read: what is passed at once, and the buffer
/// to which that is added.
const UNREAD_BYTES: usize = 32 * 1024;
/// Most bytes of a client that are read at once. The reader of a body then takes its chunks out of the
/// queue between two reads, so that the queue, which needs 32 bytes for each chunk, stays short.
pub(super) const READ_MAX_BYTES: usize = 4 * 1024;

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
    /// Ends of heads among the bytes that may hold requests which wait.
    heads: Cell<usize>,
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
    pub(super) fn new(
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
            heads: Cell::new(0),
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
            self.limiter.with_pool(|pool, closed| pool.evict(self.id, reason, closed));
        }
    }

    /// Whether what has been read must be processed before more is read.
    pub(super) fn reads_in_parts(&self) -> bool {
        self.audience == Audience::Clients
    }

    /// Number of bytes that may be read now. They are reserved.
    pub(super) fn readable(&self, wanted: usize) -> usize {
        let state = self.state();
        let clients = self.reads_in_parts();
        let most = if clients { wanted.min(READ_MAX_BYTES) } else { wanted };
        if self.refused.get() {
            // After the refusal, the rest of the body is read and dropped.
            return if state == State::Body { 0 } else { most };
        }
        let unclaimed = state == State::Body && self.body_waker.borrow().is_none();
        match state {
            _ if !clients => {}
            State::Answering | State::Writing => {
                let heads_left = self.heads.get() < HEADS_MAX;
                return if heads_left { most.min(READ_MAX_BYTES - self.ahead.get()) } else { 0 };
            }
            State::Body if unclaimed => {
                if self.heads.get() >= HEADS_MAX || self.needed.get() > COVERED_BYTES {
                    return 0;
                }
            }
            State::Idle | State::Head | State::Body => self.heads.set(0),
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

    /// Number of bytes at the front of `bytes` that may be processed now.
    pub(super) fn processable(&self, bytes: &[u8]) -> usize {
        let mut line_end = None;
        for (index, _) in bytes.iter().enumerate().filter(|(_, byte)| **byte == b'\n') {
            let blank = match line_end {
                Some(last) => index == last + 1 || (index == last + 2 && bytes[last + 1] == b'\r'),
                None => false,
            };
            line_end = Some(index);
            if blank {
                self.heads.set(self.heads.get() + 1);
                if self.heads.get() >= HEADS_MAX {
                    return index + 1;
                }
            }
        }
        bytes.len()
    }

    pub(super) fn received(&self, bytes: usize) {
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

    pub(super) fn written(&self, bytes: usize) {
        if !self.is_open() {
            return;
        }
        self.unwritten.set(self.unwritten.get().saturating_sub(bytes));
        let mut pool = self.limiter.pool.borrow_mut();
        if pool.state(self.id) == State::Writing {
            pool.progress(self.id, Instant::now());
        }
    }

    /// Records that the peer does not read. The buffer of an unread answer is then reserved.
    pub(super) fn write_blocked(&self) {
        if self.audience == Audience::System || self.reserved.get() >= UNREAD_BYTES {
            return;
        }
        if let Err(reason) = self.reserve(COVERED_BYTES + UNREAD_BYTES) {
            self.close(reason);
        }
    }

    /// Records that everything that was passed to the connection has been written.
    pub(super) fn flushed(&self) {
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

    /// Sets what is woken once bytes may be read after [`Connection::readable`] has returned none.
    pub(super) fn set_read_waker(&self, waker: &Waker) {
        self.read_waker.replace(Some(waker.clone()));
    }

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
            self.limiter.pool.borrow_mut().establish(self.id, Instant::now());
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
