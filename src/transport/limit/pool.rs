//! Bookkeeping of connections: who holds how much, and which connection is closed when a bound is
//! reached or a time limit has passed. Time is an argument, and nothing here reads or writes.

use std::{
    cmp::Reverse,
    collections::HashMap,
    net::{IpAddr, SocketAddr},
    time::Duration,
};

use slab::Slab;
use tokio::time::Instant;

use super::bound::{Audience, Bounds, Resource, Usage};

/// Bytes that count for each open connection: its two buffers of 8 KiB, its task and its timers.
pub const CONNECTION_BYTES: usize = 28 * 1024;
/// Time limit for a client to send the head of a request.
pub const HEAD_LIMIT: Duration = Duration::from_secs(5);
/// Time without progress after which a connection with an unfinished request or an unread answer is
/// closed.
pub const STALL_LIMIT: Duration = Duration::from_secs(15);
/// Time limit for the body of a request or a message to arrive.
pub const BODY_LIMIT: Duration = Duration::from_secs(120);

/// A listening port.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Port {
    pub number: u16,
    pub audience: Audience,
}

/// What a connection is doing.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum State {
    /// There is no unfinished request.
    Idle,
    /// The head of a request has not arrived in full.
    Head,
    /// The body of a request, or a message of the system's own processes, has not arrived in full.
    Body,
    /// The request has arrived, and its answer is being made.
    Answering,
    /// The answer has not been passed on in full.
    Writing,
}

impl State {
    pub const ALL: [State; 5] =
        [State::Idle, State::Head, State::Body, State::Answering, State::Writing];

    pub fn label(self) -> &'static str {
        match self {
            State::Idle => "idle",
            State::Head => "reading_head",
            State::Body => "reading_body",
            State::Answering => "answering",
            State::Writing => "writing",
        }
    }
}

/// Why a connection was refused or closed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Reason {
    /// Too many connections are open.
    Connections,
    /// The memory for connections is used up.
    Memory,
    /// The process is out of file descriptors.
    Descriptors,
    /// The head of a request did not arrive in time.
    HeadLate,
    /// The body of a request did not arrive in time.
    BodyLate,
    /// There was no progress for [`STALL_LIMIT`].
    Stalled,
}

impl Reason {
    pub fn label(self) -> &'static str {
        match self {
            Reason::Connections => "connections",
            Reason::Memory => "memory",
            Reason::Descriptors => "descriptors",
            Reason::HeadLate => "head_late",
            Reason::BodyLate => "body_late",
            Reason::Stalled => "stalled",
        }
    }
}

impl From<Resource> for Reason {
    fn from(resource: Resource) -> Reason {
        match resource {
            Resource::Connections => Reason::Connections,
            Resource::Bytes => Reason::Memory,
        }
    }
}

/// A connection of a [`Pool`]. It is not valid any more once the connection is closed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Id(usize);

/// A connection that the pool has decided to close. Nothing is reserved for it any more.
#[derive(Debug)]
pub struct Closed<T> {
    pub handle: T,
    pub port: Port,
    pub peer: SocketAddr,
    pub reason: Reason,
}

/// The connections of a process. `T` is what the caller needs to close one.
#[derive(Debug)]
pub struct Pool<T> {
    bounds: Bounds,
    connections: Slab<Connection<T>>,
    ports: Vec<(Port, Usage)>,
    peers: Slab<Peer>,
    peer_keys: HashMap<(IpAddr, Audience), usize>,
    total: Usage,
    clients: Usage,
}

#[derive(Debug)]
struct Connection<T> {
    handle: T,
    port: usize,
    peer: usize,
    addr: SocketAddr,
    audience: Audience,
    state: State,
    /// Whether a message of the system's own processes has arrived in full.
    established: bool,
    bytes: usize,
    /// When bytes were last read or written.
    progress: Instant,
    /// When the unfinished request began.
    began: Instant,
}

#[derive(Debug)]
struct Peer {
    key: (IpAddr, Audience),
    usage: Usage,
}

/// Connections that a bound applies to.
#[derive(Debug, Clone, Copy)]
enum Scope {
    Peer(usize),
    Port(usize),
    Clients,
    All,
}

/// How well a connection is protected from being closed for others.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Priority {
    Client,
    /// At a port for the system's own processes, where no message has arrived on it yet.
    Unestablished,
    System,
}

/// Who needs room.
#[derive(Debug, Clone, Copy)]
struct Requester {
    /// The highest priority of connections that are closed for it.
    displaces: Priority,
    /// The connection that grows; it is not closed for itself.
    id: Option<usize>,
}

impl Requester {
    /// The process itself.
    const PROCESS: Requester = Requester { displaces: Priority::Unestablished, id: None };

    fn new(audience: Audience, id: Option<usize>) -> Requester {
        let displaces = match audience {
            Audience::Clients => Priority::Client,
            Audience::System => Priority::System,
        };
        Requester { displaces, id }
    }
}

impl<T> Connection<T> {
    fn priority(&self) -> Priority {
        match self.audience {
            Audience::Clients => Priority::Client,
            Audience::System if !self.established => Priority::Unestablished,
            Audience::System => Priority::System,
        }
    }
}

impl<T> Pool<T> {
    pub fn new(bounds: Bounds) -> Pool<T> {
        Pool {
            bounds,
            connections: Slab::new(),
            ports: Vec::new(),
            peers: Slab::new(),
            peer_keys: HashMap::new(),
            total: Usage::default(),
            clients: Usage::default(),
        }
    }

    /// Replaces the bounds. Open connections stay open until others need their room.
    pub fn set_bounds(&mut self, bounds: Bounds) {
        self.bounds = bounds;
    }

    pub fn total(&self) -> Usage {
        self.total
    }

    /// Adds an accepted connection. Connections are closed for it if necessary; if that does not make
    /// enough room, it is refused.
    pub fn open(
        &mut self,
        handle: T,
        port: Port,
        addr: SocketAddr,
        now: Instant,
        closed: &mut Vec<Closed<T>>,
    ) -> Result<Id, Reason> {
        let audience = port.audience;
        let port = self.port(port);
        let peer = self.peer((addr.ip(), audience));
        let usage = Usage { connections: 1, bytes: CONNECTION_BYTES };
        let requester = Requester::new(audience, None);
        if let Err(resource) = self.make_room(requester, (port, peer), usage, closed) {
            self.remove_unused_peer(peer);
            return Err(resource.into());
        }
        let id = self.connections.insert(Connection {
            handle,
            port,
            peer,
            addr,
            audience,
            state: State::Idle,
            established: false,
            bytes: CONNECTION_BYTES,
            progress: now,
            began: now,
        });
        self.add(port, peer, usage);
        Ok(Id(id))
    }

    /// Counts a connection that the process itself opens. It is never refused; connections of clients,
    /// and those at ports for the system without a message so far, are closed for it if necessary.
    pub fn open_outbound(&mut self, closed: &mut Vec<Closed<T>>) {
        self.total.connections += 1;
        while let Some(resource) = self.total.excess(self.bounds.total) {
            let Some(candidate) = self.candidate(Scope::All, resource, Requester::PROCESS) else {
                return;
            };
            closed.push(self.remove_for(candidate, resource.into()));
        }
    }

    pub fn close_outbound(&mut self) {
        self.total.connections -= 1;
    }

    /// Closes a connection.
    pub fn evict(&mut self, id: Id, reason: Reason, closed: &mut Vec<Closed<T>>) {
        closed.push(self.remove_for(id.0, reason));
    }

    /// Removes a connection that has ended.
    pub fn close(&mut self, id: Id) {
        self.remove(id.0);
    }

    /// Reserves bytes for a connection. Others are closed if necessary; if that does not make enough
    /// room, nothing is reserved.
    pub fn grow(
        &mut self,
        id: Id,
        bytes: usize,
        closed: &mut Vec<Closed<T>>,
    ) -> Result<(), Reason> {
        let connection = &self.connections[id.0];
        let (port, peer) = (connection.port, connection.peer);
        let requester = Requester::new(connection.audience, Some(id.0));
        let usage = Usage { connections: 0, bytes };
        self.make_room(requester, (port, peer), usage, closed)?;
        self.connections[id.0].bytes += bytes;
        self.add(port, peer, usage);
        Ok(())
    }

    /// Releases bytes that [`Pool::grow`] has reserved.
    pub fn shrink(&mut self, id: Id, bytes: usize) {
        let connection = &mut self.connections[id.0];
        connection.bytes -= bytes;
        let (port, peer) = (connection.port, connection.peer);
        self.subtract(port, peer, Usage { connections: 0, bytes });
    }

    pub fn state(&self, id: Id) -> State {
        self.connections[id.0].state
    }

    /// Changes what a connection is doing.
    pub fn set_state(&mut self, id: Id, state: State, now: Instant) {
        let connection = &mut self.connections[id.0];
        if state == connection.state {
            return;
        }
        let begins = match state {
            State::Head => true,
            State::Body => connection.state != State::Head,
            State::Idle | State::Answering | State::Writing => false,
        };
        if begins {
            connection.began = now;
        }
        connection.state = state;
        connection.progress = now;
    }

    /// Records that bytes were read or written.
    pub fn progress(&mut self, id: Id, now: Instant) {
        self.connections[id.0].progress = now;
    }

    /// Records that a message of the system's own processes has arrived, after which another one may
    /// begin. Such connections are closed last.
    pub fn establish(&mut self, id: Id, now: Instant) {
        let connection = &mut self.connections[id.0];
        connection.established = true;
        connection.began = now;
    }

    /// Closes up to `count` connections because the process is out of descriptors: of clients, or at
    /// ports for the system without a message so far.
    pub fn evict_for_descriptors(&mut self, count: usize, closed: &mut Vec<Closed<T>>) {
        for _ in 0..count {
            let Some(candidate) =
                self.candidate(Scope::All, Resource::Connections, Requester::PROCESS)
            else {
                return;
            };
            closed.push(self.remove_for(candidate, Reason::Descriptors));
        }
    }

    /// Closes the connections of a port whose time limits have passed.
    pub fn expire(&mut self, port: Port, now: Instant, closed: &mut Vec<Closed<T>>) {
        let port = self.port(port);
        let of_port = self.connections.iter().filter(|(_, c)| c.port == port);
        let late: Vec<(usize, Reason)> =
            of_port.filter_map(|(id, c)| Some((id, late(c, now)?))).collect();
        closed.extend(late.into_iter().map(|(id, reason)| self.remove_for(id, reason)));
    }

    /// Extends the time limits of a port's connections by a time in which the process itself did not
    /// run.
    pub fn extend(&mut self, port: Port, by: Duration) {
        let port = self.port(port);
        for (_, connection) in self.connections.iter_mut().filter(|(_, c)| c.port == port) {
            connection.progress += by;
            connection.began += by;
        }
    }

    /// Usage of each port, with its number of connections in each of [`State::ALL`].
    pub fn by_port(&self) -> Vec<(Port, Usage, [usize; State::ALL.len()])> {
        let mut ports: Vec<_> =
            self.ports.iter().map(|(port, usage)| (*port, *usage, [0; State::ALL.len()])).collect();
        for (_, connection) in &self.connections {
            let state = State::ALL.iter().position(|s| *s == connection.state);
            ports[connection.port].2[state.expect("all states are listed")] += 1;
        }
        ports
    }

    fn port(&mut self, port: Port) -> usize {
        self.ports.iter().position(|(known, _)| *known == port).unwrap_or_else(|| {
            self.ports.push((port, Usage::default()));
            self.ports.len() - 1
        })
    }

    fn peer(&mut self, key: (IpAddr, Audience)) -> usize {
        let peers = &mut self.peers;
        *self
            .peer_keys
            .entry(key)
            .or_insert_with(|| peers.insert(Peer { key, usage: Usage::default() }))
    }

    fn remove_unused_peer(&mut self, peer: usize) {
        if self.peers[peer].usage.connections == 0 {
            let Peer { key, .. } = self.peers.remove(peer);
            self.peer_keys.remove(&key);
        }
    }

    /// Closes connections until `more` is within all bounds.
    fn make_room(
        &mut self,
        requester: Requester,
        (port, peer): (usize, usize),
        more: Usage,
        closed: &mut Vec<Closed<T>>,
    ) -> Result<(), Resource> {
        while let Some((scope, resource)) = self.exceeded(port, peer, more) {
            let candidate = self.candidate(scope, resource, requester).ok_or(resource)?;
            // The peer that needs room stays known although its other connections are closed.
            self.peers[peer].usage.connections += 1;
            closed.push(self.remove_for(candidate, resource.into()));
            self.peers[peer].usage.connections -= 1;
        }
        Ok(())
    }

    /// The narrowest bound that `more` would exceed.
    fn exceeded(&self, port: usize, peer: usize, more: Usage) -> Option<(Scope, Resource)> {
        let Bounds { total, clients, port: one_port, peer: one_peer, system_peer } = self.bounds;
        let by_peer = self.peers[peer].usage.plus(more);
        let excess = match self.ports[port].0.audience {
            Audience::Clients => {
                let by_port = self.ports[port].1.plus(more);
                let peer = by_peer.excess(one_peer).map(|r| (Scope::Peer(peer), r));
                let port = || by_port.excess(one_port).map(|r| (Scope::Port(port), r));
                let all = || self.clients.plus(more).excess(clients).map(|r| (Scope::Clients, r));
                peer.or_else(port).or_else(all)
            }
            Audience::System => by_peer.excess(system_peer).map(|r| (Scope::Peer(peer), r)),
        };
        excess.or_else(|| self.total.plus(more).excess(total).map(|r| (Scope::All, r)))
    }

    /// The connection that is closed next. Connections whose answer is being made are not closed.
    fn candidate(&self, scope: Scope, resource: Resource, requester: Requester) -> Option<usize> {
        let in_scope = |connection: &Connection<T>| match scope {
            Scope::Peer(peer) => connection.peer == peer,
            Scope::Port(port) => connection.port == port,
            Scope::Clients => connection.audience == Audience::Clients,
            Scope::All => true,
        };
        let candidates = self.connections.iter().filter(|(id, connection)| {
            Some(*id) != requester.id
                && connection.state != State::Answering
                && in_scope(connection)
                && connection.priority() <= requester.displaces
        });
        let order = |connection: &Connection<T>| {
            let usage = self.peers[connection.peer].usage;
            let (held, busy) = match resource {
                Resource::Connections => (usage.connections, connection.state != State::Idle),
                Resource::Bytes => (usage.bytes, false),
            };
            (connection.priority() == Priority::System, Reverse(held), busy, connection.progress)
        };
        candidates.min_by_key(|(_, connection)| order(connection)).map(|(id, _)| id)
    }

    fn remove_for(&mut self, id: usize, reason: Reason) -> Closed<T> {
        let connection = self.remove(id);
        let port = self.ports[connection.port].0;
        Closed { handle: connection.handle, port, peer: connection.addr, reason }
    }

    fn remove(&mut self, id: usize) -> Connection<T> {
        let connection = self.connections.remove(id);
        let usage = Usage { connections: 1, bytes: connection.bytes };
        self.subtract(connection.port, connection.peer, usage);
        self.remove_unused_peer(connection.peer);
        connection
    }

    fn add(&mut self, port: usize, peer: usize, usage: Usage) {
        self.for_each_count(port, peer, |count| {
            count.connections += usage.connections;
            count.bytes += usage.bytes;
        });
    }

    fn subtract(&mut self, port: usize, peer: usize, usage: Usage) {
        self.for_each_count(port, peer, |count| {
            count.connections -= usage.connections;
            count.bytes -= usage.bytes;
        });
    }

    fn for_each_count(&mut self, port: usize, peer: usize, change: impl Fn(&mut Usage)) {
        change(&mut self.total);
        if self.ports[port].0.audience == Audience::Clients {
            change(&mut self.clients);
        }
        change(&mut self.ports[port].1);
        change(&mut self.peers[peer].usage);
    }
}

/// Which time limit of a connection has passed. [`BODY_LIMIT`] is left to the reader of the body, which
/// can still answer.
fn late<T>(connection: &Connection<T>, now: Instant) -> Option<Reason> {
    let stalled = now.saturating_duration_since(connection.progress) >= STALL_LIMIT;
    let age = now.saturating_duration_since(connection.began);
    match connection.state {
        State::Idle | State::Answering => None,
        State::Head => (age >= HEAD_LIMIT).then_some(Reason::HeadLate),
        State::Body if age >= BODY_LIMIT + STALL_LIMIT => Some(Reason::BodyLate),
        State::Body | State::Writing => stalled.then_some(Reason::Stalled),
    }
}
