//! The leased list of backend servers and the leases of sessions.

use briargauge::{
    coordination::{
        registry::{CHANGES_MAX, LEASE_MS, Registry, SUCCESSOR_AGE_MAX_MS},
        session::{ABANDON_MARGIN_MS, Due, Leases},
    },
    protocol::{id, job, wire::control},
};
use indexmap::IndexMap;
use quickcheck::{Arbitrary, Gen, QuickCheck};

pub fn server(incarnation: u64, at: u16) -> control::Server {
    control::Server {
        incarnation: id::Incarnation(incarnation),
        addr: ([127, 0, 0, 1], 7_000 + at).into(),
        data_centre: "Kurume".into(),
        rack: format!("r{}", at % 3),
        slots: 8,
        connections: 64,
        kinds: Vec::new(),
        size: job::Needs::default(),
        state: control::ServerState::Serving,
    }
}

#[derive(Debug, Clone, Copy)]
enum Act {
    Announce {
        at: u16,
        restart: bool,
        leaving: bool,
    },
    /// An announcement of an earlier incarnation arrives late.
    Late {
        which: u8,
    },
    Pass {
        ms: u64,
    },
    Drain {
        rack: u16,
    },
    Sync {
        holder: usize,
    },
}

impl Arbitrary for Act {
    fn arbitrary(g: &mut Gen) -> Act {
        let at = u16::arbitrary(g) % 6;
        match u8::arbitrary(g) % 12 {
            0..4 => {
                let rare = |g: &mut Gen| u8::arbitrary(g) % 5 == 0;
                Act::Announce { at, restart: rare(g), leaving: rare(g) }
            }
            4 => Act::Late { which: u8::arbitrary(g) },
            5 | 6 => Act::Pass { ms: u64::arbitrary(g) % 2_000 },
            7 => Act::Drain { rack: at },
            _ => Act::Sync { holder: usize::arbitrary(g) % 3 },
        }
    }
}

#[derive(Default, Clone)]
struct Holder {
    revision: Option<control::Revision>,
    servers: IndexMap<id::Incarnation, control::Server>,
}

impl Holder {
    fn sync(&mut self, now: u64, registry: &Registry) {
        let change = registry.changes_since(now, self.revision);
        if change.full {
            self.servers.clear();
        }
        for gone in change.removed {
            self.servers.swap_remove(&gone);
        }
        self.servers.extend(change.changed.into_iter().map(|m| (m.incarnation, m)));
        self.revision = Some(change.revision);
    }
}

fn list<'a>(servers: impl Iterator<Item = &'a control::Server>) -> Vec<control::Server> {
    let mut list: Vec<_> = servers.cloned().collect();
    list.sort_by_key(|m| m.incarnation);
    list
}

/// Guards against deltas that leave an entry with another list than the full one, whatever it
/// held, and against two incarnations at one address.
#[test]
fn deltas_equal_the_full_list() {
    fn agrees(acts: Vec<Act>) -> bool {
        let mut now = 10_000;
        let mut registry = Registry::new(now - LEASE_MS - 1, 3);
        let mut incarnations = [0; 6];
        let mut announced = Vec::new();
        let mut drained = 9;
        let mut holders = vec![Holder::default(); 3];
        for (step, act) in acts.iter().enumerate() {
            match *act {
                Act::Announce { at, restart, leaving } => {
                    let incarnation = &mut incarnations[at as usize];
                    if restart || *incarnation == 0 {
                        *incarnation = step as u64 + 1;
                    }
                    let mut server = server(*incarnation, at);
                    if leaving {
                        server.state = control::ServerState::Draining;
                    }
                    registry.announce(now, &server, at % 3 == drained);
                    announced.push(server);
                }
                Act::Late { which } if !announced.is_empty() => {
                    registry.announce(now, &announced[which as usize % announced.len()], false);
                }
                Act::Late { .. } => {}
                Act::Pass { ms } => {
                    now += ms;
                    registry.expire(now);
                }
                Act::Drain { rack } => {
                    drained = rack % 4;
                    let rack = format!("r{drained}");
                    registry.drain(|m| m.rack == rack);
                }
                Act::Sync { holder } => holders[holder].sync(now, &registry),
            }
            let mut ports: Vec<_> = registry.servers().map(|m| m.addr).collect();
            ports.sort();
            ports.dedup();
            assert_eq!(ports.len(), registry.len());
        }
        holders.iter_mut().for_each(|h| h.sync(now, &registry));
        holders.iter().all(|h| list(h.servers.values()) == list(registry.servers()))
    }
    QuickCheck::new().tests(1_000).quickcheck(agrees as fn(Vec<Act>) -> bool);
}

fn shown(registry: &Registry) -> Vec<u64> {
    registry.servers().map(|m| m.incarnation.0).collect()
}

/// Guards against a restarted backend server that stays hidden behind its former life until that
/// one's lease lapses, and against a delayed announcement that brings the former life back.
#[test]
fn a_new_incarnation_replaces_the_old_one() {
    let mut registry = Registry::new(0, 1);
    registry.announce(0, &server(1, 1), false);
    registry.announce(100, &server(2, 1), false);
    assert_eq!(shown(&registry), [2]);
    registry.announce(200, &server(1, 1), false);
    assert_eq!(shown(&registry), [2]);
    // The one that is heard of again and again is the living one, whatever arrived first.
    registry.announce(101 + SUCCESSOR_AGE_MAX_MS, &server(1, 1), false);
    assert_eq!(shown(&registry), [1]);
}

/// Guards against servers that outlive their lease, or lose it while the leader was stopped.
#[test]
fn servers_lapse_after_a_lease() {
    let mut registry = Registry::new(0, 1);
    registry.announce(0, &server(1, 1), false);
    registry.announce(1, &server(2, 2), false);
    assert_eq!(registry.expire(LEASE_MS).len(), 0);
    let lapsed = registry.expire(LEASE_MS + 1);
    assert_eq!(list(lapsed.iter()), [server(1, 1)]);
    registry.renew_all(20_000);
    assert_eq!(registry.expire(20_000 + LEASE_MS).len(), 0);
}

/// Guards against entries that lose all backend servers when the leader changes, and against
/// deltas from a revision that the log of changes no longer reaches.
#[test]
fn full_lists() {
    let mut registry = Registry::new(0, 2);
    registry.announce(10, &server(1, 1), false);
    let old = Some(control::Revision { term: 1, number: 40 });
    let early = registry.changes_since(LEASE_MS, old);
    assert_eq!((early.full, early.changed.len()), (false, 1));
    let late = registry.changes_since(LEASE_MS + 1, Some(early.revision));
    assert!(late.full);
    assert!(registry.changes_since(LEASE_MS + 1, old).full);
    assert!(registry.changes_since(LEASE_MS + 1, None).full);
    for n in 0..CHANGES_MAX as u64 {
        registry.announce(LEASE_MS, &server(2 + n, 2), false);
    }
    assert!(registry.changes_since(LEASE_MS + 1, Some(late.revision)).full);
    let held = registry.changes_since(LEASE_MS + 1, None).revision;
    registry.announce(LEASE_MS, &server(1_000_000, 3), false);
    let delta = registry.changes_since(LEASE_MS + 1, Some(held));
    assert_eq!((delta.full, delta.changed.len()), (false, 1));
}

/// Guards against fencing a session before a whole lease has passed since its last renewal, the
/// start of the term or a stall of the leader, and against settling its jobs while a sidecar may
/// still hold a lease from before the fence.
#[test]
fn sessions_are_fenced_and_then_abandoned() {
    let epoch = id::Epoch(5);
    let none = Due::default();
    let fence = Due { fence: vec![epoch], abandon: Vec::new() };
    let mut leases = Leases::new(1_000);
    let mut now = 1_000;
    let mut run = |leases: &mut Leases, until: u64, live: &[id::Epoch], fenced: &[id::Epoch]| {
        while now + 100 <= until {
            now += 100;
            let due = leases.poll(now, live, fenced);
            if due != Due::default() {
                return Some((now, due));
            }
        }
        None
    };
    assert_eq!(run(&mut leases, 3_000, &[epoch], &[]), None);
    leases.renew(3_000, epoch);
    let lapsed = 3_000 + LEASE_MS + 100;
    assert_eq!(run(&mut leases, 9_000, &[epoch], &[]), Some((lapsed, fence.clone())));
    let seen = lapsed + 100;
    let abandon = Due { fence: Vec::new(), abandon: vec![epoch] };
    let settled = seen + LEASE_MS + ABANDON_MARGIN_MS + 100;
    assert_eq!(run(&mut leases, 20_000, &[], &[epoch]), Some((settled, abandon)));

    let mut leases = Leases::new(0);
    assert_eq!(leases.poll(0, &[epoch], &[]), none);
    assert!(leases.stalled(LEASE_MS + 1));
    assert_eq!(leases.poll(LEASE_MS + 1, &[epoch], &[]), none);
    let mut now = LEASE_MS + 1;
    while now <= 2 * LEASE_MS {
        now += 500;
        assert_eq!(leases.poll(now.min(2 * LEASE_MS + 1), &[epoch], &[]), none);
    }
    assert_eq!(leases.poll(2 * LEASE_MS + 2, &[epoch], &[]), fence);
}
