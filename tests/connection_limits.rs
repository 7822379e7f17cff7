//! Bounds on connections and on the memory that they hold.

#[path = "connection_limits/frame.rs"]
mod frame;
#[path = "connection_limits/server.rs"]
mod server;

use std::{
    net::{Ipv4Addr, SocketAddr},
    time::Duration,
};

use briargauge::transport::limit::{
    bound::{Audience, Bounds, Instance, Usage},
    pool::{
        BODY_LIMIT, CONNECTION_BYTES, Closed, HEAD_LIMIT, Id, Pool, Port, Reason, STALL_LIMIT,
        State,
    },
};
use quickcheck::QuickCheck;
use tokio::time::Instant;

const CALLERS: Port = Port { number: 1, audience: Audience::Clients };
const READY: Port = Port { number: 2, audience: Audience::Clients };
const RPC: Port = Port { number: 3, audience: Audience::System };

fn peer(number: u8) -> SocketAddr {
    (Ipv4Addr::new(127, 0, 0, number), 9).into()
}

fn bounds(connections: usize, bytes: usize) -> Bounds {
    let usage = |connections, bytes| Usage { connections, bytes };
    Bounds {
        total: usage(connections, bytes),
        clients: usage(connections - 1, bytes),
        port: usage(connections - 2, bytes),
        peer: usage(connections - 2, bytes),
        system_peer: usage(connections, bytes),
    }
}

/// A pool whose connections are named by numbers.
struct World {
    pool: Pool<u32>,
    now: Instant,
    closed: Vec<Closed<u32>>,
}

impl World {
    fn new(bounds: Bounds) -> World {
        World { pool: Pool::new(bounds), now: Instant::now(), closed: Vec::new() }
    }

    fn open(&mut self, name: u32, port: Port, from: u8) -> Result<Id, Reason> {
        self.pool.open(name, port, peer(from), self.now, &mut self.closed)
    }

    fn set(&mut self, id: Id, state: State) {
        self.pool.set_state(id, state, self.now);
    }

    fn pass(&mut self, time: Duration) {
        self.now += time;
    }

    fn expire(&mut self, port: Port) {
        self.pool.expire(port, self.now, &mut self.closed);
    }

    /// Names of the connections that have been closed since the last call, with the reasons.
    fn closed(&mut self) -> Vec<(u32, Reason)> {
        self.closed.drain(..).map(|closed| (closed.handle, closed.reason)).collect()
    }
}

/// Guards against a full process that refuses everybody, and against one that closes connections
/// which progress while others do not.
#[test]
fn the_connection_longest_without_progress_is_closed() {
    let mut world = World::new(bounds(5, usize::MAX));
    let first = world.open(1, CALLERS, 1).unwrap();
    let second = world.open(2, CALLERS, 1).unwrap();
    world.open(3, CALLERS, 1).unwrap();
    for id in [first, second] {
        world.set(id, State::Body);
    }
    world.pass(Duration::from_secs(1));
    world.pool.progress(first, world.now);
    world.open(4, CALLERS, 1).unwrap();
    assert_eq!(world.closed(), [(3, Reason::Connections)], "idle ones go first");
    world.set(first, State::Body);
    world.pass(Duration::from_secs(1));
    world.pool.grow(first, 1, &mut world.closed).unwrap();
    assert_eq!(world.closed(), []);
}

/// Guards against a peer that takes the room of all others.
#[test]
fn the_peer_that_holds_most_loses_first() {
    let mut world = World::new(bounds(6, usize::MAX));
    world.open(1, CALLERS, 1).unwrap();
    world.pass(Duration::from_secs(1));
    for name in 2..5 {
        world.open(name, CALLERS, 2).unwrap();
    }
    world.open(5, CALLERS, 3).unwrap();
    assert_eq!(world.closed(), [(2, Reason::Connections)], "although 1 has waited for longer");
}

/// Guards against answers that are lost because others need room: what is closed then may have been
/// carried out. The new connection is refused instead.
#[test]
fn a_request_that_is_being_answered_is_not_closed() {
    let mut world = World::new(bounds(4, usize::MAX));
    for name in 1..3 {
        let id = world.open(name, CALLERS, 1).unwrap();
        world.set(id, State::Answering);
    }
    assert_eq!(world.open(3, CALLERS, 1), Err(Reason::Connections));
    assert!(world.open(4, READY, 2).is_ok(), "another port and peer still have room");
    assert_eq!(world.closed(), []);
}

/// Guards against clients that displace the system's own processes, and against strangers at their
/// ports that do.
#[test]
fn the_system_keeps_its_connections() {
    let mut world = World::new(bounds(4, usize::MAX));
    for name in 1..3 {
        let id = world.open(name, RPC, 1).unwrap();
        world.pool.establish(id, world.now);
    }
    world.open(3, CALLERS, 2).unwrap();
    world.open(4, RPC, 3).unwrap();
    assert_eq!(world.closed(), []);
    world.pool.open_outbound(&mut world.closed);
    assert_eq!(
        world.closed(),
        [(3, Reason::Connections)],
        "the process's own connections have room"
    );
    assert_eq!(world.open(5, CALLERS, 2), Err(Reason::Connections));
    world.open(6, RPC, 1).unwrap();
    assert_eq!(world.closed(), [(4, Reason::Connections)], "it has sent nothing");
    world.pool.close_outbound();
    world.open(7, CALLERS, 2).unwrap();
    assert_eq!(world.closed(), []);
}

/// Guards against memory that is promised twice, and against a connection that is closed to make
/// room for itself.
#[test]
fn memory_is_reserved_within_the_bound() {
    let mut world = World::new(bounds(9, 4 * CONNECTION_BYTES));
    let stalled = world.open(1, CALLERS, 1).unwrap();
    world.pool.grow(stalled, CONNECTION_BYTES, &mut world.closed).unwrap();
    world.pass(Duration::from_secs(1));
    let growing = world.open(2, CALLERS, 1).unwrap();
    world.pool.grow(growing, 2 * CONNECTION_BYTES, &mut world.closed).unwrap();
    assert_eq!(world.closed(), [(1, Reason::Memory)]);
    let refused = world.pool.grow(growing, 2 * CONNECTION_BYTES, &mut world.closed);
    assert_eq!(refused, Err(Reason::Memory));
    world.pool.shrink(growing, CONNECTION_BYTES);
    assert_eq!(world.pool.total(), Usage { connections: 1, bytes: 2 * CONNECTION_BYTES });
}

/// Guards against requests that never end, and against limits that hit requests within them.
#[test]
fn unfinished_requests_end_in_time() {
    const MOMENT: Duration = Duration::from_millis(1);
    let mut world = World::new(bounds(9, usize::MAX));
    let head = world.open(1, CALLERS, 1).unwrap();
    let body = world.open(2, CALLERS, 1).unwrap();
    let answer = world.open(3, CALLERS, 1).unwrap();
    let handler = world.open(4, CALLERS, 1).unwrap();
    world.open(5, CALLERS, 1).unwrap();
    let states = [State::Head, State::Body, State::Writing, State::Answering];
    for (id, state) in [head, body, answer, handler].into_iter().zip(states) {
        world.set(id, state);
    }
    world.pass(HEAD_LIMIT - MOMENT);
    world.pool.progress(head, world.now);
    world.expire(CALLERS);
    assert_eq!(world.closed(), []);
    world.pass(MOMENT);
    world.expire(CALLERS);
    assert_eq!(world.closed(), [(1, Reason::HeadLate)], "progress does not extend it");
    world.pass(STALL_LIMIT - HEAD_LIMIT);
    world.pool.progress(body, world.now);
    world.expire(CALLERS);
    assert_eq!(world.closed(), [(3, Reason::Stalled)]);
    while world.closed.is_empty() {
        world.pass(STALL_LIMIT - MOMENT);
        world.pool.progress(body, world.now);
        world.expire(CALLERS);
    }
    assert_eq!(world.closed(), [(2, Reason::BodyLate)]);
    world.pass(10 * BODY_LIMIT);
    world.expire(CALLERS);
    assert_eq!(world.closed(), [], "neither an idle connection nor a long call has a limit here");
}

/// Guards against a process that closes all unfinished requests once it runs again after a pause.
#[test]
fn time_limits_do_not_count_pauses() {
    let mut world = World::new(bounds(9, usize::MAX));
    let id = world.open(1, CALLERS, 1).unwrap();
    world.set(id, State::Body);
    world.pass(3 * BODY_LIMIT);
    world.pool.extend(CALLERS, 3 * BODY_LIMIT);
    world.expire(CALLERS);
    assert_eq!(world.closed(), []);
    world.pass(STALL_LIMIT);
    world.expire(CALLERS);
    assert_eq!(world.closed(), [(1, Reason::Stalled)]);
}

/// Guards against a long poll or a busy connection that counts as one message that does not end.
#[test]
fn each_message_has_the_whole_time() {
    let mut world = World::new(bounds(9, usize::MAX));
    let id = world.open(1, RPC, 1).unwrap();
    world.set(id, State::Answering);
    world.pass(3 * BODY_LIMIT);
    world.set(id, State::Body);
    world.expire(RPC);
    for _ in 0..30 {
        world.pass(STALL_LIMIT - Duration::from_secs(1));
        world.pool.progress(id, world.now);
        world.pool.establish(id, world.now);
        world.expire(RPC);
    }
    assert_eq!(world.closed(), []);
}

/// Guards against a process out of descriptors that accepts nothing any more.
#[test]
fn connections_are_closed_when_descriptors_run_out() {
    let mut world = World::new(bounds(9, usize::MAX));
    let busy = world.open(1, CALLERS, 1).unwrap();
    world.set(busy, State::Body);
    world.open(2, CALLERS, 1).unwrap();
    let system = world.open(3, RPC, 1).unwrap();
    world.pool.establish(system, world.now);
    world.pool.evict_for_descriptors(9, &mut world.closed);
    assert_eq!(world.closed(), [(2, Reason::Descriptors), (1, Reason::Descriptors)]);
}

/// Guards against bounds that legitimate use exceeds: 3,600 sidecars and 150 entries at a control
/// instance, a configuration of 8 MiB in the smallest one, announcements of 4 MiB from a server with
/// 64 connections, and many callers behind one balancer.
#[test]
fn bounds_leave_room_for_legitimate_use() {
    let bounds = |memory_mb: u64, descriptors| {
        Bounds::new(Instance {
            memory_bytes: Some(memory_mb << 20),
            descriptors: Some(descriptors),
        })
    };
    for memory_mb in [256, 384] {
        let control = bounds(memory_mb, 4_096);
        assert!(control.total.connections >= 3_750, "{control:?}");
        assert!(control.system_peer.connections >= 3_600, "{control:?}");
        assert!(control.total.bytes >= 3_750 * CONNECTION_BYTES + (8 << 20), "{control:?}");
        assert!(control.peer.bytes >= 2 * (8 << 20), "{control:?}");
    }
    let sidecar = bounds(128, 4_096);
    assert!(sidecar.peer.connections >= 64 && sidecar.peer.bytes >= 2 * (4 << 20), "{sidecar:?}");
    for (memory_mb, descriptors) in [(120, 3_075), (160, 4_100), (400, 10_250)] {
        let entry = bounds(memory_mb, descriptors);
        assert!(entry.peer.connections >= 1_000, "{entry:?}");
        assert!(entry.peer.bytes >= 100 * 262_144, "{entry:?}");
    }
    let default = Bounds::new(Instance::default());
    assert!(default.peer.connections >= 10_000 && default.peer.bytes >= 240 << 20, "{default:?}");
}

/// Guards against counts that drift from the open connections, and against bounds that a sequence of
/// operations exceeds.
#[test]
fn counts_equal_the_open_connections() {
    fn holds(steps: Vec<(u8, u8, u8)>) -> bool {
        let limits = bounds(8, 12 * CONNECTION_BYTES);
        let mut world = World::new(limits);
        let mut open: Vec<(u32, Id, usize)> = Vec::new();
        let mut holds = true;
        for (name, (kind, which, amount)) in (0..).zip(steps) {
            world.pass(Duration::from_millis(amount.into()));
            let port = [CALLERS, READY, RPC][usize::from(which) % 3];
            let index = usize::from(which) % open.len().max(1);
            match (kind % 7, open.get(index).copied()) {
                (0 | 1, _) => {
                    if let Ok(id) = world.open(name, port, amount % 3) {
                        open.push((name, id, CONNECTION_BYTES));
                    }
                }
                (2, Some((_, id, _))) => {
                    let bytes = usize::from(amount) * 1024;
                    if world.pool.grow(id, bytes, &mut world.closed).is_ok() {
                        open[index].2 += bytes;
                    }
                }
                (3, Some((_, id, bytes))) => {
                    world.pool.shrink(id, bytes / 2);
                    open[index].2 -= bytes / 2;
                }
                (4, Some((_, id, _))) => world.set(id, State::ALL[usize::from(amount) % 5]),
                (5, Some((_, id, _))) => {
                    world.pool.close(id);
                    open.remove(index);
                }
                _ => world.expire(port),
            }
            for (closed, _) in world.closed() {
                open.retain(|(name, ..)| *name != closed);
            }
            let bytes = open.iter().map(|(_, _, bytes)| bytes).sum();
            holds &= world.pool.total() == Usage { connections: open.len(), bytes }
                && open.len() <= limits.total.connections
                && bytes <= limits.total.bytes;
        }
        holds
    }
    QuickCheck::new().tests(2_000).quickcheck(holds as fn(Vec<(u8, u8, u8)>) -> bool);
}
